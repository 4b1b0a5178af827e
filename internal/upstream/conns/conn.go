package conns

import (
	"bufio"
	"net"
	"os"
	"sync"
	"time"
)

// expiredDeadline makes reads and writes fail immediately.
var expiredDeadline = time.Unix(1, 0)

// Conn is a pooled connection.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	id           uint64 // unique in the pool, for the log
	key          Key
	addr         string
	incarnation  uint64 // of the backend when the connection was opened
	opened       time.Time
	carried      int           // requests that were written to it completely
	written      time.Time     // when the last of them was written
	responseTook time.Duration // from then to the end of its response
	idleSince    time.Time
	rested       bool          // for as long as it had to, before its current use
	restedFor    time.Duration // before its current use
	unsettled    bool          // its last response was the first one
	// matchedByID says that its last request was matched to its response by an id.
	matchedByID bool
	ageBucket   int     // of the idle time before its current use; 0: a new connection
	stream      *Stream // of the current response, if one was created: it takes ownership of the connection

	mu        sync.Mutex
	cancelled bool // all further reads and writes fail
}

// isOutdated reports whether the connection leads to an earlier process of its backend.
func (c *Conn) isOutdated() bool { return c.incarnation != c.key.Backend.Incarnation() }

// cancel ends reads and writes, including those in progress, permanently: a deadline that is set later does
// not undo it.
func (c *Conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	c.Conn.SetDeadline(expiredDeadline)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.setUnlessCancelled(c.Conn.SetDeadline, t) }

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.setUnlessCancelled(c.Conn.SetReadDeadline, t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setUnlessCancelled(c.Conn.SetWriteDeadline, t)
}

func (c *Conn) setUnlessCancelled(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return os.ErrDeadlineExceeded
	}
	return set(t)
}
