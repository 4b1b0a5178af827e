package concurrency

import "math"

const (
	// rejectionMemoryMs is how long after a rejection a limit increases slowly: other programs on the machine
	// and other agents come and go within seconds.
	rejectionMemoryMs = 5000.0
	// rejectionDecrease is the part of a limit that a rejection leaves. The decrease is multiplicative: only
	// then agents that share a server end at fair parts (Chiu and Jain, 1989).
	rejectionDecrease = 0.75
	// slowIncrease is the part of the usual increase while the server has rejected lately. With the decrease
	// it sets the part of attempts that a full server rejects: about slowIncrease by 1-rejectionDecrease and
	// the square of the limit.
	slowIncrease = 0.1
)

// Limit is the number of attempts that one agent may have in flight on a server. A limit under one is kept by
// pauses between single attempts. The zero value admits one at a time.
type Limit struct {
	size         float64
	decreasedAt  float64 // last decrease because of answer times or a rejection
	rejectedAt   float64 // last rejection
	everRejected bool
}

// Reset forgets everything and starts with the given size: the server is another process now.
func (l *Limit) Reset(size float64) { *l = Limit{size: size} }

// Size returns the limit, in attempts.
func (l *Limit) Size() float64 { return l.size }

// Admits reports whether one more attempt fits beside those in flight, where the last one was sent sinceMs ago
// and answers take rttMs on the mean. Under a limit of one it has to wait: of many agents even one attempt each
// can be too much, and an overloaded server needs the pause to recover.
func (l *Limit) Admits(inflight int, sinceMs, rttMs float64) bool {
	pausing := l.size < 1 && sinceMs < rttMs/l.size
	return inflight < max(int(l.size), 1) && !pausing
}

// Rejected notes that the server rejected an attempt. It still answers in time what it has, so the limit is
// not decreased below one.
func (l *Limit) Rejected(now float64) {
	l.size = min(l.size, max(l.size*rejectionDecrease, 1))
	l.decreasedAt = now
	l.rejectedAt = now
	l.everRejected = true
}

// RecentlyRejected reports whether the server rejected an attempt within rejectionMemoryMs: then it bounds its
// queue itself.
func (l *Limit) RecentlyRejected(now float64) bool {
	return l.everRejected && now-l.rejectedAt < rejectionMemoryMs
}

// Halve leaves half of the limit, and at least one: the server failed.
func (l *Limit) Halve() { l.size = max(l.size/2, 1) }

// Decrease leaves the given part of the limit, and at least floor, because answers take too long. Answers of
// the rttMs after a decrease were in flight before it: the limit is not changed then, and false is returned.
func (l *Limit) Decrease(now, rttMs, part, floor float64) bool {
	if now-l.decreasedAt <= rttMs {
		return false
	}
	l.size = min(l.size, max(l.size*part, floor))
	l.decreasedAt = now
	return true
}

// Increase raises a limit that is in use, by about one for each limit of answers; slower while the server has
// rejected lately.
func (l *Limit) Increase(now float64) {
	by := min(1/l.size, l.size)
	if l.RecentlyRejected(now) {
		by *= slowIncrease
	}
	if by > 0 && !math.IsInf(by, 0) {
		l.size += by
	}
}
