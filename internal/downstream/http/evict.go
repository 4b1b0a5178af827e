package http

import (
	"container/list"
	"net"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// evictExcess evicts connections until the limits are kept, or none may be evicted. The lock is held.
func (c *clientConns) evictExcess() {
	for len(c.conns)-c.closing > c.softLimit || c.overHardLimit() {
		victim := c.nextVictim()
		if victim == nil {
			return
		}
		c.evict(victim)
	}
}

// overHardLimit reports whether there are more connections than the hard limit, or they take more memory than theirs.
// The lock is held.
func (c *clientConns) overHardLimit() bool {
	return len(c.conns)-c.closing > c.hardLimit || c.memoryLimit > 0 && c.weight > c.memoryLimit
}

// nextVictim returns the connection to evict next; nil: there is none, or there are only new ones and the
// hard limit is not exceeded. The lock is held.
func (c *clientConns) nextVictim() net.Conn {
	overHardLimit := c.overHardLimit()
	if e := c.evictable[slowAnswer].Front(); e != nil && overHardLimit {
		return e.Value.(net.Conn)
	}
	burstSize := min(c.softLimit, len(c.conns)-c.closing) / burstDivisor
	burst := false
	var oldest net.Conn
	for _, kind := range []connKind{noRequest, readingBody, forwardingBody} {
		e := c.candidate(kind, overHardLimit)
		if e == nil {
			continue
		}
		nc := e.Value.(net.Conn)
		many := c.evictable[kind].Len() > burstSize
		if many && overHardLimit || time.Since(c.conns[nc].since) > newConnGracePeriod {
			return nc
		}
		burst = burst || many
		if oldest == nil || c.conns[nc].since.Before(c.conns[oldest].since) {
			oldest = nc
		}
	}
	// The connections of a burst evict only each other.
	if e := c.candidate(idle, overHardLimit); e != nil && !burst {
		return e.Value.(net.Conn)
	}
	if !overHardLimit {
		return nil
	}
	return oldest
}

// candidate returns the oldest connection of a kind that may be evicted, if possible one without unread bytes. One
// with unread bytes may be evicted only above the hard limit. The lock is held.
func (c *clientConns) candidate(kind connKind, overHardLimit bool) *list.Element {
	oldest := c.evictable[kind].Front()
	e := oldest
	for range maxUnreadSkipped {
		if e == nil || socket.ReadState(e.Value.(net.Conn)) != socket.Unread {
			return e
		}
		e = e.Next()
	}
	if overHardLimit {
		return oldest
	}
	return nil
}
