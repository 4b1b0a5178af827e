package http

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// defaultLinger is how long Shutdown keeps serving as before. Clients still connect for up to 0.4 s after
	// the signal, and their connections may wait in the accept queue for a while.
	defaultLinger = 500 * time.Millisecond
	// shutdownPollInterval is how often Shutdown checks whether any client is still connected.
	shutdownPollInterval = 20 * time.Millisecond
	// shutdownReadTime is how long a client whose request is incomplete when the drain begins may still take
	// to send the rest.
	shutdownReadTime = 400 * time.Millisecond
	// owedAnswerTime is how long after drainTimeout answers are still waited for that no client has got a byte of.
	owedAnswerTime = time.Second
)

// Shutdown shuts the server down without losing a request. Connections still arrive for a while after the
// signal, and closing the listener would reset those in the accept queue. Clients use their connections for
// as long as these stay open, and one whose connection is closed may find no other server. So the server
// serves as before for Linger, or until no client is connected. Then it drains: each answer closes its
// connection, idle connections are closed, and the listener, unless new connections are still expected. Shutdown waits up to
// drainTimeout for the requests in flight, and up to half of it for clients whose request is incomplete; for requests
// whose answer has not begun, it waits a little longer. It returns an error if clients are still connected then.
//
// http.Server.Shutdown is not used: it silently closes each connection on which it reads a request from then
// on, even a complete one.
func (s *Server) Shutdown(drainTimeout time.Duration) error {
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	defer s.clientConns.closed.LogTotals()
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	noticed := time.Now()
	start := noticed
	if !s.SignaledAt.IsZero() {
		start = s.SignaledAt
	}
	for ; time.Since(start) < s.Linger; <-poll.C {
		if time.Since(noticed) >= defaultLinger && s.clientConns.empty() {
			break
		}
	}
	drainStart := time.Now()
	deadline := earlier(drainStart, start.Add(s.Linger)).Add(drainTimeout) // a late poll does not extend it
	readDeadline := drainStart.Add(min(drainTimeout/2, shutdownReadTime))
	listenUntil := earlier(noticed.Add(min(s.Linger, defaultLinger)), deadline.Add(-drainTimeout/2))
	s.readDeadline.Store(&readDeadline)
	s.beginDrain()
	s.logProgress("drain begins", start)
	s.clientConns.closeIdle()
	answersDue := time.AfterFunc(time.Until(deadline), func() { s.logProgress("answers are due", start) })
	defer answersDue.Stop()
	for {
		<-poll.C // a client whose connection was closed may still connect again
		if !time.Now().Before(listenUntil) {
			s.closeListener()
		}
		// Repeated in each round, as connections that were accepted last are registered only later.
		s.clientConns.limitReads(readDeadline)
		s.clientConns.closeIdle()
		if s.drained() {
			return nil
		}
		if late := time.Since(deadline); late >= 0 {
			owed := s.clientConns.abortAll(late < owedAnswerTime)
			if owed > 0 {
				continue // the process did not run as their time was over, or their answers are being written
			}
			defer s.httpServer.Close()
			return fmt.Errorf("downstream http: clients are still connected %v after the drain began", time.Since(drainStart))
		}
	}
}

// logProgress logs a step of a shutdown with the clients that are connected then.
func (s *Server) logProgress(step string, signaledAt time.Time) {
	connected, busy := s.clientConns.counts()
	slog.Info(step, "listener", "HTTP", "connected", connected, "open_requests", busy, "since_signal", time.Since(signaledAt))
}

// beginDrain makes each connection end with its next answer, and the listener accept without a pace.
func (s *Server) beginDrain() {
	s.draining.Store(true)
	s.clientConns.ending.Store(true)
	if firstRequests := s.firstRequests.Load(); firstRequests != nil {
		firstRequests.End()
	}
}

// drained reports whether the listener is closed and no client is connected.
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

// endIfDraining makes the answer that is about to be written the last one of its connection if the server is
// draining. If requests have arrived behind it, they are still rejected, and the last of them closes the connection:
// a close would leave them without an answer. conn may be nil.
func (s *Server) endIfDraining(w http.ResponseWriter, conn *framedConn) {
	if !s.draining.Load() {
		return
	}
	if conn != nil && s.readsMore() && requestArrived(conn) {
		conn.rejecting = true
		return
	}
	w.Header().Set("Connection", "close")
}

// readsMore reports whether requests that arrive are still read.
func (s *Server) readsMore() bool {
	deadline := s.readDeadline.Load()
	return deadline == nil || time.Now().Before(*deadline)
}

// rejectBehindLastAnswer rejects a request that arrived behind the last answer of its connection.
func (s *Server) rejectBehindLastAnswer(w http.ResponseWriter, conn *framedConn) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.endIfDraining(w, conn)
	writeRejection(w, s.settings.Limits.MaxRetryAfterMs)
	charge(conn)
}

// HandOver leaves new clients to another process that listens on the same address. It closes the listener at
// once, and each connection with its next answer. Connections without a request stay open until Shutdown
// closes them, as a request may be on its way.
func (s *Server) HandOver(ln net.Listener) {
	s.beginDrain()
	ln.Close()
}
