package policy

import (
	"cmp"
	"slices"
)

const (
	// maxQueued bounds the queue and thereby the cost of one decision.
	maxQueued = 512
	// maxDispatchFailures is the number of requests for which no server has capacity after which dispatch
	// stops.
	maxDispatchFailures = 4
	// maxUnsentWaitFraction is the fraction of its time after which a request that reached no server is
	// rejected. For clients a wait of half of the time or more is worse than a rejection.
	maxUnsentWaitFraction = 0.46
)

// dispatch sends queued requests while there is capacity: the highest priority first and, with equal
// priority, the newest first, as under overload the oldest would be served too late. Handle calls it after
// every event.
func (b *Balancer) dispatch() {
	b.sortQueue()
	b.capacityScarce = false
	for i, failures := 0, 0; i < len(b.queued) && failures < maxDispatchFailures; {
		r := b.queued[i]
		if b.nearestAreFull(r) {
			i++ // servers of other keys may still have capacity
			continue
		}
		if s := b.selectServer(r); s != nil && b.send(r, s) {
			b.queued = slices.Delete(b.queued, i, i+1)
			continue
		}
		i++
		if !b.waitsForNearest(r) {
			failures++
		}
		b.capacityScarce = failures > 0
	}
	b.queueTimeout.QueueLength(b.now, len(b.queued))
	for len(b.queued) > maxQueued {
		b.rejectOrFail(b.queued[len(b.queued)-1], ReasonQueueFull)
	}
}

// sortQueue sorts the queue by priority.
func (b *Balancer) sortQueue() {
	for _, r := range b.queued {
		r.priority = b.priority(r)
	}
	slices.SortFunc(b.queued, func(x, y *request) int {
		return cmp.Or(
			cmp.Compare(y.priority, x.priority),
			cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
}

// expire ends the queued requests that would be served too late to count, before they cost a server work,
// and those whose queue timeout is over. The tick timer calls it.
func (b *Balancer) expire() {
	timeout := b.queueTimeout.Fraction(b.now, b.minObjectiveMs, b.fleet.baselineLatency)
	for i := 0; i < len(b.queued); {
		r := b.queued[i]
		r.recentKey = b.isRecentKey(r) // the key may have been sent since, with another request
		late := b.expectedLate(r)
		unsent, timedOut := b.queueTimedOut(r, timeout)
		switch {
		case (unsent || timedOut) && !late && b.waitsForNearest(r):
			r.anyServer = true // it may go to any idle server before it is rejected
			i++
		case late:
			b.rejectOrFail(r, ReasonExpectedLate)
		case unsent:
			b.rejectOrFail(r, ReasonUnsent)
		case timedOut:
			b.rejectOrFail(r, ReasonQueueTimeout)
		default:
			i++
		}
	}
}

// expectedLate reports whether an attempt sent now is expected to be answered too late to count.
func (b *Balancer) expectedLate(r *request) bool {
	latest := r.objectiveAt
	if b.settings.Classes[r.class].LateCredit > 0 {
		latest = r.deadline
	}
	return b.now+b.expectedLatency(r) > latest || b.now >= r.deadline
}

// queueTimedOut reports whether the request has been unsent for too long, and whether it has waited longer
// than the timeout, a fraction of its latency objective.
func (b *Balancer) queueTimedOut(r *request, timeout float64) (unsent, timedOut bool) {
	waitedMs := b.now - r.arrived
	unsent = !r.reachedServer && waitedMs > maxUnsentWaitFraction*(r.deadline-r.arrived)
	timedOut = waitedMs > timeout*b.settings.Classes[r.class].LatencyObjectiveMs
	return unsent, timedOut
}
