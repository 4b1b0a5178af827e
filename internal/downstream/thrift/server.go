package thrift

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
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
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/stall"
	"ringtrack.example/ringtrack/internal/thriftwire"
)

const (
	// defaultLinger is how long Shutdown keeps serving as before, as clients still connect for a while.
	defaultLinger = 500 * time.Millisecond
	// shutdownReadTime is how long a client whose call is incomplete when the drain begins may still take to
	// send the rest.
	shutdownReadTime = 400 * time.Millisecond
	// owedAnswerTime is how long after drainTimeout calls are still waited for that were read and not answered.
	owedAnswerTime = time.Second
	// shutdownPollInterval is how often Shutdown checks the connections.
	shutdownPollInterval = 10 * time.Millisecond
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
	ConnMemory   int           // for the connections of clients, in bytes; 0: not bounded
	Linger       time.Duration // how long Shutdown keeps serving as before; 0: defaultLinger
	SignaledAt   time.Time     // when the shutdown was asked for, which Linger counts from; zero: when Shutdown is called
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
	// readDeadline is until when a shutdown waits for calls to arrive completely.
	readDeadline time.Time
	served       chan struct{}  // closed when Serve returns; nil before Serve
	handlers     sync.WaitGroup // goroutines of the connections
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
		reader:     bufio.NewReaderSize(nc, readBufferBytes),
		acceptedAt: time.Now(),
		noCallYet:  true,
		pace:       s.answers.NewConn(),
	}
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

// Shutdown shuts the server down without losing a call. It serves as before for Linger, or until no client is
// connected. Then it closes the listener, waits up to drainTimeout for open calls, and closes each connection
// after its reply.
func (s *Server) Shutdown(ln net.Listener, drainTimeout time.Duration) {
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	noticed := time.Now()
	start := noticed
	if !s.SignaledAt.IsZero() {
		start = s.SignaledAt
	}
	for ; time.Since(start) < s.Linger; time.Sleep(shutdownPollInterval) {
		if s.isEmpty() && time.Since(noticed) >= defaultLinger {
			break
		}
	}
	now := time.Now()
	deadline := start.Add(s.Linger).Add(drainTimeout) // a late poll does not extend it
	if now.Before(start.Add(s.Linger)) {
		deadline = now.Add(drainTimeout)
	}
	s.logProgress("drain begins", start)
	served := s.beginDrain(now.Add(min(drainTimeout/2, shutdownReadTime)))
	listenUntil := deadline.Add(-drainTimeout / 2)
	if until := noticed.Add(min(s.Linger, defaultLinger)); until.Before(listenUntil) {
		listenUntil = until
	}
	for time.Now().Before(listenUntil) {
		s.closeUnused()
		time.Sleep(shutdownPollInterval)
	}
	ln.Close()
	if served != nil {
		<-served // from here on conns has all connections that were accepted
	}
	for time.Now().Before(deadline) && s.closeUnused() {
		time.Sleep(shutdownPollInterval)
	}
	if s.owesAnswers() {
		s.logProgress("answers are due", start)
	}
	for time.Since(deadline) < owedAnswerTime && s.owesAnswers() {
		time.Sleep(shutdownPollInterval)
	}
	s.mu.Lock()
	for c := range s.conns {
		if c.unanswered > 0 {
			s.closed.Record(closelog.ShutdownDeadline, c.RemoteAddr().String())
		}
		c.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
	if s.closed != nil {
		s.closed.LogTotals()
	}
}

// logProgress logs a step of a shutdown with the clients that are connected then.
func (s *Server) logProgress(step string, signaledAt time.Time) {
	s.mu.Lock()
	connected, busy := len(s.conns), s.busy
	s.mu.Unlock()
	slog.Info(step, "listener", "Thrift", "connected", connected, "open_requests", busy, "since_signal", time.Since(signaledAt))
}

// beginDrain makes each connection end behind its next answer. Calls that are arriving are read until readDeadline.
func (s *Server) beginDrain(readDeadline time.Time) (served chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.readDeadline = readDeadline
	return s.served
}

// owesAnswers reports whether any call was read and not answered.
func (s *Server) owesAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.unanswered > 0 {
			return true
		}
	}
	return false
}

func (s *Server) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// closeUnused makes connections end that have no call, and reports whether any connection remains. Until the read
// deadline it spares those on which a call is arriving, and new ones, whose first call may be on its way: closing
// them would lose the call.
func (s *Server) closeUnused() (remain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	readTimeLeft := time.Now().Before(s.readDeadline)
	for c := range s.conns {
		switch {
		case c.unanswered > 0 || c.mayDeliverCall() && readTimeLeft:
		case !c.readingCall:
			c.stopReading()
		case socket.ReadState(c.Conn) != socket.Unread:
			c.endReading()
		}
	}
	return len(s.conns) > 0
}

// mayDeliverCall reports whether a call is arriving or may be on its way. The server's lock is held.
func (c *clientConn) mayDeliverCall() bool {
	return c.readingCall || c.noCallYet || socket.ReadState(c.Conn) == socket.Unread
}
