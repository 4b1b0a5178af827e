package http

import (
	"sync"
	"time"
)

const (
	// maxKernelBytes is about what the sockets of both sides hold of a body, the agent's as long as it has not grown.
	maxKernelBytes = 8 << 20
	// maxClientSocketBytes is about what the client's socket holds of it: a client has not sent its last byte if more than
	// that has not arrived.
	maxClientSocketBytes = 4 << 20
	// minCountedGap is the shortest time between two reads of a body that counts: the agent's own work on what it
	// has read takes less, and a server that does not read takes more.
	minCountedGap = 5 * time.Millisecond
)

// requestClock tells how much of its time a request has left whose body is forwarded as it arrives. The time counts from
// the last byte that the client sends, which may wait unread in a socket for as long as the server reads nothing. So all
// time counts in which the client is not waited for, and in which it may have sent everything.
type requestClock struct {
	mu      sync.Mutex
	timeout time.Duration
	spent   time.Duration
	// since is when the client was last waited for; zero while it is.
	since   time.Time
	counted bool // whether the time since then counts
}

// newRequestClock returns the clock of a request of which the beginning has just been read.
func newRequestClock(timeout time.Duration, mayBeComplete bool) *requestClock {
	return &requestClock{timeout: timeout, since: time.Now(), counted: mayBeComplete}
}

// readBegins records that the client is waited for.
func (c *requestClock) readBegins(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent += c.gap(now)
	c.since = time.Time{}
}

// readEnds records that bytes have arrived. mayBeComplete says that the client may have sent all others too.
func (c *requestClock) readEnds(now time.Time, mayBeComplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	c.counted = mayBeComplete
}

// deadline returns the deadline as it is if the client has sent everything by now.
func (c *requestClock) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.Add(c.timeout - c.spent - c.gap(now))
}

// gap returns the time since the client was last waited for, as far as it counts. The lock is held.
func (c *requestClock) gap(now time.Time) time.Duration {
	gap := now.Sub(c.since)
	if c.since.IsZero() || !c.counted || gap < minCountedGap {
		return 0
	}
	return gap
}
