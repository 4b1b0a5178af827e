package emulator

import (
	"time"

	"ringtrack.example/ringtrack/internal/invariant"
)

const (
	// maxClientAttempts is the maximum number of times that a client sends an operation.
	maxClientAttempts = 3
	// minRemaining is the minimum time before the deadline at which a client still retries.
	minRemaining = 20 * Millisecond
	// failureBackoff is the delay of a client's retry after a failure.
	failureBackoff = 10 * Millisecond
	// noRetry is the result of retryWait when the client does not retry.
	noRetry Time = -1
)

// operation is a client operation, or a nested call of a server, with all its attempts.
type operation struct {
	invariant.Operation
	world          *World
	agent          *agent
	class          int
	tenant         int
	effect         invariant.Effect
	key            uint64 // 0: none
	startedAt      Time
	deadline       Time
	clientAttempts int
	serverAttempts int
	executed       bool // at least once
	completed      bool // executed at least once without a failed nested call
	immediateRetry bool // the client retries at once and ignores Retry-After
	measured       bool // started after the warm-up

	entry  *operation   // the client operation that caused this one; itself for a client operation
	hop    int          // depth in the call tree: 1 for a client operation
	caller *nestedCalls // waits for the answer; nil for a client operation
}

// fire sends the operation again after the retry delay.
func (o *operation) fire(uint8) { o.send() }

func (o *operation) send() {
	w := o.world
	o.clientAttempts++
	if o.Name == "" {
		o.Name = "op"
	}
	remaining := o.deadline - w.now
	w.checker.AttemptStarted(&o.Operation, w.time().Add(time.Duration(remaining)))
	if o.measured {
		w.totals.ClientAttempts++
	}
	o.agent.submit(o, remaining)
}

// answered handles the answer to a client's attempt, and schedules a retry if one is allowed.
func (o *operation) answered(outcome invariant.Outcome, retryAfterMs float64) {
	w := o.world
	w.checker.Answered(&o.Operation, outcome, w.time())
	wait := o.retryWait(outcome, retryAfterMs)
	attemptsLeft := o.clientAttempts < w.graph.maxAttempts(o)
	if wait >= 0 && attemptsLeft && w.now+wait+minRemaining < o.deadline {
		w.after(wait, o, 0)
		return
	}
	w.graph.operationEnded(o, outcome)
	if o.measured {
		w.recordOperation(o, outcome)
	}
}

// retryWait is the delay before a client's next attempt, or noRetry.
func (o *operation) retryWait(outcome invariant.Outcome, retryAfterMs float64) Time {
	switch {
	case outcome == invariant.Served:
		return noRetry
	case outcome == invariant.Failed && o.effect == invariant.NonIdempotent:
		return noRetry
	case o.immediateRetry:
		return 0
	case outcome == invariant.Failed:
		return failureBackoff
	}
	return fromMs(retryAfterMs/2 + o.world.clientRng.Float64()*retryAfterMs/2)
}
