package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// framedListener accepts connections whose framing is followed.
type framedListener struct{ net.Listener }

// Accept accepts one connection.
func (l framedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(nc), nil
}

// framedConn is a client's connection whose framing is followed, and whose disconnect is detected.
type framedConn struct {
	net.Conn
	disconnect disconnectDetector

	mu       sync.Mutex // net/http reads ahead in the background
	framing  framingChecker
	requests int // that the handler has seen
}

// newFramedConn follows a new connection.
func newFramedConn(nc net.Conn) *framedConn {
	c := &framedConn{Conn: nc, framing: framingChecker{length: -1}}
	c.disconnect.conn = nc
	c.disconnect.onRead = c.follow
	c.disconnect.disconnected = make(chan struct{})
	return c
}

// Read reads from the connection, or what the detector has read ahead.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.disconnect.stopAndRead(p)
	if n == 0 && err == nil {
		n, err = c.read(p)
	}
	if n == 1 && len(p) == 1 {
		c.disconnect.start() // this was net/http's own check for a disconnect, which has ended
	}
	return n, err
}

func (c *framedConn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.betweenRequests() {
		// A request that arrives in the moment in which its connection is closed as idle is served.
		if arrived := socket.ReadNow(c.Conn, p); arrived > 0 {
			n = arrived
			err = nil
		}
	}
	c.follow(p[:n])
	return n, err
}

func (c *framedConn) follow(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.feed(p)
}

// SetReadDeadline sets the deadline through the detector, which needs it to end its own reads.
func (c *framedConn) SetReadDeadline(t time.Time) error { return c.disconnect.setReadDeadline(t) }

// SetDeadline sets the deadline of reads and writes.
func (c *framedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite lets net/http end its sending before it closes the connection, as it does on TCP connections.
func (c *framedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// betweenRequests says whether nothing of a request has arrived after the last one.
func (c *framedConn) betweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.state == inHead && !c.framing.headBegun && len(c.framing.line) == 0
}

// trustNextRequest counts a request and says whether its framing can be trusted.
func (c *framedConn) trustNextRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.framing.firstUntrusted == 0 || c.requests < c.framing.firstUntrusted
}

// Close closes the connection without a reset that would take an answer with it, even if its client has sent more.
func (c *framedConn) Close() error {
	c.disconnect.mu.Lock()
	readAhead := len(c.disconnect.readAhead) > 0
	c.disconnect.mu.Unlock()
	return socket.LingeringClose(c.Conn, readAhead)
}

// abort closes the connection at once.
func (c *framedConn) abort() error { return c.Conn.Close() }

// SyscallConn lets package socket check the connection beside its reader.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
