package http

import (
	"fmt"
	"net"
	"time"
)

const (
	// defaultLinger is how long connections still arrive after the signal: 0.4 s at most, and what is in the
	// accept queue by then.
	defaultLinger = 500 * time.Millisecond
	// shutdownPollInterval is how often Shutdown checks whether any client is still connected.
	shutdownPollInterval = 20 * time.Millisecond
	// shutdownReadTime is how long a client that has begun a request may still take to send all of it.
	shutdownReadTime = 400 * time.Millisecond
)

// Shutdown is a graceful shutdown: it loses no request. Connections still arrive for a while after the signal, and
// closing the accept queue would reset them; clients use their open connections for as long as these stay open,
// and one whose connection is closed may find no other server. So the server keeps serving as before for Linger,
// or until nobody is connected. Then each answer closes its connection, idle ones are closed, and a moment later
// the listener. It waits for requests in flight until drainTimeout after that, and for clients that have sent no
// complete request for half of it at most. It returns an error if clients are still connected.
//
// http.Server.Shutdown is not used: it silently closes each connection whose request it reads from then on, even
// if that request is complete.
func (s *Server) Shutdown(drainTimeout time.Duration) error {
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	start := time.Now()
	for ; time.Since(start) < s.Linger; <-poll.C {
		if time.Since(start) >= defaultLinger && s.clientConns.empty() {
			break
		}
	}
	s.draining.Store(true)
	s.clientConns.closeIdle()
	drainStart := time.Now()
	deadline := earlier(drainStart, start.Add(s.Linger)).Add(drainTimeout) // a late poll does not extend it
	readDeadline := drainStart.Add(min(drainTimeout/2, shutdownReadTime))
	for {
		<-poll.C // a client whose connection was closed may still return
		s.closeListener()
		// Each time: the last connections are known, and get their deadline, only after a moment.
		s.clientConns.limitReads(readDeadline)
		s.clientConns.closeIdle()
		if s.drained() {
			return nil
		}
		if !time.Now().Before(deadline) {
			s.clientConns.abortAll() // so that closing the server waits for nobody
			defer s.httpServer.Close()
			return fmt.Errorf("downstream http: clients are still connected %v after their last answers were due", time.Since(drainStart))
		}
	}
}

// drained says whether nothing more is accepted and nobody is connected.
func (s *Server) drained() bool {
	select {
	case <-s.served:
		return s.clientConns.empty()
	default:
		return false
	}
}

func (s *Server) closeListener() {
	if ln := s.ln.Load(); ln != nil {
		(*ln).Close()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// HandOver leaves new clients to another process that listens on the same address: the listener is closed at once,
// and each connection with its next answer. Connections without a request stay until Shutdown ends them: closing
// one at once could cross a request on it.
func (s *Server) HandOver(ln net.Listener) {
	s.draining.Store(true)
	ln.Close()
}
