// Package admin is the operators' door: a listener of its own with calls that tell how the agent is and
// that ban backends. It holds a bounded number of callers and decides nothing. Whoever holds a connection
// with no whole call gives way to others.
package admin

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// MaxCallers bounds the connections of any door; beyond its bound the one that has been silent longest is closed.
	MaxCallers = 48
	// callTime is what a whole call may take to come, answerTime what its caller may take to read the answer.
	callTime, answerTime = 5 * time.Second, 2 * time.Second
	// maxHead and maxID bound a call's head and the id of a backend, in bytes.
	maxHead, maxID = 4 << 10, 256
)

// Stats are what the agent tells of itself. Names are the operators'.
type Stats struct {
	Classes      []Class       // in the order of the settings
	Written      int64         // attempts written whole to backends
	Open         int64         // requests taken and not ended
	Listed       int           // backends in the list
	Unavailable  int           // those of them that the agent avoids now
	SharedConfig *SharedConfig // nil: there are no keepers
}

// SharedConfig is how the agent stands to the book of rules.
type SharedConfig struct {
	Epoch              uint64 // 2n: version n is in force; 2n+1: what n and n+1 both permit
	LeaseMs            int64  // for how long its lease holds; 0: nothing is tried again
	Strict, Rejecting  bool   // it acts by the strictest form; it refuses requests
	Expirations        int64
	Renewals, Failed   int64 // calls to keepers
	Relayed            int64 // asks of peers that it carried
	Unapplied, Adopted int64 // rules it could not take up, and those it did
}

// Class counts the answers to the requests of one class since the start of the process.
type Class struct {
	Name                     string
	Served, Rejected, Failed int64
}

// String is the figures' text: name=value, a line each.
func (f *Stats) String() string {
	var out strings.Builder
	line := func(name string, value int64) {
		out.WriteString("app." + name + "=" + strconv.FormatInt(value, 10) + "\n")
	}
	for _, c := range f.Classes {
		line("fulfilled."+c.Name, c.Served)
		line("throttled."+c.Name, c.Rejected)
		line("faulted."+c.Name, c.Failed)
	}
	line("relayed", f.Written)
	line("open_requests", f.Open)
	line("registry_entries", int64(f.Listed))
	line("out_of_rotation", int64(f.Unavailable))
	if a := f.SharedConfig; a != nil {
		yes := func(b bool) int64 {
			if b {
				return 1
			}
			return 0
		}
		line("agreed.stage", int64(a.Epoch))
		line("agreed.lease_ms", a.LeaseMs)
		line("agreed.strict", yes(a.Strict))
		line("agreed.shut", yes(a.Rejecting))
		line("agreed.lapses", a.Expirations)
		line("agreed.asks", a.Renewals)
		line("agreed.asks_failed", a.Failed)
		line("agreed.asks_relayed", a.Relayed)
		line("agreed.unable", a.Unapplied)
		line("agreed.taken_up", a.Adopted)
	}
	return out.String()
}

// ErrBackendNotFound says that a backend of this id was never listed.
var ErrBackendNotFound = errors.New("no backend of this id was ever listed")

// Agent is what stands behind the door. Its methods may be called from any goroutine and take well under a
// second.
type Agent interface {
	Serving() bool
	Stats() Stats
	// Cordon has nothing new sent to a backend, or ends that; it returns once that holds. ErrUnknown: there was
	// never such a backend.
	Cordon(id string, on bool) error
}

// Server answers operators' calls.
type Server struct {
	agent  Agent
	server *http.Server
	most   int // callers at once

	mu      sync.Mutex
	callers map[net.Conn]*list.Element // all there are
	silent  list.List                  // those whose call has not come whole, the oldest first
}

// New returns a door to an agent for so many callers at once, MaxCallers at the most.
func New(a Agent, most int) *Server {
	d := &Server{agent: a, most: min(max(most, 1), MaxCallers), callers: map[net.Conn]*list.Element{}}
	d.server = &http.Server{Handler: d, ReadTimeout: callTime, WriteTimeout: callTime + answerTime, MaxHeaderBytes: maxHead,
		ConnState: d.track, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		DisableGeneralOptionsHandler: true}
	d.server.SetKeepAlivesEnabled(false) // one call to a connection
	return d
}

// Serve answers until the door is closed; then it returns nil.
func (d *Server) Serve(ln net.Listener) error {
	if err := d.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close ends the door and all its connections.
func (d *Server) Close() { d.server.Close() }

// track keeps the callers' number within its bound.
func (d *Server) track(nc net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.callers[nc] = d.silent.PushBack(nc)
		if e := d.silent.Front(); len(d.callers) > d.most && e != nil {
			d.heard(e.Value.(net.Conn))
			e.Value.(net.Conn).Close()
		}
	case http.StateClosed, http.StateHijacked:
		d.heard(nc)
		delete(d.callers, nc)
	case http.StateActive: // first bytes; a call that never comes whole is as silent
	}
}

// heard takes a caller off the silent ones. The lock is held.
func (d *Server) heard(nc net.Conn) {
	if e := d.callers[nc]; e != nil {
		d.silent.Remove(e)
		d.callers[nc] = nil
	}
}

func (d *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	calls := map[string]struct {
		method string
		do     func(w http.ResponseWriter, query url.Values)
	}{
		"/admin/health":   {http.MethodGet, d.health},
		"/admin/stats":    {http.MethodGet, d.stats},
		"/admin/cordon":   {http.MethodPut, func(w http.ResponseWriter, q url.Values) { d.ban(w, q, true) }},
		"/admin/uncordon": {http.MethodPut, func(w http.ResponseWriter, q url.Values) { d.ban(w, q, false) }},
	}
	call, ok := calls[req.URL.Path]
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if req.Method != call.method {
		w.Header().Set("Allow", call.method)
		http.Error(w, "this call is a "+call.method, http.StatusMethodNotAllowed)
		return
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	if err != nil {
		http.Error(w, "query: "+err.Error(), http.StatusBadRequest)
		return
	}
	call.do(w, query)
}

func (d *Server) health(w http.ResponseWriter, _ url.Values) {
	if !d.agent.Serving() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (d *Server) stats(w http.ResponseWriter, _ url.Values) {
	f := d.agent.Stats()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprint(w, f.String())
}

func (d *Server) ban(w http.ResponseWriter, query url.Values, on bool) {
	ids := query["name"]
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maxID {
		http.Error(w, fmt.Sprintf("name: one id of 1 to %d bytes is needed", maxID), http.StatusBadRequest)
		return
	}
	switch err := d.agent.Cordon(ids[0], on); {
	case errors.Is(err, ErrBackendNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		slog.Warn("ban", "id", ids[0], "on", on, "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		slog.Info("ban", "id", ids[0], "on", on)
		fmt.Fprintln(w, "ok")
	}
}
