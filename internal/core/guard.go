package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// policyMargin is taken off the time that the balancer is given for a request, for the way of the answer to the
	// client.
	policyMargin = 8 * time.Millisecond
	// deadlineTimerMargin is how long before the client's deadline the event loop answers by itself, after the balancer
	// should have.
	deadlineTimerMargin = 4 * time.Millisecond
	// dedupWindowMargin is taken off the time in which servers drop repeats of a request, for the way to the server.
	// The balancer stops earlier, by two of its batch intervals.
	dedupWindowMargin = 5 * time.Millisecond
)

// RequestTimeouts returns, of the time that a request has left, what the balancer is given and after how long the
// deadline timer answers. Of a short time each margin is a fraction.
func RequestTimeouts(left time.Duration) (balancer, deadlineTimer time.Duration) {
	return left - min(policyMargin, left/8), left - min(deadlineTimerMargin, left/16)
}

// Guard checks an attempt against the contract, whatever the balancer decides. The event loop and the emulator use the
// same checks. The contract has four rules:
//
//  1. A request gets exactly one answer, in time: no attempt for a completed request, without time left, or beyond
//     MaxAttempts; see also MaxForwardActions and RequestTimeouts.
//  2. A request takes effect at most once: no second attempt in flight, and no retry of one that may have run unless
//     the request is idempotent, or has an idempotency key, whose window and scope then hold; see also MayReject.
//  3. A draining, removed or cordoned backend gets no new attempt.
//  4. A backend in slow start is not overloaded. The balancer enforces this one; the guard does not check it.
type Guard struct {
	Completed    bool // the request is completed
	Listed       bool // the backend is listed, with an address
	Unavailable  bool // the backend is draining, removed or cordoned
	HasTime      bool // the request has time left
	InFlight     int  // attempts of the request in flight
	MayHaveRun   int  // attempts in flight, or that may have run
	Attempts     int  // attempts so far, with this one
	MaxAttempts  int
	Effect       policy.Effect
	BodyConsumed bool // a part of a streamed body was sent and is not buffered
	// WindowExpired and OutsideScope are of a request with an idempotency key that may have run: the dedup window is
	// over; the backend is in another dedup scope than the one that the first such attempt was sent to.
	WindowExpired bool
	OutsideScope  bool

	LeaseExpired bool // the lease on the shared configuration by which the attempt was decided has expired
}

// Violation names the check by which the guard does not allow an attempt.
type Violation string

// The violations. Operators match these texts in the log.
const (
	NoViolation               Violation = "" // the attempt is allowed
	ViolationCompleted        Violation = "attempt for a request that is over"
	ViolationNotListed        Violation = "attempt to a backend that is not listed"
	ViolationUnavailable      Violation = "attempt to a backend that drains or is gone"
	ViolationInFlight         Violation = "second attempt while one is out"
	ViolationMaxAttempts      Violation = "more attempts than allowed"
	ViolationLeaseExpired     Violation = "attempt by rules whose lease is over"
	ViolationNonIdempotent    Violation = "repeat of an unsafe request that may have run"
	ViolationWindowExpired    Violation = "repeat of a keyed request after its window"
	ViolationOutsideScope     Violation = "repeat of a keyed request outside its group"
	ViolationBodyConsumed     Violation = "repeat of a request that is not kept"
	ViolationDeadlineExceeded Violation = "attempt without time"

	// ViolationRejectAfterRun and ViolationHealthCheck are of decisions other than attempts.
	ViolationRejectAfterRun Violation = "rejection after an attempt that may have run"
	ViolationHealthCheck    Violation = "health check of a backend that must not be checked"
)

// Violation returns the first check that the attempt fails, or NoViolation.
func (g *Guard) Violation() Violation {
	mayHaveRun := g.MayHaveRun > 0
	mayHaveRunByKey := mayHaveRun && g.Effect == policy.IdempotentByKey
	switch {
	case g.Completed:
		return ViolationCompleted
	case !g.Listed:
		return ViolationNotListed
	case g.Unavailable:
		return ViolationUnavailable
	case g.InFlight > 0:
		return ViolationInFlight
	case g.Attempts > g.MaxAttempts:
		return ViolationMaxAttempts
	case g.LeaseExpired:
		return ViolationLeaseExpired
	case mayHaveRun && g.Effect == policy.NonIdempotent:
		return ViolationNonIdempotent
	case mayHaveRunByKey && g.WindowExpired:
		return ViolationWindowExpired
	case mayHaveRunByKey && g.OutsideScope:
		return ViolationOutsideScope
	case g.BodyConsumed:
		return ViolationBodyConsumed
	case !g.HasTime:
		return ViolationDeadlineExceeded
	}
	return NoViolation
}

// RetryWindow returns for how long, from the send of its first attempt that may have run, a request with an
// idempotency key may be retried. An attempt that has to connect checks it again before its first byte.
func RetryWindow(c *policy.Class) time.Duration {
	window := time.Duration(c.IdempotencyWindowMs * float64(time.Millisecond))
	return window - min(dedupWindowMargin, window/8)
}

// InDedupScope reports whether endpoint to drops repeats of what endpoint first may have run.
func InDedupScope(scope policy.DedupScope, first, to *policy.Endpoint) bool {
	switch scope {
	case policy.ScopeAll:
		return true
	case policy.ScopeZone:
		return first.Zone == to.Zone
	case policy.ScopeCell:
		return first.Cell == to.Cell
	}
	return false
}

// MaxForwardActions is how many attempts the balancer may request for one request, with those that the guard does not
// allow. Beyond it the request fails, as a balancer that repeats such an attempt would never end.
func MaxForwardActions(maxAttempts int) int { return 4*maxAttempts + 4 }

// MayReject reports whether a request may be answered that a retry is harmless, after a number of attempts that may
// have run.
func MayReject(c *policy.Class, mayHaveRun int) bool {
	if mayHaveRun == 0 {
		return true
	}
	switch c.Effect {
	case policy.NonIdempotent:
		return false
	case policy.IdempotentByKey:
		return c.DedupScope == policy.ScopeAll
	}
	return true
}
