package http

import (
	"context"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	upstream "ringtrack.example/ringtrack/internal/upstream/http"
	"ringtrack.example/ringtrack/policy"
)

// readyPath is the readiness endpoint.
const readyPath = "/-/ready"

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	receivedAt := time.Now()
	var framingErr error
	var disconnected <-chan struct{} // closed if the client disconnects and net/http does not detect that
	conn, framed := req.Context().Value(connKey{}).(*framedConn)
	if framed {
		receivedAt = conn.lastReceipt()
		framingErr = conn.checkNextRequest(req)
		disconnected = conn.disconnect.disconnected
		s.awaitPace(conn)
		select {
		case <-disconnected: // during an earlier request, after which this one was pipelined
			panic(http.ErrAbortHandler)
		default:
		}
	}
	if framingErr == errFramingDisagreement {
		s.disagreements.record(req)
	}
	if framingErr != nil {
		reject(w, framingErr)
	}
	if framed && conn.rejecting {
		s.rejectBehindLastAnswer(w, conn)
		return
	}
	if req.RequestURI == readyPath && req.Method == http.MethodGet && req.ContentLength == 0 {
		s.endIfDraining(w, conn)
		s.serveReady(w)
		charge(conn)
		return
	}
	c, err := s.parseCall(req, receivedAt, framed)
	if err != nil {
		reject(w, err)
	}
	var body *clientBody // not nil if a part is still to be read
	if req.ContentLength != 0 {
		var reserved int64
		body, reserved, err = s.readBody(w, req, c)
		defer func() { s.buffers.Release(reserved) }()
		if err != nil {
			s.rejectPartialBody(w, conn)
		}
	}
	c.AtConnectionLimit = s.clientConns.overloaded()
	if body != nil {
		c.AtConnectionLimit = !s.clientConns.uploadBegins(req.Context()) || c.AtConnectionLimit
	} else if !s.clientConns.requestRead(req.Context()) {
		panic(http.ErrAbortHandler) // nothing was forwarded
	}
	if framed {
		c.Disconnected = conn.disconnect.isDisconnected
		if body != nil {
			conn.disconnect.start() // runs until the next read of the body
		}
	}
	if framed {
		conn.setOpenRequest(func() { s.EventLoop.Post(func() { s.EventLoop.EndNow(&c.Call) }) })
		defer conn.setOpenRequest(nil)
	}
	submitted := make(chan *core.Request, 1)
	s.EventLoop.Post(func() { submitted <- s.EventLoop.Submit(&c.Call) })
	select {
	case a := <-c.Answer:
		s.answer(w, req, c, a, body, conn)
	case <-req.Context().Done():
		s.abandon(submitted)
	case <-disconnected:
		s.abandon(submitted)
	}
}

// awaitPace waits if the connection has had many answers that needed no server. A draining server has no time for that.
func (s *Server) awaitPace(conn *framedConn) {
	if conn.pace == nil {
		conn.pace = s.answers.NewConn()
		conn.disconnect.useMemory(s.buffers)
	}
	if !s.draining.Load() {
		conn.pace.Wait()
	}
}

// charge records an answer that needed no server. conn may be nil.
func charge(conn *framedConn) {
	if conn != nil {
		conn.pace.Charge()
	}
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if s.ready.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	// There is no Retry-After, as this does not reject a request to a backend.
	http.Error(w, "starting", http.StatusServiceUnavailable)
}

// receivedAt returns when the last byte of a request arrived whose body was read, or a later one.
func receivedAt(req *http.Request) time.Time {
	if conn, ok := req.Context().Value(connKey{}).(*framedConn); ok {
		return conn.lastReceipt()
	}
	return time.Now()
}

// readBody reads the body into the call. Of a long one it reads the beginning and returns the rest. The
// caller releases the bytes reserved from the budget, also after an error.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request, c *call) (rest *clientBody, reserved int64, err error) {
	body := newBody(w, req, s.clientConns)
	var more bool
	c.upstreamCall.Body, reserved, more, err = body.buffer(req.ContentLength, s.buffers)
	if err != nil {
		return nil, reserved, err
	}
	c.ReceivedAt = receivedAt(req)
	c.Deadline = c.ReceivedAt.Add(c.timeout)
	if !more {
		return nil, reserved, nil
	}
	c.upstreamCall.Remaining = body
	c.upstreamCall.Length = req.ContentLength
	c.TimeAfterBody = c.timeout
	body.clock = newRequestClock(c.timeout, body.mayBeComplete())
	c.BodyDeadline = body.clock.deadline
	c.Deadline = c.Deadline.Add(bodyGracePeriod + readTime(MaxBodyBytes))
	// Permits an answer before the end of the body, which is then still read to its end.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return body, reserved, nil
}

// answer writes the answer, and discards the rest of the body.
func (s *Server) answer(
	w http.ResponseWriter, req *http.Request, c *call, a core.Answer, body *clientBody, conn *framedConn,
) {
	defer s.budget.Release(a.ReservedBytes) // even if writing a stream panics
	if stream, ok := a.Reply.(*upstream.Stream); ok {
		defer context.AfterFunc(req.Context(), stream.Cancel)()
	}
	s.endIfDraining(w, conn)
	s.write(w, req, a, c)
	if a.Outcome == core.Rejected {
		charge(conn)
	}
	switch {
	case body == nil:
	case a.Rule == policy.ReasonConnections:
		endUnread(w) // reading bodies that are not forwarded would take the time of other clients
	case !body.discard(w) && a.Outcome != core.Served:
		endUnread(w)
	}
}

// abandon cancels a request whose client has disconnected.
func (s *Server) abandon(submitted <-chan *core.Request) {
	s.EventLoop.Post(func() { s.EventLoop.ClientDisconnected(<-submitted) })
	// Returning would answer 200 without content, and the client may only have shut down its sending side.
	panic(http.ErrAbortHandler)
}
