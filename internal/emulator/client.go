package emulator

import (
	"time"

	"ringtrack.example/ringtrack/internal/invariant"
)

const (
	// maxClientAttempts is how often a client sends an operation.
	maxClientAttempts = 3
	// minRemaining is the time that has to be left for a retry.
	minRemaining = 20 * Millisecond
	// failureBackoff is how long a client waits after a failure.
	failureBackoff = 10 * Millisecond
	// noRetry is the wait of a client that does not retry.
	noRetry Time = -1
)

// operation is what a client wants done, over all its attempts.
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
	completed      bool // it was executed, and no nested call that it needed failed
	immediateRetry bool // the client retries at once and ignores Retry-After
	measured       bool // it began after the warm-up

	entry  *operation   // of a graph: the client's operation that caused this one
	hop    int          // of a graph: 1 for the client's operation
	caller *nestedCalls // of a graph: what waits for the answer; nil for a client
}

// fire sends the operation again after a wait.
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

// answered takes the answer to a client's attempt, and retries where that is allowed.
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

// retryWait is how long a client waits before its next attempt, or noRetry.
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
