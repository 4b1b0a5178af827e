package http

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/downstream/closelog"
	upstream "ringtrack.example/ringtrack/internal/upstream/http"
)

const (
	// writeTimeout bounds how long a client may take to read its answer.
	writeTimeout = 2 * time.Second
	// streamWriteTimeout bounds the same for each part of a stream, of streamBufferBytes at most.
	streamWriteTimeout = 10 * time.Second
	streamBufferBytes  = 16 << 10
)

// reject answers an invalid request whose body may be unread, and ends the handler.
func reject(w http.ResponseWriter, err error) {
	writeError(w, err)
	endUnread(w)
}

// writeError answers an invalid request with an error, and closes the connection: a client that sends one invalid
// request sends more, and the bytes that follow may belong to it.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		status = requestErr.status
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	text := err.Error() + "\n"
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // fails only if the client has disconnected
}

// statusError returns an error with the standard text of the status.
func statusError(status int) error { return requestErrorf(status, "%s", http.StatusText(status)) }

// endUnread ends the handler behind an answer of known length, and closes the connection, on which a part of the
// request may be unread. By itself net/http would wait for that part without a limit of time, or keep the connection
// for half a second.
func endUnread(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(expiredDeadline)
	panic(http.ErrAbortHandler)
}

// write writes the answer to a request.
func (s *Server) write(w http.ResponseWriter, req *http.Request, a core.Answer, c *call) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	switch {
	case a.Outcome == core.Served:
		s.writeReply(w, req, a.Reply, c)
	case a.Outcome == core.Rejected:
		writeRejection(w, a.RetryAfterMs)
	case a.Reason == core.BadRequest:
		writeError(w, statusError(a.Reply.(*upstream.Reply).Status))
	case a.Reason == core.Duplicate:
		writeError(w, statusError(http.StatusConflict))
	case a.Reason == core.IncompleteRequest:
		writeError(w, badRequestf("body can't be read"))
	case a.Reason == core.DeadlineExceeded:
		writeStatus(w, http.StatusGatewayTimeout)
	default:
		writeStatus(w, http.StatusBadGateway)
	}
}

// writeStatus writes an answer without content.
func writeStatus(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeRejection writes the answer to a request that did not run. retryAfterMs is omitted if it is not positive.
func writeRejection(w http.ResponseWriter, retryAfterMs float64) {
	if retryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfterMs/1000, 'f', 3, 64))
	}
	writeStatus(w, http.StatusServiceUnavailable)
}

// writeReply writes the reply of a backend.
func (s *Server) writeReply(w http.ResponseWriter, req *http.Request, reply any, c *call) {
	if stream, ok := reply.(*upstream.Stream); ok {
		s.writeStream(w, req, stream, c)
		return
	}
	r := reply.(*upstream.Reply)
	setHeader(w, r, int64(len(r.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(r.Body) // fails only if the client has disconnected
}

// setHeader copies the end-to-end header fields of a backend's reply. length is that of the body, -1 if
// unknown.
func setHeader(w http.ResponseWriter, r *upstream.Reply, length int64) {
	for name, values := range upstream.EndToEnd(r.Header) {
		w.Header()[name] = values
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeStream forwards a long reply as it arrives. If the reply is truncated, the connection is closed before
// the end of the answer, so that the client detects that.
func (s *Server) writeStream(w http.ResponseWriter, req *http.Request, stream *upstream.Stream, c *call) {
	outcome := core.Failed
	download := s.clientConns.downloadBegins(req.Context(), c.Deadline)
	defer func() {
		download.end()
		stream.Close(outcome == core.Served)
		s.EventLoop.Counters().CountStreamed(c.Class, outcome)
		if outcome != core.Served {
			s.clientConns.closed.Record(closelog.Truncated, req.RemoteAddr)
			panic(http.ErrAbortHandler) // net/http then closes the connection
		}
	}()
	setHeader(w, &stream.Reply, stream.Length)
	w.WriteHeader(http.StatusOK)
	if copyStream(w, stream, download) == nil {
		outcome = core.Served
	}
}

// copyStream writes a stream, each part as soon as it has arrived.
func copyStream(w http.ResponseWriter, stream *upstream.Stream, download *download) error {
	controller := http.NewResponseController(w)
	part := stream.Body
	buf := make([]byte, streamBufferBytes)
	for {
		_ = controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		err := download.write(func() error {
			if _, err := w.Write(part); err != nil {
				return err
			}
			return controller.Flush()
		})
		if err != nil {
			return err
		}
		n, err := stream.Read(buf)
		part = buf[:n]
		if err == io.EOF && n == 0 {
			return nil
		} else if err != nil && err != io.EOF {
			return err
		}
	}
}
