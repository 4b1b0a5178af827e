// Package http makes attempts in HTTP/1.1: it is the core's upstream for calls that came by the front of
// that name. It writes one request and reads one answer, strictly; what can't be read for certain may have
// run and closes its connection. It decides nothing, and sends nothing twice.
//
// Source: RFC 9110 and RFC 9112, as the protocol page narrows them.
package http

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	// Rest is what comes of the body behind Body, and is sent as it comes; nil: nothing. It is read once, and
	// its errors are the client's. Length is that of all of the body, -1: unknown.
	Rest   io.Reader
	Length int64
}

// Stream is a backend's answer whose body goes on behind Reply.Body.
type Stream struct {
	Reply
	Length int64 // of all of the body, -1: unknown
	rest   *conns.Rest
}

// Read reads on behind Reply.Body; io.EOF says that the answer has come whole.
func (s *Stream) Read(p []byte) (int, error) { return s.rest.Read(p) }

// Close ends with the answer, and tells whether io.EOF was read.
func (s *Stream) Close(whole bool) { s.rest.Close(whole) }

// Withdraw has Read end at once: nobody waits for the rest any more.
func (s *Stream) Withdraw() { s.rest.Withdraw() }

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

// CloseIdle closes the idle connections to a backend.
func (u *Upstream) CloseIdle(b *core.Backend) { u.Pool.CloseIdle(b) }

// CloseExpired closes connections that have idled too long.
func (u *Upstream) CloseExpired() { u.Pool.CloseExpired() }

// Do makes one attempt.
func (u *Upstream) Do(ctx context.Context, b *core.Backend, addr string, cc *core.Call, sent, deadline time.Time) core.Result {
	c := cc.Payload.(*Call)
	x := &conns.Exchange{Key: conns.Key{Backend: b}, Addr: addr, Sent: sent, Deadline: deadline, RepeatBy: cc.RetryBefore, Outdated: &cc.Superseded, Gone: cc.Disconnected, Budget: u.Budget}
	x.Request = func() net.Buffers { return net.Buffers{c.Head(time.Until(deadline)), c.Body} }
	if c.Rest != nil {
		x.Request = func() net.Buffers {
			first := c.Body
			if c.Length < 0 {
				first = chunk(nil, c.Body)
			}
			return net.Buffers{c.Head(cc.TimeAfterBody), first}
		}
		x.Body = func(w io.Writer) (time.Time, error) {
			if err := c.sendRest(w); err != nil {
				return time.Time{}, err
			}
			return cc.BodyWritten(time.Now()), nil
		}
	}
	x.Answer = func(cn *conns.Conn, reserve func(int64) error) (core.Result, bool, error) {
		resp, body, err := readAnswer(cn.BR, func(n int64) error {
			if n <= freeBody {
				return nil
			}
			return reserve(n)
		}, func(by time.Time) {
			if by.IsZero() || by.After(x.Deadline) {
				by = x.Deadline
			}
			cn.SetReadDeadline(by)
		})
		if err != nil {
			return core.Result{}, false, err
		}
		status := outcome(resp)
		res := core.Result{Status: status, Report: parseReport(resp.Header["Server-Load"], u.Reports), BadRequest: status == policy.Cancelled}
		reply := Reply{resp.StatusCode, resp.Header, body.read}
		if body.more == nil {
			res.Reply = &reply
			return res, !resp.Close, nil
		}
		res.Reply = &Stream{reply, body.size, u.Pool.NewRest(cn, body.more, !resp.Close)}
		return res, false, nil
	}
	return u.Pool.Do(ctx, x)
}

// restBuffer is what is read at once of a body that is passed on, in bytes.
const restBuffer = 16 << 10

// sendRest sends the rest of the body as it comes.
func (c *Call) sendRest(w io.Writer) error {
	buf, left := make([]byte, restBuffer), c.Length-int64(len(c.Body))
	for {
		n, err := c.Rest.Read(buf)
		if left -= int64(n); n > 0 {
			piece := buf[:n]
			if c.Length < 0 {
				piece = chunk(nil, piece)
			}
			if _, err := w.Write(piece); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && c.Length < 0:
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		case c.Length >= 0 && left == 0:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", conns.ErrUnread, err)
		}
	}
}

// chunk appends a piece of a body as a chunk; of nothing there is none, as that would end the body.
func chunk(to, piece []byte) []byte {
	if len(piece) == 0 {
		return to
	}
	to = strconv.AppendInt(to, int64(len(piece)), 16)
	to = append(to, "\r\n"...)
	to = append(to, piece...)
	return append(to, "\r\n"...)
}

// probeHead is how each probe begins.
const probeHead = " HTTP/1.1\r\nHost: backend.local\r\n\r\n"

// Probe asks a backend how it is, beside its requests: for its load report where there are any, else whether
// it is healthy (protocol page, "Agents to backends"). A 503 says that it runs and takes nothing now; one
// that knows no probes has said nothing.
func (u *Upstream) Probe(ctx context.Context, b *core.Backend, addr string, sent, deadline time.Time) core.Result {
	path := "/-/healthy"
	if len(u.Reports) > 0 {
		path = "/-/load"
	}
	return u.Pool.Do(ctx, &conns.Exchange{Key: conns.Key{Backend: b}, Addr: addr, Sent: sent, Deadline: deadline, Budget: u.Budget, Probe: true,
		Request: func() net.Buffers { return net.Buffers{[]byte("GET " + path + probeHead)} },
		Answer: func(cn *conns.Conn, _ func(int64) error) (core.Result, bool, error) {
			whole := int64(0) // a chunked body asks as it grows
			resp, body, err := readAnswer(cn.BR, func(n int64) error {
				if whole += n; whole > freeBody {
					return conns.Spoilt("probe answered with over %d bytes", freeBody)
				}
				return nil
			}, nil)
			if err == nil && body.more != nil {
				err = conns.Spoilt("probe answered with %d bytes", body.size)
			}
			if err != nil {
				return core.Result{}, false, err
			}
			res := core.Result{Status: policy.Error, Report: parseReport([]string{string(body.read)}, u.Reports)}
			switch resp.StatusCode {
			case http.StatusOK:
				res.Status = policy.OK
			case http.StatusServiceUnavailable:
				res.Status = policy.Rejected
			case http.StatusNotFound:
				res.Status = policy.NotStarted
			}
			return res, !resp.Close, nil
		}})
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
		return policy.Rejected
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
	switch {
	case c.Rest != nil && c.Length < 0:
		h.Set("Transfer-Encoding", "chunked")
	case c.Rest != nil:
		h.Set("Content-Length", strconv.FormatInt(c.Length, 10))
	case c.Method != http.MethodGet:
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Target, c.Host)
	_ = h.Write(&out) // a buffer takes all
	out.WriteString("\r\n")
	return out.Bytes()
}
