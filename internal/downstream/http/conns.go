package http

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/closelog"
	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/downstream/shutdown"
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
	// maxUnreadSkipped bounds how many connections with unread bytes are passed over in the search for one to evict: each
	// costs a system call.
	maxUnreadSkipped = 16
)

// connKind is what a connection that may be evicted is doing.
type connKind int

const (
	noRequest      connKind = iota // no complete head has arrived yet
	idle                           // between requests
	readingBody                    // a head has arrived, and its body is being read
	forwardingBody                 // the same, and the body is forwarded as it arrives
	slowAnswer                     // an answer is being read slowly, or its time is over
	connKinds                      // the number of kinds
)

// handling reports whether the last request of a connection of this kind is being handled.
func (k connKind) handling() bool { return k == readingBody || k == forwardingBody }

// clientConns bounds the number of clients' connections, and the memory that they take, by eviction. Every connection
// is accepted, as a client in the accept queue would get neither an answer nor a close.
//
// Only connections without an open request are evicted, the oldest of each kind first: those that have
// delivered no complete request for newConnGracePeriod, or that are part of a burst; then idle ones; then the
// others. A request whose body is still arriving is not open, and one whose answer is late, or read slowly, no longer
// is: their connections go before any that has to be closed unread. So hundreds of clients that connect and send nothing, or half a request, evict each other and not
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
	// memoryLimit bounds the weights of all connections, as hardLimit their number; 0: not bounded.
	memoryLimit  int
	replacements *pace.Replacements
	closed       *closelog.Log
	ending       atomic.Bool // the server shuts down: connections are accepted without a pace

	mu              sync.Mutex
	conns           map[net.Conn]*clientConn
	closing         int                  // number of evicted connections that are still in conns
	evictable       [connKinds]list.List // connections that may be evicted, the oldest first
	weight          int                  // of the connections that are not closing
	evictableWeight int                  // of those in evictable
}

// clientConn is one connection.
type clientConn struct {
	element      *list.Element // in evictable; nil while a request is open
	weight       int           // about the bytes of memory that it takes
	kind         connKind
	since        time.Time // when it became of this kind
	closing      bool
	answering    bool      // a reply is forwarded as it arrives
	readDeadline time.Time // set by limitReads; zero: none
}

// connKey is the context key of a request's connection.
type connKey struct{}

func newClientConns(softLimit, hardLimit int) *clientConns {
	return &clientConns{
		softLimit:    softLimit,
		hardLimit:    hardLimit,
		replacements: pace.NewReplacements(0),
		closed:       closelog.New("HTTP"),
		conns:        map[net.Conn]*clientConn{},
	}
}

// overloaded reports whether too many connections have an open request.
func (c *clientConns) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, busy := c.countsLocked()
	if float64(busy) > maxBusyFraction*float64(c.hardLimit) {
		return true
	}
	return c.memoryLimit > 0 && float64(c.weight-c.evictableWeight) > maxBusyFraction*float64(c.memoryLimit)
}

// empty reports whether no client is connected.
func (c *clientConns) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) == 0
}

// counts returns how many clients are connected, and how many of them have an open request.
func (c *clientConns) counts() (connected, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countsLocked()
}

// countsLocked is counts for callers that hold the lock.
func (c *clientConns) countsLocked() (connected, busy int) {
	connected = len(c.conns) - c.closing
	busy = connected
	for kind := range c.evictable {
		busy -= c.evictable[kind].Len()
	}
	return connected, busy
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
		c.setWeight(nc, connBytes)
		c.setEvictable(nc, noRequest)
		c.followHead(nc)
	case http.StateActive:
		c.setEvictable(nc, readingBody)
	case http.StateIdle:
		c.setWeight(nc, connBytes)
		c.setEvictable(nc, idle)
	case http.StateClosed, http.StateHijacked:
		c.setBusy(nc)
		c.setWeight(nc, 0)
		if conn := c.conns[nc]; conn != nil && conn.closing {
			c.closing--
		}
		delete(c.conns, nc)
	}
	c.evictExcess()
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
func (c *clientConns) limitReads(schedule *shutdown.Schedule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range []connKind{noRequest, readingBody, idle} {
		for e := c.evictable[kind].Front(); e != nil; e = e.Next() {
			nc := e.Value.(net.Conn)
			if kind == idle && !hasPartialHead(nc) {
				continue
			}
			if framed, ok := nc.(*framedConn); ok {
				framed.drain()
			}
			deadline := c.conns[nc].readUntil(nc, schedule)
			c.conns[nc].readDeadline = deadline
			nc.SetReadDeadline(deadline)
		}
	}
}

// hasPartialHead reports whether a connection has received a part of a request's head.
func hasPartialHead(nc net.Conn) bool {
	framed, ok := nc.(*framedConn)
	return ok && framed.hasPartialHead()
}

// readUntil returns until when a connection is read by a shutdown. The lock of clientConns is held.
func (conn *clientConn) readUntil(nc net.Conn, schedule *shutdown.Schedule) time.Time {
	if conn.kind != noRequest || hasPartialHead(nc) {
		return schedule.PartialUntil(conn.since)
	}
	if firstBytesUntil := conn.since.Add(shutdown.FirstBytesTime); firstBytesUntil.After(schedule.ReadUntil) {
		return firstBytesUntil
	}
	return schedule.ReadUntil
}

// closeIdle closes idle connections, except those on which a request has arrived, or a part of one: closing one would lose
// the request. Its answer closes the connection instead.
func (c *clientConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.evictable[idle].Front(); e != nil; {
		nc := e.Value.(net.Conn)
		e = e.Next()
		if !hasPartialHead(nc) {
			c.evict(nc, false)
		}
	}
}

// endPipelined ends the time of open requests behind which more have arrived: their client goes on sending until the
// connection ends.
func (c *clientConns) endPipelined() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, conn := range c.conns {
		if framed, ok := nc.(*framedConn); ok && conn.element == nil && !conn.closing && requestArrived(nc) {
			framed.endOpenRequest()
		}
	}
}

// abortAll closes all connections at once. With spareOwed it spares those on which an answer is owed that has not begun,
// or may be, with unread set, as bytes are unread, and returns their number.
func (c *clientConns) abortAll(spareOwed, unread bool) (owed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, conn := range c.conns {
		if spareOwed && (conn.owesAnswer(nc) || unread && !conn.closing && socket.ReadState(nc) == socket.Unread) {
			owed++
			continue
		}
		if conn.answering || conn.owesAnswer(nc) {
			c.closed.Record(closelog.ShutdownDeadline, nc.RemoteAddr().String())
		}
		abort(nc)
	}
	return owed
}

// owesAnswer reports whether a complete request has been received of whose answer nothing was written. The lock of
// clientConns is held.
func (conn *clientConn) owesAnswer(nc net.Conn) bool {
	if conn.closing || conn.answering {
		return false
	}
	if conn.element == nil {
		return true
	}
	framed, ok := nc.(*framedConn)
	return ok && framed.hasCompleteRequest(conn.kind.handling())
}

// evict closes a connection without an open request. It returns false, and closes nothing, if a request has arrived on
// it; unread ignores one of which bytes are unread. The lock is held.
func (c *clientConns) evict(nc net.Conn, unread bool) bool {
	conn := c.conns[nc]
	if framed, ok := nc.(*framedConn); ok && conn.kind != slowAnswer && !framed.reserveClose(conn.kind.handling(), unread) {
		return false
	}
	switch {
	case conn.kind == slowAnswer:
		c.closed.Record(closelog.SlowReader, nc.RemoteAddr().String())
	case unread:
		c.closed.Record(closelog.NoRoom, nc.RemoteAddr().String())
	}
	c.setBusy(nc)
	c.setWeight(nc, 0)
	conn.closing = true
	c.closing++
	abort(nc) // net/http's read then fails, and it reports StateClosed
	return true
}

// abort closes a connection at once. An answer that is on its way may be lost.
func abort(nc net.Conn) {
	if conn, ok := nc.(*framedConn); ok {
		conn.abort()
		return
	}
	nc.Close()
}

// requestArrived reports whether a further request has arrived on a connection, also one that net/http has read and
// not handled yet, or bytes that were not read.
func requestArrived(nc net.Conn) bool {
	if conn, ok := nc.(*framedConn); ok && conn.hasCompleteRequest(false) {
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
		c.evictableWeight += conn.weight
	}
}

// setBusy removes a connection from those that may be evicted. The lock is held.
func (c *clientConns) setBusy(nc net.Conn) {
	if conn := c.conns[nc]; conn != nil && conn.element != nil {
		c.evictable[conn.kind].Remove(conn.element)
		conn.element = nil
		c.evictableWeight -= conn.weight
	}
}
