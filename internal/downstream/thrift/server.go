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

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
)

const (
	// defaultLinger is how long connections still arrive after Shutdown was called.
	defaultLinger = 500 * time.Millisecond
	// shutdownReadTime is how long a client that has begun a call may still take to send all of it.
	shutdownReadTime = 400 * time.Millisecond
	// shutdownPollInterval is how often Shutdown checks the connections.
	shutdownPollInterval = 10 * time.Millisecond
	// acceptRetryDelay is the delay after an accept for which there was no descriptor.
	acceptRetryDelay = 5 * time.Millisecond
	// maxBusyFraction of the connections may have an open call; the others are for those that still bring one,
	// and could get no answer if they were closed.
	maxBusyFraction = 7.0 / 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Server serves clients on one listener. Its fields are set before Serve.
type Server struct {
	EventLoop    *core.EventLoop
	Upstream     core.Upstream
	Budget       *semaphore.Weighted // memory for messages over the first few KiB
	Table        *Table
	Limits       thriftwire.Limits
	MaxConns     int
	Linger       time.Duration // how long Shutdown keeps serving as before; 0: defaultLinger
	RetryAfterMs float64       // the advice in a rejection, where the core gives none

	lastID atomic.Uint64 // of a call

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	busy     int // connections with an open call
	draining bool
	served   chan struct{}  // closed once nothing more is accepted; nil before Serve
	handlers sync.WaitGroup // of the connections
}

// Serve accepts clients until the listener is closed; then it returns nil.
func (s *Server) Serve(ln net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.conns = map[*clientConn]struct{}{}
	s.served = served
	s.mu.Unlock()
	for {
		nc, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			// Returning would end the agent, with all requests in flight.
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

// accept serves a connection in a goroutine of its own, or closes it where nobody can be evicted for it.
func (s *Server) accept(nc net.Conn) {
	c := &clientConn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), noCallYet: true}
	s.mu.Lock()
	if len(s.conns) >= s.MaxConns && !s.evict() {
		s.mu.Unlock()
		nc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.handlers.Go(func() {
		defer panics.Recover("Thrift", nc.RemoteAddr().String(), nil)
		s.serve(c)
	})
}

// temporaryErrors are those of an accept for lack of descriptors or kernel memory, where the connection stays in the
// queue, and that of a connection that was reset in the queue.
var temporaryErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.ECONNABORTED,
}

// isTemporary says whether accepting may succeed after this error.
func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// evict closes a connection without an open call; false: there is none. The lock is held.
func (s *Server) evict() bool {
	for c := range s.conns {
		if !c.busy {
			delete(s.conns, c)
			c.Close()
			return true
		}
	}
	return false
}

// Shutdown is a graceful shutdown: it loses no call. It keeps serving for Linger, or until nobody is connected,
// then waits for open calls, for drainTimeout at most, and closes each connection after its reply.
func (s *Server) Shutdown(ln net.Listener, drainTimeout time.Duration) {
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	start := time.Now()
	for ; time.Since(start) < s.Linger; time.Sleep(shutdownPollInterval) {
		if s.isEmpty() && time.Since(start) >= defaultLinger {
			break
		}
	}
	s.mu.Lock()
	s.draining = true
	served := s.served
	s.mu.Unlock()
	ln.Close()
	if served != nil {
		<-served // all connections that were accepted are known from here on
	}
	now := time.Now()
	deadline := start.Add(s.Linger).Add(drainTimeout) // a late poll does not extend it
	if now.Before(start.Add(s.Linger)) {
		deadline = now.Add(drainTimeout)
	}
	readDeadline := now.Add(min(drainTimeout/2, shutdownReadTime))
	for time.Now().Before(deadline) && s.closeUnused(readDeadline) {
		time.Sleep(shutdownPollInterval)
	}
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

func (s *Server) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// closeUnused closes connections without a call and returns whether others remain. Closing one on which a call has
// arrived, or has begun to, would lose it; until readDeadline that includes new connections, whose first call is
// on its way.
func (s *Server) closeUnused(readDeadline time.Time) (remain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy || c.mayBringCall() && time.Now().Before(readDeadline) {
			remain = true
		} else {
			c.Close()
		}
	}
	return remain
}

// mayBringCall says whether a call is arriving or on its way. The server's lock is held.
func (c *clientConn) mayBringCall() bool {
	return c.readingCall || c.noCallYet || socket.ReadState(c.Conn) == socket.Unread
}
