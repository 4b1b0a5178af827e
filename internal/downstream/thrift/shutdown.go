package thrift

import (
	"log/slog"
	"net"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/closelog"
	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	"ringtrack.example/ringtrack/internal/socket"
)

const (
	// minServeIfEmpty is how long a shutdown waits for clients that may still connect though none is connected.
	minServeIfEmpty = 500 * time.Millisecond
	// owedAnswerTime is how long after the end of a schedule calls are still waited for that were read and not answered.
	owedAnswerTime = time.Second
)

// Shutdown shuts the server down without losing a call. Each connection ends behind its next reply, and at once if it is
// idle; the listener is closed once no new connections are expected. Calls that are incomplete at the schedule's ReadUntil
// are not read. Shutdown waits for open calls until its end, and a little longer for those without a reply.
func (s *Server) Shutdown(ln net.Listener, schedule shutdown.Schedule) {
	for noticed := time.Now(); time.Now().Before(schedule.ServeUntil); time.Sleep(shutdown.PollInterval) {
		if time.Since(noticed) >= minServeIfEmpty && s.isEmpty() {
			break
		}
	}
	served := s.beginDrain(schedule)
	s.logProgress("drain begins", schedule.SignaledAt)
	answersDue := time.AfterFunc(time.Until(schedule.AnswerBy), func() { s.logProgress("answers are due", schedule.SignaledAt) })
	defer answersDue.Stop()
	for s.closeUnused(); time.Now().Before(schedule.ListenUntil); s.closeUnused() {
		time.Sleep(shutdown.PollInterval)
	}
	ln.Close()
	if served != nil {
		<-served // from here on conns has all connections that were accepted
	}
	for s.closeUnused() && s.waits(time.Now()) {
		time.Sleep(shutdown.PollInterval)
	}
	s.closeAll()
	s.handlers.Wait()
	if s.closed != nil {
		s.closed.LogTotals()
	}
}

// waits reports whether a shutdown still waits for connections: until the end of its schedule, and a little longer where
// an answer is owed.
func (s *Server) waits(now time.Time) bool {
	late := now.Sub(s.schedule.AbortAt)
	return late < 0 || late < owedAnswerTime && s.owesAnswers(now)
}

// closeAll closes all connections.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.unanswered > 0 {
			s.closed.Record(closelog.ShutdownDeadline, c.RemoteAddr().String())
		}
		c.Close()
	}
}

// beginDrain makes each connection end behind its next answer. Calls that are arriving are read until the schedule's
// ReadUntil.
func (s *Server) beginDrain(schedule shutdown.Schedule) (served chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.schedule = schedule
	return s.served
}

// logProgress logs a step of a shutdown with the clients that are connected then.
func (s *Server) logProgress(step string, signaledAt time.Time) {
	s.mu.Lock()
	connected, busy := len(s.conns), s.busy
	s.mu.Unlock()
	slog.Info(step, "listener", "Thrift", "connected", connected, "open_requests", busy, "since_signal", time.Since(signaledAt))
}

// owesAnswers reports whether any call was read and not answered, or may be unread, as the process did not run when it came.
func (s *Server) owesAnswers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unread := s.mayHoldUnread(now)
	for c := range s.conns {
		if c.unanswered > 0 || unread && socket.ReadState(c.Conn) == socket.Unread {
			return true
		}
	}
	return false
}

// mayHoldUnread reports whether calls may be unread that came before the end of the schedule. The lock is held.
func (s *Server) mayHoldUnread(now time.Time) bool {
	return s.Stalls.Earliest(now).Before(s.schedule.AbortAt)
}

func (s *Server) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// closeUnused makes connections end that have no call, and reports whether any connection remains. It spares new ones, whose
// first call may be on its way, and until the schedule's PartialUntil those on which a call is arriving: closing them would
// lose the call. From the schedule's ReadUntil on it ends the time of open calls behind which more have arrived, as their
// client goes on sending until the connection ends.
func (s *Server) closeUnused() (remain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	readTimeLeft := now.Before(s.schedule.ReadUntil)
	for c := range s.conns {
		switch {
		case c.unanswered > 0:
			if !readTimeLeft && c.endOpen != nil && c.hasCallsBehind() {
				c.endOpen()
				c.endOpen = nil
			}
		case c.readingCall && now.Before(s.schedule.PartialUntil(c.callBegunAt)):
		case c.noCallYet && (readTimeLeft || now.Sub(c.acceptedAt) < shutdown.FirstBytesTime):
		case readTimeLeft && !c.readingCall && socket.ReadState(c.Conn) == socket.Unread:
		case !c.readingCall:
			c.stopReading()
		case socket.ReadState(c.Conn) != socket.Unread:
			c.endReading()
		}
	}
	return len(s.conns) > 0
}

// hasCallsBehind reports whether calls, or bytes of one, have arrived behind the open call. The server's lock is held.
func (c *clientConn) hasCallsBehind() bool {
	return c.unanswered > 1 || c.readingCall || socket.ReadState(c.Conn) == socket.Unread
}
