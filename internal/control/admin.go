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
)

// Report is what the admin page tells.
type Report struct {
	NowMs       float64                       `json:"now_ms"`
	Membership  []membership.Status           `json:"membership"`
	Problems    []string                      `json:"problems,omitempty"` // of entries that could not be used
	Servers     []ServerReport                `json:"servers"`
	Proxies     []ProxyReport                 `json:"proxies"`
	LastDrain   *DrainReport                  `json:"last_drain,omitempty"`
	Counts      map[string]int64              `json:"counts"`
	Evidence    assign.EvidenceCounts         `json:"evidence"`
	Assignments map[string]*assign.Assignment `json:"assignments"` // by zone; "": of proxies in none
}

// ServerReport is one server as the module sees it.
type ServerReport struct {
	ID                  string  `json:"id"`
	State               string  `json:"state"`
	SinceMs             float64 `json:"since_ms"`
	Usable              bool    `json:"usable"`
	Capacity            float64 `json:"ramp"`
	ConsecutiveFailures int     `json:"strikes"`
}

// ProxyReport is one ADS stream.
type ProxyReport struct {
	Node     string  `json:"node"`
	Zone     string  `json:"zone"`
	Peer     string  `json:"peer"`
	Protocol string  `json:"protocol"` // "sotw", "delta" or "delta+leds"
	OpenedMs float64 `json:"since_ms"`
	Behind   bool    `json:"behind"` // has not acknowledged the last drain
	shown
}

// DrainReport is the last drain or end of a server that was handed on.
type DrainReport struct {
	Server      string  `json:"server"`
	PublishedMs float64 `json:"told_ms"`
	Waiting     int     `json:"waiting"` // proxies that have not acknowledged it
}

var stateNames = [...]string{"connected", "unknown", "unhealthy-pending", "unhealthy"}

// report gathers it all in the hub.
func (s *Server) report(ctx context.Context) *Report {
	made := make(chan *Report, 1)
	s.hub.post(func() {
		h := s.hub
		now := h.clock.Ms()
		r := &Report{NowMs: now, Membership: h.status(now), Problems: h.assigner.Problems(),
			Evidence: h.assigner.Counts(), Assignments: map[string]*assign.Assignment{},
			Counts: map[string]int64{"published": h.counts.Published.Load(), "drains": h.counts.Drains.Load(),
				"stalled": h.counts.Stalled.Load(), "ended": h.counts.Ended.Load(),
				"rejections": h.counts.Nacks.Load(), "refused": h.counts.Refused.Load()}}
		for id, v := range h.assigner.Views(now) {
			r.Servers = append(r.Servers, ServerReport{ID: id, State: stateNames[v.State], SinceMs: v.StateSinceMs,
				Usable: v.Usable, Capacity: v.Capacity, ConsecutiveFailures: v.ConsecutiveFailures})
		}
		slices.SortFunc(r.Servers, func(a, b ServerReport) int { return cmp.Compare(a.ID, b.ID) })
		h.groups.Range(func(zone, g any) bool {
			if snap := g.(*group).now.Load(); snap != nil && snap.assignment != nil {
				r.Assignments[zone.(string)] = snap.assignment
			}
			return true
		})
		if h.drain.seq > 0 {
			r.LastDrain = &DrainReport{Server: h.drain.what, PublishedMs: h.drain.toldMs}
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		for st := range h.streams {
			p := ProxyReport{Node: st.node, Zone: st.zone, Peer: st.peer, Protocol: "sotw", OpenedMs: st.openMs, Behind: st.behind(&h.drain)}
			switch {
			case st.leds:
				p.Protocol = "delta+leds"
			case st.delta:
				p.Protocol = "delta"
			}
			st.mu.Lock()
			p.shown = st.shown
			p.shown.Acked, p.shown.Rejected = maps.Clone(st.shown.Acked), maps.Clone(st.shown.Rejected)
			st.mu.Unlock()
			if p.Behind && r.LastDrain != nil {
				r.LastDrain.Waiting++
			}
			r.Proxies = append(r.Proxies, p)
		}
		slices.SortFunc(r.Proxies, func(a, b ProxyReport) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Peer, b.Peer)) })
		made <- r
	})
	select {
	case r := <-made:
		return r
	case <-ctx.Done():
		return nil
	case <-s.hub.done:
		return nil
	}
}

// serveAdmin answers GET / with the report and GET /ready with 200 once there is something to hand
// out, until ctx ends.
func (s *Server) serveAdmin(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, req *http.Request) {
		r := s.report(req.Context())
		if r == nil {
			http.Error(w, "the service ends", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		e.Encode(r)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, req *http.Request) {
		listed := make(chan bool, 1)
		s.hub.post(func() { listed <- s.hub.assigner.HasMembership() })
		select {
		case ok := <-listed:
			if ok {
				return
			}
		case <-req.Context().Done():
		case <-s.hub.done:
		}
		http.Error(w, "no list of servers yet", http.StatusServiceUnavailable)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
