// Package http is the downstream for clients that speak HTTP/1.1 (RFC 9110, RFC 9112): it turns a request into a
// call of the core, and the one answer to it back into bytes. It bounds what clients may hold open and send, and
// decides nothing.
package http

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/policy"
)

const (
	// headTimeout bounds how long a head may take to arrive: a client may need 2 s, and one that sends none gets
	// its answer within 3 s. A body has bounds of its own.
	headTimeout = 2700 * time.Millisecond
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 10 * time.Second
	// firstWriteTimeout bounds the writing of net/http's own answers, from the head on.
	firstWriteTimeout = 5 * time.Second
)

// Server serves clients on one listener.
type Server struct {
	EventLoop *core.EventLoop // set before Serve
	Linger    time.Duration   // how long Shutdown keeps serving as before; 0: defaultLinger

	settings    *policy.Settings
	upstream    core.Upstream
	budget      *semaphore.Weighted // memory for bodies over unreservedBytes
	classes     map[string]int
	tenants     map[string]int
	httpServer  *http.Server
	clientConns *clientConns

	ready    atomic.Bool
	draining atomic.Bool // each connection ends with its next answer
	ln       atomic.Pointer[net.Listener]
	served   chan struct{} // closed once nothing more is accepted and clientConns knows all that was
}

// New returns a server whose calls go to this upstream. budget is the memory for bodies. Beyond softLimit
// connections idle ones are closed; there are at most hardLimit.
func New(settings *policy.Settings, budget *semaphore.Weighted, upstream core.Upstream, softLimit, hardLimit int) *Server {
	s := &Server{
		settings:    settings,
		upstream:    upstream,
		budget:      budget,
		classes:     map[string]int{},
		tenants:     map[string]int{},
		clientConns: newClientConns(softLimit, hardLimit),
		served:      make(chan struct{}),
	}
	for i, class := range settings.Classes {
		s.classes[class.Name] = i
	}
	for i, tenant := range settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	s.httpServer = &http.Server{
		Handler:           panics.Handler("HTTP", s),
		ReadHeaderTimeout: headTimeout,
		WriteTimeout:      firstWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         s.clientConns.track,
		ConnContext:       s.clientConns.context,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		// net/http would answer OPTIONS * with 200 by itself.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Ready makes the readiness endpoint answer 200.
func (s *Server) Ready() { s.ready.Store(true) }

// Serve accepts clients until the server is shut down; then it returns nil. It is called once.
func (s *Server) Serve(ln net.Listener) error {
	defer close(s.served)
	s.ln.Store(&ln)
	if err := s.httpServer.Serve(framedListener{ln}); !s.draining.Load() {
		return fmt.Errorf("downstream http: %w", err)
	}
	return nil
}
