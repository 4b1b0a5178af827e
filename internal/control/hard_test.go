package control_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
	"ringtrack.example/ringtrack/internal/membership"
)

// while is long enough for a response that was under way to come.
const while = 300 * time.Millisecond

func (w *world) drain(i int) membership.Entry {
	e := fleet(i + 1)[i]
	e.State = membership.Draining
	w.roster.Set(e)
	return e
}

// A proxy that reads nothing: the others are told at once, it is seen, its stream is ended, and once
// it reads again it comes back and learns of the drain.
func TestStalledProxy(t *testing.T) {
	w := newWorld(t, fleet(300), nil) // more than its window takes in one piece
	var others []*xdsproxy.Proxy
	for i := range 5 {
		p := w.dial(xdsproxy.Options{Node: fmt.Sprint("well-", i), Zone: "east", Delta: i%2 == 0})
		w.ready(p)
		others = append(others, p)
	}
	stalled := w.dial(xdsproxy.Options{Node: "stalled", Zone: "west"})
	w.ready(stalled)
	stalled.Pause(true)
	w.drain(0)
	w.await(others[0], "the first drain", usable("s-000", false)) // one more may be read before the pause holds
	for i := 3; i < 30; i += 3 {
		told := time.Now()
		w.drain(i)
		for _, p := range others {
			w.await(p, "a drain", usable(fmt.Sprintf("s-%03d", i), false))
		}
		if took := time.Since(told); took > 250*time.Millisecond {
			t.Errorf("a drain took %v beside a stalled proxy", took)
		}
	}
	w.eventually("the stalled one ended", func(r *control.Report) bool { return r.Counts["stalled"] >= 1 && r.Counts["ended"] >= 1 })
	stalled.Pause(false)
	w.await(stalled, "the last drain", usable("s-027", false))
	if stalled.Streams.Load() < 2 {
		t.Errorf("%d streams", stalled.Streams.Load())
	}
	w.eventually("nobody behind", func(r *control.Report) bool {
		return len(r.Proxies) == 6 && !slices.ContainsFunc(r.Proxies, func(p control.ProxyReport) bool { return p.Behind })
	})
}

// While a response is not acknowledged, what is not urgent waits and is made one; a drain does not
// wait, and nothing that comes later undoes it.
func TestDrainOvertakes(t *testing.T) {
	w := newWorld(t, fleet(6), func(c *control.Config) { c.Proxies.AckTimeoutMs = 60_000 })
	r := openFull(t, connect(t, w.Addr, nil))
	r.ask(edsRequest("p", "orders"))
	first := r.next() // never acknowledged
	for i := range 5 {
		e := fleet(6)[i]
		e.Weight = 2 + float64(i)
		w.roster.Set(e)
	}
	w.eventually("the changes handed on", func(rep *control.Report) bool {
		return rep.Assignments["east"].Endpoints[4].Weight > 5000
	})
	r.quiet(while)
	drained := w.drain(5)
	second := r.next()
	if drains, all := draining(t, second); !drains[drained.Addr] || len(all) != 6 {
		t.Errorf("the drain is not in what overtook: %v", drains)
	}
	// The old response is acknowledged at last; nothing older than the drain comes after.
	r.ack(first, "orders")
	for i := range 5 {
		e := fleet(6)[i]
		e.Weight = 10 + float64(i)
		w.roster.Set(e)
	}
	r.ack(second, "orders")
	third := r.next()
	if drains, _ := draining(t, third); !drains[drained.Addr] {
		t.Error("the drain was undone")
	}
	// An answer about what is long overtaken says nothing.
	r.nack(first, "too late", "orders")
	r.quiet(while)
}

// A rejection: the reason is kept, the same is not sent again, only what is newer.
func TestRejection(t *testing.T) {
	w := newWorld(t, fleet(6), nil)
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprint("delta ", delta), func(t *testing.T) {
			w.t = t
			conn := connect(t, w.Addr, nil)
			id := fmt.Sprint("p-", delta)
			var r *raw
			if delta {
				r = openDelta(t, conn)
				r.askDelta(deltaRequest(id, "orders"))
				m := r.nextDelta()
				r.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce,
					ErrorDetail: &rpcstatus.Status{Code: 3, Message: "no such thing"}})
			} else {
				r = openFull(t, conn)
				r.ask(edsRequest(id, "orders"))
				r.nack(r.next(), "no such thing", "orders")
			}
			w.eventually("the reason", func(rep *control.Report) bool {
				return slices.ContainsFunc(rep.Proxies, func(p control.ProxyReport) bool {
					return p.Node == id && strings.Contains(p.Rejected[resource.Endpoints], "no such thing")
				})
			})
			r.quiet(while)
			w.drain(map[bool]int{false: 1, true: 2}[delta])
			if delta {
				r.nextDelta()
			} else {
				r.next()
			}
		})
	}
}

// A proxy that comes back with versions and nonces of another life.
func TestReconnectWithOldVersions(t *testing.T) {
	w := newWorld(t, fleet(6), nil)
	r := openFull(t, connect(t, w.Addr, nil))
	req := edsRequest("p", "orders")
	req.VersionInfo, req.ResponseNonce = "an older one", "deadbeef-17"
	r.ask(req)
	m := r.next()
	if _, all := draining(t, m); len(all) != 6 {
		t.Errorf("%d servers", len(all))
	}
	d := openDelta(t, connect(t, w.Addr, nil))
	q := deltaRequest("d", "orders")
	q.InitialResourceVersions = map[string]string{"orders": "an older one", "gone": "1"}
	q.ResponseNonce = "deadbeef-18"
	d.askDelta(q)
	dm := d.nextDelta()
	if len(dm.Resources) != 1 {
		t.Errorf("%+v", dm)
	}
	// With the present version there is nothing to send: the next thing that comes is a change.
	e := openDelta(t, connect(t, w.Addr, nil))
	q = deltaRequest("e", "orders")
	q.InitialResourceVersions = map[string]string{"orders": dm.Resources[0].Version}
	e.askDelta(q)
	e.quiet(while)
	w.drain(0)
	if m := e.nextDelta(); len(m.Resources) != 1 || m.Resources[0].Version == dm.Resources[0].Version {
		t.Errorf("%+v", m)
	}
}

// What does not exist is said not to, where the protocol has a word for it, and comes once it does.
func TestNamesThatDoNotExist(t *testing.T) {
	w := newWorld(t, fleet(6), nil)
	r := openFull(t, connect(t, w.Addr, nil))
	r.ask(edsRequest("p", "nothing"))
	r.quiet(while)
	d := openDelta(t, connect(t, w.Addr, nil))
	d.askDelta(deltaRequest("d", "nothing", "orders"))
	if m := d.nextDelta(); len(m.Resources) != 1 || !slices.Equal(m.RemovedResources, []string{"nothing"}) {
		t.Errorf("%+v", m)
	}
}

// 10,000 names are served; more end the stream, and only that.
func TestManyNames(t *testing.T) {
	w := newWorld(t, fleet(6), nil)
	names := []string{"orders"}
	for i := range 9999 {
		names = append(names, fmt.Sprint("name-", i))
	}
	r := openFull(t, connect(t, w.Addr, nil))
	r.ask(edsRequest("p", names...))
	r.next()
	d := openDelta(t, connect(t, w.Addr, nil))
	d.askDelta(deltaRequest("d", names...))
	if m := d.nextDelta(); len(m.RemovedResources) != 9999 {
		t.Errorf("%d names are told not to exist", len(m.RemovedResources))
	}
	d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: resource.Endpoints, ResourceNamesSubscribe: []string{"one more"}})
	d.wantEnd(codes.ResourceExhausted)
	more := openFull(t, connect(t, w.Addr, nil))
	more.ask(edsRequest("q", append(names, "one more")...))
	more.wantEnd(codes.ResourceExhausted)
	r.quiet(while)
}

// Garbage, a message of 60 MB, a type that is none, a changed or missing node id: each ends its own
// stream, with a code that says why, and nobody else's.
func TestBadRequests(t *testing.T) {
	w := newWorld(t, fleet(6), nil)
	p := w.dial(xdsproxy.Options{Node: "well", Zone: "east"})
	w.ready(p)
	for name, c := range map[string]struct {
		reqs []*discoveryv3.DiscoveryRequest
		code codes.Code
	}{
		"no node":        {[]*discoveryv3.DiscoveryRequest{{TypeUrl: resource.Endpoints}}, codes.InvalidArgument},
		"a long node id": {[]*discoveryv3.DiscoveryRequest{{Node: node(strings.Repeat("x", 300)), TypeUrl: resource.Endpoints}}, codes.InvalidArgument},
		"no type":        {[]*discoveryv3.DiscoveryRequest{{Node: node("p")}}, codes.InvalidArgument},
		"a type that is none": {[]*discoveryv3.DiscoveryRequest{{Node: node("p"), TypeUrl: "type.googleapis.com/none"}},
			codes.InvalidArgument},
		"single servers, state of the world": {[]*discoveryv3.DiscoveryRequest{{Node: node("p"), TypeUrl: resource.LbEndpoint}}, codes.InvalidArgument},
		"a node id that changes":             {[]*discoveryv3.DiscoveryRequest{edsRequest("p", "orders"), edsRequest("q", "orders")}, codes.PermissionDenied},
		"60 MB":                              {[]*discoveryv3.DiscoveryRequest{edsRequest("p", strings.Repeat("x", 60<<20))}, codes.ResourceExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			r := openFull(t, connect(t, w.Addr, nil))
			for _, q := range c.reqs {
				r.full.Send(q) // it may have ended by now
			}
			r.wantEnd(c.code)
		})
	}
	t.Run("garbage", func(t *testing.T) { garbage(t, w.Addr) })
	w.drain(0)
	w.await(p, "the drain", usable("s-000", false))
	if p.Streams.Load() != 1 {
		t.Errorf("the other proxy's stream ended: %s", p.LastError())
	}
}

// The roster goes, or lists nothing: proxies keep what they have, the admin page says that it is old.
func TestMembershipLostOrEmpty(t *testing.T) {
	w := newWorld(t, fleet(6), func(c *control.Config) { c.Discovery.StaleAfterMs = 1000 })
	p := w.dial(xdsproxy.Options{Node: "p", Zone: "east", Delta: true})
	w.ready(p)
	w.await(p, "all", holds(6))
	w.drain(1)
	w.await(p, "the drain", usable("s-001", false))
	n := p.Count.Load()
	w.roster.Replace()
	w.eventually("it said", func(r *control.Report) bool { return strings.Contains(r.Membership[0].Reason, "not believed") })
	w.eventually("it said to be stale", func(r *control.Report) bool { return r.Membership[0].Stale })
	w.roster.SetDown(true)
	w.eventually("it said to be lost", func(r *control.Report) bool { return r.Membership[0].Stale && r.Membership[0].Entries == 6 })
	if tab, _ := p.Table(); len(tab.Parts()) != 5 || tab.Usable("s-001") {
		t.Errorf("holds %+v", tab.Endpoints)
	}
	if p.Count.Load() != n {
		t.Errorf("%d responses came", p.Count.Load()-n)
	}
	w.roster.SetDown(false)
	w.roster.Replace(fleet(4)...)
	w.await(p, "the new list", holds(4))
	w.eventually("it fresh", func(r *control.Report) bool { return !r.Membership[0].Stale })
}

// The service dies and comes back empty, while the roster is down: proxies keep what they hold, and
// get what they do not have once the roster is back. The second replica gives them the same bytes.
func TestServiceComesBackEmpty(t *testing.T) {
	w := newWorld(t, fleet(6), nil)
	s, err := service.Start("", w.roster.Addr, nil, nil)
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
		w.ready(p)
		w.await(p, "all", holds(6))
		proxies = append(proxies, p)
	}
	w.roster.SetDown(true)
	if err := s.Close(); err != nil {
		t.Errorf("ended with %v", err)
	}
	again, err := service.Start(s.Addr, w.roster.Addr, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	streams := make([]int64, len(proxies))
	for i, p := range proxies {
		for end := time.Now().Add(patience); p.Streams.Load() < 2 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		streams[i] = p.Streams.Load()
		if tab, _ := p.Table(); len(tab.Parts()) != 6 {
			t.Errorf("proxy %d lost its servers: %+v", i, tab.Endpoints)
		}
	}
	e := fleet(6)[3]
	e.State = membership.Draining
	w.roster.Set(e)
	w.roster.SetDown(false)
	for _, p := range proxies {
		w.await(p, "the drain it missed", usable("s-003", false))
		if tab, _ := p.Table(); len(tab.Endpoints) != 6 {
			t.Errorf("holds %+v", tab.Endpoints)
		}
	}
}

// Two replicas beside one roster: a proxy that moves has all it needs, and is sent nothing.
func TestReplicasAgree(t *testing.T) {
	w := newWorld(t, fleet(9), nil)
	w.drain(4)
	other, err := service.StartWith(w.roster, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	full := func(addr string) [][]byte {
		r := openFull(t, connect(t, addr, nil))
		var out [][]byte
		for _, typeURL := range []string{resource.Endpoints, resource.Cluster, resource.Listener, resource.Route} {
			req := &discoveryv3.DiscoveryRequest{Node: node("p"), TypeUrl: typeURL}
			if typeURL == resource.Endpoints || typeURL == resource.Route {
				req.ResourceNames = []string{"orders"}
			}
			r.ask(req)
			m := r.next()
			out = append(out, []byte(m.VersionInfo))
			for _, a := range m.Resources {
				out = append(out, a.Value)
			}
			r.ack(m, req.ResourceNames...)
		}
		return out
	}
	both := func(r *control.Report) bool {
		a := r.Assignments["east"]
		return a == nil || a.Endpoints[4].Draining
	}
	w.eventually("the drain", both)
	x := full(w.Addr)
	var y [][]byte
	for end := time.Now().Add(patience); time.Now().Before(end); { // the other may not have its list yet
		if y = full(other.Addr); slices.EqualFunc(x, y, bytes.Equal) {
			return
		}
	}
	t.Errorf("replicas differ: %q and %q", x[0], y[0])
}

// lrs reports that proxies saw a server as they say, until the test ends.
func (w *world) lrs(t *testing.T, id string, every time.Duration, loads func() []*endpointv3.UpstreamEndpointStats) {
	t.Helper()
	g, err := loadstatsv3.NewLoadReportingServiceClient(connect(t, w.Addr, nil)).StreamLoadStats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Send(&loadstatsv3.LoadStatsRequest{Node: node(id)}); err != nil {
		t.Fatal(err)
	}
	answer, err := g.Recv()
	if err != nil || !answer.ReportEndpointGranularity || len(answer.Clusters) != 4 && !answer.SendAllClusters {
		t.Fatalf("%v, %+v", err, answer)
	}
	var done sync.WaitGroup
	done.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			if g.Send(&loadstatsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{ClusterName: "orders/read",
				LoadReportInterval:    durationpb.New(every),
				UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{{UpstreamEndpointStats: loads()}}}}}) != nil {
				return
			}
			select {
			case <-tick.C:
			case <-t.Context().Done():
				return
			}
		}
	})
	t.Cleanup(done.Wait)
}

// What proxies report moves a server down the priorities, and back.
func TestReportsMoveServers(t *testing.T) {
	w := newWorld(t, fleet(4), func(c *control.Config) { c.Evidence.ReportMs, c.Evidence.EjectionMs = 100, 200 })
	var mu sync.Mutex
	failing := true
	var proxies []*xdsproxy.Proxy
	for i := range 3 {
		p := w.dial(xdsproxy.Options{Node: fmt.Sprint("p-", i), Zone: "east", Delta: true, LEDS: i == 1})
		w.ready(p)
		w.await(p, "all", holds(4))
		proxies = append(proxies, p)
		w.lrs(t, fmt.Sprint("p-", i), 50*time.Millisecond, func() []*endpointv3.UpstreamEndpointStats {
			mu.Lock()
			defer mu.Unlock()
			var out []*endpointv3.UpstreamEndpointStats
			for i, e := range fleet(4) {
				st := &endpointv3.UpstreamEndpointStats{Address: addressOf(e.Addr), TotalSuccessfulRequests: 20}
				if i == 2 && failing {
					st.TotalSuccessfulRequests, st.TotalErrorRequests = 0, 20
				}
				out = append(out, st)
			}
			return out
		})
	}
	for _, p := range proxies {
		w.await(p, "the failing one in the next priority", func(t *xdsproxy.Table) bool {
			e, ok := t.Find("s-002")
			return ok && e.Priority == 1 && len(t.Parts()) == 3
		})
	}
	mu.Lock()
	failing = false
	mu.Unlock()
	for _, p := range proxies {
		w.await(p, "its return", func(t *xdsproxy.Table) bool {
			e, ok := t.Find("s-002")
			return ok && e.Priority == 0 && len(t.Parts()) == 4
		})
	}
}

// Servers one by one: a drain is told by one server and the weights of the zones, however many servers
// there are.
func TestDrainOneByOne(t *testing.T) {
	w := newWorld(t, fleet(900), nil)
	d := openDelta(t, connect(t, w.Addr, nil))
	req := deltaRequest("p", "orders")
	req.Node = node("p", "ringtrack.leds")
	d.askDelta(req)
	m := d.nextDelta()
	d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	var set endpointv3.ClusterLoadAssignment
	if err := m.Resources[0].Resource.UnmarshalTo(&set); err != nil {
		t.Fatal(err)
	}
	var globs []string
	for _, l := range set.Endpoints {
		globs = append(globs, l.GetLedsClusterLocalityConfig().GetLedsCollectionName())
	}
	if len(globs) != 3 {
		t.Fatalf("collections %q", globs)
	}
	d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: resource.LbEndpoint, ResourceNamesSubscribe: append(globs, "xdstp://ringtrack/none/*")})
	servers, responses := 0, 0
	for servers < 900 || responses < 4 {
		m := d.nextDelta()
		servers += len(m.Resources)
		responses++
		d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	}
	ack := func(m *discoveryv3.DeltaDiscoveryResponse) {
		d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	}
	// The server first, as it is what is in a hurry; then the weight of its zone.
	two := func(what string) (first *discoveryv3.DeltaDiscoveryResponse) {
		t.Helper()
		first = d.nextDelta()
		ack(first)
		second := d.nextDelta()
		ack(second)
		if first.TypeUrl != resource.LbEndpoint || second.TypeUrl != resource.Endpoints || proto.Size(first)+proto.Size(second) > 2000 {
			t.Errorf("%s brought %s and %s, %d bytes", what, first.TypeUrl, second.TypeUrl, proto.Size(first)+proto.Size(second))
		}
		return first
	}
	w.drain(450)
	if m = two("a drain"); len(m.Resources) != 1 || len(m.RemovedResources) != 0 {
		t.Errorf("a drain brought %d servers, %q removed", len(m.Resources), m.RemovedResources)
	}
	w.roster.Remove("s-451")
	if m = two("a removal"); len(m.Resources) != 0 || len(m.RemovedResources) != 1 || !strings.HasSuffix(m.RemovedResources[0], "/s-451") {
		t.Errorf("a removal brought %d servers, %q removed", len(m.Resources), m.RemovedResources)
	}
}

// Resources with a time to live are said again before it is over, without their bodies, and only to
// those that know what that is.
func TestHeartbeats(t *testing.T) {
	w := newWorld(t, fleet(6), func(c *control.Config) { c.Proxies.HeartbeatS = 1 })
	d := openDelta(t, connect(t, w.Addr, nil))
	req := deltaRequest("p", "orders")
	req.Node = node("p", "xds.config.supports-resource-ttl")
	d.askDelta(req)
	m := d.nextDelta()
	if m.Resources[0].GetTtl().GetSeconds() != 1 || m.Resources[0].Resource == nil {
		t.Fatalf("%+v", m.Resources[0])
	}
	for range 2 {
		d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
		m = d.nextDelta()
		if m.Resources[0].GetTtl().GetSeconds() != 1 || m.Resources[0].Resource != nil {
			t.Errorf("heartbeat %+v", m.Resources[0])
		}
	}
	plain := openDelta(t, connect(t, w.Addr, nil))
	plain.askDelta(deltaRequest("q", "orders"))
	if m := plain.nextDelta(); m.Resources[0].Ttl != nil {
		t.Errorf("%+v", m.Resources[0])
	}
}

// More proxies than allowed: the one too many is refused, with a code that says so.
func TestTooManyProxies(t *testing.T) {
	w := newWorld(t, fleet(6), func(c *control.Config) { c.Proxies.MaxStreams = 2 })
	for i := range 2 {
		r := openFull(t, connect(t, w.Addr, nil))
		r.ask(edsRequest(fmt.Sprint("p-", i), "orders"))
		r.next()
	}
	r := openFull(t, connect(t, w.Addr, nil))
	r.ask(edsRequest("p-3", "orders"))
	r.wantEnd(codes.ResourceExhausted)
}
