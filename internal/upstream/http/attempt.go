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

// unreservedBytes is what an answer's body may take of memory without asking for it.
const unreservedBytes = 4 << 10

// Call is what the front hands on with a core.Call.
type Call struct {
	Method string
	Target string // as it came, byte for byte
	Host   string
	Header http.Header
	Body   []byte
	// Remaining is what comes of the body behind Body, and is sent as it comes; nil: nothing. It is read once, and
	// its errors are the client's. Length is that of all of the body, -1: unknown.
	Remaining io.Reader
	Length    int64
}

// Stream is a backend's answer whose body goes on behind Reply.Body.
type Stream struct {
	Reply
	Length int64 // of all of the body, -1: unknown
	stream *conns.Stream
}

// Read reads on behind Reply.Body; io.EOF says that the answer has come whole.
func (s *Stream) Read(p []byte) (int, error) { return s.stream.Read(p) }

// Close ends with the answer, and tells whether io.EOF was read.
func (s *Stream) Close(whole bool) { s.stream.Close(whole) }

// Cancel has Read end at once: nobody waits for the rest any more.
func (s *Stream) Cancel() { s.stream.Cancel() }

// Reply is a backend's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Upstream makes attempts.
type Upstream struct {
	Pool         *conns.Pool
	Budget       *semaphore.Weighted // memory for bodies over freeBody
	ReportFields []string            // names of the values of a load report, in the module's order; none: reports are not read
}

// CloseIdle closes the idle connections to a backend.
func (u *Upstream) CloseIdle(b *core.Backend) { u.Pool.CloseIdle(b) }

// CloseExpired closes connections that have idled too long.
func (u *Upstream) CloseExpired() { u.Pool.CloseExpired() }

// Do makes one attempt.
func (u *Upstream) Do(ctx context.Context, b *core.Backend, addr string, cc *core.Call, sent, deadline time.Time) core.Result {
	c := cc.Payload.(*Call)
	x := &conns.Exchange{Key: conns.Key{Backend: b}, Addr: addr, Sent: sent, Deadline: deadline, StartBefore: cc.RetryBefore, Superseded: &cc.Superseded, Disconnected: cc.Disconnected, Budget: u.Budget}
	x.EncodeRequest = func() net.Buffers { return net.Buffers{c.Head(time.Until(deadline)), c.Body} }
	if c.Remaining != nil {
		x.EncodeRequest = func() net.Buffers {
			first := c.Body
			if c.Length < 0 {
				first = appendChunk(nil, c.Body)
			}
			return net.Buffers{c.Head(cc.TimeAfterBody), first}
		}
		x.WriteBody = func(w io.Writer) (time.Time, error) {
			if err := c.writeRemaining(w); err != nil {
				return time.Time{}, err
			}
			return cc.BodyWritten(time.Now()), nil
		}
	}
	x.ReadResponse = func(cn *conns.Conn, reserve func(int64) error) (core.Result, bool, error) {
		resp, body, err := readResponse(cn.Reader, func(n int64) error {
			if n <= unreservedBytes {
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
		status := statusOf(resp)
		res := core.Result{Status: status, Report: parseReport(resp.Header["Server-Load"], u.ReportFields), BadRequest: status == policy.Cancelled}
		reply := Reply{resp.StatusCode, resp.Header, body.bytes}
		if body.readMore == nil {
			res.Reply = &reply
			return res, !resp.Close, nil
		}
		res.Reply = &Stream{reply, body.size, u.Pool.NewStream(cn, body.readMore, !resp.Close)}
		return res, false, nil
	}
	return u.Pool.Do(ctx, x)
}

// streamBufferBytes is what is read at once of a body that is passed on, in bytes.
const streamBufferBytes = 16 << 10

// writeRemaining sends the rest of the body as it comes.
func (c *Call) writeRemaining(w io.Writer) error {
	buf, left := make([]byte, streamBufferBytes), c.Length-int64(len(c.Body))
	for {
		n, err := c.Remaining.Read(buf)
		if left -= int64(n); n > 0 {
			piece := buf[:n]
			if c.Length < 0 {
				piece = appendChunk(nil, piece)
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
			return fmt.Errorf("%w: %w", conns.ErrIncompleteRequest, err)
		}
	}
}

// appendChunk appends a piece of a body as a chunk; of nothing there is none, as that would end the body.
func appendChunk(to, piece []byte) []byte {
	if len(piece) == 0 {
		return to
	}
	to = strconv.AppendInt(to, int64(len(piece)), 16)
	to = append(to, "\r\n"...)
	to = append(to, piece...)
	return append(to, "\r\n"...)
}

// healthCheckHead is how each probe begins.
const healthCheckHead = " HTTP/1.1\r\nHost: backend.local\r\n\r\n"

// Probe asks a backend how it is, beside its requests: for its load report where there are any, else whether
// it is healthy (protocol page, "Agents to backends"). A 503 says that it runs and takes nothing now; one
// that knows no probes has said nothing.
func (u *Upstream) Probe(ctx context.Context, b *core.Backend, addr string, sent, deadline time.Time) core.Result {
	path := "/-/healthy"
	if len(u.ReportFields) > 0 {
		path = "/-/load"
	}
	return u.Pool.Do(ctx, &conns.Exchange{Key: conns.Key{Backend: b}, Addr: addr, Sent: sent, Deadline: deadline, Budget: u.Budget, HealthCheck: true,
		EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("GET " + path + healthCheckHead)} },
		ReadResponse: func(cn *conns.Conn, _ func(int64) error) (core.Result, bool, error) {
			whole := int64(0) // a chunked body asks as it grows
			resp, body, err := readResponse(cn.Reader, func(n int64) error {
				if whole += n; whole > unreservedBytes {
					return conns.MalformedResponse("probe answered with over %d bytes", unreservedBytes)
				}
				return nil
			}, nil)
			if err == nil && body.readMore != nil {
				err = conns.MalformedResponse("probe answered with %d bytes", body.size)
			}
			if err != nil {
				return core.Result{}, false, err
			}
			res := core.Result{Status: policy.Error, Report: parseReport([]string{string(body.bytes)}, u.ReportFields)}
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

// statusOf maps a whole answer. Only the backend's own word proves that a request
// did not run: a bare 503 or 504 may come from half-way through. A 4xx is about the
// request, and tells nothing of the backend.
func statusOf(resp *http.Response) policy.Status {
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
	case c.Remaining != nil && c.Length < 0:
		h.Set("Transfer-Encoding", "chunked")
	case c.Remaining != nil:
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
