package thrift

import (
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/thriftwire"
	upstream "ringtrack.example/ringtrack/internal/upstream/thrift"
)

const (
	// writeTimeout bounds how long a client may take to read its reply.
	writeTimeout = 2 * time.Second
	// frameLengthBytes is the size of the length prefix of a frame.
	frameLengthBytes = 4
	// replyHeadBytes is a capacity that suffices for the head of a reply, without the name of its method.
	replyHeadBytes = 64
)

// httpAnswer is the answer to a client that speaks HTTP.
const httpAnswer = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 30\r\n\r\nThis port speaks Thrift only.\n"

// Codes of the application exceptions for calls to which no server replied. The first two are the codes that
// other implementations use for the same conditions.
const (
	CodeRejected           = 11                            // it did not run; retry after the time in the text
	CodeDeadlineExceeded   = 12                            // it may have run
	CodeFailed             = thriftwire.InternalError      // it may have run
	CodeUnknownMethod      = thriftwire.UnknownMethod      // the method is not listed
	CodeMalformed          = thriftwire.ProtocolError      // the message can't be parsed
	CodeInvalidMessageType = thriftwire.InvalidMessageType // a message that is no call
)

// rejectUnreadable answers a message that could not be read, if that is possible. Nothing of it was
// forwarded.
func (s *Server) rejectUnreadable(c *clientConn, m *message) {
	s.buffers.Release(m.reserved)
	switch {
	case errors.Is(m.err, thriftwire.ErrHTTP):
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		io.WriteString(c, httpAnswer)
	case errors.Is(m.err, thriftwire.ErrTHeader):
		if s.closedLog.Allow() {
			slog.Warn("Thrift connection closed", "peer", c.RemoteAddr().String(), "err", m.err)
		}
	case m.head.Name == nil || m.head.Kind == thriftwire.Oneway:
		// A reply needs the name of the method, and a one-way call has none.
	case errors.Is(m.err, errOverBudget), errors.Is(m.err, os.ErrDeadlineExceeded) && m.head.Body > 0:
		s.writeException(c, &m.head, CodeRejected, rejectionText(s.RetryAfterMs))
	case upstream.IsUnreadable(m.err):
		s.writeException(c, &m.head, CodeMalformed, "the call can't be read: "+m.err.Error())
	}
}

// rejectionText returns the text of a CodeRejected exception. Clients parse the time in it.
func rejectionText(retryAfterMs float64) string {
	return "refused: nothing ran, come back after " + strconv.FormatFloat(retryAfterMs, 'f', 0, 64) + " ms"
}

// answer writes the one answer to a call; a one-way call has none. It returns false if the connection is to
// be closed.
func (s *Server) answer(c *clientConn, m *message, a core.Answer, oneWay bool) bool {
	defer s.Budget.Release(a.ReservedBytes)
	if oneWay {
		return true
	}
	if reply, ok := a.Reply.(*upstream.Reply); ok && (a.Outcome == core.Served || a.Reason == core.BadRequest) {
		head := reply.Head.AppendHeadWithSeq(newReplyBuffer(c.transport, len(reply.Message)), reply.Message, m.head.Seq)
		return s.write(c, head, reply.Head.Rest(reply.Message))
	}
	switch {
	case a.Outcome == core.Rejected:
		retryAfterMs := a.RetryAfterMs
		if retryAfterMs <= 0 {
			retryAfterMs = s.RetryAfterMs
		}
		return s.writeException(c, &m.head, CodeRejected, rejectionText(retryAfterMs))
	case a.Reason == core.DeadlineExceeded:
		return s.writeException(c, &m.head, CodeDeadlineExceeded, "failed: the time was over, it may have run")
	}
	return s.writeException(c, &m.head, CodeFailed, "failed: it may have run")
}

// newReplyBuffer returns the buffer to which the head of a reply is appended. For the framed transport it
// begins with a placeholder for the length.
func newReplyBuffer(t thriftwire.Transport, size int) []byte {
	if t == thriftwire.Framed {
		return make([]byte, frameLengthBytes, replyHeadBytes+min(size, thriftwire.MaxName))
	}
	return make([]byte, 0, replyHeadBytes)
}

// writeException replies with an application exception.
func (s *Server) writeException(c *clientConn, head *thriftwire.Message, code int32, text string) bool {
	buf := newReplyBuffer(c.transport, 0)
	return s.write(c, thriftwire.AppendException(buf, head.Protocol, head.Name, head.Seq, code, text), nil)
}

// write sends a reply that consists of head and rest. head was begun by newReplyBuffer.
func (s *Server) write(c *clientConn, head, rest []byte) bool {
	if c.transport == thriftwire.Framed {
		binary.BigEndian.PutUint32(head, uint32(len(head)-frameLengthBytes+len(rest)))
	}
	c.replied = true
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := net.Buffers{head, rest}
	_, err := out.WriteTo(c.Conn)
	return err == nil
}
