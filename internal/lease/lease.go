// Package lease decides who may act on which configuration epoch, and until when. The Lessor of the leading replica
// grants leases and says when the next epoch may begin; each agent counts its own Lease.
//
// The package is pure: messages and times are arguments, answers are results; there is no I/O, no clock and no
// goroutine. The replicated versions are in package history.
//
// Invariants, which the model check, the tests and the proofs name by number:
//  1. At any time at most two neighbouring epochs e and e+1 are acted on, over all holders.
//  2. A holder never returns to a lower epoch; nor does a name that restarts with a new incarnation.
//  3. No acknowledged version is lost or changed, none has two numbers, none is published twice (package history).
//  4. A holder acts on an epoch only within a lease, and its lease ends by its own clock before the lessor's count
//     of it ends.
//
// Safety rests on order: epochs advance one by one, each only after every holder has confirmed that it adopted the last
// one, or its lease has expired. Clocks only bound the wait for a holder that is stopped or partitioned: durations are
// measured on one clock, and clocks may differ by any offset and by MaxClockDrift in rate. Leases follow Gray and
// Cheriton (1989); that a new leader waits for the leases of its predecessor follows Chubby (2006).
package lease

const (
	// MaxClockDrift is the largest relative rate error of a clock that the invariants tolerate.
	MaxClockDrift = 0.02
	// MaxHolders bounds the holders that a Lessor tracks; one more is granted no lease.
	MaxHolders = 32_768
)

// Holder identifies a lease holder: its name, and the incarnation that each start of it draws anew.
type Holder struct {
	Name        string
	Incarnation string
}

// Request is what a holder asks for a lease with.
type Request struct {
	Holder
	Epoch   uint64 // that the holder acts on, or acted on last; 0: none
	Problem string // why it can't adopt the last granted epoch; "": it can
}

// Grant is a lease on an epoch. Both durations are counted by the holder's clock from before it sent the request.
type Grant struct {
	Epoch         uint64
	LeaseMs       float64
	ServerRulesMs float64 // beyond LeaseMs, for which the epoch's server rules may still be used, by the strictest settings
}

// ServerRulesDiffer reports whether the server rules of the shared configuration, that is the servers in service, their
// weights and the cordons, change anywhere between two epochs, from <= to.
// It may return true where that is not known.
type ServerRulesDiffer func(from, to uint64) bool

// Lease is a holder's own count of its lease. The zero Lease is not held. Times are milliseconds of the holder's own
// monotonic clock.
type Lease struct {
	Epoch            uint64  // the last adopted one
	Until            float64 // when the lease expires
	ServerRulesUntil float64 // when its server rules may no longer be used
	Granted          bool    // false before the first grant
}

// Accept counts a grant whose request was sent at requestedMs or later. It reports whether the grant may be acted on:
// not if its epoch is lower than the adopted one (invariant 2), nor if it has expired already.
func (l *Lease) Accept(requestedMs, now float64, g Grant) bool {
	// Invariant 4: by a fast clock the lease still ends before the lessor, by a slow one, counts it as expired.
	until := requestedMs + g.LeaseMs*(1-MaxClockDrift)
	serverRulesUntil := requestedMs + (g.LeaseMs+g.ServerRulesMs)*(1-MaxClockDrift)
	if g.Epoch < l.Epoch || until <= now {
		return false
	}
	if g.Epoch > l.Epoch || !l.Granted {
		l.Until = until // the previous lease was on another epoch
		l.ServerRulesUntil = serverRulesUntil
	}
	l.Epoch = g.Epoch
	l.Until = max(l.Until, until)
	l.ServerRulesUntil = max(l.ServerRulesUntil, serverRulesUntil)
	l.Granted = true
	return true
}

// Holds reports whether the lease is held.
func (l *Lease) Holds(now float64) bool { return l.Granted && now < l.Until }

// HoldsServerRules reports whether the server rules of the lease's epoch may be used.
func (l *Lease) HoldsServerRules(now float64) bool { return l.Granted && now < l.ServerRulesUntil }
