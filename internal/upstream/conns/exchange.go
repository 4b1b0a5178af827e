package conns

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

// ErrSpoilt marks an answer that can't be read, or is another request's: the request may have run, and its
// connection is of no further use.
var ErrSpoilt = errors.New("spoilt answer")

// Spoilt says what is wrong with an answer.
func Spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrSpoilt, fmt.Sprintf(format, args...))
}

// Exchange is one attempt: a request that is written once and its answer, in whatever protocol.
type Exchange struct {
	Key      Key
	Addr     string
	Sent     time.Time // when the attempt began
	Deadline time.Time
	Budget   *semaphore.Weighted // memory for the answer
	Probe    bool                // it is no attempt, and not counted as one
	// Request makes the bytes, once the connection is up.
	Request func() net.Buffers
	// Answer reads the answer and tells whether the connection may carry another request. It asks reserve
	// for memory. nil: nothing will ever come.
	Answer func(cn *Conn, reserve func(n int64) error) (res core.Result, reusable bool, err error)
}

// Do makes the attempt and returns how it ended, exactly once. It never sends anything twice. Cancelling ctx
// withdraws the attempt and closes its connection. Here, and nowhere else, it is settled whether an attempt
// may have run: it may once its last byte was written, or nobody can say that it was not.
func (p *Pool) Do(ctx context.Context, x *Exchange) core.Result {
	r := p.do(ctx, x)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands, and what was never
	// written never ran.
	if ctx.Err() != nil && r.Reply == nil && r.Status != policy.Moot {
		r.Status = policy.Cancelled
	}
	r.LatencyMs = float64(time.Since(x.Sent).Microseconds()) / 1000
	return r
}

func (p *Pool) do(ctx context.Context, x *Exchange) core.Result {
	connectBy := time.Now().Add(p.connectTimeout)
	by := connectBy
	if x.Deadline.Before(by) {
		by = x.Deadline
	}
	cn, err := p.Get(ctx, x.Key, x.Addr, by)
	if err != nil {
		// Refused or never came up: not a byte was sent. Only what the backend had the
		// time for, or did, is its fault.
		if Ours(err) || x.Deadline.Before(connectBy) && !errors.Is(err, syscall.ECONNREFUSED) {
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
			p.Put(cn)
		} else {
			p.Close(cn)
		}
	}()
	cn.SetDeadline(x.Deadline)
	// The connect may have taken long: the drain grace runs from the telling, so
	// nothing is begun on a backend that was told to drain meanwhile.
	if ctx.Err() != nil || x.Key.Backend.Closed() {
		reusable = true
		return core.Result{Status: policy.Moot}
	}
	out := x.Request()
	whole := int64(0)
	for _, b := range out {
		whole += int64(len(b))
	}
	if n, err := out.WriteTo(cn.Conn); err != nil {
		if n < whole {
			// The last byte never left, and the connection is closed: it cannot run.
			return core.Result{Status: policy.ConnectFailed}
		}
		return core.Result{Status: broken(err)}
	}
	if p.Written != nil && !x.Probe {
		p.Written.Add(1)
	}
	if x.Answer == nil {
		// It may have run, and nobody can know more.
		reusable = true
		return core.Result{Status: policy.Cancelled, Unanswered: true}
	}
	held := int64(0)
	res, again, err := x.Answer(cn, func(n int64) error {
		within, cancel := context.WithDeadline(ctx, x.Deadline)
		defer cancel()
		err := x.Budget.Acquire(within, n)
		if err == nil {
			held += n
		}
		return err
	})
	if err != nil {
		x.Budget.Release(held)
		p.Ended(cn, broken(err) == policy.Reset)
		return core.Result{Status: broken(err)}
	}
	p.Ended(cn, false)
	reusable, res.Held = again, held // more behind the answer is looked for by Put
	return res
}

// broken maps what ended an attempt whose last byte was written: it may have run.
func broken(err error) policy.Status {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrSpoilt):
		return policy.Error
	case errors.As(err, &timeout) && timeout.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}
