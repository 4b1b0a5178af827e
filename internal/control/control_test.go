package control_test

import (
	"fmt"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
	"ringtrack.example/ringtrack/internal/membership"
)

// patience bounds every wait of the tests; none of them needs more than a part of it.
const patience = 20 * time.Second

// fleet are entries of servers that nobody needs to reach.
func fleet(n int) []membership.Entry {
	var out []membership.Entry
	for i := range n {
		out = append(out, membership.Entry{ID: fmt.Sprintf("s-%03d", i), Addr: fmt.Sprintf("127.0.%d.%d:8000", 1+i/250, 1+i%250),
			Zone: []string{"east", "west", "south"}[i%3], Kind: "fast", State: membership.Up, Weight: 1})
	}
	return out
}

// world is a roster and a replica beside it.
type world struct {
	t      *testing.T
	roster *lab.Roster
	*service.Service
}

func newWorld(t *testing.T, entries []membership.Entry, change func(*control.Config)) *world {
	t.Helper()
	r, err := lab.NewRoster(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	s, err := service.StartWith(r, change)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("the service ended with %v", err)
		}
	})
	return &world{t, r, s}
}

func (w *world) dial(o xdsproxy.Options) *xdsproxy.Proxy {
	w.t.Helper()
	o.Target = w.Addr
	p, err := xdsproxy.Dial(o)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(p.Close)
	return p
}

func (w *world) ready(p *xdsproxy.Proxy) {
	w.t.Helper()
	select {
	case <-p.Ready():
	case <-time.After(patience):
		w.t.Fatalf("the proxy is not ready: %s", p.LastError())
	}
}

// await waits until a proxy's table is as wanted.
func (w *world) await(p *xdsproxy.Proxy, what string, want func(*xdsproxy.Table) bool) {
	w.t.Helper()
	if !p.Await(patience, want) {
		t, _ := p.Table()
		w.t.Fatalf("never saw %s; holds %.600s; last error %q", what, fmt.Sprintf("%+v", t.Endpoints), p.LastError())
	}
}

// eventually waits until the admin page is as wanted.
func (w *world) eventually(what string, want func(*control.Report) bool) *control.Report {
	w.t.Helper()
	var r *control.Report
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var err error
		if r, err = w.Report(); err != nil {
			w.t.Fatal(err)
		}
		if want(r) {
			return r
		}
	}
	w.t.Fatalf("never saw %s; the admin page tells %.1500s", what, fmt.Sprintf("%+v", r))
	return nil
}

func usable(id string, want bool) func(*xdsproxy.Table) bool {
	return func(t *xdsproxy.Table) bool { return t.Usable(id) == want }
}

func holds(n int) func(*xdsproxy.Table) bool {
	return func(t *xdsproxy.Table) bool { return len(t.Parts()) == n }
}

// variants are the protocols that a proxy may speak.
var variants = map[string]xdsproxy.Options{
	"sotw":  {Node: "p-sotw", Zone: "east"},
	"delta": {Node: "p-delta", Zone: "east", Delta: true},
	"leds":  {Node: "p-leds", Zone: "east", Delta: true, LEDS: true},
}

// Every variant gets all, follows a drain, a return, a server that is gone and a new one.
func TestFollow(t *testing.T) {
	for name, o := range variants {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, fleet(6), nil)
			p := w.dial(o)
			w.ready(p)
			w.await(p, "all servers", holds(6))
			tab, _ := p.Table()
			if r := tab.Route("order"); r == nil || r.Retries != 2 {
				t.Errorf("route of order: %+v", r)
			}
			drains := fleet(6)[0]
			drains.State = membership.Draining
			w.roster.Set(drains)
			w.await(p, "the drain", usable("s-000", false))
			if tab, _ = p.Table(); len(tab.Endpoints) != 6 {
				t.Errorf("a drain took the server out: %+v", tab.Endpoints)
			}
			w.roster.Set(fleet(6)[0])
			w.await(p, "the return", usable("s-000", true))
			w.roster.Remove("s-001")
			w.await(p, "the removal", func(t *xdsproxy.Table) bool { _, ok := t.Find("s-001"); return !ok })
			w.roster.Set(fleet(7)[6])
			w.await(p, "the new server", usable("s-006", true))
			w.eventually("the proxy up to date", func(r *control.Report) bool {
				return len(r.Proxies) == 1 && !r.Proxies[0].Behind && r.Proxies[0].DrainAckMs >= 0 && len(r.Proxies[0].Acked) >= 4
			})
		})
	}
}
