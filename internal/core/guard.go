package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// policyMargin is subtracted from the time that the balancer gets for a request, to leave time for
	// sending the answer to the client.
	policyMargin = 8 * time.Millisecond
	// deadlineTimerMargin is how long before the client's deadline the event loop answers a request itself,
	// if the balancer has not completed it by then.
	deadlineTimerMargin = 4 * time.Millisecond
	// dedupWindowMargin is subtracted from the time in which servers deduplicate a request, to leave time
	// for sending it to the server. The balancer stops retrying two of its batch intervals earlier.
	dedupWindowMargin = 5 * time.Millisecond
)

// RequestTimeouts divides the time left for a request: it returns the time that the balancer gets, and the
// time after which the deadline timer answers. If little time is left, each margin is a fraction of it.
func RequestTimeouts(left time.Duration) (balancer, deadlineTimer time.Duration) {
	return left - min(policyMargin, left/8), left - min(deadlineTimerMargin, left/16)
}

// Guard checks an attempt against the contract, independently of the balancer. The event loop and the
// emulator use the same checks. The contract has four rules:
//
//  1. A request gets exactly one answer, before its deadline: no attempt for a completed request, without
//     time left, or beyond MaxAttempts; see also MaxForwardActions and RequestTimeouts.
//  2. A request takes effect at most once: no second attempt in flight, and no retry after an attempt that
//     may have run, unless the request is idempotent, or has an idempotency key and the retry stays within
//     its dedup window and scope; see also MayReject.
//  3. A draining, removed or cordoned backend gets no new attempt.
//  4. A backend in slow start is not overloaded. The balancer enforces this one; the guard does not check it.
type Guard struct {
	Completed    bool // the request is completed
	Listed       bool // the backend is listed, with an address
	Unavailable  bool // the backend is draining, removed or cordoned
	HasTime      bool // time is left before the deadline
	InFlight     int  // attempts of the request in flight
	MayHaveRun   int  // attempts in flight, or that may have run
	Attempts     int  // attempts so far, with this one
	MaxAttempts  int
	Effect       policy.Effect
	BodyConsumed bool // part of a streamed body was sent and is no longer buffered
	// WindowExpired and OutsideScope concern a request with an idempotency key that may have run: the dedup
	// window has expired; the backend is outside the dedup scope of the backend that got the first such
	// attempt.
	WindowExpired bool
	OutsideScope  bool

	LeaseExpired bool // the lease on the shared configuration that permitted the attempt has expired
}

// Violation identifies the check that an attempt failed.
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

	// ViolationRejectAfterRun and ViolationHealthCheck concern decisions other than attempts.
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

// RetryWindow returns how long a request with an idempotency key may be retried, counted from sending its
// first attempt that may have run. An attempt that has to connect first checks it again before writing its
// first byte.
func RetryWindow(c *policy.Class) time.Duration {
	window := time.Duration(c.IdempotencyWindowMs * float64(time.Millisecond))
	return window - min(dedupWindowMargin, window/8)
}

// InDedupScope reports whether endpoint to deduplicates requests that endpoint first may have run.
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

// MaxForwardActions returns how many attempts the balancer may order for one request, including those that
// the guard blocks. Beyond it the request fails: a balancer that repeats a blocked attempt would loop
// forever.
func MaxForwardActions(maxAttempts int) int { return 4*maxAttempts + 4 }

// MayReject reports whether a request may be answered as rejected, which tells the client that a retry is
// harmless, after the given number of attempts that may have run.
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
