package thrift

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
)

const (
	// readTimeout bounds how long a message may take to arrive after its first byte.
	readTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection may be idle between calls.
	idleTimeout = 10 * time.Second
)

// errReadingStopped ends the messages of a connection on which no more calls are read.
var errReadingStopped = errors.New("thrift: reading has been stopped")

// errOverBudget is the error of a message for which the budget has no memory.
var errOverBudget = errors.New("thrift: no memory for a message")

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	transport thriftwire.Transport // 0: not detected yet
	// queued are messages that arrived while an earlier call was open, at most maxReservedCalls. They are read
	// ahead so that a disconnect that follows them is detected.
	queued []message

	acceptedAt time.Time
	replied    bool // the last call got a reply
	pace       *pace.Conn
	// rejecting says that the connection ends: of the calls that were read behind the last answer those that
	// want a reply are rejected.
	rejecting bool
	pipelined bool // such calls were read; more may be arriving as the connection closes

	// Guarded by the server's lock:
	unanswered    int       // calls that were read and have not been answered, including the open one
	readingCall   bool      // a call has begun to arrive and was not read completely
	callBegunAt   time.Time // when the last call began to arrive, as far as the reader has seen
	noCallYet     bool      // no call has begun to arrive on this connection
	stopping      bool      // the reader ends behind what has arrived
	readerStopped bool      // it has ended
	endOpen       func()    // ends the time of the open call; nil: there is none that wants a reply, or it was ended
}

// message is a message that was read, or the error that ended reading.
type message struct {
	bytes      []byte
	head       thriftwire.Message
	receivedAt time.Time
	reserved   int64 // bytes reserved from the budget
	err        error
	// queueReserved says that reserved includes what the message takes in the queue.
	queueReserved bool
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
		socket.LingeringClose(c.Conn, unreadable || len(c.queued) > 0 || c.pipelined)
		reader.Wait()
		for i := range c.queued {
			s.buffers.Release(c.queued[i].reserved)
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		m := c.nextMessage(messages, idle)
		s.awaitPace(c)
		switch {
		case m == nil: // idle; a call that is arriving just now is still served
			s.mu.Lock()
			c.stopReading()
			s.mu.Unlock()
		case errors.Is(m.err, errReadingStopped):
			return
		case m.err != nil:
			unreadable = true
			s.rejectUnreadable(c, m)
			return
		case !s.serveCall(c, m, messages):
			return
		}
	}
}

// serveCall handles one call, and returns false if the connection is to be closed at once. While the server is
// draining, the first answer is the last one but for rejections: the connection closes behind what was read.
func (s *Server) serveCall(c *clientConn, m *message, messages <-chan message) (ok bool) {
	overloaded := s.beginCall()
	c.replied = false
	defer func() {
		if s.endCall(c) && c.replied {
			s.endBehindAnswer(c)
		}
	}()
	defer s.buffers.Release(m.reserved)
	return s.handle(c, m, messages, overloaded)
}

// awaitPace waits if the connection has had many answers that needed no server. A draining server has no time for that.
func (s *Server) awaitPace(c *clientConn) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if !draining {
		c.pace.Wait()
	}
}

// endBehindAnswer ends a connection behind the calls that have been read or have arrived.
func (s *Server) endBehindAnswer(c *clientConn) {
	c.rejecting = true
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stopReading()
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

// beginCall records that a connection has an open call, and reports whether too many have one.
func (s *Server) beginCall() (overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
	return float64(s.busy) > maxBusyFraction*float64(s.MaxConns)
}

// endCall records that the call has been answered, and reports whether the server is draining.
func (s *Server) endCall(c *clientConn) (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.endOpen = nil
	c.unanswered--
	c.endSendingIfDone()
	s.busy--
	return s.draining
}
