package lease

import (
	"fmt"
	"slices"
)

// Lessor grants leases. The leading replica creates one for each term that it leads, and waits for leases
// granted by previous leaders to expire. Times are milliseconds of the replica's monotonic clock. A Lessor
// is not safe for concurrent use.
type Lessor struct {
	leaseMs       float64
	serverRulesMs float64
	// The times until which leases granted by previous leaders may be held, and their server rules used.
	inheritedUntil            float64
	inheritedServerRulesUntil float64
	holders                   map[Holder]*holderState
	blockers                  blockerIndex
}

// holderState is the state of one holder.
type holderState struct {
	epoch        uint64 // the highest that it reported; it acts on no lower one
	grantedEpoch uint64 // the highest that it was granted
	current      expiry // of the leases on grantedEpoch
	previous     expiry // of those on lower epochs; grants of an epoch that is never adopted do not extend it
	problem      string
	indexed      bool // whether it is in blockers.candidates
}

// expiry has the times until which a lease may be held and its server rules may be used.
type expiry struct {
	lease       float64
	serverRules float64
}

func (e expiry) latest(other expiry) expiry {
	return expiry{lease: max(e.lease, other.lease), serverRules: max(e.serverRules, other.serverRules)}
}

// remaining returns the remaining durations as text.
func (e expiry) remaining(now float64) string {
	return fmt.Sprintf("%.3f,%.3f", max(e.lease-now, 0), max(e.serverRules-now, 0))
}

// expiryBelow returns until when the holder may act on an epoch below the given one.
func (h *holderState) expiryBelow(epoch uint64) expiry {
	if h.grantedEpoch < epoch {
		return h.current.latest(h.previous)
	}
	return h.previous
}

// NewLessor returns the lessor of a replica that becomes the leader at now. Previous leaders must have
// granted leases of at most these durations, and none after now.
func NewLessor(now, leaseMs, serverRulesMs float64) *Lessor {
	return &Lessor{
		leaseMs:                   leaseMs,
		serverRulesMs:             serverRulesMs,
		inheritedUntil:            now + withDrift(leaseMs),
		inheritedServerRulesUntil: now + withDrift(leaseMs+serverRulesMs),
		holders:                   map[Holder]*holderState{},
	}
}

// withDrift returns how long the lessor counts a lease as held, so that it never expires before it does for
// the holder (invariant 4).
func withDrift(leaseMs float64) float64 { return leaseMs * (1 + MaxClockDrift) }

// Observe records the state that a holder reports. It may be called before the replica's leadership is
// confirmed: a holder that reports an epoch acts on no lower one, whichever replica leads (invariant 2).
func (l *Lessor) Observe(now float64, r Request) {
	if h := l.findOrAdd(now, r.Holder); h != nil {
		h.report(r)
	}
}

func (h *holderState) report(r Request) {
	h.epoch = max(h.epoch, r.Epoch)
	h.problem = r.Problem
}

// findOrAdd returns the state of a holder, adding it if it is new; nil if there are MaxHolders others.
func (l *Lessor) findOrAdd(now float64, holder Holder) *holderState {
	if h := l.holders[holder]; h != nil {
		return h
	}
	l.removeExpired(now)
	if len(l.holders) >= MaxHolders {
		return nil
	}
	h := &holderState{current: expiry{now, now}, previous: expiry{now, now}}
	l.holders[holder] = h
	return h
}

// Grant answers a request. The caller must have confirmed with a majority, after the request arrived, that
// this replica leads. epoch is the one in force, as applied by this replica. ok is false if no lease is
// granted.
func (l *Lessor) Grant(now float64, r Request, epoch uint64) (g Grant, ok bool) {
	h := l.findOrAdd(now, r.Holder)
	if h == nil {
		return Grant{}, false
	}
	h.report(r)
	if r.Epoch > epoch {
		// Invariant 2: the holder is ahead of what this replica has applied and must not return to a lower
		// epoch.
		return Grant{}, false
	}
	if h.grantedEpoch < epoch {
		h.previous = h.previous.latest(h.current)
		h.grantedEpoch = epoch
	}
	h.current = h.current.latest(expiry{lease: now + withDrift(l.leaseMs), serverRules: now + withDrift(l.leaseMs+l.serverRulesMs)})
	l.blockers.add(now, h)
	return Grant{Epoch: epoch, LeaseMs: l.leaseMs, ServerRulesMs: l.serverRulesMs}, true
}

// removeExpired removes the holders whose leases have expired, once there are MaxHolders.
func (l *Lessor) removeExpired(now float64) {
	if len(l.holders) < MaxHolders {
		return
	}
	for holder, h := range l.holders {
		if h.current.serverRules <= now && h.previous.serverRules <= now {
			delete(l.holders, holder)
			l.blockers = blockerIndex{} // must not refer to removed holders; rebuilt on the next use
		}
	}
}

// Blockers are the holders that block an epoch.
type Blockers struct {
	Holders []string // descriptions for operators, sorted
	Until   float64  // when the last of them stops blocking at the latest, as far as is known
}

// None reports whether nothing blocks the epoch.
func (b Blockers) None() bool { return len(b.Holders) == 0 }

// AdvanceBlockers returns the holders that block the epoch after this one (invariant 1): those that may act
// on an epoch before this one, by its settings, or by its server rules if those of the next epoch differ.
func (l *Lessor) AdvanceBlockers(now float64, epoch uint64, changed ServerRulesDiffer) Blockers {
	return l.findBlockers(now, epoch, epoch+1, changed)
}

// AdoptionBlockers returns the holders that may still act on an epoch before this one. If there are none,
// all holders have adopted the epoch.
func (l *Lessor) AdoptionBlockers(now float64, epoch uint64, changed ServerRulesDiffer) Blockers {
	return l.findBlockers(now, epoch, epoch, changed)
}

// findBlockers returns the holders that may act on an epoch before this one, or use server rules that
// differ from those of the target epoch.
func (l *Lessor) findBlockers(now float64, epoch, target uint64, changed ServerRulesDiffer) Blockers {
	blocksUntil := func(e expiry, from uint64) float64 {
		if e.serverRules > now && changed(from, target) {
			return e.serverRules
		}
		return e.lease
	}
	var blockers Blockers
	if epoch > 0 {
		// A holder that only a previous leader knows acts on the epoch before this one or a later one, or
		// uses the same server rules.
		inherited := expiry{lease: l.inheritedUntil, serverRules: l.inheritedServerRulesUntil}
		if until := blocksUntil(inherited, epoch-1); until > now {
			blockers.Until = until
			blockers.Holders = append(blockers.Holders, "leases granted by previous leaders")
		}
	}
	for holder, h := range l.holders {
		if h.epoch >= epoch {
			continue
		}
		until := blocksUntil(h.expiryBelow(epoch), h.epoch)
		if until <= now {
			continue
		}
		blockers.Until = max(blockers.Until, until)
		blockers.Holders = append(blockers.Holders, h.describe(holder, until-now))
	}
	slices.Sort(blockers.Holders)
	return blockers
}

func (h *holderState) describe(holder Holder, remainingMs float64) string {
	text := fmt.Sprintf("%s (incarnation %s) at epoch %d, for at most %.0f ms",
		holder.Name, holder.Incarnation, h.epoch, remainingMs)
	if h.problem != "" {
		text += ": " + h.problem
	}
	return text
}

// Holders returns the names that hold a lease, each with the lowest epoch that any of its incarnations acts
// on.
func (l *Lessor) Holders(now float64) map[string]uint64 {
	out := map[string]uint64{}
	for holder, h := range l.holders {
		if h.current.lease <= now {
			continue
		}
		if lowest, known := out[holder.Name]; !known || h.epoch < lowest {
			out[holder.Name] = h.epoch
		}
	}
	return out
}

// Clone returns a deep copy, for model checks. The copy rebuilds the index that MayAdvance uses.
func (l *Lessor) Clone() *Lessor {
	c := &Lessor{
		leaseMs:                   l.leaseMs,
		serverRulesMs:             l.serverRulesMs,
		inheritedUntil:            l.inheritedUntil,
		inheritedServerRulesUntil: l.inheritedServerRulesUntil,
		holders:                   make(map[Holder]*holderState, len(l.holders)),
	}
	for holder, h := range l.holders {
		copied := *h
		c.holders[holder] = &copied
	}
	return c
}

// Fingerprint returns a text that is equal for equal states, with times relative to now, for model checks.
func (l *Lessor) Fingerprint(now float64) string {
	var lines []string
	for holder, h := range l.holders {
		if h.current.serverRules <= now && h.previous.serverRules <= now {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s/%s:%d,%d,%s,%s", holder.Name, holder.Incarnation, h.epoch, h.grantedEpoch,
			h.current.remaining(now), h.previous.remaining(now)))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%.3f %.3f %v", max(l.inheritedUntil-now, 0), max(l.inheritedServerRulesUntil-now, 0), lines)
}
