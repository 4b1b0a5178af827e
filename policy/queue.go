package policy

import (
	"cmp"
	"slices"
)

const (
	// unsent is the part of its time after which a request that reached no server is rejected: from half of
	// it on the client counts the wait as worse than a rejection.
	unsent = 0.46
	// hopeless is the part of its hinted answer time that a request must have left to be admitted. It is
	// below 1 because hints are rough, a recent key saves work, and some servers are faster.
	hopeless = 0.7
)

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.held {
		r.value = b.value(r)
	}
	slices.SortFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// A request that waits for the servers of its key finds no room where the next
	// does: it is passed over. Of those that take any server a few failures tell.
	b.scarce = false
	for i, failures := 0, 0; i < len(b.held) && failures < 4; {
		r := b.held[i]
		if b.waits(r) && r.epoch == b.epoch && !b.takes(r.near[0], r) && !b.takes(r.near[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.send(r, s) {
			b.held = slices.Delete(b.held, i, i+1)
			continue
		}
		i++
		if !b.waits(r) {
			failures++
		}
		b.scarce = failures > 0
	}
	b.patience.QueueLength(b.now, len(b.held))
	for len(b.held) > maxHeld {
		b.end(b.held[len(b.held)-1])
	}
}

// expire ends held requests that can no longer earn anything: refused early,
// before they cost server work.
func (b *Balancer) expire() {
	patience := b.patience.Fraction(b.now, b.aimMin, b.calmLat)
	for i := 0; i < len(b.held); {
		r := b.held[i]
		r.warm = b.set.FamilyInfo.WarmKeys && b.warmed.Contains(b.now, r.key) // others may have sent it
		last := r.aimAt
		if b.set.Classes[r.class].LateCredit > 0 {
			last = r.deadline
		}
		waited := !r.wrote && b.now-r.arrived > unsent*(r.deadline-r.arrived) ||
			b.now-r.arrived > patience*b.set.Classes[r.class].LatencyObjectiveMs
		switch late := b.now+b.expected(r) > last || b.now >= r.deadline; {
		case waited && !late && b.waits(r):
			r.anywhere = true // before it is given up any server with idle cores may have it
			i++
		case waited || late:
			b.end(r)
		default:
			i++
		}
	}
}
