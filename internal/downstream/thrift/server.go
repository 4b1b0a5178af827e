package thrift

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/downstream/closelog"
	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/stall"
	"ringtrack.example/ringtrack/internal/thriftwire"
)

const (
	// acceptRetryDelay is the delay after a temporary error of an accept.
	acceptRetryDelay = 5 * time.Millisecond
	// maxBusyFraction is the part of MaxConns that may have an open call. The rest is for connections that
	// have yet to deliver one, and would get no answer if they were closed.
	maxBusyFraction = 7.0 / 8
	// roomPollInterval is how often a connection that was accepted checks for room, maxRoomWait for how long altogether,
	// and maxRoomWaitAtEnd while the server shuts down.
	roomPollInterval = time.Millisecond
	maxRoomWait      = time.Second
	maxRoomWaitAtEnd = 100 * time.Millisecond
	// firstBytesTime is how long a new connection may be silent before it gives way to another one.
	firstBytesTime = 150 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// closedLogRate and closedLogBurst bound the lines of closedLog, per second and at once.
	closedLogRate, closedLogBurst = 1, 10
)

// Server serves clients on one listener. Its fields are set before Serve.
type Server struct {
	EventLoop    *core.EventLoop
	Upstream     core.Upstream
	Budget       *semaphore.Weighted // memory for the bytes of messages after the first few KiB
	BudgetBytes  int64               // size of the budget, which bounds how fast messages are buffered; 0: that is not bounded
	Table        *Table
	Limits       thriftwire.Limits
	MaxConns     int
	ConnMemory   int // for the connections of clients, in bytes; 0: not bounded
	Stalls       *stall.Watcher
	RetryAfterMs float64 // of a rejection for which the core gives no time

	lastID  atomic.Uint64 // of a call
	buffers *pace.Buffers // for messages of clients, from the budget
	answers *pace.Answers
	// replacements bounds how fast connections take the place of others.
	replacements *pace.Replacements
	closed       *closelog.Log // nil before Serve
	// closedLog bounds the log lines about connections that are closed for what clients sent.
	closedLog *rate.Limiter

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	busy     int // number of connections with an open call
	draining bool
	schedule shutdown.Schedule // with draining
	served   chan struct{}     // closed when Serve returns; nil before Serve
	handlers sync.WaitGroup    // goroutines of the connections
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.conns = map[*clientConn]struct{}{}
	s.served = served
	s.mu.Unlock()
	s.buffers = pace.NewBuffers(s.Budget, s.BudgetBytes)
	s.answers = pace.NewAnswers()
	s.closed = closelog.New("Thrift")
	s.closedLog = rate.NewLimiter(closedLogRate, closedLogBurst)
	s.replacements = pace.NewReplacements(s.ConnMemory)
	accepted := pace.NewListener(ln, mayHoldCall, nil) // one-way calls have no answer to wait for
	for {
		nc, err := accepted.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			// Returning would end the agent, and with it all requests in flight.
			s.mu.Lock()
			s.evict()
			s.mu.Unlock()
			time.Sleep(acceptRetryDelay)
		case err != nil:
			return fmt.Errorf("thrift: %w", err)
		default:
			s.accept(nc)
		}
	}
}

// accept serves a connection in a new goroutine, once there is room for it.
func (s *Server) accept(nc net.Conn) {
	c := &clientConn{
		Conn:       nc,
		acceptedAt: time.Now(),
		noCallYet:  true,
		pace:       s.answers.NewConn(),
	}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	if !s.awaitRoom(c) {
		s.closed.Record(closelog.NoRoom, nc.RemoteAddr().String())
		nc.Close()
		return
	}
	s.handlers.Go(func() {
		defer panics.Recover("Thrift", nc.RemoteAddr().String(), nil)
		s.serve(c)
	})
}

// awaitRoom adds a connection once there are fewer than MaxConns, or another one has given way. It returns false if that
// is not so within maxRoomWait.
func (s *Server) awaitRoom(c *clientConn) bool {
	for begin := time.Now(); ; time.Sleep(roomPollInterval) {
		added, draining := s.addIfRoom(c, false)
		if added {
			return true
		}
		if !draining {
			s.replacements.Wait()
		}
		if added, _ := s.addIfRoom(c, true); added {
			return true
		}
		if waited := time.Since(begin); waited >= maxRoomWait || draining && waited >= maxRoomWaitAtEnd {
			return false
		}
	}
}

// addIfRoom adds a connection if there is room for it; with evict set, another one may give way. It reports whether the
// server is draining, too.
func (s *Server) addIfRoom(c *clientConn, evict bool) (added, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.MaxConns && (!evict || !s.evict()) {
		return false, s.draining
	}
	s.conns[c] = struct{}{}
	return true, s.draining
}

// temporaryErrors are the errors of an accept for lack of descriptors or kernel memory, after which the
// connection stays in the accept queue, and that of a connection that was reset in the queue.
var temporaryErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.ECONNABORTED,
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// evict ends a connection without a call that was read and not answered: an idle one, else a new one, else one
// whose call is incomplete. None of which bytes are unread is, as they may complete a call. It returns false if there is
// none. The lock is held.
func (s *Server) evict() bool {
	var victim *clientConn
	for c := range s.conns {
		if c.unanswered > 0 || victim != nil && victim.evictionRank() <= c.evictionRank() {
			continue
		}
		if socket.ReadState(c.Conn) != socket.Unread && !c.awaitsFirstBytes() {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	delete(s.conns, victim)
	victim.endReading()
	return true
}

// awaitsFirstBytes reports whether a connection is so new that its client may just be sending its call. The server's lock
// is held.
func (c *clientConn) awaitsFirstBytes() bool {
	return c.noCallYet && time.Since(c.acceptedAt) < firstBytesTime
}

// evictionRank returns the rank of a connection among those that may be evicted, the lowest first. The server's lock
// is held.
func (c *clientConn) evictionRank() int {
	switch {
	case c.readingCall:
		return 2
	case c.noCallYet:
		return 1
	}
	return 0
}
