package concurrency

import "math"

const (
	// rejectionMemoryMs is how long a limit increases slowly after a rejection. The load by other agents
	// and by other programs on the server's machine changes within seconds.
	rejectionMemoryMs = 5000.0
	// rejectionDecrease is the factor by which a rejection decreases a limit. Only with a multiplicative
	// decrease do agents that share a server converge to fair shares (Chiu and Jain, 1989).
	rejectionDecrease = 0.75
	// slowIncrease is the factor on the increase of a limit after a recent rejection. Together with the
	// decrease it determines the fraction of attempts that a saturated server rejects: about slowIncrease
	// divided by 1-rejectionDecrease and by the square of the limit.
	slowIncrease = 0.1
)

// Limit is the number of attempts that one agent may have in flight on a server. A limit below one is
// enforced by pauses between single attempts. The zero value admits one attempt at a time.
type Limit struct {
	size         float64
	decreasedAt  float64 // last decrease because of long answer times or a rejection
	rejectedAt   float64 // last rejection
	everRejected bool
}

// Reset discards all state and sets the size, for a server that has restarted.
func (l *Limit) Reset(size float64) { *l = Limit{size: size} }

// Size returns the limit, in attempts.
func (l *Limit) Size() float64 { return l.size }

// Admits reports whether one more attempt may be sent in addition to those in flight, if the last one was
// sent sinceMs ago and the mean answer time is rttMs. Below a limit of one attempts are paced: one attempt
// of each of many agents can already be too much, and an overloaded server needs the pause to recover.
func (l *Limit) Admits(inflight int, sinceMs, rttMs float64) bool {
	pausing := l.size < 1 && sinceMs < rttMs/l.size
	return inflight < max(int(l.size), 1) && !pausing
}

// Rejected records that the server rejected an attempt. Such a server still answers accepted requests in
// time, so the limit is not decreased below one.
func (l *Limit) Rejected(now float64) {
	l.size = min(l.size, max(l.size*rejectionDecrease, 1))
	l.decreasedAt = now
	l.rejectedAt = now
	l.everRejected = true
}

// RecentlyRejected reports whether the server rejected an attempt within rejectionMemoryMs, which shows
// that it bounds its queue itself.
func (l *Limit) RecentlyRejected(now float64) bool {
	return l.everRejected && now-l.rejectedAt < rejectionMemoryMs
}

// Halve halves the limit after a failure of the server, to no less than one.
func (l *Limit) Halve() { l.size = max(l.size/2, 1) }

// Decrease multiplies the limit by the given factor because answers take too long, to no less than floor.
// Answers within rttMs after a decrease belong to attempts sent before it; the limit is not changed then,
// and false is returned.
func (l *Limit) Decrease(now, rttMs, factor, floor float64) bool {
	if now-l.decreasedAt <= rttMs {
		return false
	}
	l.size = min(l.size, max(l.size*factor, floor))
	l.decreasedAt = now
	return true
}

// Increase increases a limit that is fully used, by about one for as many answers as the limit; more slowly
// after a recent rejection.
func (l *Limit) Increase(now float64) {
	by := min(1/l.size, l.size)
	if l.RecentlyRejected(now) {
		by *= slowIncrease
	}
	if by > 0 && !math.IsInf(by, 0) {
		l.size += by
	}
}
