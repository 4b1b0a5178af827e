// Package http makes attempts over HTTP/1.1 (RFC 9110, RFC 9112). It is the upstream for calls that were
// received by the HTTP downstream. An attempt writes one request and reads one response. Parsing is strict:
// an attempt whose response has ambiguous framing counts as one that may have run, and its connection is
// closed. The package makes no decisions and sends nothing twice.
package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

const (
	// unreservedBytes is the memory that the body of a response may use without a reservation.
	unreservedBytes = 4 << 10

	notStartedHeader = "Not-Started" // "1": the backend states that the request did not run
	loadHeader       = "Server-Load" // the load report
)

// Upstream makes attempts over HTTP. Its methods are safe for concurrent use.
type Upstream struct {
	Pool         *conns.Pool
	Budget       *semaphore.Weighted // memory for response bodies over unreservedBytes
	ReportFields []string            // of load reports, in the order of package policy; empty: ignored
	// WholeReplies makes responses of up to maxWholeReply be read completely before they are forwarded. A process that
	// ends could not finish a stream, and a client that has got a part of an answer can't get another one.
	WholeReplies atomic.Bool
}

// Reply is a complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stream is a response whose body continues after Reply.Body.
type Stream struct {
	Reply
	Length int64 // of the complete body, -1 if unknown
	stream *conns.Stream
}

// Read reads the body after Reply.Body. It returns io.EOF once the body is complete.
func (s *Stream) Read(p []byte) (int, error) { return s.stream.Read(p) }

// Close ends the response. complete says that Read returned io.EOF.
func (s *Stream) Close(complete bool) { s.stream.Close(complete) }

// Cancel makes the current Read and all later ones fail. It may be called from any goroutine.
func (s *Stream) Cancel() { s.stream.Cancel() }

// CloseIdle closes the idle connections to a backend.
func (u *Upstream) CloseIdle(b *core.Backend) { u.Pool.CloseIdle(b) }

// CloseExpired closes connections that have been idle for too long.
func (u *Upstream) CloseExpired() { u.Pool.CloseExpired() }

// Do makes one attempt. The payload of the call must be a *Call.
func (u *Upstream) Do(
	ctx context.Context, b *core.Backend, addr string, cc *core.Call, sent, deadline time.Time,
) core.Result {
	c := cc.Payload.(*Call)
	x := &conns.Exchange{
		ID:            cc.ID,
		Key:           conns.Key{Backend: b},
		Addr:          addr,
		Sent:          sent,
		Deadline:      deadline,
		StartBefore:   cc.RetryBefore,
		Superseded:    &cc.Superseded,
		Incarnation:   cc.Incarnation,
		Disconnected:  cc.Disconnected,
		Budget:        u.Budget,
		EncodeRequest: func() net.Buffers { return net.Buffers{c.Head(time.Until(deadline)), c.Body} },
	}
	if c.Remaining != nil {
		x.EncodeRequest = func() net.Buffers { return net.Buffers{c.Head(cc.BodyTimeLeft()), c.encodedBody()} }
		x.WriteBody = func(w io.Writer) (time.Time, error) {
			if err := c.writeRemaining(w); err != nil {
				return time.Time{}, err
			}
			return cc.BodyWritten(time.Now()), nil
		}
	}
	x.ReadResponse = func(cn *conns.Conn, reserve func(int64) error) (core.Result, bool, error) {
		return u.readResult(cn, x, reserve)
	}
	return u.Pool.Do(ctx, x)
}

// readResult reads the response of an attempt and returns its result.
func (u *Upstream) readResult(cn *conns.Conn, x *conns.Exchange, reserve func(int64) error) (core.Result, bool, error) {
	reserveLarge := func(n int64) error {
		if n <= unreservedBytes {
			return nil
		}
		return reserve(n)
	}
	setReadDeadline := func(t time.Time) {
		if t.IsZero() || t.After(x.Deadline) {
			t = x.Deadline
		}
		cn.SetReadDeadline(t)
	}
	resp, body, err := readResponse(cn.Reader, reserveLarge, setReadDeadline)
	if err != nil {
		return core.Result{}, false, err
	}
	if u.WholeReplies.Load() {
		if err := body.readRest(reserve); err != nil {
			return core.Result{}, false, err
		}
	}
	status := statusOf(resp)
	result := core.Result{
		Status:     status,
		Report:     parseReport(resp.Header[loadHeader], u.ReportFields),
		BadRequest: status == policy.Cancelled,
	}
	reply := Reply{resp.StatusCode, resp.Header, body.bytes}
	if body.readMore == nil {
		result.Reply = &reply
		return result, !resp.Close, nil
	}
	result.Reply = &Stream{reply, body.size, u.Pool.NewStream(cn, body.readMore, !resp.Close)}
	return result, false, nil
}

// statusOf returns the outcome of an attempt with a complete response. Only the backend itself can state that
// a request did not run: a 503 or 504 without Not-Started may come from an intermediary while the request
// runs. 4xx statuses other than 408 and 429 concern the request and say nothing about the backend.
func statusOf(resp *http.Response) policy.Status {
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		return policy.OK
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get(notStartedHeader) == "1":
		return policy.Rejected
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return policy.Cancelled
	}
	return policy.Error
}
