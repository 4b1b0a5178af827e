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

// clientConns makes room among the clients' connections when there are nearly as
// many as may be. Every client is accepted: one that waits in the accept queue has
// neither an answer nor a close. Those with no request open give way: first the ones
// that have not brought a whole one in the moment that it takes, or that are too many,
// then those that idle, then the rest, and of each the oldest. So hundreds that
// connect and say nothing, or half of something, push out each other, and not the
// clients that are served.
//
// It looks whenever a connection changes its state. One that is being closed no
// longer counts and is not chosen again: the server notices the close only later.
//
// It makes room long before the descriptors run out: the application has a limit of
// its own, and where all it may hold are connections of callers that asked once and
// stay, it can't bring another request. Which of them idle for good only it knows.
//
// Where nearly all have a request open there is nobody else to give way but those that have just come, and who
// closes them has lost their requests. So they stay for as long as there are descriptors, and requests are
// refused before there are none: a part of the connections is left for those that still bring one.
type clientConns struct {
	softLimit int // from here on those that idle or were silent for long give way
	hardLimit int // all there may be: from here on newcomers do, too
	mu        sync.Mutex
	conns     map[net.Conn]*clientConn // bound: the descriptors; beyond max those without a request go
	closing   int
	// Connections with no request open, by how readily they give way.
	evictable [3]list.List
}

const (
	noRequest   = iota // nothing whole has come yet
	idle               // between requests
	readingBody        // a head has come, its body is being read
)

// newConnGracePeriod is how long a connection may take to bring a request, and its body, before
// it gives way to all others.
const newConnGracePeriod = 250 * time.Millisecond

// clientConn is one connection; at is its place in kind, nil while a request is open.
type clientConn struct {
	element   *list.Element
	kind      int
	since     time.Time // of that kind
	closing   bool
	readLimit time.Time // until when it has to bring what it has begun; zero: nobody has hurried it
}

type connKey struct{}

// newClientConns makes room from max connections on, and has at most most of them.
func newClientConns(max, most int) *clientConns {
	return &clientConns{softLimit: max, hardLimit: most, conns: map[net.Conn]*clientConn{}}
}

// maxBusyFraction of the connections may have a request open; the others are for those that still bring one.
const maxBusyFraction = 7.0 / 8

// overloaded tells whether too many connections have a request open for one more.
func (c *clientConns) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := len(c.conns) - c.closing
	for i := range c.evictable {
		busy -= c.evictable[i].Len()
	}
	return float64(busy) > maxBusyFraction*float64(c.hardLimit)
}

// context lets a handler find its connection.
func (c *clientConns) context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// track follows the server's states.
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
		if x := c.conns[nc]; x != nil && x.closing {
			c.closing--
		}
		delete(c.conns, nc)
	}
	for len(c.conns)-c.closing > c.softLimit {
		old := c.nextVictim()
		if old == nil {
			break
		}
		c.evict(old)
	}
}

// evict closes a connection that has no request open.
func (c *clientConns) evict(nc net.Conn) {
	c.setBusy(nc)
	c.conns[nc].closing = true
	c.closing++
	abort(nc) // the server's read then fails, and it reports the close
}

// abort closes a connection at once, with no answer on its way.
func abort(nc net.Conn) {
	if f, ok := nc.(*framedConn); ok {
		f.abort()
		return
	}
	nc.Close()
}

// abortAll closes all connections at once.
func (c *clientConns) abortAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		abort(nc)
	}
}

// closeIdle closes the connections between requests. One on which a request has come that the server has not read
// yet is none of them: who closes it loses that request. It is on its way, and its answer closes the connection.
func (c *clientConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.evictable[idle].Front(); e != nil; {
		nc := e.Value.(net.Conn)
		if e = e.Next(); socket.Look(nc) != socket.Unread {
			c.evict(nc)
		}
	}
}

// nextVictim is the connection to give way next, nil if there is none, or only newcomers and room for them.
func (c *clientConns) nextVictim() net.Conn {
	var oldest net.Conn
	full, burst := len(c.conns)-c.closing > c.hardLimit, false
	for _, kind := range []int{noRequest, readingBody} {
		e := c.candidate(kind, full)
		if e == nil {
			continue
		}
		nc := e.Value.(net.Conn)
		many := c.evictable[kind].Len() > c.softLimit/4
		if many && full || time.Since(c.conns[nc].since) > newConnGracePeriod {
			return nc
		}
		burst = burst || many
		if oldest == nil || c.conns[nc].since.Before(c.conns[oldest].since) {
			oldest = nc
		}
	}
	// Many that come at once push out nobody but each other.
	if e := c.candidate(idle, full); e != nil && !burst {
		return e.Value.(net.Conn)
	}
	if !full {
		return nil
	}
	return oldest
}

// candidate is the oldest connection of a kind that may be closed: one that has brought what nobody has read yet
// is on its way to be served, and goes only where there is no room at all.
func (c *clientConns) candidate(kind int, full bool) *list.Element {
	e := c.evictable[kind].Front()
	for !full && e != nil && socket.Look(e.Value.(net.Conn)) == socket.Unread {
		e = e.Next()
	}
	return e
}

// requestRead tells that the handler's connection has brought a whole request: it stays
// until that is answered. One that has just been made to give way can't carry an answer
// any more, and its client sends the request again: then taken returns false.
func (c *clientConns) requestRead(ctx context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	nc, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	c.setBusy(nc)
	x := c.conns[nc]
	if x == nil || x.closing {
		return false
	}
	if !x.readLimit.IsZero() {
		x.readLimit = time.Time{}
		nc.SetReadDeadline(x.readLimit) // else its end would look like the client's leaving
	}
	return true
}

// empty tells whether nobody is connected.
func (c *clientConns) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) == 0
}

// limitReads gives those that still have to bring a request until a time for it.
func (c *clientConns) limitReads(by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range []int{noRequest, readingBody} {
		for e := c.evictable[kind].Front(); e != nil; e = e.Next() {
			nc := e.Value.(net.Conn)
			c.conns[nc].readLimit = by
			nc.SetReadDeadline(by)
		}
	}
}

// setEvictable puts a connection last among those of a kind.
func (c *clientConns) setEvictable(nc net.Conn, kind int) {
	c.setBusy(nc)
	if x := c.conns[nc]; x != nil && !x.closing {
		x.kind, x.element, x.since = kind, c.evictable[kind].PushBack(nc), time.Now()
	}
}

// setBusy takes a connection off those that may give way.
func (c *clientConns) setBusy(nc net.Conn) {
	if x := c.conns[nc]; x != nil && x.element != nil {
		c.evictable[x.kind].Remove(x.element)
		x.element = nil
	}
}
