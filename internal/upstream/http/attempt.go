// Package http makes attempts in HTTP/1.1: it is the core's upstream for calls that came by the front of
// that name. It writes one request and reads one answer, strictly; what can't be read for certain may have
// run and closes its connection. It decides nothing, and sends nothing twice.
//
// Source: RFC 9110 and RFC 9112, as the protocol page narrows them.
package http

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

// freeBody is what an answer's body may take of memory without asking for it.
const freeBody = 4 << 10

// Call is what the front hands on with a core.Call.
type Call struct {
	Method string
	Target string // as it came, byte for byte
	Host   string
	Header http.Header
	Body   []byte
}

// Reply is a backend's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Upstream makes attempts.
type Upstream struct {
	Pool    *conns.Pool
	Budget  *semaphore.Weighted // memory for bodies over freeBody
	Reports []string            // names of the values of a load report, in the module's order; none: reports are not read
}

// HangUp closes the idle connections to a backend.
func (u *Upstream) HangUp(b *core.Backend) { u.Pool.HangUp(b) }

// Sweep closes connections that have idled too long.
func (u *Upstream) Sweep() { u.Pool.Sweep() }

// Do makes one attempt and returns how it ended, exactly once. Cancelling ctx withdraws the attempt and
// closes its connection.
func (u *Upstream) Do(ctx context.Context, b *core.Backend, addr string, c *core.Call, sent, deadline time.Time) core.Result {
	r := u.attempt(ctx, b, addr, c.Payload.(*Call), deadline)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands, and what was never
	// written never ran.
	if ctx.Err() != nil && r.Reply == nil && r.Status != policy.Moot {
		r.Status = policy.Cancelled
	}
	r.LatencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

func (u *Upstream) attempt(ctx context.Context, b *core.Backend, addr string, c *Call, deadline time.Time) core.Result {
	connectBy := time.Now().Add(u.Pool.ConnectTimeout())
	cn, err := u.Pool.Get(ctx, conns.Key{Backend: b}, addr, earliest(deadline, connectBy))
	if err != nil {
		// Refused or never came up: not a byte was sent. Only what the backend had the
		// time for, or did, is its fault.
		if conns.Ours(err) || deadline.Before(connectBy) && !errors.Is(err, syscall.ECONNREFUSED) {
			return core.Result{Status: policy.Moot}
		}
		return core.Result{Status: policy.ConnectFailed}
	}
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		// If the withdrawal has begun its deadline would hit the next user.
		if stop() && reusable {
			u.Pool.Put(cn)
		} else {
			u.Pool.Close(cn)
		}
	}()
	cn.SetDeadline(deadline)
	// The connect may have taken long: the drain grace runs from the telling, so
	// nothing is begun on a backend that was told to drain meanwhile.
	if ctx.Err() != nil || b.Closed() {
		reusable = true
		return core.Result{Status: policy.Moot}
	}
	head := c.Head(time.Until(deadline))
	whole := int64(len(head) + len(c.Body))
	out := net.Buffers{head, c.Body}
	if n, err := out.WriteTo(cn.Conn); err != nil {
		if n < whole {
			// The last byte never left, and the connection is closed: it cannot run.
			return core.Result{Status: policy.ConnectFailed}
		}
		return core.Result{Status: broken(err)}
	}
	held := int64(0)
	resp, body, err := readAnswer(cn.BR, func(n int64) error {
		if n <= freeBody {
			return nil
		}
		within, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		err := u.Budget.Acquire(within, n)
		if err == nil {
			held += n
		}
		return err
	})
	if err != nil {
		u.Budget.Release(held)
		u.Pool.Ended(cn, !errors.Is(err, errSpoilt) && broken(err) == policy.Reset)
		return core.Result{Status: broken(err)}
	}
	u.Pool.Ended(cn, false)
	reusable = !resp.Close
	status := outcome(resp)
	return core.Result{Status: status, Held: held, Report: parseReport(resp.Header["Server-Load"], u.Reports),
		Reply: &Reply{resp.StatusCode, resp.Header, body}, Blamed: status == policy.Cancelled}
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

// Head is the request's head as it goes to a backend, told how long the agent waits.
// The target is what the client sent: http.Request would write another form of it.
func (c *Call) Head(left time.Duration) []byte {
	h := EndToEnd(c.Header)
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.Method != http.MethodGet {
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
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
