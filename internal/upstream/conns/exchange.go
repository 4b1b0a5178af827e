package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

// ErrMalformedResponse marks an answer that can't be read, or is another request's: the request may have run, and its
// connection is of no further use.
var ErrMalformedResponse = errors.New("spoilt answer")

// MalformedResponse says what is wrong with an answer.
func MalformedResponse(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformedResponse, fmt.Sprintf(format, args...))
}

// Exchange is one attempt: a request that is written once and its answer, in whatever protocol.
type Exchange struct {
	Key      Key
	Addr     string
	Sent     time.Time // when the attempt began
	Deadline time.Time
	// StartBefore, where it is not zero, is until when the attempt may be begun.
	StartBefore time.Time
	// Superseded, where it is set and true, says that the attempt is not to be begun any more.
	Superseded *atomic.Bool
	// Disconnected, where it is set, tells whether the client has left: asked last of all, right before the first byte.
	Disconnected func() bool
	Budget       *semaphore.Weighted // memory for the answer
	HealthCheck  bool                // it is no attempt, and not counted as one
	// EncodeRequest makes the bytes, once the connection is up.
	EncodeRequest func() net.Buffers
	// ReadResponse reads the answer and tells whether the connection may carry another request. It asks reserve
	// for memory. nil: nothing will ever come.
	ReadResponse func(cn *Conn, reserve func(n int64) error) (res core.Result, reusable bool, err error)
	// WriteBody, where it is set, writes what comes behind Request, from where it still comes itself, and then says
	// until when the attempt has time. An error that is ErrUnread is not the backend's.
	WriteBody func(w io.Writer) (until time.Time, err error)
}

// ErrIncompleteRequest says that the rest of a request did not come from its client.
var ErrIncompleteRequest = errors.New("the rest of the request did not come")

// Stream is the rest of an answer that is passed on as it comes. It owns the connection until it is closed.
type Stream struct {
	pool     *Pool
	mu       sync.Mutex
	conn     *Conn // nil: closed
	read     func(p []byte) (int, error)
	reusable bool // the connection may carry another request once the answer has ended
}

// streamReadTimeout is how long a backend may give nothing of an answer that it has begun.
const streamReadTimeout = 15 * time.Second

// NewStream hands an answer's connection to the rest of it, which read reads; keep tells whether the connection
// may be used again behind it. It is for Answer, which is to return it in the reply, as Exchange.Rest.
func (p *Pool) NewStream(cn *Conn, read func(p []byte) (int, error), keep bool) *Stream {
	cn.stream = &Stream{pool: p, conn: cn, read: read, reusable: keep}
	return cn.stream
}

// Read reads on; io.EOF says that the answer has come whole.
func (r *Stream) Read(p []byte) (int, error) {
	r.mu.Lock()
	cn := r.conn
	r.mu.Unlock()
	if cn == nil {
		return 0, net.ErrClosed
	}
	cn.SetDeadline(time.Now().Add(streamReadTimeout))
	return r.read(p)
}

// Cancel has a Read end at once, and each later one. It may be called from any goroutine, and at any time.
func (r *Stream) Cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.cancel()
	}
}

// Close ends with the connection: whole says that io.EOF was read.
func (r *Stream) Close(whole bool) {
	r.mu.Lock()
	cn := r.conn
	r.conn = nil
	r.mu.Unlock()
	if cn == nil {
		return
	}
	if whole && r.reusable && !cn.cancelled { // nobody withdraws it any more
		r.pool.Put(cn)
	} else {
		r.pool.Close(cn)
	}
}

// Do makes the attempt and returns how it ended, exactly once. It never sends anything twice. Cancelling ctx
// withdraws the attempt and closes its connection. Here, and nowhere else, it is settled whether an attempt
// may have run: it may once its last byte was written, or nobody can say that it was not.
func (p *Pool) Do(ctx context.Context, x *Exchange) core.Result {
	r := p.attempt(ctx, x)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands, and what was never
	// written never ran.
	if ctx.Err() != nil && r.Reply == nil && r.Status != policy.NotStarted {
		r.Status = policy.Cancelled
	}
	r.LatencyMs = float64(time.Since(x.Sent).Microseconds()) / 1000
	return r
}

func (p *Pool) attempt(ctx context.Context, x *Exchange) core.Result {
	connectBy := time.Now().Add(p.connectTimeout)
	by := connectBy
	if x.Deadline.Before(by) {
		by = x.Deadline
	}
	cn, err := p.Get(ctx, x.Key, x.Addr, by)
	if err != nil {
		// Refused or never came up: not a byte was sent. Only what the backend had the
		// time for, or did, is its fault.
		if IsLocalError(err) || x.Deadline.Before(connectBy) && !errors.Is(err, syscall.ECONNREFUSED) {
			return core.Result{Status: policy.NotStarted}
		}
		return core.Result{Status: policy.ConnectFailed}
	}
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, cn.cancel)
	defer func() {
		// If the withdrawal has begun its deadline would hit the next user.
		still := stop()
		if rest := cn.stream; rest != nil {
			if cn.stream = nil; still {
				return // the rest of the answer has it now
			}
			rest.conn = nil
		}
		if still && reusable {
			p.Put(cn)
		} else {
			p.Close(cn)
		}
	}()
	cn.SetDeadline(x.Deadline)
	// The connect may have taken long: the drain grace runs from the telling, so
	// nothing is begun on a backend that was told to drain meanwhile; and repeats are
	// dropped for a time only.
	if ctx.Err() != nil || x.Key.Backend.Unavailable() || !x.StartBefore.IsZero() && time.Now().After(x.StartBefore) || x.Superseded != nil && x.Superseded.Load() {
		reusable = true
		return core.Result{Status: policy.NotStarted}
	}
	out := x.EncodeRequest()
	whole := int64(0)
	for _, b := range out {
		whole += int64(len(b))
	}
	if x.Disconnected != nil && x.Disconnected() {
		reusable = true
		return core.Result{Status: policy.NotStarted, ClientDisconnected: true}
	}
	if n, err := out.WriteTo(cn.Conn); err != nil {
		if n < whole || x.WriteBody != nil {
			// The last byte never left, and the connection is closed: it cannot run.
			return core.Result{Status: policy.ConnectFailed}
		}
		return core.Result{Status: statusOf(err)}
	}
	spent := x.WriteBody != nil
	if spent {
		if r, ok := p.writeBody(ctx, cn, x); !ok {
			return r
		}
	}
	if p.AttemptsWritten != nil && !x.HealthCheck {
		p.AttemptsWritten.Add(1)
	}
	if x.ReadResponse == nil {
		// It may have run, and nobody can know more.
		reusable = true
		return core.Result{Status: policy.Cancelled, NoReplyExpected: true}
	}
	held := int64(0)
	by = x.Deadline
	res, again, err := x.ReadResponse(cn, func(n int64) error {
		within, cancel := context.WithDeadline(ctx, by)
		defer cancel()
		err := x.Budget.Acquire(within, n)
		if err == nil {
			held += n
		}
		return err
	})
	if err != nil {
		x.Budget.Release(held)
		p.RecordEnd(cn, statusOf(err) == policy.Reset)
		return core.Result{Status: statusOf(err), BodyConsumed: spent}
	}
	p.RecordEnd(cn, false)
	res.BodyConsumed = spent && res.Status != policy.OK
	reusable, res.ReservedBytes = again, held // more behind the answer is looked for by Put
	return res
}

// bodyWriteTimeout is how long a backend may take nothing of a request's body.
const bodyWriteTimeout = 5 * time.Second

// writeBody writes what still comes of a request. Where it does not come whole, or does not get there whole,
// the attempt has ended, and never ran: the connection is closed before its last byte. A backend that has
// turned it away meanwhile is heard.
func (p *Pool) writeBody(ctx context.Context, cn *Conn, x *Exchange) (core.Result, bool) {
	cn.SetDeadline(time.Time{})
	until, err := x.WriteBody(deadlineWriter{ctx, cn})
	switch {
	case err == nil:
		// What the attempt's time begins with is now: latency is what the backend took.
		x.Sent, x.Deadline = time.Now(), until
		if cn.SetDeadline(until); ctx.Err() != nil {
			return core.Result{Status: policy.Reset, BodyConsumed: true}, false
		}
		return core.Result{}, true
	case errors.Is(err, ErrIncompleteRequest) || ctx.Err() != nil:
		return core.Result{Status: policy.NotStarted, BodyConsumed: true, IncompleteRequest: errors.Is(err, ErrIncompleteRequest)}, false
	}
	status := policy.ConnectFailed
	cn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if res, _, err := x.ReadResponse(cn, func(int64) error { return ErrMalformedResponse }); err == nil && res.Status == policy.Rejected {
		status = policy.Rejected
	}
	cn.stream = nil
	return core.Result{Status: status, BodyConsumed: true}, false
}

// deadlineWriter gives each write a time of its own.
type deadlineWriter struct {
	ctx context.Context // the attempt's: once it is withdrawn nothing more is written
	cn  *Conn
}

func (w deadlineWriter) Write(p []byte) (int, error) {
	w.cn.SetWriteDeadline(time.Now().Add(bodyWriteTimeout))
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	return w.cn.Write(p)
}

// statusOf maps what ended an attempt whose last byte was written: it may have run.
func statusOf(err error) policy.Status {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrMalformedResponse):
		return policy.Error
	case errors.As(err, &timeout) && timeout.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}
