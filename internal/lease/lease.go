// Package lease determines who may act on which configuration epoch, and until when. The Lessor of the
// leading replica grants leases and determines when the next epoch may begin; each agent tracks the expiry
// of its own Lease.
//
// The package is pure: messages and times are arguments, answers are results; it has no I/O, clock or
// goroutines. The replicated versions are in package history.
//
// Invariants, which the model check, the tests and the proofs refer to by number:
//  1. At any time all holders together act on at most two neighbouring epochs, e and e+1.
//  2. A holder never returns to a lower epoch, nor does a holder that restarts with a new incarnation.
//  3. No acknowledged version is lost or changed, has two numbers or is published twice (package history).
//  4. A holder acts on an epoch only within a lease, and the lease expires by the holder's clock before it
//     does by the lessor's.
//
// Safety is based on order: epochs advance one by one, and only after every holder has confirmed that it
// adopted the last one, or its lease has expired. Clocks only bound the wait for a holder that is stopped
// or partitioned: each duration is measured on one clock, and clocks may differ by any offset and by
// MaxClockDrift in rate. Leases follow Gray and Cheriton (1989); that a new leader waits until the leases
// of its predecessor have expired follows Chubby (2006).
package lease

const (
	// MaxClockDrift is the largest relative rate error of a clock that the invariants tolerate.
	MaxClockDrift = 0.02
	// MaxHolders bounds the holders that a Lessor tracks; a further holder is granted no lease.
	MaxHolders = 32_768
)

// Holder identifies a lease holder by its name and its incarnation, which is chosen at random at each
// start.
type Holder struct {
	Name        string
	Incarnation string
}

// Request is a holder's request for a lease.
type Request struct {
	Holder
	Epoch   uint64 // the one that the holder acts on, or acted on last; 0: none
	Problem string // why the holder can't adopt the last granted epoch; "": it can
}

// Grant is a lease on an epoch. Both durations are measured on the holder's clock from a time before it
// sent the request.
type Grant struct {
	Epoch   uint64
	LeaseMs float64
	// ServerRulesMs is the time after LeaseMs during which the epoch's server rules may still be used, with
	// the strictest settings.
	ServerRulesMs float64
}

// ServerRulesDiffer reports whether the server rules of the shared configuration (the servers in service,
// their weights and the cordons) change anywhere between two epochs, from <= to. It may return true if that
// is not known.
type ServerRulesDiffer func(from, to uint64) bool

// Lease is a holder's record of its lease. The zero value is not held. Times are milliseconds of the
// holder's monotonic clock.
type Lease struct {
	Epoch            uint64  // the last adopted one
	Until            float64 // when the lease expires
	ServerRulesUntil float64 // when its server rules may no longer be used
	Granted          bool    // false before the first grant
}

// Accept applies a grant whose request was sent at requestedMs or later. It returns false, and changes
// nothing, if the epoch of the grant is lower than the adopted one (invariant 2) or the grant has already
// expired.
func (l *Lease) Accept(requestedMs, now float64, g Grant) bool {
	// Invariant 4: the durations are shortened so that the lease ends before it does for the lessor, even
	// if this clock is slow and the lessor's is fast.
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
