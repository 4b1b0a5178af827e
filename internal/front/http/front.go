// Package http is the front for clients that speak HTTP/1.1: it turns a request into a call and the one
// answer back into bytes, bounds what clients may hold open and send, and decides nothing.
//
// Source: RFC 9110 and RFC 9112, as the protocol page narrows them.
package http

import (
	"context"
	"errors"
	"fmt"
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
	// linger is how long connections still come after SIGTERM: 0.4 s at most, and
	// what stands in the accept queue by then.
	linger = 500 * time.Millisecond
	// lookEvery is how often the end of service looks whether there is anybody left to serve.
	lookEvery = 20 * time.Millisecond
	// hurried is what a client that has begun a request may still take to bring it whole.
	hurried = 400 * time.Millisecond
	// headTime and readTime bound how long a head and a whole request may take to
	// come: a client that sends neither is to be told within 3 s.
	headTime, readTime = 2 * time.Second, 2500 * time.Millisecond
	// idleTime is how long a connection is kept between requests.
	idleTime = 10 * time.Second
	// writeTime is what a client may take to read its answer.
	writeTime = 2 * time.Second
)

// Front serves clients on one listener.
type Front struct {
	Loop   *core.Loop    // set before Serve
	Linger time.Duration // for how long Shutdown still serves as ever; 0: half a second

	settings *policy.Settings
	upstream core.Upstream
	budget   *semaphore.Weighted // memory for bodies over freeBody
	server   *http.Server
	classes  map[string]int
	tenants  map[string]int
	ready    atomic.Bool
	leaving  atomic.Bool // another process takes what comes: each connection ends with its next answer
	conns    *clientConns
}

// New returns a front whose calls go out by this upstream. budget is the memory for bodies; beyond room
// connections those without an open request give way.
func New(settings *policy.Settings, budget *semaphore.Weighted, upstream core.Upstream, room int) *Front {
	f := &Front{settings: settings, budget: budget, upstream: upstream, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range settings.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range settings.Tenants {
		f.tenants[t.Name] = i
	}
	f.conns = newClientConns(room)
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTime,
		ReadTimeout:       readTime,
		WriteTimeout:      readTime + writeTime, // for what is rejected; counts from the head
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHead,
		ConnState:         f.conns.track,
		ConnContext:       f.conns.context,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		// net/http would answer OPTIONS * with 200 by itself.
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// Ready makes the health call answer 200.
func (f *Front) Ready() { f.ready.Store(true) }

// Serve accepts clients until the front is shut down; then it returns nil.
func (f *Front) Serve(ln net.Listener) error {
	if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !f.leaving.Load() {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// Shutdown ends service without losing a request. Connections still come for a
// while after the signal, and an accept queue that is closed resets them; those there
// are go on being used for as long as they stay open, and whoever finds his closed may
// find nobody to take another. So for Linger all is served as ever, or until nobody is
// connected; then every answer closes its connection, the listener closes and the held
// requests are waited for. Those that have brought none by then are not.
func (f *Front) Shutdown(held time.Duration) error {
	if f.Linger == 0 {
		f.Linger = linger
	}
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for start := time.Now(); time.Since(start) < f.Linger; <-every.C {
		if time.Since(start) >= linger && f.conns.none() {
			break
		}
	}
	f.server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), held)
	defer cancel()
	closing := time.Now()
	by := closing.Add(min(held/4, hurried))
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(ctx) }()
	// More than once: what came last is known, and has its time, only after a moment.
	for {
		select {
		case err := <-done:
			return err
		case <-every.C:
			f.conns.hurry(by)
			// The server itself looks every half second only. The listener is closed by the second look.
			if f.conns.none() && time.Since(closing) >= lookEvery {
				return nil
			}
		}
	}
}

// HandOver leaves what comes from now on to another process that listens on the same address: the listener
// closes at once, and each connection with its next answer. Those that bring no request stay until Shutdown
// ends them: to close one at once could cross a request on it.
func (f *Front) HandOver(ln net.Listener) {
	f.leaving.Store(true)
	ln.Close()
}

func (f *Front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	if f.leaving.Load() {
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
	c, err := f.check(req, now)
	if err != nil {
		reject(w, err)
		return
	}
	held, err := f.readBody(req, c)
	defer f.budget.Release(held)
	if errors.Is(err, errNoMemory) {
		// Nothing was sent: coming back is harmless.
		w.Header().Set("Connection", "close")
		f.write(w, core.Answer{Verdict: core.Refused, AfterMs: f.settings.Limits.MaxRetryAfterMs})
		return
	}
	if err != nil {
		reject(w, err)
		return
	}
	f.conns.taken(req.Context())
	took := make(chan *core.Request, 1)
	f.Loop.Post(func() { took <- f.Loop.Take(&c.Call) })
	select {
	case a := <-c.Answer:
		f.write(w, a)
		f.budget.Release(a.Held)
	case <-req.Context().Done():
		f.Loop.Post(func() { f.Loop.Left(<-took) })
	}
}

// reject answers what can't be used, and closes: who sends one such request sends
// more, and what stands behind it may be part of it.
func reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var b *bad
	if errors.As(err, &b) {
		status = b.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// write sends the final answer.
func (f *Front) write(w http.ResponseWriter, a core.Answer) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	switch {
	case a.Verdict == core.Served:
		r := a.Reply.(*upstream.Reply)
		for name, values := range upstream.EndToEnd(r.Header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
		w.WriteHeader(http.StatusOK)
		// A client that has gone by now is told nothing more: no one to report to.
		_, _ = w.Write(r.Body)
	case a.Verdict == core.Refused:
		if a.AfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.AfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.Fault == core.Blamed:
		status := a.Reply.(*upstream.Reply).Status
		reject(w, badf(status, "%s", http.StatusText(status)))
	case a.Fault == core.Duplicate:
		reject(w, badf(http.StatusConflict, "%s", http.StatusText(http.StatusConflict)))
	case a.Fault == core.Expired:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
