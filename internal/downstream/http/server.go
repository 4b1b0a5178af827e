// Package http is the front for clients that speak HTTP/1.1: it turns a request into a call and the one
// answer back into bytes, bounds what clients may hold open and send, and decides nothing.
//
// Source: RFC 9110 and RFC 9112, as the protocol page narrows them.
package http

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	upstream "ringtrack.example/ringtrack/internal/upstream/http"
	"ringtrack.example/ringtrack/policy"
)

const (
	// defaultLinger is how long connections still come after SIGTERM: 0.4 s at most, and
	// what stands in the accept queue by then.
	defaultLinger = 500 * time.Millisecond
	// shutdownPollInterval is how often the end of service looks whether there is anybody left to serve.
	shutdownPollInterval = 20 * time.Millisecond
	// shutdownReadTime is what a client that has begun a request may still take to bring it whole.
	shutdownReadTime = 400 * time.Millisecond
	// headTimeout bounds how long a head may take to come: 2 s is what a client may need, and one that sends none
	// is to be told within 3 s. A body has its own bounds.
	headTimeout = 2700 * time.Millisecond
	// idleTimeout is how long a connection is kept between requests.
	idleTimeout = 10 * time.Second
	// writeTimeout is what a client may take to read its answer.
	writeTimeout = 2 * time.Second
	// streamWriteTimeout is what a client may take to read a piece of a long answer, pieceSize its most bytes.
	streamWriteTimeout, streamBufferBytes = 10 * time.Second, 16 << 10
	// firstWriteTimeout is for what is answered before anything else was, from the head on.
	firstWriteTimeout = 5 * time.Second
)

// Server serves clients on one listener.
type Server struct {
	EventLoop *core.EventLoop // set before Serve
	Linger    time.Duration   // for how long Shutdown still serves as ever; 0: half a second

	settings    *policy.Settings
	upstream    core.Upstream
	budget      *semaphore.Weighted // memory for bodies over freeBody
	httpServer  *http.Server
	classes     map[string]int
	tenants     map[string]int
	ready       atomic.Bool
	draining    atomic.Bool // nothing more is to come here: each connection ends with its next answer
	clientConns *clientConns
	ln          atomic.Pointer[net.Listener]
	served      chan struct{} // closed once nothing more is accepted, and all that was is known to conns
}

// New returns a front whose calls go out by this upstream. budget is the memory for bodies; beyond room
// connections those that idle give way, and there are at most most.
func New(settings *policy.Settings, budget *semaphore.Weighted, upstream core.Upstream, room, most int) *Server {
	f := &Server{settings: settings, budget: budget, upstream: upstream, classes: map[string]int{}, tenants: map[string]int{}, served: make(chan struct{})}
	for i, c := range settings.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range settings.Tenants {
		f.tenants[t.Name] = i
	}
	f.clientConns = newClientConns(room, most)
	f.httpServer = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		WriteTimeout:      firstWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         f.clientConns.track,
		ConnContext:       f.clientConns.context,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		// net/http would answer OPTIONS * with 200 by itself.
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// Ready makes the health call answer 200.
func (f *Server) Ready() { f.ready.Store(true) }

// Serve accepts clients until the front is shut down; then it returns nil. It is called once.
func (f *Server) Serve(ln net.Listener) error {
	defer close(f.served)
	f.ln.Store(&ln)
	if err := f.httpServer.Serve(framedListener{ln}); !f.draining.Load() {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// Shutdown ends service without losing a request. Connections still come for a
// while after the signal, and an accept queue that is closed resets them; those there
// are go on being used for as long as they stay open, and whoever finds his closed may
// find nobody to take another. So for Linger all is served as ever, or until nobody is
// connected; then every answer closes its connection, those that idle are closed, a moment
// later the listener, and the held requests are waited for, for held at the most. Those
// that have brought none by half of that are not.
//
// The server's own Shutdown is not used: from its call on it closes each connection whose
// request it reads, without a word, also where that request had come whole.
func (f *Server) Shutdown(held time.Duration) error {
	if f.Linger == 0 {
		f.Linger = defaultLinger
	}
	every := time.NewTicker(shutdownPollInterval)
	defer every.Stop()
	start := time.Now()
	for ; time.Since(start) < f.Linger; <-every.C {
		if time.Since(start) >= defaultLinger && f.clientConns.empty() {
			break
		}
	}
	f.draining.Store(true)
	f.clientConns.closeIdle()
	closing := time.Now()
	over := earlier(closing, start.Add(f.Linger)).Add(held) // what a look comes too late is not added to it
	by := closing.Add(min(held/2, shutdownReadTime))
	for {
		<-every.C // whoever found his connection closed may still come back
		if ln := f.ln.Load(); ln != nil {
			(*ln).Close()
		}
		// More than once: what came last is known, and has its time, only after a moment.
		f.clientConns.limitReads(by)
		f.clientConns.closeIdle()
		select {
		case <-f.served:
			if f.clientConns.empty() {
				return nil
			}
		default:
		}
		if !time.Now().Before(over) {
			f.clientConns.abortAll() // the server's closes then wait for nobody
			defer f.httpServer.Close()
			return fmt.Errorf("front: clients are still connected %v after their last answers were due", time.Since(closing))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// HandOver leaves what comes from now on to another process that listens on the same address: the listener
// closes at once, and each connection with its next answer. Those that bring no request stay until Shutdown
// ends them: to close one at once could cross a request on it.
func (f *Server) HandOver(ln net.Listener) {
	f.draining.Store(true)
	ln.Close()
}

func (f *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now, framed := time.Now(), false
	var disconnected <-chan struct{} // closed once the client has left where net/http does not look
	nc, ok := req.Context().Value(connKey{}).(*framedConn)
	if ok {
		framed, disconnected = nc.trustNextRequest(), nc.disconnect.disconnected
		select {
		case <-disconnected: // behind a request that it had sent ahead of this one
			panic(http.ErrAbortHandler)
		default:
		}
	}
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if req.RequestURI == "/-/ready" && req.Method == http.MethodGet && req.ContentLength == 0 {
		if f.ready.Load() {
			w.WriteHeader(http.StatusOK)
		} else {
			// Not a request of the protocol's, so no refusal either.
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	c, err := f.parseCall(req, now, framed)
	if err != nil {
		reject(w, err)
		return
	}
	var body *clientBody // where a part of it still comes
	if req.ContentLength != 0 {
		whole := newBody(w, req)
		var held int64
		var more bool
		c.upstreamCall.Body, held, more, err = whole.buffer(req.ContentLength, f.budget)
		defer func() { f.budget.Release(held) }()
		if err != nil {
			reject(w, requestErrorf(http.StatusBadRequest, "body can't be read"))
			return
		}
		if c.Deadline = time.Now().Add(c.timeout); more {
			body = whole
			c.upstreamCall.Remaining, c.upstreamCall.Length = body, req.ContentLength
			c.TimeAfterBody, c.Deadline = c.timeout, c.Deadline.Add(maxReadTime(MaxBodyBytes))
			// An answer may come before the body's end: it is written at once, and the body read to its end.
			_ = http.NewResponseController(w).EnableFullDuplex()
		}
	}
	if !f.clientConns.requestRead(req.Context()) {
		panic(http.ErrAbortHandler) // nothing was sent on
	}
	c.NoConnections = f.clientConns.overloaded()
	if ok {
		if c.Disconnected = nc.disconnect.isDisconnected; body != nil {
			nc.disconnect.start() // until it is read on
		}
	}
	took := make(chan *core.Request, 1)
	f.EventLoop.Post(func() { took <- f.EventLoop.Submit(&c.Call) })
	select {
	case a := <-c.Answer:
		defer f.budget.Release(a.ReservedBytes) // also where a long answer is broken off
		if s, ok := a.Reply.(*upstream.Stream); ok {
			defer context.AfterFunc(req.Context(), s.Cancel)()
		}
		if f.write(w, a, c.Class); body != nil {
			body.discard(w)
		}
	case <-req.Context().Done():
		f.abandon(took)
	case <-disconnected:
		f.abandon(took)
	}
}

// abandon ends with a request whose client has left.
func (f *Server) abandon(took <-chan *core.Request) {
	f.EventLoop.Post(func() { f.EventLoop.ClientDisconnected(<-took) })
	// To return would be to answer 200 with nothing, to a client that has only ended its sending.
	panic(http.ErrAbortHandler)
}

// reject answers what can't be used, and closes: who sends one such request sends
// more, and what stands behind it may be part of it.
func reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var b *requestError
	if errors.As(err, &b) {
		status = b.status
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// write sends the final answer.
func (f *Server) write(w http.ResponseWriter, a core.Answer, class int) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if f.draining.Load() { // by now, if not when the request came
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.Outcome == core.Served:
		if s, ok := a.Reply.(*upstream.Stream); ok {
			f.stream(w, s, class)
			return
		}
		r := a.Reply.(*upstream.Reply)
		for name, values := range upstream.EndToEnd(r.Header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
		w.WriteHeader(http.StatusOK)
		// A client that has gone by now is told nothing more: no one to report to.
		_, _ = w.Write(r.Body)
	case a.Outcome == core.Rejected:
		if a.RetryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.Reason == core.BadRequest:
		status := a.Reply.(*upstream.Reply).Status
		reject(w, requestErrorf(status, "%s", http.StatusText(status)))
	case a.Reason == core.Duplicate:
		reject(w, requestErrorf(http.StatusConflict, "%s", http.StatusText(http.StatusConflict)))
	case a.Reason == core.IncompleteRequest:
		reject(w, requestErrorf(http.StatusBadRequest, "body can't be read"))
	case a.Reason == core.DeadlineExceeded:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// stream passes a long answer on as it comes. What the backend breaks off ends the connection before the answer's
// end, so that the client can tell.
func (f *Server) stream(w http.ResponseWriter, s *upstream.Stream, class int) {
	verdict := core.Failed
	defer func() {
		s.Close(verdict == core.Served)
		if f.EventLoop.Counters().CountStreamed(class, verdict); verdict != core.Served {
			panic(http.ErrAbortHandler) // net/http then closes the connection
		}
	}()
	for name, values := range upstream.EndToEnd(s.Header) {
		w.Header()[name] = values
	}
	if s.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	piece := s.Body
	for buf := make([]byte, streamBufferBytes); ; {
		_ = out.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if _, err := w.Write(piece); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		n, err := s.Read(buf)
		if piece = buf[:n]; err == io.EOF && n == 0 {
			verdict = core.Served
			return
		} else if err != nil && err != io.EOF {
			return
		}
	}
}
