// Package concurrency knows what each server can bear now: how many requests of one agent at a time (Window), whether
// its last report says that its cores idle (Load), and which keys it has likely served so lately that they cost
// less (Warm). It owns no request and decides nothing about one; the decision module asks it.
//
// It has no I/O, no clock, no goroutine and no randomness: times come in as arguments, in milliseconds of one
// clock that never goes back. Nothing in it is safe for concurrent use.
package concurrency

import "math"

const (
	// boundMs is how long a bound that a turn-away has shown is approached gently: other programs on the
	// machine and other agents come and go within seconds.
	boundMs = 5000.0
	// turnedPart is what a turn-away leaves of a window, and boundGrowth the part of the usual growth near a
	// bound. Together they set the part of attempts that is turned away where a server has no more room: about
	// boundGrowth by 1-turnedPart and the window's square, a tenth at two. To grow at once again, as before,
	// settled at 25 to 40 of 100 turned away, and whoever came first was served. The cut is by a part, as only
	// that lets agents that share a server end at fair parts (Chiu and Jain, 1989); half a place each time did
	// as well, but who had much kept it.
	turnedPart, boundGrowth = 0.75, 0.1
)

// Limit is the number of attempts that one agent may have out on a server. The zero value admits one at a time.
type Limit struct {
	size     float64 // below one: by pausing between single attempts
	cutAt    float64 // last cut for a crowd
	turnedAt float64 // last turn-away
	bounded  bool    // there was one
}

// Reset forgets all and begins with so many attempts: the server is another process now.
func (w *Limit) Reset(size float64) { *w = Limit{size: size} }

// Size is the window, in attempts.
func (w *Limit) Size() float64 { return w.size }

// Admits tells whether one more attempt fits beside so many that are out, where the last one was sent
// sinceMs ago and answers take rttMs on the mean. A window under one is kept by pausing: of many agents
// even one attempt each can be too much, and a server that tipped needs rest to recover.
func (w *Limit) Admits(out int, sinceMs, rttMs float64) bool {
	return out < max(int(w.size), 1) && !(w.size < 1 && sinceMs < rttMs/w.size)
}

// Rejected notes that the server had no room: what it holds it still answers in time, so the window keeps
// at least one.
func (w *Limit) Rejected(now float64) {
	w.size = min(w.size, max(w.size*turnedPart, 1))
	w.cutAt, w.turnedAt, w.bounded = now, now, true
}

// RecentlyRejected tells whether the server turned an attempt away within boundMs: it keeps its queue short by itself.
func (w *Limit) RecentlyRejected(now float64) bool { return w.bounded && now-w.turnedAt < boundMs }

// Halve leaves half, and at least one: the server failed.
func (w *Limit) Halve() { w.size = max(w.size/2, 1) }

// Decrease leaves the given part, and at least so much, because answers take too long. Answers that were
// under way when it was last cut, for rttMs, tell nothing new; it is left alone then and false is returned.
func (w *Limit) Decrease(now, rttMs, part, least float64) bool {
	if now-w.cutAt <= rttMs {
		return false
	}
	w.size, w.cutAt = min(w.size, max(w.size*part, least)), now
	return true
}

// Increase widens a window that is in use, by about one each time as many are answered as it holds; near a bound
// that has shown itself much slower.
func (w *Limit) Increase(now float64) {
	by := min(1/w.size, w.size)
	if w.RecentlyRejected(now) {
		by *= boundGrowth
	}
	if by > 0 && !math.IsInf(by, 0) {
		w.size += by
	}
}
