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

// testTimeout bounds each wait in the tests, which normally take only a small part of it.
const testTimeout = 20 * time.Second

// testEntries returns the entries of n servers that do not exist.
func testEntries(n int) []membership.Entry {
	var out []membership.Entry
	for i := range n {
		out = append(out, membership.Entry{ID: fmt.Sprintf("s-%03d", i), Addr: fmt.Sprintf("127.0.%d.%d:8000", 1+i/250, 1+i%250),
			Zone: []string{"east", "west", "south"}[i%3], Kind: "fast", State: membership.Up, Weight: 1})
	}
	return out
}

// fixture runs service discovery and a replica of the control service.
type fixture struct {
	t         *testing.T
	discovery *lab.DiscoveryService
	*service.Service
}

func newFixture(t *testing.T, entries []membership.Entry, change func(*control.Config)) *fixture {
	t.Helper()
	r, err := lab.NewDiscoveryService(entries...)
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
	return &fixture{t, r, s}
}

func (f *fixture) dial(o xdsproxy.Options) *xdsproxy.Proxy {
	f.t.Helper()
	o.Target = f.Addr
	p, err := xdsproxy.Dial(o)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func (f *fixture) awaitReady(p *xdsproxy.Proxy) {
	f.t.Helper()
	select {
	case <-p.Ready():
	case <-time.After(testTimeout):
		f.t.Fatalf("the proxy is not ready: %s", p.LastError())
	}
}

// await waits until a proxy's table satisfies want.
func (f *fixture) await(p *xdsproxy.Proxy, what string, want func(*xdsproxy.Table) bool) {
	f.t.Helper()
	if !p.Await(testTimeout, want) {
		t, _ := p.Table()
		f.t.Fatalf("timed out waiting for %s; the proxy has %.600s; last error %q", what, fmt.Sprintf("%+v", t.Endpoints), p.LastError())
	}
}

// eventually waits until the admin report satisfies want.
func (f *fixture) eventually(what string, want func(*control.Report) bool) *control.Report {
	f.t.Helper()
	var r *control.Report
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var err error
		if r, err = f.Report(); err != nil {
			f.t.Fatal(err)
		}
		if want(r) {
			return r
		}
	}
	f.t.Fatalf("timed out waiting for %s; the admin endpoint reports %.1500s", what, fmt.Sprintf("%+v", r))
	return nil
}

func usable(id string, want bool) func(*xdsproxy.Table) bool {
	return func(t *xdsproxy.Table) bool { return t.Usable(id) == want }
}

func hasServers(n int) func(*xdsproxy.Table) bool {
	return func(t *xdsproxy.Table) bool { return len(t.Shares()) == n }
}

// variants contains the options of a proxy for each variant of the protocol.
var variants = map[string]xdsproxy.Options{
	"sotw":  {Node: "p-sotw", Zone: "east"},
	"delta": {Node: "p-delta", Zone: "east", Delta: true},
	"leds":  {Node: "p-leds", Zone: "east", Delta: true, LEDS: true},
}

// In each variant of the protocol, a proxy receives all resources and applies a drain and its end, a removal
// and an addition.
func TestProxiesFollowMembership(t *testing.T) {
	for name, o := range variants {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testEntries(6), nil)
			p := f.dial(o)
			f.awaitReady(p)
			f.await(p, "all servers", hasServers(6))
			tab, _ := p.Table()
			if r := tab.Route("order"); r == nil || r.MaxRetries != 2 {
				t.Errorf("the route of class order is %+v", r)
			}
			drains := testEntries(6)[0]
			drains.State = membership.Draining
			f.discovery.Set(drains)
			f.await(p, "the drain", usable("s-000", false))
			if tab, _ = p.Table(); len(tab.Endpoints) != 6 {
				t.Errorf("a drain removed the server: %+v", tab.Endpoints)
			}
			f.discovery.Set(testEntries(6)[0])
			f.await(p, "the end of the drain", usable("s-000", true))
			f.discovery.Remove("s-001")
			f.await(p, "the removal", func(t *xdsproxy.Table) bool { _, ok := t.Find("s-001"); return !ok })
			f.discovery.Set(testEntries(7)[6])
			f.await(p, "the new server", usable("s-006", true))
			f.eventually("an up-to-date proxy in the report", func(r *control.Report) bool {
				return len(r.Proxies) == 1 && !r.Proxies[0].Behind && r.Proxies[0].DrainAckMs >= 0 && len(r.Proxies[0].Acked) >= 4
			})
		})
	}
}

// settleTime is long enough for a response in flight to arrive.
const settleTime = 300 * time.Millisecond

func (f *fixture) drain(i int) membership.Entry {
	e := testEntries(i + 1)[i]
	e.State = membership.Draining
	f.discovery.Set(e)
	return e
}
