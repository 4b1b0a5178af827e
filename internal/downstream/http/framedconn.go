package http

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/stall"
)

// framedListener accepts connections as a framedConn each.
type framedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l framedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(nc), nil
}

// roomyListener returns connections as there is room for them, and bounds how fast their first requests are parsed.
type roomyListener struct {
	framedListener
	conns         *clientConns
	firstRequests *pace.FirstRequests
	stalls        *stall.Watcher
}

// Accept implements net.Listener.
func (l roomyListener) Accept() (net.Conn, error) {
	nc, err := l.framedListener.Accept()
	if err != nil {
		return nil, err
	}
	conn := nc.(*framedConn)
	conn.firstRequests = l.firstRequests
	conn.stalls = l.stalls
	l.conns.awaitRoom()
	return nc, nil
}

// mayHoldRequest reports whether the beginning of what a client has sent before it closed may hold the head of a request.
func mayHoldRequest(sent []byte) bool {
	return len(sent) >= minHeadBytes && (bytes.Contains(sent, []byte("\n\r\n")) || bytes.Contains(sent, []byte("\n\n")) || len(sent) >= maxShortHead)
}

const (
	// minHeadBytes is the length of the shortest head of a request: a method, a target and a version.
	minHeadBytes = len("A / HTTP/1.1\r\n\r\n")
	// maxShortHead is the length from which the end of a head is not looked for.
	maxShortHead = 512
)

// errFramingEnded is the error of reading behind a message that can't be used.
var errFramingEnded = errors.New("http: nothing is read behind a message that can't be used")

// framedConn is a client's connection that checks the framing of requests and detects the disconnect.
type framedConn struct {
	net.Conn
	raw        syscall.RawConn // nil: the connection has no descriptor
	disconnect disconnectDetector
	stalls     *stall.Watcher

	firstRequests *pace.FirstRequests // nil: the first request was parsed, or need not wait

	onHeadGrown func(bytes int) // called as a head has grown; nil: nobody wants to know. Set before the first read.

	// mu makes it one step to receive bytes and to check their framing, so that a close for want of room never comes
	// between the two. net/http also reads in the background.
	mu           sync.Mutex
	framing      framingChecker
	requests     int       // number of requests that the handler has been called for
	reportedHead int       // bytes that onHeadGrown was last called with
	closing      bool      // nothing more is received
	isLate       bool      // see late
	receivedAt   time.Time // when the last bytes arrived
	moreArrives  bool      // the client may be sending as the connection is closed
	draining     bool      // a head that is incomplete at the read deadline is rejected
	endOpen      func()    // ends the time of the open request; nil: there is none

	// Only the handler uses these. rejecting says that the connection ends: requests that arrived behind the last
	// answer are rejected.
	rejecting bool
	pace      *pace.Conn // nil before the first request
}

// newFramedConn wraps a new connection.
func newFramedConn(nc net.Conn) *framedConn {
	c := &framedConn{Conn: nc, framing: framingChecker{contentLength: -1}}
	c.raw, _ = c.SyscallConn()
	c.disconnect.conn = nc
	c.disconnect.receive = c.receive
	c.disconnect.readsEnough = c.readsEnoughAhead
	c.disconnect.disconnected = make(chan struct{})
	return c
}

// Read reads what the detector has read ahead, and then from the connection.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.disconnect.stopAndRead(p)
	if n == 0 && err == nil {
		n, err = c.read(p)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.rejectsPartialHead() {
		c.rejectPartialHead()
	}
	if c.firstRequests != nil && c.hasCompleteHead() {
		hungUp := func() bool { return socket.HungUp(c.Conn) }
		if !c.firstRequests.Wait(c.headBytes(), hungUp) {
			return 0, io.EOF
		}
		c.firstRequests = nil
	}
	if n == 1 && len(p) == 1 {
		c.disconnect.start() // net/http's own check for a disconnect has read this byte and thereby ended
	}
	return n, err
}

func (c *framedConn) read(p []byte) (int, error) {
	// net/http reads a single byte only to detect a disconnect.
	detectsDisconnect := len(p) == 1
	if c.framingEnded() && !detectsDisconnect {
		return 0, errFramingEnded
	}
	n, usable, err := c.receive(p)
	switch {
	case usable == n || detectsDisconnect:
		return n, err
	case usable == 0:
		return 0, errFramingEnded
	}
	return usable, nil
}

func (c *framedConn) framingEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.ended()
}

// SetReadDeadline goes through the detector, which sets a deadline of its own to end its reads.
func (c *framedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || t.After(time.Now()) {
		c.setLate(false)
	}
	return c.disconnect.setReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *framedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite lets net/http shut down writing before it closes the connection, as it does with a TCP
// connection.
func (c *framedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// reserveClose ends receiving, so that the connection can be closed without loss: a request that arrives later stays
// unread. It returns false if a request has been received and not answered, or bytes are unread. handling says that the
// connection's last request is being handled; unread ignores unread bytes.
func (c *framedConn) reserveClose(handling, unread bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdsRequest(handling) || !unread && socket.ReadState(c.Conn) == socket.Unread && !c.lacksBody() {
		return false
	}
	c.closing = true
	return true
}

// holdsRequest reports whether a request has been received completely and not answered. The lock is held.
func (c *framedConn) holdsRequest(handling bool) bool {
	return c.framing.heads > c.requests || handling && c.framing.messages >= c.requests
}

// hasCompleteHead reports whether the head of a request has been received.
func (c *framedConn) hasCompleteHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.heads > 0
}

// headBytes returns the bytes of the head that was received last.
func (c *framedConn) headBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.heldHeadBytes()
}

// lastReceipt returns when the last bytes arrived that were received.
func (c *framedConn) lastReceipt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedAt
}

// lacksBody reports whether the body of a request has not arrived completely, though there are unread bytes. The lock is
// held.
func (c *framedConn) lacksBody() bool {
	if c.framing.state != inBody {
		return false
	}
	unread, known := socket.UnreadBytes(c.Conn)
	return known && int64(unread) < c.framing.remaining
}

// hasIncompleteBody is lacksBody for callers without the lock.
func (c *framedConn) hasIncompleteBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lacksBody()
}

// hasCompleteRequest is holdsRequest for callers without the lock.
func (c *framedConn) hasCompleteRequest(handling bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsRequest(handling)
}

// checkNextRequest counts a request. It returns a *requestError if its head can't be used, errFramingDisagreement if
// net/http has read something else than was checked.
func (c *framedConn) checkNextRequest(req *http.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if err := c.framing.checkHead(c.requests); err != nil {
		return err
	}
	if head, ok := c.framing.received.take(); !ok || !head.matches(req) {
		return errFramingDisagreement
	}
	return nil
}

// rejectMore makes the connection end behind the requests that have arrived, which are rejected.
func (c *framedConn) rejectMore() {
	c.rejecting = true
	c.expectMore()
}

// expectMore makes Close read what the client goes on sending, for a short time.
func (c *framedConn) expectMore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moreArrives = true
}

// setOpenRequest sets the function that ends the time of the open request; nil: there is none.
func (c *framedConn) setOpenRequest(end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endOpen = end
}

// endOpenRequest ends the time of the open request.
func (c *framedConn) endOpenRequest() {
	c.mu.Lock()
	end := c.endOpen
	c.endOpen = nil
	c.mu.Unlock()
	if end != nil {
		end()
	}
}

// readsEnoughAhead reports whether maxReceivedHeads have been received.
func (c *framedConn) readsEnoughAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.framing.received.heads) >= maxReceivedHeads
}

// Close closes the connection without a reset, which could destroy the last answer, even if the client has
// sent bytes that were not read.
func (c *framedConn) Close() error {
	readAhead := c.disconnect.close()
	c.mu.Lock()
	readAhead = readAhead || c.moreArrives
	c.mu.Unlock()
	return socket.LingeringClose(c.Conn, readAhead)
}

// abort closes the connection at once, without regard to an answer.
func (c *framedConn) abort() error { return c.Conn.Close() }

// SyscallConn lets package socket check the connection while another goroutine reads from it.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
