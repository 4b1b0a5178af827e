package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

// result is how one attempt ended.
type result struct {
	status    policy.Status
	latencyMs float64
	report    []float32
	code      int // of a whole answer
	header    http.Header
	body      []byte
	held      int64 // of the budget, for the body; whoever ends with the body gives it back
}

// reply is a backend's whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// sender makes attempts: it is the core's upstream for HTTP.
type sender struct {
	pool        *conns.Pool
	budget      *semaphore.Weighted
	reportNames []string
}

func newSender(c *Config, budget *semaphore.Weighted, pool *conns.Pool) *sender {
	s := &sender{pool: pool, budget: budget}
	if c.Settings.Report.How == "inline" {
		s.reportNames = c.Settings.Report.Names
	}
	return s
}

// Do makes one attempt, of a call that the front of this package made.
func (s *sender) Do(ctx context.Context, b *core.Backend, addr string, c *core.Call, sent, deadline time.Time) core.Result {
	r := s.do(ctx, b, addr, c.Payload.(*call), sent, deadline)
	out := core.Result{Status: r.status, LatencyMs: r.latencyMs, Report: r.report, Held: r.held,
		Blamed: r.status == policy.Cancelled && r.code != 0}
	if r.code != 0 {
		out.Reply = &reply{r.code, r.header, r.body}
	}
	return out
}

// HangUp closes the idle connections to a backend.
func (s *sender) HangUp(b *core.Backend) { s.pool.HangUp(b) }

// Sweep closes connections that have idled too long.
func (s *sender) Sweep() { s.pool.Sweep() }

// do makes one attempt and returns how it ended, exactly once. It never sends
// anything twice. Cancelling ctx withdraws the attempt and closes its connection.
func (s *sender) do(ctx context.Context, b *core.Backend, addr string, c *call, sent, deadline time.Time) result {
	r := s.attempt(ctx, b, addr, c, deadline)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands, and what was never
	// written never ran.
	if ctx.Err() != nil && r.code == 0 && r.status != policy.Moot {
		r.status = policy.Cancelled
	}
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

func (s *sender) attempt(ctx context.Context, b *core.Backend, addr string, c *call, deadline time.Time) (res result) {
	connectBy := time.Now().Add(s.pool.ConnectTimeout())
	cn, err := s.pool.Get(ctx, conns.Key{Backend: b}, addr, earliest(deadline, connectBy))
	if err != nil {
		// Refused or never came up: not a byte was sent. Only what the backend had the
		// time for, or did, is its fault.
		if conns.Ours(err) || deadline.Before(connectBy) && !errors.Is(err, syscall.ECONNREFUSED) {
			return result{status: policy.Moot}
		}
		return result{status: policy.ConnectFailed}
	}
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		// If the withdrawal has begun its deadline would hit the next user.
		if stop() && reusable {
			s.pool.Put(cn)
		} else {
			s.pool.Close(cn)
		}
	}()
	cn.SetDeadline(deadline)
	// The connect may have taken long: the drain grace runs from the telling, so
	// nothing is begun on a backend that was told to drain meanwhile.
	if ctx.Err() != nil || b.Closed() {
		reusable = true
		return result{status: policy.Moot}
	}
	head := c.head(time.Until(deadline))
	whole := int64(len(head) + len(c.body))
	out := net.Buffers{head, c.body}
	if n, err := out.WriteTo(cn.Conn); err != nil {
		if n < whole {
			// The last byte never left, and the connection is closed: it cannot run.
			return result{status: policy.ConnectFailed}
		}
		return result{status: broken(err)}
	}
	held := int64(0)
	resp, body, err := readAnswer(cn.BR, func(n int64) error {
		if n <= freeBody {
			return nil
		}
		within, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		err := s.budget.Acquire(within, n)
		if err == nil {
			held += n
		}
		return err
	})
	if err != nil {
		s.budget.Release(held)
		s.pool.Ended(cn, !errors.Is(err, errSpoilt) && broken(err) == policy.Reset)
		return result{status: broken(err)}
	}
	s.pool.Ended(cn, false)
	reusable = !resp.Close
	return result{status: outcome(resp), code: resp.StatusCode, header: resp.Header, body: body, held: held,
		report: parseReport(resp.Header["Server-Load"], s.reportNames)}
}

// isNet tells errors of the connection from those of what came on it.
func isNet(err error) bool {
	var net net.Error
	return errors.As(err, &net)
}

// broken maps what ended an attempt whose last byte was written: it may have run.
func broken(err error) policy.Status {
	var timeout net.Error
	switch {
	case errors.Is(err, errSpoilt):
		return policy.Error // an answer that can't be read
	case errors.As(err, &timeout) && timeout.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}

// outcome maps a whole answer. Only the backend's own word proves that a request
// did not run: a bare 503 or 504 may come from half-way through. A 4xx is about the
// request, and tells nothing of the backend.
func outcome(resp *http.Response) policy.Status {
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		return policy.OK
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return policy.Full
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return policy.Cancelled
	}
	return policy.Error
}

// head is the request's head as it goes to a backend, told how long the agent waits.
// The target is what the client sent: http.Request would write another form of it.
func (c *call) head(left time.Duration) []byte {
	h := endToEnd(c.header)
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.method != http.MethodGet {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.target, c.host)
	_ = h.Write(&out) // a buffer takes all
	out.WriteString("\r\n")
	return out.Bytes()
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
