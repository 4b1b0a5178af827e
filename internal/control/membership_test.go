package control_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
	"ringtrack.example/ringtrack/internal/membership"
)

// If discovery fails or returns an empty list, proxies keep their resources and the admin report marks the
// list as stale.
func TestMembershipLostOrEmpty(t *testing.T) {
	f := newFixture(t, testEntries(6), func(c *control.Config) { c.Discovery.StaleAfterMs = 1000 })
	p := f.dial(xdsproxy.Options{Node: "p", Zone: "east", Delta: true})
	f.awaitReady(p)
	f.await(p, "all", hasServers(6))
	f.drain(1)
	f.await(p, "the drain", usable("s-001", false))
	n := p.ResponseCount.Load()
	f.discovery.Replace()
	f.eventually("the rejected empty list in the report", func(r *control.Report) bool { return strings.Contains(r.Membership[0].Reason, "not believed") })
	f.eventually("a stale list in the report", func(r *control.Report) bool { return r.Membership[0].Stale })
	f.discovery.SetDown(true)
	f.eventually("a stale list with all entries in the report", func(r *control.Report) bool { return r.Membership[0].Stale && r.Membership[0].Entries == 6 })
	if tab, _ := p.Table(); len(tab.Shares()) != 5 || tab.Usable("s-001") {
		t.Errorf("the proxy has the endpoints %+v", tab.Endpoints)
	}
	if p.ResponseCount.Load() != n {
		t.Errorf("%d responses were sent although nothing changed", p.ResponseCount.Load()-n)
	}
	f.discovery.SetDown(false)
	f.discovery.Replace(testEntries(4)...)
	f.await(p, "the new list", hasServers(4))
	f.eventually("a current list in the report", func(r *control.Report) bool { return !r.Membership[0].Stale })
}

// If the service restarts without an endpoint list while discovery is down, proxies keep their resources and
// receive the missed changes once discovery is up again.
func TestProxiesSurviveARestart(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	s, err := service.Start("", f.discovery.Addr, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	var proxies []*xdsproxy.Proxy
	for _, o := range variants {
		o.Target = s.Addr
		p, err := xdsproxy.Dial(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		f.awaitReady(p)
		f.await(p, "all", hasServers(6))
		proxies = append(proxies, p)
	}
	f.discovery.SetDown(true)
	if err := s.Close(); err != nil {
		t.Errorf("the service ended with %v", err)
	}
	restarted, err := service.Start(s.Addr, f.discovery.Addr, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	streams := make([]int64, len(proxies))
	for i, p := range proxies {
		for end := time.Now().Add(testTimeout); p.Streams.Load() < 2 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		streams[i] = p.Streams.Load()
		if tab, _ := p.Table(); len(tab.Shares()) != 6 {
			t.Errorf("proxy %d lost its servers: %+v", i, tab.Endpoints)
		}
	}
	e := testEntries(6)[3]
	e.State = membership.Draining
	f.discovery.Set(e)
	f.discovery.SetDown(false)
	for _, p := range proxies {
		f.await(p, "the missed drain", usable("s-003", false))
		if tab, _ := p.Table(); len(tab.Endpoints) != 6 {
			t.Errorf("the proxy has the endpoints %+v", tab.Endpoints)
		}
	}
}

// Replicas with the same endpoint list serve the same bytes.
func TestReplicasAgree(t *testing.T) {
	f := newFixture(t, testEntries(9), nil)
	f.drain(4)
	other, err := service.StartWith(f.discovery, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fetchAll := func(addr string) [][]byte {
		r := openSotW(t, connect(t, addr, nil))
		var out [][]byte
		for _, typeURL := range []string{resource.Endpoints, resource.Cluster, resource.Listener, resource.Route} {
			req := &discoveryv3.DiscoveryRequest{Node: node("p"), TypeUrl: typeURL}
			if typeURL == resource.Endpoints || typeURL == resource.Route {
				req.ResourceNames = []string{"orders"}
			}
			r.send(req)
			m := r.receive()
			out = append(out, []byte(m.VersionInfo))
			for _, a := range m.Resources {
				out = append(out, a.Value)
			}
			r.ack(m, req.ResourceNames...)
		}
		return out
	}
	drained := func(r *control.Report) bool {
		a := r.Assignments["east"]
		return a == nil || a.Endpoints[4].Draining
	}
	f.eventually("the drain", drained)
	x := fetchAll(f.Addr)
	var y [][]byte
	// The other replica may not have received its endpoint list yet.
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if y = fetchAll(other.Addr); slices.EqualFunc(x, y, bytes.Equal) {
			return
		}
	}
	t.Errorf("replicas differ: %q and %q", x[0], y[0])
}
