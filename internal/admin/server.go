// Package admin serves the agent's admin endpoint: health, statistics, and cordoning of backends. It has its
// own listener and limits the number of connections: above the limit, the connection that has waited longest
// for a complete request is closed.
package admin

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/panics"
)

const (
	// MaxConnections is the highest connection limit of a Server.
	MaxConnections = 48
	// requestTimeout is the time limit for receiving a complete request.
	requestTimeout = 5 * time.Second
	// responseTimeout is the time limit for the client to read the response.
	responseTimeout = 2 * time.Second
	maxHeaderBytes  = 4 << 10
	// maxIDBytes is the maximum length of a backend's id.
	maxIDBytes = 256
)

// ErrBackendNotFound is returned by Agent.Cordon for an id that was never listed.
var ErrBackendNotFound = errors.New("no backend of this id was ever listed")

// Agent is the agent that a Server administers. Its methods are safe for concurrent use and take well under a
// second.
type Agent interface {
	// Serving reports whether the agent can serve requests.
	Serving() bool
	// Stats returns the agent's metrics.
	Stats() Stats
	// Cordon stops new attempts to a backend, or allows them again, and returns once that is in effect. It
	// returns ErrBackendNotFound if no backend of this id was ever listed.
	Cordon(id string, cordoned bool) error
}

// Server serves the admin endpoint.
type Server struct {
	agent          Agent
	server         *http.Server
	maxConnections int

	mu          sync.Mutex
	connections map[net.Conn]*list.Element // all open connections; nil: not in the waiting list
	waiting     list.List                  // connections without a complete request, oldest first
}

// New returns a server for an agent. maxConnections is clamped to the range 1 to MaxConnections.
func New(agent Agent, maxConnections int) *Server {
	s := &Server{
		agent:          agent,
		maxConnections: min(max(maxConnections, 1), MaxConnections),
		connections:    map[net.Conn]*list.Element{},
	}
	s.server = &http.Server{
		Handler:                      panics.Handler("admin", s),
		ReadTimeout:                  requestTimeout,
		WriteTimeout:                 requestTimeout + responseTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    s.trackConnection,
		ErrorLog:                     slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		DisableGeneralOptionsHandler: true,
	}
	s.server.SetKeepAlivesEnabled(false) // one request per connection
	return s
}

// Serve serves on a listener until Close; then it returns nil.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.server.Serve(lineLimitedListener{ln}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() { s.server.Close() }

// trackConnection enforces the connection limit. A connection counts as waiting from its accept until it is
// closed, because one with an incomplete request is as idle as one that has sent nothing.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections[conn] = s.waiting.PushBack(conn)
		if oldest := s.waiting.Front(); len(s.connections) > s.maxConnections && oldest != nil {
			oldestConn := oldest.Value.(net.Conn)
			s.removeWaiting(oldestConn)
			oldestConn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.removeWaiting(conn)
		delete(s.connections, conn)
	}
}

// removeWaiting removes a connection from the waiting list. s.mu must be held.
func (s *Server) removeWaiting(conn net.Conn) {
	if e := s.connections[conn]; e != nil {
		s.waiting.Remove(e)
		s.connections[conn] = nil
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	routes := map[string]struct {
		method string
		handle func(w http.ResponseWriter, query url.Values)
	}{
		"/admin/health":   {http.MethodGet, s.health},
		"/admin/stats":    {http.MethodGet, s.stats},
		"/admin/cordon":   {http.MethodPut, func(w http.ResponseWriter, q url.Values) { s.cordon(w, q, true) }},
		"/admin/uncordon": {http.MethodPut, func(w http.ResponseWriter, q url.Values) { s.cordon(w, q, false) }},
	}
	route, ok := routes[req.URL.Path]
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if req.Method != route.method {
		w.Header().Set("Allow", route.method)
		http.Error(w, "this call is a "+route.method, http.StatusMethodNotAllowed)
		return
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	if err != nil {
		http.Error(w, "query: "+err.Error(), http.StatusBadRequest)
		return
	}
	route.handle(w, query)
}

func (s *Server) health(w http.ResponseWriter, _ url.Values) {
	if !s.agent.Serving() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) stats(w http.ResponseWriter, _ url.Values) {
	stats := s.agent.Stats()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprint(w, stats.String())
}

func (s *Server) cordon(w http.ResponseWriter, query url.Values, cordoned bool) {
	ids := query["name"]
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maxIDBytes {
		http.Error(w, fmt.Sprintf("name: one id of 1 to %d bytes is needed", maxIDBytes), http.StatusBadRequest)
		return
	}
	id := ids[0]
	switch err := s.agent.Cordon(id, cordoned); {
	case errors.Is(err, ErrBackendNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		slog.Warn("cordon failed", "id", id, "cordoned", cordoned, "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		slog.Info("cordon changed", "id", id, "cordoned", cordoned)
		fmt.Fprintln(w, "ok")
	}
}
