// Package http is the downstream for HTTP/1.1 clients (RFC 9110, RFC 9112). It parses a request into a call
// of the core, and writes the one answer to it. It limits the connections, sizes and times of clients. All
// other decisions are those of the core.
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
	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/stall"
	"ringtrack.example/ringtrack/policy"
)

const (
	// headTimeout bounds how long a head may take to arrive. A client may need 2 s, and one that sends no
	// complete head must get its answer within 3 s. The limits of a body are in body.go.
	headTimeout = 2700 * time.Millisecond
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 10 * time.Second
	// firstWriteTimeout bounds the writing of net/http's own answers, from the arrival of the head on.
	firstWriteTimeout = 5 * time.Second
)

// Server serves clients on one listener.
type Server struct {
	EventLoop *core.EventLoop // set before Serve
	Stalls    *stall.Watcher
	// BodyMemory is the size of the budget for bodies, which bounds how fast they are buffered; 0: that is not bounded.
	BodyMemory int64

	settings *policy.Settings
	upstream core.Upstream
	budget   *semaphore.Weighted // memory for the bytes of bodies after unreservedBytes
	buffers  *pace.Buffers       // for bodies of requests, from the budget
	answers  *pace.Answers

	disagreements *disagreements

	classes     map[string]int
	tenants     map[string]int
	httpServer  *http.Server
	clientConns *clientConns

	ready    atomic.Bool
	draining atomic.Bool                       // each connection is closed with its next answer
	schedule atomic.Pointer[shutdown.Schedule] // nil: no shutdown
	ln       atomic.Pointer[net.Listener]
	// firstRequests bounds how fast new connections' requests are parsed; nil before Serve.
	firstRequests atomic.Pointer[pace.FirstRequests]
	served        chan struct{} // closed once the listener is closed and clientConns has all accepted connections
}

// New returns a server that forwards calls to an upstream. budget is the memory for bodies. softLimit and
// hardLimit are the numbers of connections above which idle ones and new ones are evicted.
func New(settings *policy.Settings, budget *semaphore.Weighted, upstream core.Upstream, softLimit, hardLimit int) *Server {
	s := &Server{
		settings:      settings,
		upstream:      upstream,
		budget:        budget,
		buffers:       pace.NewBuffers(budget, 0),
		answers:       pace.NewAnswers(),
		disagreements: newDisagreements(),
		classes:       map[string]int{},
		tenants:       map[string]int{},
		clientConns:   newClientConns(softLimit, hardLimit),
		served:        make(chan struct{}),
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
		ConnContext:       s.clientConns.connContext,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		// Otherwise net/http itself would answer OPTIONS * with 200.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// SetConnMemory bounds the memory that the connections of clients take, in bytes; 0: it is not bounded. It may be changed
// while the server serves.
func (s *Server) SetConnMemory(bytes int) { s.clientConns.setMemoryLimit(bytes) }

// Ready makes the readiness endpoint answer 200.
func (s *Server) Ready() { s.ready.Store(true) }

// Serve accepts connections until Shutdown or HandOver, and then returns nil. It may be called only once.
func (s *Server) Serve(ln net.Listener) error {
	defer close(s.served)
	s.ln.Store(&ln)
	s.buffers = pace.NewBuffers(s.budget, s.BodyMemory)
	connMemory := s.clientConns.memory()
	s.clientConns.replacements = pace.NewReplacements(connMemory)
	closed := pace.NewClosedClients()
	firstRequests := pace.NewFirstRequests(connMemory, closed)
	s.firstRequests.Store(firstRequests)
	if s.draining.Load() {
		firstRequests.End()
	}
	accepted := framedListener{pace.NewListener(ln, mayHoldRequest, closed)}
	if err := s.httpServer.Serve(roomyListener{accepted, s.clientConns, firstRequests, s.Stalls}); !s.draining.Load() {
		return fmt.Errorf("downstream http: %w", err)
	}
	return nil
}
