package policy

import (
	"cmp"
	"slices"
)

const (
	// maxQueued bounds the queue, and so the work of one decision.
	maxQueued = 512
	// maxDispatchFailures is the number of requests that found no server among all, after which the others
	// are not tried.
	maxDispatchFailures = 4
	// maxUnsentWaitFraction is the part of its time after which a request that reached no server is
	// rejected. Clients treat a longer wait, from one half on, as worse than a rejection.
	maxUnsentWaitFraction = 0.46
)

// dispatch sends the queued requests while there is capacity: those of the highest priority first, of
// equals the newest, as under overload the oldest would be served too late. Handle calls it after every
// event.
func (b *Balancer) dispatch() {
	b.sortQueue()
	b.capacityScarce = false
	for i, failures := 0, 0; i < len(b.queued) && failures < maxDispatchFailures; {
		r := b.queued[i]
		if b.nearestAreFull(r) {
			i++ // this says nothing about the servers of other keys
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

// sortQueue orders the queue by priority.
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

// expire finishes the queued requests that can earn nothing any more, before they cost a server work. The
// tick timer calls it.
func (b *Balancer) expire() {
	timeout := b.queueTimeout.Fraction(b.now, b.minObjectiveMs, b.fleet.baselineLatency)
	for i := 0; i < len(b.queued); {
		r := b.queued[i]
		r.recentKey = b.isRecentKey(r) // another request may have sent the key since
		late := b.expectedLate(r)
		unsent, timedOut := b.queueTimedOut(r, timeout)
		switch {
		case (unsent || timedOut) && !late && b.waitsForNearest(r):
			r.anyServer = true // any idle server may have it before it is rejected
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

// expectedLate reports whether an attempt that is sent now would be answered too late to earn anything.
func (b *Balancer) expectedLate(r *request) bool {
	latest := r.objectiveAt
	if b.settings.Classes[r.class].LateCredit > 0 {
		latest = r.deadline
	}
	return b.now+b.expectedLatency(r) > latest || b.now >= r.deadline
}

// queueTimedOut reports whether the request is unsent for too long, and whether it has waited longer than the
// timeout, a fraction of its latency objective.
func (b *Balancer) queueTimedOut(r *request, timeout float64) (unsent, timedOut bool) {
	waitedMs := b.now - r.arrived
	unsent = !r.reachedServer && waitedMs > maxUnsentWaitFraction*(r.deadline-r.arrived)
	timedOut = waitedMs > timeout*b.settings.Classes[r.class].LatencyObjectiveMs
	return unsent, timedOut
}
