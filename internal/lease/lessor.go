// Package lease decides who may act on which stage of the book of rules (rulebook.Terms) until when: the desk of the
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
package lease

import (
	"fmt"
	"slices"
)

const (
	// MaxClockDrift is by which part of a second clocks may run fast or slow: 2 %, far over what quartz does.
	MaxClockDrift = 0.02
	// MaxHolders bounds the holders a desk remembers; one more gets no lease.
	MaxHolders = 32_768
)

// Holder is who acts: a name, and the incarnation that each start of it draws anew.
type Holder struct{ Name, Incarnation string }

// Request is what a holder asks with.
type Request struct {
	Holder
	Epoch   uint64 // the stage it acts on, or did last; 0: none
	Problem string // why it can't take up what it was granted last; "": it can
}

// Grant is a lease: act on Stage for LeaseMs, counted by the holder's clock from before it asked; and for ListMs more,
// by the strictest settings, on its word on servers.
type Grant struct {
	Epoch       uint64
	LeaseMs     float64
	EndpointsMs float64
}

// EndpointsChanged tells whether the word on servers is another anywhere from one stage to a later one. It may say yes where it
// does not know.
type EndpointsChanged func(from, to uint64) bool

// Lessor gives leases. It is the leading keeper's, and begins anew with each term of it: what it doesn't know then it
// waits for. Times are ms of the keeper's own steady clock.
type Lessor struct {
	leaseMs, listMs float64
	quiet, quietOn  float64 // until when leases of other leaders may hold, for settings and for servers
	holders         map[Holder]*held
	behind          behind
}

type held struct {
	has     uint64 // it acts on no stage under this one
	granted uint64 // the highest stage that it was granted
	now     span   // of leases on granted
	before  span   // of those on lower stages: a holder that is granted more and never takes it up holds them no longer
	unable  string
	listed  bool // it is in behind.ring
}

// span is until when a lease may hold, and until when its word on servers may be gone by.
type span struct{ until, lists float64 }

func (s span) most(o span) span { return span{max(s.until, o.until), max(s.lists, o.lists)} }

// under is until when it may act on a stage under this one.
func (h *held) under(stage uint64) span {
	if h.granted < stage {
		return h.now.most(h.before)
	}
	return h.before
}

// NewLessor is a desk that begins to lead at now. Other leaders gave leases of these lengths at the most until then.
func NewLessor(now, leaseMs, listMs float64) *Lessor {
	return &Lessor{leaseMs: leaseMs, listMs: listMs, quiet: now + wait(leaseMs), quietOn: now + wait(leaseMs+listMs), holders: map[Holder]*held{}}
}

// wait is for how long a lease is waited for that was given now.
func wait(leaseMs float64) float64 { return leaseMs * (1 + MaxClockDrift) }

// Observe takes what a holder says of itself, before anything is confirmed: whatever comes, it acts on no lower stage.
func (d *Lessor) Observe(now float64, a Request) {
	if h := d.find(now, a.Holder); h != nil {
		h.has, h.unable = max(h.has, a.Epoch), a.Problem
	}
}

// find is a holder's place, made where there is none; nil: there is no room.
func (d *Lessor) find(now float64, k Holder) *held {
	h := d.holders[k]
	if h == nil {
		if d.sweep(now); len(d.holders) >= MaxHolders {
			return nil
		}
		h = &held{now: span{now, now}, before: span{now, now}}
		d.holders[k] = h
	}
	return h
}

// Grant answers an ask that was there before a majority confirmed that this keeper leads: at the stage in force, as
// it is applied now. ok is false where the holder gets none.
func (d *Lessor) Grant(now float64, a Request, stage uint64) (g Grant, ok bool) {
	h := d.find(now, a.Holder)
	if h == nil {
		return Grant{}, false
	}
	h.has, h.unable = max(h.has, a.Epoch), a.Problem
	if a.Epoch > stage {
		// It was told more than this keeper has applied: invariant 2 forbids to lead it back.
		return Grant{}, false
	}
	if h.granted < stage {
		h.before, h.granted = h.before.most(h.now), stage
	}
	h.now = h.now.most(span{now + wait(d.leaseMs), now + wait(d.leaseMs+d.listMs)})
	d.behind.list(now, h)
	return Grant{Epoch: stage, LeaseMs: d.leaseMs, EndpointsMs: d.listMs}, true
}

// sweep forgets holders whose leases are long over.
func (d *Lessor) sweep(now float64) {
	if len(d.holders) < MaxHolders {
		return
	}
	for k, h := range d.holders {
		if h.now.lists <= now && h.before.lists <= now {
			delete(d.holders, k)
			d.behind = behind{} // one that is forgotten is not to stay in it; it is made anew when it is next needed
		}
	}
}

// Next tells whether the stage behind this one may come: then nobody acts on a stage before this one, by its settings
// or by a word on servers that the next stage no longer has. Else hold names who is waited for, sorted, and until when
// at the latest by what is known now.
func (d *Lessor) Next(now float64, stage uint64, words EndpointsChanged) (may bool, until float64, hold []string) {
	return d.older(now, stage, stage+1, words)
}

// Adopted tells whether all that is acted on is this stage's, and who holds it up.
func (d *Lessor) Adopted(now float64, stage uint64, words EndpointsChanged) (taken bool, hold []string) {
	taken, _, hold = d.older(now, stage, stage, words)
	return taken, hold
}

// older finds who acts on a stage before this one, or may go by another word on servers than stage to has.
func (d *Lessor) older(now float64, stage, to uint64, words EndpointsChanged) (none bool, until float64, hold []string) {
	ends := func(settings, lists float64, has uint64) float64 {
		if lists > now && words(has, to) {
			return lists
		}
		return settings
	}
	if stage > 0 {
		// Whom another leader gave a lease, and this one does not know, has the stage before at the least, or one with
		// the same word.
		if u := ends(d.quiet, d.quietOn, stage-1); u > now {
			until, hold = u, append(hold, "leases that another leader gave")
		}
	}
	for k, h := range d.holders {
		if h.has >= stage {
			continue
		}
		older := h.under(stage)
		u := ends(older.until, older.lists, h.has)
		if u <= now {
			continue
		}
		until = max(until, u)
		line := fmt.Sprintf("%s (start %s) on stage %d, %.0f ms at the most", k.Name, k.Incarnation, h.has, u-now)
		if h.unable != "" {
			line += ": " + h.unable
		}
		hold = append(hold, line)
	}
	slices.Sort(hold)
	return len(hold) == 0, until, hold
}

// Clone is a copy that shares nothing (what MayAdvance keeps is made anew), and State the desk's state in words that are the same for the same state, with
// times from now on: for model checks.
func (d *Lessor) Clone() *Lessor {
	c := &Lessor{leaseMs: d.leaseMs, listMs: d.listMs, quiet: d.quiet, quietOn: d.quietOn, holders: make(map[Holder]*held, len(d.holders))}
	for k, h := range d.holders {
		copied := *h
		c.holders[k] = &copied
	}
	return c
}

// Fingerprint implements the other half of Clone.
func (d *Lessor) Fingerprint(now float64) string {
	var lines []string
	for k, h := range d.holders {
		if h.now.lists > now || h.before.lists > now {
			lines = append(lines, fmt.Sprintf("%s/%s:%d,%d,%.3f,%.3f,%.3f,%.3f", k.Name, k.Incarnation, h.has, h.granted,
				max(h.now.until-now, 0), max(h.now.lists-now, 0), max(h.before.until-now, 0), max(h.before.lists-now, 0)))
		}
	}
	slices.Sort(lines)
	return fmt.Sprintf("%.3f %.3f %v", max(d.quiet-now, 0), max(d.quietOn-now, 0), lines)
}

// Holders is who holds a lease, by name, with its stage.
func (d *Lessor) Holders(now float64) map[string]uint64 {
	out := map[string]uint64{}
	for k, h := range d.holders {
		if h.now.until > now {
			if was, in := out[k.Name]; !in || h.has < was {
				out[k.Name] = h.has
			}
		}
	}
	return out
}

// Lease is a holder's own count. The zero Lease holds nothing. Times are ms of the holder's own steady clock.
type Lease struct {
	Epoch          uint64  // the last that was taken up
	Until          float64 // the lease holds before that
	EndpointsUntil float64 // and its word on servers before that
	Granted        bool    // it was given at all; a clock may begin anywhere
}

// Accept counts a grant that was asked for at askedMs, a moment before the ask left. It tells whether the grant is one to
// act on: one on a lower stage than was taken up before is not (invariant 2), nor one that is over.
func (l *Lease) Accept(askedMs, now float64, g Grant) bool {
	until, lists := askedMs+g.LeaseMs*(1-MaxClockDrift), askedMs+(g.LeaseMs+g.EndpointsMs)*(1-MaxClockDrift)
	if g.Epoch < l.Epoch || until <= now {
		return false
	}
	if g.Epoch > l.Epoch || !l.Granted {
		l.Until, l.EndpointsUntil = until, lists // the older lease was for another stage
	}
	l.Epoch, l.Until, l.EndpointsUntil, l.Granted = g.Epoch, max(l.Until, until), max(l.EndpointsUntil, lists), true
	return true
}

// Holds tells whether the lease holds.
func (l *Lease) Holds(now float64) bool { return l.Granted && now < l.Until }

// HoldsEndpoints tells whether servers may be chosen by its word on them.
func (l *Lease) HoldsEndpoints(now float64) bool { return l.Granted && now < l.EndpointsUntil }
