package agent

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"clayproxy.example/clayproxy/policy"
)

const (
	// linger is how long connections still come after SIGTERM: 0.4 s at most, and
	// what stands in the accept queue by then.
	linger = 500 * time.Millisecond
	// maxTimeout bounds the time that a client may give.
	maxTimeout = 60_000
)

// front serves the clients.
type front struct {
	cfg     *Config
	loop    *loop
	server  *http.Server
	classes map[string]int
	tenants map[string]int
	ready   atomic.Bool
	conns   *clientConns
}

func newFront(cfg *Config) *front {
	f := &front{cfg: cfg, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Settings.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range cfg.Settings.Tenants {
		f.tenants[t.Name] = i
	}
	f.conns = newClientConns(cfg.clientConns())
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      maxTimeout*time.Millisecond + 10*time.Second, // counts from the request's head
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ConnState:         f.conns.track,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
	}
	return f
}

// serve accepts clients until the server is shut down.
func (f *front) serve(ln net.Listener) error {
	// Beyond the limit clients wait in the accept queue, not as descriptors.
	if err := f.server.Serve(netutil.LimitListener(ln, f.conns.max)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// shutdown ends service without losing a request. Connections still come for a
// while after the signal, and an accept queue that is closed resets them, so
// accepting goes on, with every answer closing its connection, before the
// listener closes and the held requests are waited for.
func (f *front) shutdown(held time.Duration) error {
	f.server.SetKeepAlivesEnabled(false)
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), held)
	defer cancel()
	return f.server.Shutdown(ctx)
}

func (f *front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/-/ready" {
		if f.ready.Load() {
			w.WriteHeader(http.StatusOK)
		} else {
			// Not a request of the protocol's, so no refusal either.
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	c, status, err := f.read(w, req, time.Now())
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	took := make(chan *request, 1)
	f.loop.post(func() { took <- f.loop.take(c) })
	select {
	case a := <-c.answer:
		f.write(w, a)
	case <-req.Context().Done():
		f.loop.post(func() { f.loop.left(<-took) })
	}
}

// read turns a client's request into a call, its whole body read, or says what
// is wrong with it. What can't be used is never refused: a refusal would tell the
// client to send the same again.
func (f *front) read(w http.ResponseWriter, req *http.Request, now time.Time) (*call, int, error) {
	h := req.Header
	bad := func(format string, args ...any) (*call, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if req.Method != http.MethodGet && req.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s is not allowed", req.Method)
	}
	c := &call{method: req.Method, host: req.Host, url: req.URL, header: h, answer: make(chan answer, 1)}
	var ok bool
	if c.class, ok = f.classes[h.Get("Request-Class")]; !ok {
		return bad("unknown Request-Class")
	}
	if len(f.tenants) > 0 {
		if c.tenant, ok = f.tenants[h.Get("Tenant")]; !ok {
			return bad("unknown Tenant")
		}
	}
	if h.Get("Request-Id") == "" {
		return bad("no Request-Id")
	}
	if f.cfg.Settings.Classes[c.class].Effect == policy.Guarded && h.Get("Idempotency-Key") == "" {
		return bad("no Idempotency-Key, which this class needs")
	}
	left, err := strconv.Atoi(h.Get("Request-Timeout-Ms"))
	if err != nil || left <= 0 || left > maxTimeout {
		return bad("Request-Timeout-Ms is no whole number from 1 to %d", maxTimeout)
	}
	c.deadline = now.Add(time.Duration(left) * time.Millisecond)
	if text := h.Get("Work-Hint"); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if c.hasHint = err == nil && us > 0 && us < 1e12; c.hasHint { // a guess: a bad one is none
			c.hintMs = us / 1000
		}
	}
	c.retry = f.cfg.Settings.Clients.MarksRetry && h.Get("Client-Retry") == "1"
	if dir, last := path.Split(req.URL.EscapedPath()); len(dir) > 1 && last != "" {
		c.key = hashString(last)
	}
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody)); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", maxBody)
		}
		return bad("body can't be read")
	}
	return c, 0, nil
}

// write sends the final answer.
func (f *front) write(w http.ResponseWriter, a answer) {
	switch {
	case a.verdict == served:
		for name, values := range endToEnd(a.header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(http.StatusOK)
		// A client that has gone by now is told nothing more: no one to report to.
		_, _ = w.Write(a.body)
		return
	case a.verdict == refused:
		if a.afterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.afterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.late:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// clientConns closes the client connections that have idled longest when there
// are nearly as many as may be: clients keep connections for good, and those that
// wait for a descriptor would wait as long.
//
// It looks both when a connection comes and when one falls idle. At the limit none
// comes any more, and if all fell idle only then nobody would ever make room. One
// that is being closed no longer counts and is not chosen again: the server
// notices the close only later.
type clientConns struct {
	max     int
	mu      sync.Mutex
	open    map[net.Conn]bool // true: being closed
	closing int
	order   list.List // idle connections, the longest idle first
	idle    map[net.Conn]*list.Element
}

func newClientConns(most int) *clientConns {
	return &clientConns{max: most, open: map[net.Conn]bool{}, idle: map[net.Conn]*list.Element{}}
}

func (c *clientConns) track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy(nc)
	switch state {
	case http.StateNew:
		c.open[nc] = false
	case http.StateIdle:
		if !c.open[nc] {
			c.idle[nc] = c.order.PushBack(nc)
		}
	case http.StateClosed, http.StateHijacked:
		if c.open[nc] {
			c.closing--
		}
		delete(c.open, nc)
	}
	for len(c.open)-c.closing > c.max*7/8 && c.order.Len() > 0 {
		oldest := c.order.Front().Value.(net.Conn)
		c.busy(oldest)
		c.open[oldest] = true
		c.closing++
		oldest.Close() // the server's read then fails, and it reports the close
	}
}

// busy takes a connection off the idle ones.
func (c *clientConns) busy(nc net.Conn) {
	if e := c.idle[nc]; e != nil {
		c.order.Remove(e)
		delete(c.idle, nc)
	}
}
