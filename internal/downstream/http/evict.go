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
		victim, unread := c.nextVictim()
		if victim == nil {
			return
		}
		c.evict(victim, unread) // if a request has arrived meanwhile, it is not selected again
	}
}

// overHardLimit reports whether there are more connections than the hard limit, or they take more memory than theirs.
// The lock is held.
func (c *clientConns) overHardLimit() bool {
	return len(c.conns)-c.closing > c.hardLimit || c.memoryLimit > 0 && c.weight > c.memoryLimit
}

// farOverHardLimit reports whether the hard limit, or that of the memory, is exceeded by a part of unreadDivisor. The lock
// is held.
func (c *clientConns) farOverHardLimit() bool {
	over := func(n, limit int) bool { return n > limit+limit/unreadDivisor }
	return over(len(c.conns)-c.closing, c.hardLimit) || c.memoryLimit > 0 && over(c.weight, c.memoryLimit)
}

// nextVictim returns the connection to evict next; nil: there is none, or there are only new ones and the
// hard limit is not exceeded. One with unread bytes is evicted only if there is no other, and the limit is exceeded by
// far: it is about to be read. The lock is held.
func (c *clientConns) nextVictim() (victim net.Conn, unread bool) {
	overHardLimit := c.overHardLimit()
	if victim := c.victim(overHardLimit, false); victim != nil || !c.farOverHardLimit() {
		return victim, false
	}
	return c.victim(true, true), true
}

// victim is nextVictim, with or without the connections that have unread bytes. The lock is held.
func (c *clientConns) victim(overHardLimit, unread bool) net.Conn {
	if e := c.evictable[slowAnswer].Front(); e != nil && overHardLimit {
		return e.Value.(net.Conn)
	}
	burstSize := min(c.softLimit, len(c.conns)-c.closing) / burstDivisor
	burst := false
	var oldest net.Conn
	for _, kind := range []connKind{noRequest, readingBody, forwardingBody} {
		many := c.evictable[kind].Len() > burstSize
		burst = burst || many
		e := c.candidate(kind, unread)
		if e == nil {
			continue
		}
		nc := e.Value.(net.Conn)
		if many && overHardLimit || time.Since(c.conns[nc].since) > newConnGracePeriod {
			return nc
		}
		if oldest == nil || c.conns[nc].since.Before(c.conns[oldest].since) {
			oldest = nc
		}
	}
	// The connections of a burst evict only each other.
	if e := c.candidate(idle, unread); e != nil && !burst {
		return e.Value.(net.Conn)
	}
	if !overHardLimit {
		return nil
	}
	return oldest
}

const (
	// firstBytesTime is how long a new connection may be silent before it is evicted for any reason.
	firstBytesTime = 150 * time.Millisecond
	// unreadDivisor gives by which part a limit has to be exceeded until a connection with unread bytes is evicted.
	unreadDivisor = 8
	// roomPollInterval is how often a listener without room checks for it, maxRoomWait for how long altogether.
	roomPollInterval = time.Millisecond
	maxRoomWait      = 100 * time.Millisecond
)

// awaitRoom waits until a connection that was accepted can be served without the eviction of one whose bytes are unread: it
// may just not have been read yet. Where one has to give way, that is bounded in its rate.
func (c *clientConns) awaitRoom() {
	if c.hasFreeRoom() {
		return
	}
	if !c.ending.Load() {
		c.replacements.Wait()
	}
	for end := time.Now().Add(maxRoomWait); !c.hasRoom() && time.Now().Before(end); {
		time.Sleep(roomPollInterval)
	}
}

// hasFreeRoom reports whether another connection can be served without the eviction of one.
func (c *clientConns) hasFreeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.full()
}

// full reports whether another connection would exceed a limit. The lock is held.
func (c *clientConns) full() bool {
	return len(c.conns)-c.closing >= c.hardLimit || c.memoryLimit > 0 && c.weight+connBytes > c.memoryLimit
}

func (c *clientConns) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.full() || c.victim(true, false) != nil
}

// hasIncompleteBody reports whether the body of a connection's request has not arrived completely, read or not.
func hasIncompleteBody(nc net.Conn) bool {
	framed, ok := nc.(*framedConn)
	return ok && framed.hasIncompleteBody()
}

// awaitsFirstBytes reports whether a connection is so new that its client may just be sending its request. The lock is
// held.
func (c *clientConns) awaitsFirstBytes(nc net.Conn) bool {
	framed, ok := nc.(*framedConn)
	return ok && time.Since(c.conns[nc].since) < firstBytesTime && framed.headBytes() == 0
}

// candidate returns the oldest connection of a kind that may be evicted, if possible one without unread bytes, and one
// with unread bytes, or a new one, only if unread is set. None on which a request has been received may be. The lock is held.
func (c *clientConns) candidate(kind connKind, unread bool) *list.Element {
	skipped := 0
	var oldestUnread *list.Element
	for e := c.evictable[kind].Front(); e != nil && skipped < maxUnreadSkipped; e = e.Next() {
		nc := e.Value.(net.Conn)
		if framed, ok := nc.(*framedConn); ok && framed.hasCompleteRequest(kind.handling()) {
			continue
		}
		if socket.ReadState(nc) != socket.Unread && !c.awaitsFirstBytes(nc) || kind == readingBody && hasIncompleteBody(nc) {
			return e
		}
		skipped++
		if oldestUnread == nil {
			oldestUnread = e
		}
	}
	if unread {
		return oldestUnread
	}
	return nil
}
