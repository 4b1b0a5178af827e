package thrift

import (
	"errors"
	"os"
	"time"

	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
)

// expiredDeadline makes reads fail immediately.
var expiredDeadline = time.Unix(1, 0)

// readMessages reads messages until an error or stop.
func (s *Server) readMessages(c *clientConn, messages chan<- message, stop <-chan struct{}) {
	for {
		m := s.readMessage(c)
		select {
		case messages <- m:
		case <-stop:
			s.buffers.Release(m.reserved)
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
	if err := s.awaitCall(c); err != nil {
		return message{err: err}
	}
	if c.transport == 0 {
		if err := c.detectTransport(); err != nil {
			return message{err: err}
		}
	}
	m.bytes, m.head, m.err = upstream.Read(c.reader, c.transport, s.Limits, s.Table.paths, func(n int64) error {
		if !s.buffers.TryAcquire(n) {
			return errOverBudget
		}
		m.reserved += n
		return nil
	})
	m.receivedAt = s.Stalls.Arrival(c.Conn)
	if m.err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.readingCall = false
		c.unanswered++
	}
	return m
}

// awaitCall waits for the first byte of a call and then sets the deadline for the rest. It returns
// errReadingStopped if reading has been stopped and nothing more has arrived.
func (s *Server) awaitCall(c *clientConn) error {
	for {
		if !s.mayRead(c) {
			return errReadingStopped
		}
		_, err := c.reader.Peek(1)
		s.mu.Lock()
		stopped := err != nil && c.stopping && errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil {
			c.readingCall = true
			c.callBegunAt = time.Now()
			c.noCallYet = false
			c.SetReadDeadline(c.callBegunAt.Add(readTimeout))
		}
		s.mu.Unlock()
		if !stopped {
			return err
		}
	}
}

// mayRead reports whether another call may be read, and removes the read deadline; serve has the idle timeout.
// After a stop that is the case only for bytes that have been read from the socket, or have arrived before the end of a
// shutdown.
func (s *Server) mayRead(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.stopping && c.reader.Buffered() == 0 {
		if s.draining && !s.mayHoldUnread(time.Now()) || socket.ReadState(c.Conn) != socket.Unread {
			c.readerStopped = true
			c.endSendingIfDone()
			return false
		}
	}
	c.SetReadDeadline(time.Time{})
	return true
}

// endSendingIfDone closes the sending side if nothing more is read and no answer is owed. A reply does not say that its
// connection ends, and the client would send on until the connection is closed, for which another goroutine has to run. The
// server's lock is held.
func (c *clientConn) endSendingIfDone() {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.readerStopped && c.unanswered == 0 {
		_ = conn.CloseWrite() // fails only if the client has disconnected
	}
}

// stopReading ends the reader behind what has arrived. The server's lock is held.
func (c *clientConn) stopReading() {
	c.stopping = true
	if !c.readingCall {
		c.SetReadDeadline(expiredDeadline)
	}
}

// endReading is stopReading, and ends a call that has not arrived completely, too. One that has been received completely is
// still served. The server's lock is held.
func (c *clientConn) endReading() {
	c.stopping = true
	c.SetReadDeadline(expiredDeadline)
}

// Read implements net.Conn. Of a call that has begun it reads what has arrived though the read deadline has passed: the
// process may not have run when it came. Only the reader calls it, which alone changes readingCall.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.readingCall || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if arrived := socket.ReadNow(c.Conn, p); arrived > 0 {
		return arrived, nil
	}
	return n, err
}

// detectTransport detects the transport of a connection by its first bytes.
func (c *clientConn) detectTransport() error {
	for n := 1; ; n++ {
		if _, err := c.reader.Peek(n); err != nil {
			return err
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
