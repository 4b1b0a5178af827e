package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// moduleMargin is taken off the time that the module is told a request has: what
	// its last attempt's end takes to become an answer at the client.
	moduleMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers,
	// well after the module should have.
	backstopMargin = 4 * time.Millisecond
)

// Times are what becomes of the time that a request has: what the module is told of it, and after how long
// the backstop answers. Of a very short time each margin is a part.
func Times(left time.Duration) (module, backstop time.Duration) {
	return left - min(moduleMargin, left/8), left - min(backstopMargin, left/16)
}

// Guard is what the contract asks of an attempt that the module wants, whatever the module says. The loop
// and the emulator use the same.
type Guard struct {
	Answered bool // the request is over
	Listed   bool // the backend is known, with an address
	Closed   bool // it drains or is gone
	Timely   bool // there is time left
	Out      int  // attempts of the request that are out
	MayRun   int  // those that are out or may have run
	Made     int  // attempts so far, with this one
	Most     int
	Effect   policy.Effect
	Spent    bool // a part of it has gone, and is not kept
	// Of a keyed request that may have run:
	Expired bool // the time in which repeats are dropped is over
	Foreign bool // the backend is of another group than the one that may have run it, as that was at its send

	Lapsed bool // the agent's lease on the rules, by which it was decided, is over
}

// windowMargin is taken off the time in which repeats of a keyed request are dropped: what the way from the last
// look to the backend's may take. The module stops earlier, by two of its rounds.
const windowMargin = 5 * time.Millisecond

// RepeatFor is for how long, from the send of its first attempt that may have run, a keyed request may be sent again.
// An attempt that has to connect first is asked again before its first byte.
func RepeatFor(c *policy.Class) time.Duration {
	ttl := time.Duration(c.KeyTTLMs * float64(time.Millisecond))
	return ttl - min(windowMargin, ttl/8)
}

// InGroup tells whether a backend, as it is listed, drops repeats of what another, as it was listed, may have run.
func InGroup(g policy.Group, of, in *policy.Entry) bool {
	return g == policy.GroupAll || g == policy.GroupZone && of.Zone == in.Zone || g == policy.GroupCell && of.Cell == in.Cell
}

// Forbids says why the attempt is not to be made; "" allows it.
func (g *Guard) Forbids() string {
	switch {
	case g.Answered:
		return "attempt for a request that is over"
	case !g.Listed:
		return "attempt to a backend that is not listed"
	case g.Closed:
		return "attempt to a backend that drains or is gone"
	case g.Out > 0:
		return "second attempt while one is out"
	case g.Made > g.Most:
		return "more attempts than allowed"
	case g.Lapsed:
		return "attempt by rules whose lease is over"
	case g.MayRun > 0 && g.Effect == policy.SingleShot:
		return "repeat of an unsafe request that may have run"
	case g.MayRun > 0 && g.Effect == policy.Guarded && g.Expired:
		return "repeat of a keyed request after its window"
	case g.MayRun > 0 && g.Effect == policy.Guarded && g.Foreign:
		return "repeat of a keyed request outside its group"
	case g.Spent:
		return "repeat of a request that is not kept"
	case !g.Timely:
		return "attempt without time"
	}
	return ""
}

// MostSends is how many attempts a module may want for one request, forbidden ones with them, before the
// request has failed: one that answers each forbidden attempt with another would never end.
func MostSends(most int) int { return 4*most + 4 }

// MayRefuse tells whether a request may be answered that a retry is harmless, after so many attempts that
// may have run.
func MayRefuse(c *policy.Class, mayRun int) bool {
	return mayRun == 0 || c.Effect != policy.SingleShot && (c.Effect != policy.Guarded || c.Group == policy.GroupAll)
}
