package http

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

const (
	// newConnGracePeriod is how long a connection may take to bring a request, with its body, before it is
	// evicted ahead of all others.
	newConnGracePeriod = 250 * time.Millisecond
	// maxBusyFraction of the connections may have an open request; the others are for those that still bring one.
	maxBusyFraction = 7.0 / 8
	// A burst is more than a part of the soft limit, 1/burstDivisor, of one kind.
	burstDivisor = 4
)

// connKind is what a connection without an open request is doing.
type connKind int

const (
	noRequest   connKind = iota // nothing complete has arrived yet
	idle                        // between requests
	readingBody                 // a head has arrived, its body is being read
	connKinds                   // the number of kinds
)

// clientConns evicts clients' connections when there are nearly as many as there may be. Every client is accepted:
// one that waits in the accept queue gets neither an answer nor a close.
//
// Connections without an open request are evicted, the oldest of each kind first: those that have brought no
// complete request for newConnGracePeriod, or that are part of a burst; then idle ones; then the others. So hundreds
// of clients that connect and send nothing, or half a request, evict each other and not the clients that are served.
//
// Eviction begins at a soft limit, long before the descriptors run out: an application with a limit of its own may
// have nothing but connections that it uses no more, and could not bring another request. Where nearly all
// connections have an open request only new ones are left to evict, and their requests would be lost. They stay up
// to the hard limit, and requests are rejected before that is reached.
//
// It evicts whenever a connection changes its state. A connection that is being closed does not count and is not
// selected again: net/http notices the close only later.
type clientConns struct {
	softLimit int // above it idle connections and those that were silent for long are evicted
	hardLimit int // above it new ones are, too

	mu        sync.Mutex
	conns     map[net.Conn]*clientConn
	closing   int                  // evicted and still in conns
	evictable [connKinds]list.List // connections without an open request, the oldest first
}

// clientConn is one connection.
type clientConn struct {
	element      *list.Element // in evictable; nil while a request is open
	kind         connKind
	since        time.Time // of that kind
	closing      bool
	readDeadline time.Time // by limitReads; zero: none
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// newClientConns returns an empty clientConns with these limits.
func newClientConns(softLimit, hardLimit int) *clientConns {
	return &clientConns{softLimit: softLimit, hardLimit: hardLimit, conns: map[net.Conn]*clientConn{}}
}

// overloaded says whether too many connections have an open request for one more.
func (c *clientConns) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := len(c.conns) - c.closing
	for kind := range c.evictable {
		busy -= c.evictable[kind].Len()
	}
	return float64(busy) > maxBusyFraction*float64(c.hardLimit)
}

// empty says whether nobody is connected.
func (c *clientConns) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) == 0
}

// context puts the connection into the context of its requests.
func (c *clientConns) context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// track follows the states of net/http.
func (c *clientConns) track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[nc] = &clientConn{}
		c.setEvictable(nc, noRequest)
	case http.StateActive:
		c.setEvictable(nc, readingBody)
	case http.StateIdle:
		c.setEvictable(nc, idle)
	case http.StateClosed, http.StateHijacked:
		c.setBusy(nc)
		if conn := c.conns[nc]; conn != nil && conn.closing {
			c.closing--
		}
		delete(c.conns, nc)
	}
	for len(c.conns)-c.closing > c.softLimit {
		victim := c.nextVictim()
		if victim == nil {
			break
		}
		c.evict(victim)
	}
}

// requestRead notes that the connection of a handler has brought a complete request: it stays until that is
// answered. It returns false for a connection that has just been evicted: it can't carry an answer any longer, and
// its client sends the request again.
func (c *clientConns) requestRead(ctx context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	nc, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	c.setBusy(nc)
	conn := c.conns[nc]
	if conn == nil || conn.closing {
		return false
	}
	if !conn.readDeadline.IsZero() {
		conn.readDeadline = time.Time{}
		nc.SetReadDeadline(time.Time{}) // else its end would look like a disconnect
	}
	return true
}

// limitReads sets a deadline for connections that have begun a request, or still have to bring their first.
func (c *clientConns) limitReads(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range []connKind{noRequest, readingBody} {
		for e := c.evictable[kind].Front(); e != nil; e = e.Next() {
			nc := e.Value.(net.Conn)
			c.conns[nc].readDeadline = deadline
			nc.SetReadDeadline(deadline)
		}
	}
}

// closeIdle closes the connections between requests, except those on which a request has arrived that net/http has
// not read yet: the close would lose it. Its answer closes the connection.
func (c *clientConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.evictable[idle].Front(); e != nil; {
		nc := e.Value.(net.Conn)
		e = e.Next()
		if socket.ReadState(nc) != socket.Unread {
			c.evict(nc)
		}
	}
}

// abortAll closes all connections at once.
func (c *clientConns) abortAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		abort(nc)
	}
}

// evict closes a connection without an open request. The lock is held.
func (c *clientConns) evict(nc net.Conn) {
	c.setBusy(nc)
	c.conns[nc].closing = true
	c.closing++
	abort(nc) // net/http's read then fails, and it reports StateClosed
}

// abort closes a connection at once. No answer may be on its way.
func abort(nc net.Conn) {
	if conn, ok := nc.(*framedConn); ok {
		conn.abort()
		return
	}
	nc.Close()
}

// nextVictim is the connection to evict next; nil: there is none, or only new ones below the hard limit. The lock
// is held.
func (c *clientConns) nextVictim() net.Conn {
	full := len(c.conns)-c.closing > c.hardLimit
	burst := false
	var oldest net.Conn
	for _, kind := range []connKind{noRequest, readingBody} {
		e := c.candidate(kind, full)
		if e == nil {
			continue
		}
		nc := e.Value.(net.Conn)
		many := c.evictable[kind].Len() > c.softLimit/burstDivisor
		if many && full || time.Since(c.conns[nc].since) > newConnGracePeriod {
			return nc
		}
		burst = burst || many
		if oldest == nil || c.conns[nc].since.Before(c.conns[oldest].since) {
			oldest = nc
		}
	}
	// The connections of a burst evict nobody but each other.
	if e := c.candidate(idle, full); e != nil && !burst {
		return e.Value.(net.Conn)
	}
	if !full {
		return nil
	}
	return oldest
}

// candidate is the oldest connection of a kind that may be evicted. One that has brought bytes that nobody has read
// yet may be only where the hard limit is exceeded. The lock is held.
func (c *clientConns) candidate(kind connKind, full bool) *list.Element {
	e := c.evictable[kind].Front()
	for !full && e != nil && socket.ReadState(e.Value.(net.Conn)) == socket.Unread {
		e = e.Next()
	}
	return e
}

// setEvictable notes that a connection has no open request and is the newest of its kind. The lock is held.
func (c *clientConns) setEvictable(nc net.Conn, kind connKind) {
	c.setBusy(nc)
	if conn := c.conns[nc]; conn != nil && !conn.closing {
		conn.kind = kind
		conn.element = c.evictable[kind].PushBack(nc)
		conn.since = time.Now()
	}
}

// setBusy takes a connection off those that may be evicted. The lock is held.
func (c *clientConns) setBusy(nc net.Conn) {
	if conn := c.conns[nc]; conn != nil && conn.element != nil {
		c.evictable[conn.kind].Remove(conn.element)
		conn.element = nil
	}
}
