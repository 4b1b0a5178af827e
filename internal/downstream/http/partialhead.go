package http

import (
	"io"
	"time"
)

// partialHeadRejection is the answer to a request whose head has not arrived completely when a shutdown ends reading.
const partialHeadRejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// hasPartialHead reports whether a part of a head has been received, and nothing behind the last answer before it.
func (c *framedConn) hasPartialHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.state == inHead && c.framing.headBytes > 0 && c.framing.heads == c.requests
}

// drain makes a head that is incomplete at the read deadline be rejected.
func (c *framedConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// rejectsPartialHead reports whether the connection has a partial head, which is rejected.
func (c *framedConn) rejectsPartialHead() bool {
	c.mu.Lock()
	draining := c.draining
	c.mu.Unlock()
	return draining && c.hasPartialHead()
}

// rejectPartialHead answers a request whose head is incomplete. net/http, whose read fails, closes the connection then.
// Otherwise its client might have sent the rest to a connection that ends with no answer.
func (c *framedConn) rejectPartialHead() {
	c.expectMore()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c.Conn, partialHeadRejection) // fails only if the client has disconnected
}
