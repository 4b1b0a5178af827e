package http

import (
	"context"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	upstream "ringtrack.example/ringtrack/internal/upstream/http"
)

// readyPath is the readiness endpoint.
const readyPath = "/-/ready"

// ServeHTTP serves one request. It runs in a goroutine of its own.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	framingTrusted := false
	var disconnected <-chan struct{} // closed once the client has disconnected where net/http does not notice
	conn, framed := req.Context().Value(connKey{}).(*framedConn)
	if framed {
		framingTrusted = conn.trustNextRequest()
		disconnected = conn.disconnect.disconnected
		select {
		case <-disconnected: // after an earlier request, with which it had sent this one
			panic(http.ErrAbortHandler)
		default:
		}
	}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if req.RequestURI == readyPath && req.Method == http.MethodGet && req.ContentLength == 0 {
		s.serveReady(w)
		return
	}
	c, err := s.parseCall(req, arrived, framingTrusted)
	if err != nil {
		reject(w, err)
		return
	}
	var body *clientBody // if a part of it is still to arrive
	if req.ContentLength != 0 {
		var reserved int64
		body, reserved, err = s.readBody(w, req, c)
		defer func() { s.budget.Release(reserved) }()
		if err != nil {
			reject(w, requestErrorf(http.StatusBadRequest, "body can't be read"))
			return
		}
	}
	if !s.clientConns.requestRead(req.Context()) {
		panic(http.ErrAbortHandler) // nothing was forwarded
	}
	c.AtConnectionLimit = s.clientConns.overloaded()
	if framed {
		c.Disconnected = conn.disconnect.isDisconnected
		if body != nil {
			conn.disconnect.start() // until the body is read on
		}
	}
	submitted := make(chan *core.Request, 1)
	s.EventLoop.Post(func() { submitted <- s.EventLoop.Submit(&c.Call) })
	select {
	case a := <-c.Answer:
		s.answer(w, req, c, a, body)
	case <-req.Context().Done():
		s.abandon(submitted)
	case <-disconnected:
		s.abandon(submitted)
	}
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if s.ready.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	// It is no request to a backend, so this is no rejection with Retry-After.
	http.Error(w, "starting", http.StatusServiceUnavailable)
}

// readBody reads the body into the call, or the beginning of a long one; then it returns the rest. The caller
// releases what it reserved from the budget, with an error too.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request, c *call) (rest *clientBody, reserved int64, err error) {
	body := newBody(w, req)
	var more bool
	c.upstreamCall.Body, reserved, more, err = body.buffer(req.ContentLength, s.budget)
	if err != nil {
		return nil, reserved, err
	}
	c.Deadline = time.Now().Add(c.timeout)
	if !more {
		return nil, reserved, nil
	}
	c.upstreamCall.Remaining = body
	c.upstreamCall.Length = req.ContentLength
	c.TimeAfterBody = c.timeout
	c.Deadline = c.Deadline.Add(maxReadTime(MaxBodyBytes))
	// An answer may come before the end of the body: it is written at once, and the body read to its end.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return body, reserved, nil
}

// answer writes the answer, and reads the rest of the body.
func (s *Server) answer(w http.ResponseWriter, req *http.Request, c *call, a core.Answer, body *clientBody) {
	defer s.budget.Release(a.ReservedBytes) // even if writing a stream panics
	if stream, ok := a.Reply.(*upstream.Stream); ok {
		defer context.AfterFunc(req.Context(), stream.Cancel)()
	}
	s.write(w, a, c.Class)
	if body != nil {
		body.discard(w)
	}
}

// abandon ends a request whose client has disconnected.
func (s *Server) abandon(submitted <-chan *core.Request) {
	s.EventLoop.Post(func() { s.EventLoop.ClientDisconnected(<-submitted) })
	// Returning would answer 200 without content, to a client that may only have ended its sending.
	panic(http.ErrAbortHandler)
}
