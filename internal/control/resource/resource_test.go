package resource

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/policy"
)

func testService() *Service {
	s := policy.Settings{Classes: []policy.Class{
		{Name: "read", LatencyObjectiveMs: 200, ClientTimeoutMs: 800, Effect: policy.Idempotent},
		{Name: "send", LatencyObjectiveMs: 300, ClientTimeoutMs: 600, Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 1200},
		{Name: "order", LatencyObjectiveMs: 500, ClientTimeoutMs: 1200, Effect: policy.NonIdempotent},
	}, Limits: policy.Limits{MaxAttempts: 3, ConnectTimeoutMs: 150, MaxOpenRequests: 5000}}
	return &Service{Name: "orders", Listen: "0.0.0.0:8080", Balancer: "ring_hash", AffinityHeader: "X-Affinity", Settings: s, Routes: assign.Routes(&s)}
}

func testEndpoint(i int) assign.Endpoint {
	return assign.Endpoint{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: []string{"east", "west"}[i%2], Weight: 960}
}

func assignment(change func([]assign.Endpoint)) *assign.Assignment {
	var es []assign.Endpoint
	for i := range 6 {
		es = append(es, testEndpoint(i))
	}
	if change != nil {
		change(es)
	}
	return &assign.Assignment{Zone: "east", LocalityWeightPercent: 150, Endpoints: es}
}

func decode[M proto.Message](t *testing.T, r *Resource, m M) M {
	t.Helper()
	var a anypb.Any
	if err := proto.Unmarshal(r.any, &a); err != nil {
		t.Fatal(err)
	}
	if err := a.UnmarshalTo(m); err != nil {
		t.Fatal(err)
	}
	return m
}

func render(t *testing.T, r *Renderer, a *assign.Assignment) *RenderedEndpoints {
	t.Helper()
	s, err := r.Render(a)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The protocol buffers library decodes the responses that this package encodes itself.
func TestResponsesDecode(t *testing.T) {
	s := render(t, NewRenderer("orders"), assignment(nil))
	rs := []*Resource{s.Complete, s.ByCollection}
	var full discoveryv3.DiscoveryResponse
	if err := proto.Unmarshal((&Response{TypeURL: Endpoints, Version: "v1", Nonce: "n1", Resources: rs}).Marshal(), &full); err != nil {
		t.Fatal(err)
	}
	if full.VersionInfo != "v1" || full.Nonce != "n1" || full.TypeUrl != Endpoints || len(full.Resources) != 2 {
		t.Errorf("response %+v", &full)
	}
	var set endpointv3.ClusterLoadAssignment
	if err := full.Resources[0].UnmarshalTo(&set); err != nil || set.ClusterName != "orders" {
		t.Errorf("error %v, endpoints %+v", err, &set)
	}
	for _, c := range []struct {
		ttl       int
		heartbeat bool
	}{{0, false}, {30, false}, {300, true}} {
		delta := DeltaResponse{TypeURL: Endpoints, Version: "v2", Nonce: "n2", Changed: rs, Removed: []string{"x", "y"},
			TTLSeconds: c.ttl, Heartbeat: c.heartbeat}
		var d discoveryv3.DeltaDiscoveryResponse
		if err := proto.Unmarshal(delta.Marshal(), &d); err != nil {
			t.Fatal(err)
		}
		if d.SystemVersionInfo != "v2" || d.Nonce != "n2" || d.TypeUrl != Endpoints || len(d.Resources) != 2 || !slices.Equal(d.RemovedResources, []string{"x", "y"}) {
			t.Errorf("response %+v", &d)
		}
		one := d.Resources[0]
		if one.Name != "orders" || one.Version != s.Complete.Version || one.GetTtl().GetSeconds() != int64(c.ttl) || (one.Resource == nil) != c.heartbeat {
			t.Errorf("TTL %v, heartbeat %v: resource %+v", c.ttl, c.heartbeat, one)
		}
	}
}

// The resource assembled from cached parts decodes to the complete assignment.
func TestCompleteResource(t *testing.T) {
	a := assignment(func(es []assign.Endpoint) {
		es[1].Draining = true
		es[2].Tier = assign.LastResort
		es[3].Weight = 90
	})
	a.ShedPercent = 25
	set := decode(t, render(t, NewRenderer("orders"), a).Complete, &endpointv3.ClusterLoadAssignment{})
	if set.GetPolicy().GetOverprovisioningFactor().GetValue() != overprovisioningPercent || set.GetPolicy().GetDropOverloads()[0].GetDropPercentage().GetNumerator() != 25 {
		t.Errorf("load assignment policy %+v", set.GetPolicy())
	}
	type locality struct {
		priority uint32
		zone     string
	}
	got := map[locality]int{}
	for _, l := range set.Endpoints {
		got[locality{l.Priority, l.Locality.Zone}] = len(l.LbEndpoints)
		for _, e := range l.LbEndpoints {
			addr := e.GetEndpoint().GetAddress().GetSocketAddress().GetAddress()
			if draining := e.HealthStatus.String() == "DRAINING"; draining != (addr == "10.0.0.2") {
				t.Errorf("%s has the health status %v", addr, e.HealthStatus)
			}
		}
	}
	want := map[locality]int{{0, "east"}: 2, {0, "west"}: 3, {1, "east"}: 1}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("localities %v, want %v", got, want)
	}
}

// Priorities have no gaps, whichever tiers are empty, and every server is rendered.
func TestPrioritiesHaveNoGaps(t *testing.T) {
	for mask := range 4 * 4 * 4 * 4 {
		a := assignment(func(es []assign.Endpoint) {
			for i, m := 0, mask; i < 4; i, m = i+1, m/4 {
				if m%4 == 3 {
					es[i].Draining = true
				} else {
					es[i].Tier = assign.Tier(m % 4)
				}
			}
		})
		a.Endpoints = a.Endpoints[:4]
		set := decode(t, render(t, NewRenderer("orders"), a).Complete, &endpointv3.ClusterLoadAssignment{})
		seen, n := map[uint32]bool{}, 0
		highest := uint32(0)
		for _, l := range set.Endpoints {
			seen[l.Priority] = true
			highest = max(highest, l.Priority)
			n += len(l.LbEndpoints)
			if l.LoadBalancingWeight.GetValue() == 0 {
				t.Errorf("mask %d: a locality without weight", mask)
			}
		}
		if n != 4 || int(highest)+1 != len(seen) {
			t.Fatalf("mask %d: %d servers, priorities %v", mask, n, seen)
		}
	}
}

// Replicas render the same bytes whatever they rendered before, and a drain changes a single endpoint
// resource.
func TestReplicasRenderTheSameBytes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	one, other := NewRenderer("orders"), NewRenderer("orders")
	for range 50 { // fills the caches of one renderer
		render(t, one, assignment(func(es []assign.Endpoint) {
			for i := range es {
				es[i].Tier, es[i].Weight, es[i].Draining = assign.Tier(rng.IntN(3)), uint32(1+rng.IntN(960)), rng.IntN(3) == 0
			}
		}))
		one.Sweep()
	}
	x, y := render(t, one, assignment(nil)), render(t, other, assignment(nil))
	if !bytes.Equal(x.Complete.any, y.Complete.any) || !bytes.Equal(x.ByCollection.any, y.ByCollection.any) || x.Complete.Version != y.Complete.Version {
		t.Error("replicas differ")
	}
	for name, set := range x.Collections {
		if changed, removed := set.Diff(y.Collections[name]); len(changed)+len(removed) > 0 {
			t.Errorf("%s: replicas differ in %v, %v", name, changed, removed)
		}
	}
	drained := render(t, one, assignment(func(es []assign.Endpoint) { es[3].Draining = true }))
	changes := 0
	for name, set := range drained.Collections {
		changed, removed := set.Diff(x.Collections[name])
		changes += len(changed) + len(removed)
		if set == x.Collections[name] != (len(changed)+len(removed) == 0) {
			t.Errorf("%s: a new Set for an unchanged collection, or the same Set for a changed one", name)
		}
	}
	if changes != 1 {
		t.Errorf("a drain changed %d resources, want 1", changes)
	}
}

// Proxies are configured to apply drains at once, and not to retry or hedge requests where that is not
// permitted.
func TestServiceResources(t *testing.T) {
	s := testService()
	clusters, err := s.Clusters(9)
	if err != nil {
		t.Fatal(err)
	}
	if len(clusters) != 4 {
		t.Fatalf("%d clusters, want 4", len(clusters))
	}
	for _, r := range clusters {
		c := decode(t, r, &clusterv3.Cluster{})
		common := c.GetCommonLbConfig()
		switch {
		case common.GetHealthyPanicThreshold() == nil || common.GetHealthyPanicThreshold().GetValue() != 0:
			t.Errorf("%s: the panic threshold is not 0", c.Name)
		case common.GetUpdateMergeWindow() == nil || common.GetUpdateMergeWindow().AsDuration() != 0:
			t.Errorf("%s: health updates are merged over a time window", c.Name)
		case common.GetConsistentHashingLbConfig().GetHashBalanceFactor().GetValue() != 300:
			t.Errorf("%s: the hash balance factor is not 300", c.Name)
		case c.GetLbPolicy() != clusterv3.Cluster_RING_HASH || c.GetRingHashLbConfig().GetMinimumRingSize().GetValue() != 1024:
			t.Errorf("%s: not a ring hash of the minimum size", c.Name)
		case c.GetEdsClusterConfig().GetServiceName() != "orders" || c.GetCircuitBreakers().GetThresholds()[0].GetMaxRequests().GetValue() != 5000:
			t.Errorf("%s: unexpected service name or request limit: %+v", c.Name, c)
		}
	}
	rc, err := s.RouteConfig()
	if err != nil {
		t.Fatal(err)
	}
	routes := decode(t, rc, &routev3.RouteConfiguration{}).VirtualHosts[0].Routes
	if len(routes) != 4 || len(routes[3].Match.Headers) != 0 {
		t.Fatalf("%d routes, want 4, of which the last matches all requests", len(routes))
	}
	for i, on := range []string{"5xx,reset,connect-failure,refused-stream,retriable-headers", "5xx,reset,connect-failure,refused-stream,retriable-headers",
		"connect-failure,refused-stream,retriable-headers", "connect-failure,refused-stream,retriable-headers"} {
		a := routes[i].GetRoute()
		if a.RetryPolicy.RetryOn != on || a.RetryPolicy.NumRetries.GetValue() != 2 || a.HedgePolicy != nil || a.RetryPolicy.PerTryTimeout != nil {
			t.Errorf("route %s has the retry policy %+v", routes[i].Name, a.RetryPolicy)
		}
	}
	ls, err := s.Listeners()
	if err != nil {
		t.Fatal(err)
	}
	if l := decode(t, ls[1], &listenerv3.Listener{}); l.GetAddress().GetSocketAddress().GetPortValue() != 8080 {
		t.Errorf("listener %+v, want port 8080", l)
	}
	s.Balancer = "maglev"
	maglev, err := s.Clusters(9)
	if err != nil {
		t.Fatal(err)
	}
	if c := decode(t, maglev[0], &clusterv3.Cluster{}); c.GetLbPolicy() != clusterv3.Cluster_MAGLEV {
		t.Errorf("policy %v, want Maglev", c.GetLbPolicy())
	}
}

// The pattern in the hash policy extracts the last segment of a path.
func TestLastPathSegment(t *testing.T) {
	re := regexp.MustCompile(lastPathSegment)
	for path, want := range map[string]string{"/api/7f3a": "7f3a", "/api/7f3a?op=1/2": "7f3a", "/": "", "/a": "a"} {
		if got := re.ReplaceAllString(path, "$1"); got != want {
			t.Errorf("%s: key %q, want %q", path, got, want)
		}
	}
}

// A name that contains separators is encoded as a single path segment.
func TestCollectionNamesAreEscaped(t *testing.T) {
	r := NewRenderer("or/ders")
	a := assignment(func(es []assign.Endpoint) { es[0].ID, es[0].Zone = "a/b*", "ea/st" })
	for name, set := range render(t, r, a).Collections {
		if strings.Count(name, "/") != 7 || strings.Count(name, "*") != 1 {
			t.Errorf("the name of collection %q is not escaped", name)
		}
		for _, n := range set.Names() {
			if strings.Count(n, "/") != 7 || strings.Contains(n, "*") {
				t.Errorf("the name of resource %q is not escaped", n)
			}
		}
	}
}

func TestRingSize(t *testing.T) {
	for servers, want := range map[int]uint64{0: 1024, 16: 1024, 17: 2048, 1000: 65536, 100000: 1 << 18} {
		if got := RingSize(servers); got != want {
			t.Errorf("%d servers: ring %d, want %d", servers, got, want)
		}
	}
}

func BenchmarkRenderDrain(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var es []assign.Endpoint
			for i := range n {
				e := testEndpoint(i)
				e.Addr = fmt.Sprintf("10.%d.%d.%d:80", i/62500, i/250%250, 1+i%250)
				es = append(es, e)
			}
			r := NewRenderer("orders")
			if _, err := r.Render(&assign.Assignment{Zone: "east", LocalityWeightPercent: 150, Endpoints: es}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				next := slices.Clone(es)
				next[i%n].Draining = true
				for _, zone := range []string{"east", "west", "south", ""} { // all groups
					if _, err := r.Render(&assign.Assignment{Zone: zone, LocalityWeightPercent: 150, Endpoints: next}); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
