package http

import (
	"context"
	"net"
	"time"
)

const (
	// connBytes is about the memory that a connection takes: net/http's buffers, and the stacks of its goroutines.
	connBytes = 16 << 10
	// headFactor is how many bytes a byte of a head takes, as it is read and as it is parsed.
	headFactor = 2
	// streamBytes is about the memory of a body that is forwarded as it arrives: its buffers, and its connection to the
	// other side.
	streamBytes = 32 << 10
	// headReportBytes is by how much a head has to grow until that is accounted for.
	headReportBytes = 2 << 10
	// uploadDivisor determines the number of requests whose bodies may be forwarded at the same time: the hard limit of
	// connections divided by it. Each takes a connection to a server.
	uploadDivisor = 16
	// progressInterval is how often the progress of a body is recorded.
	progressInterval = 20 * time.Millisecond
)

// setMemoryLimit sets memoryLimit, and evicts connections that exceed it.
func (c *clientConns) setMemoryLimit(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memoryLimit = bytes
	c.evictExcess()
}

// memory returns memoryLimit.
func (c *clientConns) memory() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memoryLimit
}

// setWeight records the memory that a connection takes. The lock is held.
func (c *clientConns) setWeight(nc net.Conn, bytes int) {
	conn := c.conns[nc]
	if conn == nil || conn.closing {
		return
	}
	c.weight += bytes - conn.weight
	if conn.element != nil {
		c.evictableWeight += bytes - conn.weight
	}
	conn.weight = bytes
}

// followHead accounts for the heads of a connection as they grow. The lock is held.
func (c *clientConns) followHead(nc net.Conn) {
	framed, ok := nc.(*framedConn)
	if !ok || c.memoryLimit == 0 {
		return
	}
	framed.onHeadGrown = func(bytes int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setWeight(nc, connBytes+headFactor*bytes)
		c.evictExcess()
	}
}

// addStream accounts for a body that is forwarded on the connection of a request. The lock is held.
func (c *clientConns) addStream(nc net.Conn) {
	if conn := c.conns[nc]; conn != nil {
		c.setWeight(nc, conn.weight+streamBytes)
	}
}

// uploadBegins records that the rest of a request's body is forwarded as it arrives. Until uploadEnds the connection may
// be evicted, the one with the oldest progress first. It returns false if there are too many such connections, and all
// of them make progress.
func (c *clientConns) uploadBegins(ctx context.Context) (accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	nc, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	if conn := c.conns[nc]; conn == nil || conn.closing {
		return false
	}
	if c.evictable[forwardingBody].Len() >= max(c.hardLimit/uploadDivisor, 1) && !c.evictSlowUpload() {
		return false
	}
	c.setEvictable(nc, forwardingBody)
	c.addStream(nc)
	c.evictExcess()
	return true
}

// evictSlowUpload evicts the upload whose client has sent nothing for the longest time, and returns false if there is none:
// one with unread bytes waits for its server. The lock is held.
func (c *clientConns) evictSlowUpload() bool {
	e := c.candidate(forwardingBody, false)
	if e == nil {
		return false
	}
	slowest := e.Value.(net.Conn)
	if time.Since(c.conns[slowest].since) < newConnGracePeriod {
		return false
	}
	return c.evict(slowest, false)
}

// bodyProgresses records that bytes of a body have arrived.
func (c *clientConns) bodyProgresses(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[nc]
	if conn == nil || conn.element == nil || conn.kind != readingBody && conn.kind != forwardingBody {
		return
	}
	conn.since = time.Now()
	c.evictable[conn.kind].MoveToBack(conn.element)
}
