package pace

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// firstBytesPerSecond bounds the bytes of the first requests of new connections that are parsed.
	firstBytesPerSecond = 8 << 20
	// minFirstBytes is what the first request of a connection counts at least.
	minFirstBytes = 4 << 10
	// minFirstBurst and maxFirstBurst bound the bytes that are parsed at once, and firstBurstDivisor gives the part of the
	// memory of connections.
	minFirstBurst, maxFirstBurst = 512 << 10, 4 << 20
	firstBurstDivisor            = 8
	// closedPollInterval is how often a connection that waits is checked for its end.
	closedPollInterval = 20 * time.Millisecond
)

// FirstRequests bounds how fast the first requests of new connections are parsed. They wait in order, and one whose client
// closes its connection meanwhile takes no other one's turn.
type FirstRequests struct {
	limiter *rate.Limiter
	closed  *ClosedClients

	mu      sync.Mutex
	waiting list.List   // of *turn, the next one first
	timer   *time.Timer // grants the next turns; runs while any is waited for
}

// turn is one request that waits.
type turn struct {
	bytes   int
	granted chan struct{} // closed once it is parsed
}

// NewFirstRequests returns the bound for a listener with an amount of memory for its connections, in bytes; 0: that is not
// bounded. closed bounds those that are handled though their clients have closed them.
func NewFirstRequests(connMemory int, closed *ClosedClients) *FirstRequests {
	burst := maxFirstBurst
	if connMemory > 0 {
		burst = min(max(connMemory/firstBurstDivisor, minFirstBurst), maxFirstBurst)
	}
	f := &FirstRequests{limiter: rate.NewLimiter(firstBytesPerSecond, burst), closed: closed}
	f.timer = time.AfterFunc(time.Hour, f.grant)
	f.timer.Stop()
	return f
}

// Wait waits until a request of so many bytes may be parsed. It returns false if the client has closed its connection
// meanwhile, which hungUp reports, and the request is not handled any more.
func (f *FirstRequests) Wait(bytes int, hungUp func() bool) bool {
	t := &turn{bytes: min(max(bytes, minFirstBytes), f.limiter.Burst()), granted: make(chan struct{})}
	element := f.enqueue(t)
	if element == nil {
		return true
	}
	poll := time.NewTicker(closedPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-t.granted:
			return true
		case <-poll.C:
		}
		if hungUp() && f.leave(element) {
			return f.closed.Allow()
		}
	}
}

// enqueue adds a turn to those that wait, or returns nil if it is granted at once.
func (f *FirstRequests) enqueue(t *turn) *list.Element {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting.Len() == 0 && f.limiter.AllowN(time.Now(), t.bytes) {
		return nil
	}
	element := f.waiting.PushBack(t)
	if f.waiting.Len() == 1 {
		f.timer.Reset(0)
	}
	return element
}

// leave removes a turn that has not been granted, and reports whether it had not been.
func (f *FirstRequests) leave(element *list.Element) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-element.Value.(*turn).granted:
		return false
	default:
	}
	f.waiting.Remove(element)
	return true
}

// grant grants the turns that are due, and comes back for the next one.
func (f *FirstRequests) grant() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.waiting.Len() > 0 {
		t := f.waiting.Front().Value.(*turn)
		reservation := f.limiter.ReserveN(time.Now(), t.bytes)
		if delay := reservation.Delay(); delay > 0 {
			reservation.Cancel()
			f.timer.Reset(delay)
			return
		}
		f.waiting.Remove(f.waiting.Front())
		close(t.granted)
	}
}

// End ends the bound, and grants all turns: a server that shuts down answers what has arrived.
func (f *FirstRequests) End() {
	f.limiter.SetLimit(rate.Inf)
	f.timer.Reset(0)
}
