package control

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/panics"
)

const (
	adminReadHeaderTimeout = 2 * time.Second
	adminWriteTimeout      = 10 * time.Second
	adminMaxHeaderBytes    = 16 << 10
)

// Report is the JSON document of the admin endpoint. Times are Unix ms.
type Report struct {
	NowMs       float64                       `json:"now_ms"`
	Membership  []membership.Status           `json:"membership"`
	Problems    []string                      `json:"problems,omitempty"` // entries that could not be used
	Servers     []ServerReport                `json:"servers"`
	Proxies     []ProxyReport                 `json:"proxies"`
	LastDrain   *DrainReport                  `json:"last_drain,omitempty"`
	Counts      map[string]int64              `json:"counts"`
	Evidence    assign.EvidenceCounts         `json:"evidence"`
	Assignments map[string]*assign.Assignment `json:"assignments"` // by zone; "": for proxies of unknown zone
}

// ServerReport describes the balancer's view of one server.
type ServerReport struct {
	ID                  string  `json:"id"`
	State               string  `json:"state"`
	SinceMs             float64 `json:"since_ms"`
	Usable              bool    `json:"usable"`
	Capacity            float64 `json:"ramp"` // fraction of its capacity that slow start allows, 0 to 1
	ConsecutiveFailures int     `json:"strikes"`
}

// ProxyReport describes one ADS stream.
type ProxyReport struct {
	Node     string  `json:"node"`
	Zone     string  `json:"zone"`
	Peer     string  `json:"peer"`
	Protocol string  `json:"protocol"` // "sotw", "delta" or "delta+leds"
	OpenedMs float64 `json:"since_ms"`
	Behind   bool    `json:"behind"` // has not answered the last drain
	streamStats
}

// DrainReport describes the last published drain or removal of a server.
type DrainReport struct {
	Server      string  `json:"server"`
	PublishedMs float64 `json:"told_ms"`
	Waiting     int     `json:"waiting"` // streams of proxies that have not answered it
}

// stateNames lists the names of the states in policy.View, by number.
var stateNames = [...]string{"connected", "unknown", "unhealthy-pending", "unhealthy"}

// report returns the admin report, or nil if ctx or the service ends first.
func (s *Server) report(ctx context.Context) *Report {
	made := make(chan *Report, 1)
	s.publisher.post(func() { made <- s.publisher.report() })
	select {
	case r := <-made:
		return r
	case <-ctx.Done():
		return nil
	case <-s.publisher.done:
		return nil
	}
}

// report returns the admin report. It must be called on the publisher's goroutine.
func (p *publisher) report() *Report {
	now := p.clock.Ms()
	r := &Report{
		NowMs:       now,
		Membership:  p.membershipStatus(now),
		Problems:    p.assigner.Problems(),
		Evidence:    p.assigner.Counts(),
		Assignments: map[string]*assign.Assignment{},
		Counts:      p.counts.report(),
		Servers:     p.serverReports(now),
	}
	p.groups.Range(func(zone, g any) bool {
		if snap := g.(*group).current.Load(); snap != nil && snap.assignment != nil {
			r.Assignments[zone.(string)] = snap.assignment
		}
		return true
	})
	if last := &p.urgent.last; last.seq > 0 {
		r.LastDrain = &DrainReport{Server: last.server, PublishedMs: last.publishedMs}
	}
	r.Proxies = p.proxyReports()
	for i := range r.Proxies {
		if r.Proxies[i].Behind && r.LastDrain != nil {
			r.LastDrain.Waiting++
		}
	}
	return r
}

func (c *counters) report() map[string]int64 {
	return map[string]int64{
		"published":  c.published.Load(),
		"drains":     c.urgent.Load(),
		"stalled":    c.unresponsive.Load(),
		"ended":      c.closed.Load(),
		"rejections": c.nacks.Load(),
		"refused":    c.rejected.Load(),
		"panics":     panics.Recovered(),
	}
}

// serverReports returns the reports of all servers, sorted by ID.
func (p *publisher) serverReports(now float64) []ServerReport {
	var reports []ServerReport
	for id, view := range p.assigner.Views(now) {
		reports = append(reports, ServerReport{
			ID:                  id,
			State:               stateNames[view.State],
			SinceMs:             view.StateSinceMs,
			Usable:              view.Usable,
			Capacity:            view.WarmUpFraction,
			ConsecutiveFailures: view.Ejections,
		})
	}
	slices.SortFunc(reports, func(x, y ServerReport) int { return cmp.Compare(x.ID, y.ID) })
	return reports
}

// proxyReports returns the reports of all streams, sorted by node and peer.
func (p *publisher) proxyReports() []ProxyReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []ProxyReport
	for s := range p.streams {
		reports = append(reports, s.report(&p.urgent.last))
	}
	slices.SortFunc(reports, func(x, y ProxyReport) int {
		return cmp.Or(cmp.Compare(x.Node, y.Node), cmp.Compare(x.Peer, y.Peer))
	})
	return reports
}

// report returns the report of the stream. last is the last urgent update.
func (s *stream) report(last *urgentUpdate) ProxyReport {
	r := ProxyReport{
		Node:     s.node,
		Zone:     s.zone,
		Peer:     s.peer,
		Protocol: "sotw",
		OpenedMs: s.openedMs,
		Behind:   s.behind(last),
	}
	switch {
	case s.leds:
		r.Protocol = "delta+leds"
	case s.delta:
		r.Protocol = "delta"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.streamStats = s.stats
	r.Acked = maps.Clone(s.stats.Acked)
	r.Rejected = maps.Clone(s.stats.Rejected)
	return r
}

// serveAdmin serves the admin endpoint until ctx ends: GET / returns the report, and GET /ready returns 200
// once a membership has been received.
func (s *Server) serveAdmin(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", s.handleReport)
	mux.HandleFunc("GET /ready", s.handleReady)
	server := &http.Server{
		Handler:           panics.Handler("admin", mux),
		ReadHeaderTimeout: adminReadHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) handleReport(w http.ResponseWriter, req *http.Request) {
	r := s.report(req.Context())
	if r == nil {
		http.Error(w, errShuttingDown.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	encoder.Encode(r)
}

func (s *Server) handleReady(w http.ResponseWriter, req *http.Request) {
	listed := make(chan bool, 1)
	s.publisher.post(func() { listed <- s.publisher.assigner.HasMembership() })
	select {
	case ok := <-listed:
		if ok {
			return
		}
	case <-req.Context().Done():
	case <-s.publisher.done:
	}
	http.Error(w, "no list of servers yet", http.StatusServiceUnavailable)
}
