package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// policyMargin is taken off the time that the module is told a request has: what
	// its last attempt's end takes to become an answer at the client.
	policyMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers,
	// well after the module should have.
	backstopMargin = 4 * time.Millisecond
)

// RequestTimeouts are what becomes of the time that a request has: what the module is told of it, and after how long
// the backstop answers. Of a very short time each margin is a part.
func RequestTimeouts(left time.Duration) (module, backstop time.Duration) {
	return left - min(policyMargin, left/8), left - min(backstopMargin, left/16)
}

// Guard is what the contract asks of an attempt that the module wants, whatever the module says. The loop
// and the emulator use the same.
type Guard struct {
	Completed    bool // the request is over
	Listed       bool // the backend is known, with an address
	Unavailable  bool // it drains or is gone
	HasTime      bool // there is time left
	InFlight     int  // attempts of the request that are out
	MayHaveRun   int  // those that are out or may have run
	Attempts     int  // attempts so far, with this one
	MaxAttempts  int
	Effect       policy.Effect
	BodyConsumed bool // a part of it has gone, and is not kept
	// Of a keyed request that may have run:
	WindowExpired bool // the time in which repeats are dropped is over
	OutsideScope  bool // the backend is of another group than the one that may have run it, as that was at its send

	LeaseExpired bool // the agent's lease on the rules, by which it was decided, is over
}

// dedupWindowMargin is taken off the time in which repeats of a keyed request are dropped: what the way from the last
// look to the backend's may take. The module stops earlier, by two of its rounds.
const dedupWindowMargin = 5 * time.Millisecond

// RetryWindow is for how long, from the send of its first attempt that may have run, a keyed request may be sent again.
// An attempt that has to connect first is asked again before its first byte.
func RetryWindow(c *policy.Class) time.Duration {
	ttl := time.Duration(c.IdempotencyWindowMs * float64(time.Millisecond))
	return ttl - min(dedupWindowMargin, ttl/8)
}

// InDedupScope tells whether a backend, as it is listed, drops repeats of what another, as it was listed, may have run.
func InDedupScope(g policy.DedupScope, of, in *policy.Endpoint) bool {
	return g == policy.ScopeAll || g == policy.ScopeZone && of.Zone == in.Zone || g == policy.ScopeCell && of.Cell == in.Cell
}

// Violation says why the attempt is not to be made; "" allows it.
func (g *Guard) Violation() string {
	switch {
	case g.Completed:
		return "attempt for a request that is over"
	case !g.Listed:
		return "attempt to a backend that is not listed"
	case g.Unavailable:
		return "attempt to a backend that drains or is gone"
	case g.InFlight > 0:
		return "second attempt while one is out"
	case g.Attempts > g.MaxAttempts:
		return "more attempts than allowed"
	case g.LeaseExpired:
		return "attempt by rules whose lease is over"
	case g.MayHaveRun > 0 && g.Effect == policy.NonIdempotent:
		return "repeat of an unsafe request that may have run"
	case g.MayHaveRun > 0 && g.Effect == policy.IdempotentByKey && g.WindowExpired:
		return "repeat of a keyed request after its window"
	case g.MayHaveRun > 0 && g.Effect == policy.IdempotentByKey && g.OutsideScope:
		return "repeat of a keyed request outside its group"
	case g.BodyConsumed:
		return "repeat of a request that is not kept"
	case !g.HasTime:
		return "attempt without time"
	}
	return ""
}

// MaxForwardActions is how many attempts a module may want for one request, forbidden ones with them, before the
// request has failed: one that answers each forbidden attempt with another would never end.
func MaxForwardActions(most int) int { return 4*most + 4 }

// MayReject tells whether a request may be answered that a retry is harmless, after so many attempts that
// may have run.
func MayReject(c *policy.Class, mayRun int) bool {
	return mayRun == 0 || c.Effect != policy.NonIdempotent && (c.Effect != policy.IdempotentByKey || c.DedupScope == policy.ScopeAll)
}
