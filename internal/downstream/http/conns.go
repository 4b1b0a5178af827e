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
	// newConnGracePeriod is how long a connection may take to deliver a complete request before it is evicted
	// ahead of all others.
	newConnGracePeriod = 250 * time.Millisecond
	// maxBusyFraction is the part of hardLimit that may have an open request. The rest is for
	// connections that have yet to deliver one.
	maxBusyFraction = 7.0 / 8
	// More connections of one kind than softLimit/burstDivisor are a burst.
	burstDivisor = 4
)

// connKind is what a connection without an open request is doing.
type connKind int

const (
	noRequest   connKind = iota // no complete head has arrived yet
	idle                        // between requests
	readingBody                 // a head has arrived, and its body is being read
	connKinds                   // the number of kinds
)

// clientConns bounds the number of clients' connections by eviction. Every connection is accepted, as a
// client in the accept queue would get neither an answer nor a close.
//
// Only connections without an open request are evicted, the oldest of each kind first: those that have
// delivered no complete request for newConnGracePeriod, or that are part of a burst; then idle ones; then the
// others. So hundreds of clients that connect and send nothing, or half a request, evict each other and not
// the clients that are served.
//
// Eviction begins at the soft limit, long before the descriptors run out: an application that limits its own
// connections may have only stale ones open, and could not send another request. If nearly all connections
// have an open request, only new ones remain to be evicted, and their requests would be lost. So new ones are
// evicted only above the hard limit, and requests are rejected before that is reached.
//
// Each change of a connection's state may evict others. A connection that is being closed is neither counted
// nor selected again, as net/http reports the close only later.
type clientConns struct {
	softLimit int // above it, idle connections and those without a request for too long are evicted
	hardLimit int // above it, new ones are evicted too

	mu        sync.Mutex
	conns     map[net.Conn]*clientConn
	closing   int                  // number of evicted connections that are still in conns
	evictable [connKinds]list.List // connections without an open request, the oldest first
}

// clientConn is one connection.
type clientConn struct {
	element      *list.Element // in evictable; nil while a request is open
	kind         connKind
	since        time.Time // when it became of this kind
	closing      bool
	readDeadline time.Time // set by limitReads; zero: none
}

// connKey is the context key of a request's connection.
type connKey struct{}

func newClientConns(softLimit, hardLimit int) *clientConns {
	return &clientConns{softLimit: softLimit, hardLimit: hardLimit, conns: map[net.Conn]*clientConn{}}
}

// overloaded reports whether too many connections have an open request.
func (c *clientConns) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := len(c.conns) - c.closing
	for kind := range c.evictable {
		busy -= c.evictable[kind].Len()
	}
	return float64(busy) > maxBusyFraction*float64(c.hardLimit)
}

// empty reports whether no client is connected.
func (c *clientConns) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) == 0
}

// connContext adds the connection to the context of its requests.
func (c *clientConns) connContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// track is the ConnState callback of net/http.
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

// requestRead records that a handler's connection has delivered a complete request, and protects the
// connection from eviction until the answer. It returns false if the connection has just been evicted: no
// answer can be written any longer, and the client sends the request again.
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
		nc.SetReadDeadline(time.Time{}) // an expired deadline would look like a disconnect
	}
	return true
}

// limitReads sets a read deadline for connections whose request is incomplete or which have sent none yet.
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

// closeIdle closes idle connections, except those on which a request has arrived: closing one would lose the
// request. Its answer closes the connection instead.
func (c *clientConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.evictable[idle].Front(); e != nil; {
		nc := e.Value.(net.Conn)
		e = e.Next()
		if !requestArrived(nc) {
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

// abort closes a connection at once. An answer that is on its way may be lost.
func abort(nc net.Conn) {
	if conn, ok := nc.(*framedConn); ok {
		conn.abort()
		return
	}
	nc.Close()
}

// nextVictim returns the connection to evict next; nil: there is none, or there are only new ones and the
// hard limit is not exceeded. The lock is held.
func (c *clientConns) nextVictim() net.Conn {
	overHardLimit := len(c.conns)-c.closing > c.hardLimit
	burst := false
	var oldest net.Conn
	for _, kind := range []connKind{noRequest, readingBody} {
		e := c.candidate(kind, overHardLimit)
		if e == nil {
			continue
		}
		nc := e.Value.(net.Conn)
		many := c.evictable[kind].Len() > c.softLimit/burstDivisor
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

// candidate returns the oldest connection of a kind that may be evicted. One with unread bytes may be evicted
// only above the hard limit. The lock is held.
func (c *clientConns) candidate(kind connKind, overHardLimit bool) *list.Element {
	e := c.evictable[kind].Front()
	for !overHardLimit && e != nil && socket.ReadState(e.Value.(net.Conn)) == socket.Unread {
		e = e.Next()
	}
	return e
}

// requestArrived reports whether a further request has arrived on a connection, also one that net/http has read and
// not handled yet, or bytes that were not read.
func requestArrived(nc net.Conn) bool {
	if conn, ok := nc.(*framedConn); ok && conn.hasUnhandledRequest() {
		return true
	}
	return socket.ReadState(nc) == socket.Unread
}

// setEvictable makes a connection evictable, as the newest of its kind. The lock is held.
func (c *clientConns) setEvictable(nc net.Conn, kind connKind) {
	c.setBusy(nc)
	if conn := c.conns[nc]; conn != nil && !conn.closing {
		conn.kind = kind
		conn.element = c.evictable[kind].PushBack(nc)
		conn.since = time.Now()
	}
}

// setBusy removes a connection from those that may be evicted. The lock is held.
func (c *clientConns) setBusy(nc net.Conn) {
	if conn := c.conns[nc]; conn != nil && conn.element != nil {
		c.evictable[conn.kind].Remove(conn.element)
		conn.element = nil
	}
}
