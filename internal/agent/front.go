package agent

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
)

const (
	// linger is how long connections still come after SIGTERM: 0.4 s at most, and
	// what stands in the accept queue by then.
	linger = 500 * time.Millisecond
	// headTime and readTime bound how long a head and a whole request may take to
	// come: a client that sends neither is to be told within 3 s.
	headTime, readTime = 2 * time.Second, 2500 * time.Millisecond
	// idleTime is how long a connection is kept between requests.
	idleTime = 10 * time.Second
	// writeTime is what a client may take to read its answer.
	writeTime = 2 * time.Second
)

// front serves the clients.
type front struct {
	cfg      *Config
	loop     *core.Loop
	upstream core.Upstream
	budget   *semaphore.Weighted // memory for bodies
	server   *http.Server
	classes  map[string]int
	tenants  map[string]int
	ready    atomic.Bool
	conns    *clientConns
}

// newFront returns a front whose calls go out by this upstream. Its loop is set before it serves.
func newFront(cfg *Config, budget *semaphore.Weighted, upstream core.Upstream) *front {
	f := &front{cfg: cfg, budget: budget, upstream: upstream, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Settings.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range cfg.Settings.Tenants {
		f.tenants[t.Name] = i
	}
	f.conns = newClientConns(cfg.clientRoom())
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

// serve accepts clients until the server is shut down.
func (f *front) serve(ln net.Listener) error {
	if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// shutdown ends service without losing a request. Connections still come for a
// while after the signal, and an accept queue that is closed resets them, so
// accepting goes on, with every answer closing its connection, before the
// listener closes and the held requests are waited for. Those that have brought
// none by then are not.
func (f *front) shutdown(held time.Duration) error {
	f.server.SetKeepAlivesEnabled(false)
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), held)
	defer cancel()
	by := time.Now().Add(held / 4)
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(ctx) }()
	// More than once: what came last is known, and has its time, only after a moment.
	for every := time.NewTicker(20 * time.Millisecond); ; {
		select {
		case err := <-done:
			every.Stop()
			return err
		case <-every.C:
			f.conns.hurry(by)
		}
	}
}

func (f *front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
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
		f.write(w, core.Answer{Verdict: core.Refused, AfterMs: f.cfg.Settings.Limits.MaxRetryAfterMs})
		return
	}
	if err != nil {
		reject(w, err)
		return
	}
	f.conns.taken(req.Context())
	took := make(chan *core.Request, 1)
	f.loop.Post(func() { took <- f.loop.Take(&c.Call) })
	select {
	case a := <-c.Answer:
		f.write(w, a)
		f.budget.Release(a.Held)
	case <-req.Context().Done():
		f.loop.Post(func() { f.loop.Left(<-took) })
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
func (f *front) write(w http.ResponseWriter, a core.Answer) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	switch {
	case a.Verdict == core.Served:
		r := a.Reply.(*reply)
		for name, values := range endToEnd(r.header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		w.WriteHeader(http.StatusOK)
		// A client that has gone by now is told nothing more: no one to report to.
		_, _ = w.Write(r.body)
	case a.Verdict == core.Refused:
		if a.AfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.AfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.Fault == core.Blamed:
		status := a.Reply.(*reply).status
		reject(w, badf(status, "%s", http.StatusText(status)))
	case a.Fault == core.Duplicate:
		reject(w, badf(http.StatusConflict, "%s", http.StatusText(http.StatusConflict)))
	case a.Fault == core.Expired:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
