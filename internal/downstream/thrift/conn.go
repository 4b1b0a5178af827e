package thrift

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
)

const (
	// readTimeout bounds how long a message may take to arrive after its first byte.
	readTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection may be idle between calls.
	idleTimeout = 10 * time.Second
)

// errOverBudget is the error of a message for which the budget has no memory.
var errOverBudget = errors.New("thrift: no memory for a message")

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	transport thriftwire.Transport // 0: not detected yet
	// queued are messages that arrived while an earlier call was open, at most maxQueuedCalls. They are read
	// ahead so that a disconnect that follows them is detected.
	queued []message

	// Guarded by the server's lock:
	busy        bool // a call is open
	readingCall bool // a call has begun to arrive and is not open yet
	noCallYet   bool // no call has begun to arrive on this connection
}

// message is a message that was read, or the error that ended reading.
type message struct {
	bytes      []byte
	head       thriftwire.Message
	receivedAt time.Time
	reserved   int64 // bytes reserved from the budget
	err        error
}

// serve handles the calls of a connection one at a time, in order of arrival.
func (s *Server) serve(c *clientConn) {
	messages := make(chan message)
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { s.readMessages(c, messages, stop) })
	unreadable := false // the client may still be sending the rest of a message
	defer func() {
		close(stop)
		socket.LingeringClose(c.Conn, unreadable || len(c.queued) > 0)
		reader.Wait()
		for i := range c.queued {
			s.Budget.Release(c.queued[i].reserved)
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		m := c.nextMessage(messages, idle)
		if m == nil {
			return
		}
		if m.err != nil {
			unreadable = true
			s.rejectUnreadable(c, m)
			return
		}
		if !s.serveCall(c, m, messages) {
			return
		}
	}
}

// serveCall handles one call, and returns false if the connection is to be closed.
func (s *Server) serveCall(c *clientConn, m *message, messages <-chan message) (ok bool) {
	overloaded := s.beginCall(c)
	defer func() {
		draining := s.endCall(c)
		ok = ok && !draining
	}()
	defer s.Budget.Release(m.reserved)
	return s.handle(c, m, messages, overloaded)
}

// nextMessage returns the first queued message, else waits for one. It returns nil after idleTimeout.
func (c *clientConn) nextMessage(messages <-chan message, idle *time.Timer) *message {
	if len(c.queued) > 0 {
		m := &c.queued[0]
		c.queued = c.queued[1:]
		return m
	}
	idle.Reset(idleTimeout)
	select {
	case m := <-messages:
		return &m
	case <-idle.C:
		return nil
	}
}

// beginCall records that the connection has an open call, and reports whether too many connections have one.
func (s *Server) beginCall(c *clientConn) (overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = true
	c.readingCall = false
	s.busy++
	return float64(s.busy) > maxBusyFraction*float64(s.MaxConns)
}

// endCall records that the call has been answered, and reports whether the server is draining.
func (s *Server) endCall(c *clientConn) (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	s.busy--
	return s.draining
}

// readMessages reads messages until an error or stop.
func (s *Server) readMessages(c *clientConn, messages chan<- message, stop <-chan struct{}) {
	for {
		m := s.readMessage(c)
		select {
		case messages <- m:
		case <-stop:
			s.Budget.Release(m.reserved)
			return
		}
		if m.err != nil {
			return
		}
	}
}

// readMessage reads the next message.
func (s *Server) readMessage(c *clientConn) (m message) {
	defer panics.Recover("reading Thrift", c.RemoteAddr().String(), func() { m.err = panics.ErrRecovered })
	c.SetReadDeadline(time.Time{}) // serve has the idle timeout
	if c.transport == 0 {
		if err := c.detectTransport(); err != nil {
			return message{err: err}
		}
	}
	if _, err := c.reader.Peek(1); err != nil {
		return message{err: err}
	}
	s.mu.Lock()
	c.readingCall = true
	c.noCallYet = false
	s.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(readTimeout))
	m.bytes, m.head, m.err = upstream.Read(c.reader, c.transport, s.Limits, s.Table.paths, func(n int64) error {
		if !s.Budget.TryAcquire(n) {
			return errOverBudget
		}
		m.reserved += n
		return nil
	})
	m.receivedAt = time.Now()
	return m
}

// detectTransport detects the transport of a connection by its first bytes.
func (c *clientConn) detectTransport() error {
	for n := 1; ; n++ {
		if _, err := c.reader.Peek(n); err != nil {
			return err
		}
		if n == 1 {
			c.SetReadDeadline(time.Now().Add(readTimeout))
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		transport, _, detected, err := thriftwire.Detect(b)
		if err != nil {
			return err
		}
		if detected {
			c.transport = transport
			return nil
		}
		n = len(b)
	}
}
