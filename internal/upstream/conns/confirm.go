package conns

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

// The first response of a connection that comes soon after the connection was opened may have been sent unasked.
// If it was, the response to the request is still to come. Before such a response counts, the connection is
// watched for another one.
const (
	// earlyResponse is how soon after the opening of its connection a first response is early.
	earlyResponse = 50 * time.Millisecond
	// confirmServed and confirmRejected are how long a connection is watched, at most for the part of the time
	// left that maxConfirmFraction says. The burst at the start of a process must not wait for long.
	confirmServed, confirmRejected = 150 * time.Millisecond, 300 * time.Millisecond
	maxConfirmFraction             = 2
	// enoughConfirmed is the number of early responses after which backends are known to respond so soon.
	enoughConfirmed = 8
)

// confirmations counts the early responses that no other one followed, by status: backends may reject sooner
// than they serve. Its methods are safe for concurrent use.
type confirmations struct {
	mu        sync.Mutex
	confirmed map[policy.Status]int
}

// needed says whether an early response with a status has to be confirmed.
func (c *confirmations) needed(status policy.Status) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed[status] < enoughConfirmed
}

// add counts an early response that was confirmed.
func (c *confirmations) add(status policy.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed == nil {
		c.confirmed = map[policy.Status]int{}
	}
	c.confirmed[status]++
}

// reset forgets what is known after unsolicited bytes.
func (c *confirmations) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.confirmed)
}

// isDoubtful says whether the response to the first request of a connection has to be confirmed. Bytes that came
// in one piece with it were sent behind it, so the response is the one before them.
func (p *Pool) isDoubtful(cn *Conn, x *Exchange, result *core.Result) bool {
	matchedByPosition := !x.MatchedByID && x.ReadResponse != nil && !x.HealthCheck
	answered := result.Status == policy.OK || result.Status == policy.Rejected
	early := cn.carried == 1 && time.Since(cn.opened) < earlyResponse && cn.Reader.Buffered() == 0
	return matchedByPosition && answered && early && cn.stream == nil && p.confirmations.needed(result.Status)
}

// confirm watches a connection after an early response, and returns its result. If another response follows,
// either may be the one to the request, which may have run. reusable is as in exchange.
func (p *Pool) confirm(ctx context.Context, cn *Conn, x *Exchange, result core.Result, reusable bool) (core.Result, bool) {
	begun := time.Now()
	wanted := confirmServed
	if result.Status == policy.Rejected {
		wanted = confirmRejected
	}
	watch := min(wanted, x.Deadline.Sub(begun)/maxConfirmFraction)
	err := cn.awaitBytes(begun.Add(watch))
	x.restedFor += time.Since(begun)
	switch {
	case ctx.Err() != nil:
		return result, false
	case err == nil:
		p.noteUnsolicited(cn, BeforeFirstRequest)
		x.Budget.Release(result.ReservedBytes)
		return core.Result{Status: policy.Error, BodyConsumed: x.WriteBody != nil}, false
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return result, false // nothing more can come
	}
	p.confirmations.add(result.Status)
	if watch < wanted {
		result.Unconfirmed = result.Status == policy.Rejected
		return result, false
	}
	return result, reusable
}

// awaitBytes waits until bytes arrive, and fails with os.ErrDeadlineExceeded if none has arrived by a time.
func (c *Conn) awaitBytes(until time.Time) error {
	if err := c.SetReadDeadline(until); err != nil {
		return err
	}
	_, err := c.Reader.Peek(1)
	return err
}
