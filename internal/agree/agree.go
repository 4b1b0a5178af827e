// Package agree decides who may act on which stage of the book of rules (rulebook.Terms) until when: the desk of the
// keeper that leads gives leases and says when the next stage may come; a holder, in each agent, counts its own.
// Pure: messages and times in, answers out; no I/O, no clock, no goroutine. The log of versions itself is apart, in
// Book of this package, which keepers apply in the same order.
//
// Invariants; model check, properties and proofs name them by number:
//  1. At any time two neighbouring stages s and s+1 are acted on at the most, counted over all holders.
//  2. A holder never goes back to a lower stage; neither does a name that starts again under a new incarnation.
//  3. No version that was acknowledged is lost or changed, none has two numbers, none is published twice.
//  4. A holder acts on a stage only within a lease, and its lease ends by its own clock before the desk believes so.
//
// Safety stands on order: stages go one by one, each only behind the word of each holder that it took the last one up,
// or the end of its lease. Clocks bound how long a holder that is stopped or cut off is waited for; they are only
// counted from one's own moment to one's own moment, and may differ by any offset and by DriftMost in rate. Leases
// after Gray and Cheriton (1989); that a new leader waits for the leases of the old one is Chubby's rule (2006).
package agree

import (
	"fmt"
	"slices"
)

const (
	// DriftMost is by which part of a second clocks may run fast or slow: 2 %, far over what quartz does.
	DriftMost = 0.02
	// MostHolders bounds the holders a desk remembers; one more gets no lease.
	MostHolders = 32_768
)

// Holder is who acts: a name, and the incarnation that each start of it draws anew.
type Holder struct{ Name, Inc string }

// Ask is what a holder asks with.
type Ask struct {
	Holder
	Has    uint64 // the stage it acts on, or did last; 0: none
	Unable string // why it can't take up what it was granted last; "": it can
}

// Grant is a lease: act on Stage for LeaseMs, counted by the holder's clock from before it asked.
type Grant struct {
	Stage   uint64
	LeaseMs float64
}

// Desk gives leases. It is the leading keeper's, and begins anew with each term of it: what it doesn't know then it
// waits for. Times are ms of the keeper's own steady clock.
type Desk struct {
	leaseMs float64
	quiet   float64 // until when leases of other leaders may hold
	holders map[Holder]*held
}

type held struct {
	has    uint64  // it acts on no stage under this one
	until  float64 // behind that no lease of it holds
	unable string
}

// NewDesk is a desk that begins to lead at now. Other leaders gave leases of leaseMs at the most until then.
func NewDesk(now, leaseMs float64) *Desk {
	return &Desk{leaseMs: leaseMs, quiet: now + wait(leaseMs), holders: map[Holder]*held{}}
}

// wait is for how long a lease is waited for that was given now.
func wait(leaseMs float64) float64 { return leaseMs * (1 + DriftMost) }

// Hear takes what a holder says of itself, before anything is confirmed: whatever comes, it acts on no lower stage.
func (d *Desk) Hear(now float64, a Ask) {
	if h := d.find(now, a.Holder); h != nil {
		h.has, h.unable = max(h.has, a.Has), a.Unable
	}
}

// find is a holder's place, made where there is none; nil: there is no room.
func (d *Desk) find(now float64, k Holder) *held {
	h := d.holders[k]
	if h == nil {
		if d.sweep(now); len(d.holders) >= MostHolders {
			return nil
		}
		h = &held{}
		d.holders[k] = h
	}
	return h
}

// Grant answers an ask that was there before a majority confirmed that this keeper leads: at the stage in force, as
// it is applied now. ok is false where the holder gets none.
func (d *Desk) Grant(now float64, a Ask, stage uint64) (g Grant, ok bool) {
	h := d.find(now, a.Holder)
	if h == nil {
		return Grant{}, false
	}
	h.has, h.unable = max(h.has, a.Has), a.Unable
	if a.Has > stage {
		// It was told more than this keeper has applied: invariant 2 forbids to lead it back.
		return Grant{}, false
	}
	h.until = max(h.until, now+wait(d.leaseMs))
	return Grant{Stage: stage, LeaseMs: d.leaseMs}, true
}

// sweep forgets holders whose leases are long over.
func (d *Desk) sweep(now float64) {
	if len(d.holders) < MostHolders {
		return
	}
	for k, h := range d.holders {
		if h.until <= now {
			delete(d.holders, k)
		}
	}
}

// Next tells whether the stage behind this one may come: then no lease on a stage before it holds. Else hold names who
// is waited for, sorted, and until when at the latest by what is known now.
func (d *Desk) Next(now float64, stage uint64) (may bool, until float64, hold []string) {
	if now < d.quiet {
		until, hold = d.quiet, append(hold, "leases that another leader gave")
	}
	for k, h := range d.holders {
		if h.until > now && h.has < stage {
			until = max(until, h.until)
			if why := k.Name; h.unable != "" {
				hold = append(hold, fmt.Sprintf("%s: %s", why, h.unable))
			} else {
				hold = append(hold, why)
			}
		}
	}
	slices.Sort(hold)
	return len(hold) == 0, until, hold
}

// Taken tells whether every lease that holds is on this stage.
func (d *Desk) Taken(now float64, stage uint64) bool { may, _, _ := d.Next(now, stage); return may }

// Clone is a copy that shares nothing, and State the desk's state in words that are the same for the same state, with
// times from now on: for model checks.
func (d *Desk) Clone() *Desk {
	c := &Desk{leaseMs: d.leaseMs, quiet: d.quiet, holders: make(map[Holder]*held, len(d.holders))}
	for k, h := range d.holders {
		copied := *h
		c.holders[k] = &copied
	}
	return c
}

// State implements the other half of Clone.
func (d *Desk) State(now float64) string {
	var lines []string
	for k, h := range d.holders {
		if h.until > now {
			lines = append(lines, fmt.Sprintf("%s/%s:%d,%.3f", k.Name, k.Inc, h.has, h.until-now))
		}
	}
	slices.Sort(lines)
	return fmt.Sprintf("%.3f %v", max(d.quiet-now, 0), lines)
}

// Holding is who holds a lease, by name, with its stage.
func (d *Desk) Holding(now float64) map[string]uint64 {
	out := map[string]uint64{}
	for k, h := range d.holders {
		if h.until > now {
			if was, in := out[k.Name]; !in || h.has < was {
				out[k.Name] = h.has
			}
		}
	}
	return out
}

// Lease is a holder's own count. The zero Lease holds nothing. Times are ms of the holder's own steady clock.
type Lease struct {
	Stage uint64  // the last that was taken up
	Until float64 // the lease holds before that
}

// Take counts a grant that was asked for at askedMs, a moment before the ask left. It tells whether the grant is one to
// act on: one on a lower stage than was taken up before is not (invariant 2), nor one that is over.
func (l *Lease) Take(askedMs, now float64, g Grant) bool {
	until := askedMs + g.LeaseMs*(1-DriftMost)
	if g.Stage < l.Stage || until <= now {
		return false
	}
	if g.Stage > l.Stage {
		l.Until = until // the older lease was for another stage
	}
	l.Stage, l.Until = g.Stage, max(l.Until, until)
	return true
}

// Holds tells whether the lease holds.
func (l *Lease) Holds(now float64) bool { return now < l.Until }
