package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

const (
	// bodyWriteTimeout bounds how long a write of a request's body may block because the backend does not
	// read.
	bodyWriteTimeout = 5 * time.Second
	// earlyResponseTimeout bounds the wait for a response after writing the body failed.
	earlyResponseTimeout = 50 * time.Millisecond
)

var (
	// ErrMalformedResponse is wrapped by the errors of a response that can't be parsed or belongs to another
	// request. The attempt may have run; its connection is closed.
	ErrMalformedResponse = errors.New("malformed response")
	// ErrIncompleteRequest is wrapped by the error of a request body that did not arrive completely from the
	// client.
	ErrIncompleteRequest = errors.New("incomplete request body")
)

// MalformedResponse returns an error that wraps ErrMalformedResponse and has a reason.
func MalformedResponse(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformedResponse, fmt.Sprintf(format, args...))
}

// Exchange is one attempt in any protocol: a request, which is written at most once, and its response.
type Exchange struct {
	ID       string // of the request, for the log
	Key      Key
	Addr     string
	Sent     time.Time // start of the attempt
	Deadline time.Time
	// StartBefore, if not zero, is the time after which the attempt must not start.
	StartBefore time.Time
	// Superseded, if not nil and true, says that the attempt must not start any more.
	Superseded *atomic.Bool
	// Incarnation, if it is not that of the backend any longer, says that the attempt must not start: it was decided for
	// an earlier process.
	Incarnation uint64
	// Disconnected, if not nil, says whether the client has disconnected. It is the last check, immediately
	// before the first byte is written.
	Disconnected func() bool
	Budget       *semaphore.Weighted // memory for the response, in bytes
	HealthCheck  bool                // not counted as an attempt
	// MatchedByID says that ReadResponse accepts only a response that names the request. Otherwise the
	// position on the connection is all that matches them.
	MatchedByID bool

	restedFor time.Duration // the part of the time since Sent that its connection rested, or was watched

	// EncodeRequest returns the bytes of the request. It is called once there is a connection.
	EncodeRequest func() net.Buffers
	// ReadResponse reads the response and says whether the connection may carry another request. It calls
	// reserve before it allocates memory for the response. nil: the request has no response.
	ReadResponse func(cn *Conn, reserve func(bytes int64) error) (result core.Result, reusable bool, err error)
	// WriteBody, if not nil, writes the rest of the request after EncodeRequest, as it arrives from the
	// client, and returns the new deadline of the attempt. An ErrIncompleteRequest is not the backend's
	// fault.
	WriteBody func(w io.Writer) (deadline time.Time, err error)
}

// Do makes the attempt and returns its outcome. It never sends anything twice. Cancelling ctx cancels the
// attempt and closes its connection.
//
// This is the only place that decides whether an attempt may have run: it may if its last byte was written,
// or if that is unknown.
func (p *Pool) Do(ctx context.Context, x *Exchange) core.Result {
	result := p.attempt(ctx, x)
	// A cancelled attempt says nothing about its backend, even if the cancellation aborted a connect. A
	// response that arrived before still counts, and an attempt that was not started keeps its status: it
	// never ran.
	if ctx.Err() != nil && result.Reply == nil && result.Status != policy.NotStarted {
		result.Status = policy.Cancelled
	}
	result.LatencyMs = float64((time.Since(x.Sent) - x.restedFor).Microseconds()) / 1000
	return result
}

// attempt gets a connection and performs the exchange on it.
func (p *Pool) attempt(ctx context.Context, x *Exchange) (result core.Result) {
	connectDeadline := time.Now().Add(p.connectTimeout)
	deadline := connectDeadline
	if x.Deadline.Before(deadline) {
		deadline = x.Deadline
	}
	cn, err := p.get(ctx, x.Key, x.Addr, deadline, x.Deadline)
	if err != nil {
		return core.Result{Status: connectStatus(err, x.Deadline.Before(connectDeadline))}
	}
	x.restedFor = cn.restedFor
	reusable := false
	stop := context.AfterFunc(ctx, cn.cancel)
	defer func() { p.release(cn, stop(), reusable) }()
	cn.SetDeadline(x.Deadline)
	log := newAttemptLog(ctx, cn)
	result, reusable = p.exchange(ctx, cn, x)
	if result.Status == policy.Rejected && !x.MatchedByID && (p.hasBytesBehind(cn) || !cn.rested) {
		result.Unconfirmed, reusable = true, false
	}
	if p.isDoubtful(cn, x, &result) {
		result, reusable = p.confirm(ctx, cn, x, result, reusable)
	}
	if result.Status != policy.NotStarted {
		cn.unsettled = !x.MatchedByID && cn.carried == 1
		cn.matchedByID = x.MatchedByID
	}
	log.ended(ctx, x, cn, &result, reusable)
	return result
}

// connectStatus returns the outcome of an attempt that got no connection, so nothing was sent. The backend is
// at fault only if it refused the connection, spoke or closed it before a request, or failed to accept it
// within the full connect timeout (not deadlineFirst).
func connectStatus(err error, deadlineFirst bool) policy.Status {
	if IsLocalError(err) {
		return policy.NotStarted
	}
	for _, backendError := range []error{syscall.ECONNREFUSED, ErrUnsolicited, errClosedBeforeRequest} {
		if errors.Is(err, backendError) {
			return policy.ConnectFailed
		}
	}
	if deadlineFirst {
		return policy.NotStarted
	}
	return policy.ConnectFailed
}

// release ends the use of a connection. usable is false if its cancellation has started: it could take effect
// on the next user of the connection.
func (p *Pool) release(cn *Conn, usable, reusable bool) {
	if stream := cn.stream; stream != nil {
		cn.stream = nil
		if usable {
			return // the stream owns the connection
		}
		stream.conn = nil
	}
	if usable && reusable {
		p.Put(cn)
	} else {
		p.Close(cn)
	}
}

// exchange writes the request and reads the response. reusable says whether the connection may carry another
// request afterwards.
func (p *Pool) exchange(ctx context.Context, cn *Conn, x *Exchange) (result core.Result, reusable bool) {
	if ctx.Err() != nil || !x.mayStart() {
		return core.Result{Status: policy.NotStarted}, true
	}
	request := x.EncodeRequest()
	size := int64(0)
	for _, b := range request {
		size += int64(len(b))
	}
	if x.Disconnected != nil && x.Disconnected() {
		return core.Result{Status: policy.NotStarted, ClientDisconnected: true}, true
	}
	if n, err := request.WriteTo(cn.Conn); err != nil {
		if n < size || x.WriteBody != nil {
			// The last byte was not sent, and the connection is closed: the attempt can't run.
			return core.Result{Status: policy.ConnectFailed}, false
		}
		return core.Result{Status: statusOf(err)}, false
	}
	if x.WriteBody != nil {
		if result, ok := p.writeBody(ctx, cn, x); !ok {
			return result, false
		}
	}
	cn.carried++
	cn.written = time.Now()
	if p.AttemptsWritten != nil && !x.HealthCheck {
		p.AttemptsWritten.Add(1)
	}
	if x.ReadResponse == nil {
		// The attempt may have run; without a response nothing more is known.
		return core.Result{Status: policy.Cancelled, NoReplyExpected: true}, true
	}
	return p.readResponse(ctx, cn, x)
}

// mayStart says whether the attempt may still start. Connecting may have taken long: a backend that started
// to drain meanwhile gets no new request, and the idempotency window of a retry may have passed.
func (x *Exchange) mayStart() bool {
	switch {
	case x.Key.Backend.Unavailable() || !x.HealthCheck && x.Incarnation != x.Key.Backend.Incarnation():
		return false
	case !x.StartBefore.IsZero() && time.Now().After(x.StartBefore):
		return false
	}
	return x.Superseded == nil || !x.Superseded.Load()
}

// readResponse reads the response and accounts for the memory that it reserves.
func (p *Pool) readResponse(ctx context.Context, cn *Conn, x *Exchange) (result core.Result, reusable bool) {
	reserved := int64(0)
	deadline := x.Deadline
	reserve := func(bytes int64) error {
		reserveCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		err := x.Budget.Acquire(reserveCtx, bytes)
		if err == nil {
			reserved += bytes
		}
		return err
	}
	bodyConsumed := x.WriteBody != nil
	if !x.MatchedByID && p.respondsTooSoon(cn) {
		return core.Result{Status: policy.Error, BodyConsumed: bodyConsumed}, false
	}
	result, reusable, err := x.ReadResponse(cn, reserve)
	cn.responseTook = time.Since(cn.written)
	if err != nil {
		x.Budget.Release(reserved)
		p.RecordEnd(cn, statusOf(err) == policy.Reset)
		return core.Result{Status: statusOf(err), BodyConsumed: bodyConsumed}, false
	}
	p.RecordEnd(cn, false)
	result.BodyConsumed = bodyConsumed && result.Status != policy.OK
	result.ReservedBytes = reserved
	return result, reusable
}

// writeBody writes the body as it arrives from the client. If it returns false, the attempt has ended with
// the returned result and never ran: the connection is closed before the last byte. If the backend rejected
// the request meanwhile, the result says so.
func (p *Pool) writeBody(ctx context.Context, cn *Conn, x *Exchange) (core.Result, bool) {
	cn.SetDeadline(time.Time{})
	deadline, err := x.WriteBody(bodyWriter{ctx, cn})
	switch {
	case err == nil:
		// The latency of the attempt is measured from here: it must not include the time the client takes to
		// send.
		x.Sent, x.restedFor = time.Now(), 0
		x.Deadline = deadline
		cn.SetDeadline(deadline)
		if ctx.Err() != nil {
			return core.Result{Status: policy.Reset, BodyConsumed: true}, false
		}
		return core.Result{}, true
	case errors.Is(err, ErrIncompleteRequest) || ctx.Err() != nil:
		incomplete := errors.Is(err, ErrIncompleteRequest)
		return core.Result{Status: policy.NotStarted, BodyConsumed: true, IncompleteRequest: incomplete}, false
	}
	status := policy.ConnectFailed
	cn.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	noMemory := func(int64) error { return ErrMalformedResponse }
	if result, _, err := x.ReadResponse(cn, noMemory); err == nil && result.Status == policy.Rejected {
		status = policy.Rejected
	}
	cn.stream = nil
	return core.Result{Status: status, BodyConsumed: true}, false
}

// bodyWriter sets a new timeout for each write of a body.
type bodyWriter struct {
	ctx context.Context // of the attempt: once it is cancelled, nothing more is written
	cn  *Conn
}

func (w bodyWriter) Write(p []byte) (int, error) {
	w.cn.SetWriteDeadline(time.Now().Add(bodyWriteTimeout))
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	return w.cn.Write(p)
}

// statusOf returns the outcome of an attempt that failed after its last byte was written: it may have run.
func statusOf(err error) policy.Status {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrMalformedResponse):
		return policy.Error
	case errors.As(err, &netErr) && netErr.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}
