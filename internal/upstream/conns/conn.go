package conns

import (
	"bufio"
	"net"
	"os"
	"sync"
	"time"
)

// expiredDeadline ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// Conn is a connection of a pool.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	key       Key
	addr      string
	idleSince time.Time
	ageBucket int     // how long it was idle before its last use; 0: it was new
	stream    *Stream // of the current response; it takes the connection over

	mu        sync.Mutex
	cancelled bool // reads and writes end at once, from now on
}

// cancel ends reads and writes, the current ones too, for good: no deadline that is set later undoes it.
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
