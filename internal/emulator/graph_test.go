package emulator

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
)

// targetSizeSpec is the spec of the size that the product is designed for.
func targetSizeSpec() *GraphSpec {
	return &GraphSpec{Seed: 7, Services: 82, Depth: 6, Servers: 470, Regions: 2, CallsPerS: 56_000}
}

// mustDraw checks a spec and draws its graph.
func mustDraw(t *testing.T, spec *GraphSpec, zones int) *Graph {
	t.Helper()
	if err := spec.Check(zones); err != nil {
		t.Fatal(err)
	}
	return DrawGraph(spec, zones, &Network{LocalMs: 0.25, CrossMs: 1})
}

// longestPath returns the number of services on the longest path from one; it ends the test if there is a
// cycle.
func longestPath(t *testing.T, g *Graph, i int, visiting map[int]bool) int {
	if visiting[i] {
		t.Fatalf("service %d is in a cycle", i)
	}
	visiting[i] = true
	callees := 0
	for _, c := range g.Services[i].Calls {
		if !(c.Probability > 0 && c.Probability <= 1) {
			t.Errorf("service %d calls %d with probability %v", i, c.To, c.Probability)
		}
		callees = max(callees, longestPath(t, g, c.To, visiting))
	}
	delete(visiting, i)
	return callees + 1
}

// A drawn graph has no cycle, the depth and number of servers of its spec, and no service without calls; the
// servers of each service are spread over the zones. The same seed draws the same graph, another seed a
// different one.
func TestDrawnGraphFollowsItsSpec(t *testing.T) {
	var last *Graph
	for seed := range uint64(200) {
		spec := targetSizeSpec()
		if spec.Seed = seed; seed%2 == 1 {
			spec.Services, spec.Servers, spec.Depth, spec.MinServers, spec.MaxServers = 10+int(seed)/4, 0, 1+int(seed)%6, 1, 7
		}
		g := mustDraw(t, spec, 6)
		if !reflect.DeepEqual(g, mustDraw(t, spec, 6)) {
			t.Fatalf("seed %d: two draws give different graphs", seed)
		}
		if last != nil && reflect.DeepEqual(g.Services, last.Services) {
			t.Errorf("seeds %d and %d draw the same graph", seed-1, seed)
		}
		last = g
		if len(g.Services) != spec.Services || spec.Servers > 0 && g.Servers() != spec.Servers {
			t.Fatalf("seed %d: %d services, %d servers", seed, len(g.Services), g.Servers())
		}
		deepest := 0
		for _, e := range g.Entries {
			deepest = max(deepest, longestPath(t, g, e, map[int]bool{}))
		}
		if deepest != spec.Depth {
			t.Errorf("seed %d: the depth is %d, want %d", seed, deepest, spec.Depth)
		}
		zones, hops := map[int]int{}, g.Hops()
		for i, s := range g.Services {
			if n := len(s.Placements); n < spec.MinServers || n > spec.MaxServers || s.Workers < 2 || s.WorkMs < spec.WorkMs/2 || s.WorkMs > spec.WorkMs*1.5 {
				t.Errorf("seed %d: service %d: %d servers of %d workers, %v ms", seed, i, n, s.Workers, s.WorkMs)
			}
			if s.Rate <= 0 {
				t.Errorf("seed %d: service %d is not called", seed, i)
			}
			if s.Height != longestPath(t, g, i, map[int]bool{}) {
				t.Errorf("seed %d: service %d has a wrong height of %d", seed, i, s.Height)
			}
			serversByZone := map[int]int{}
			for _, p := range s.Placements {
				zones[p.Zone]++
				serversByZone[p.Zone]++
				if p.Rack/spec.Racks != p.Zone {
					t.Errorf("seed %d: rack %d in zone %d", seed, p.Rack, p.Zone)
				}
			}
			for z, n := range serversByZone {
				if n > (len(s.Placements)+5)/6 {
					t.Errorf("seed %d: service %d has %d of %d servers in zone %d", seed, i, n, len(s.Placements), z)
				}
			}
		}
		sum := 0.0
		for _, h := range hops {
			sum += h
		}
		if hops[1] < 0.999 || hops[1] > 1.001 || hops[spec.Depth] <= 0 || math.Abs(sum-g.CallsPerEntryCall()) > 1e-9 {
			t.Errorf("seed %d: hops %v, %v calls for one call of a client", seed, hops, g.CallsPerEntryCall())
		}
		if seed%2 == 0 && len(zones) != 6 {
			t.Errorf("seed %d: %d zones", seed, len(zones))
		}
	}
}

// Check rejects an invalid graph with an error that names the key, and accepts a valid scenario repeatedly.
func TestGraphSpecCheckNamesTheKey(t *testing.T) {
	for key, spec := range map[string]GraphSpec{"graph.depth": {Services: 3, CallsPerS: 1}, "graph.services": {Depth: 4, Services: 3, CallsPerS: 1},
		"graph.servers": {Depth: 1, Services: 2, Servers: 25, CallsPerS: 1}, "graph.regions": {Depth: 1, Services: 1, Regions: 4, CallsPerS: 1},
		"graph.calls_per_s": {Depth: 1, Services: 1, CallsPerS: math.NaN()}, "graph.most": {Depth: 1, Services: 1, MinServers: 5, MaxServers: 4, CallsPerS: 1}} {
		if err := spec.Check(6); err == nil || len(err.Error()) < len(key) || err.Error()[:len(key)] != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	sc := chainScenario(2, 2, 100)
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	if err := sc.Check(); err != nil { // a second check accepts it, too
		t.Fatal(err)
	}
	sc = chainScenario(2, 2, 100)
	sc.Servers = []ServerGroup{{Count: 1, Workers: 1}}
	if err := sc.Check(); err == nil {
		t.Error("no error for a graph and servers")
	}
}

// chainScenario is a scenario of services that each call the next, with one client host; perS is the rate of
// its calls.
func chainScenario(depth, servers int, perS float64) *Scenario {
	return &Scenario{Name: "chain", Seconds: 6, WarmUpSeconds: 1, Zones: 1,
		Graph:   &GraphSpec{Seed: 1, Services: depth, Depth: depth, MinServers: servers, MaxServers: servers, ExtraCalls: -1, ClientHosts: 1, CallsPerS: perS * float64(depth)},
		Classes: []ClassLoad{{Name: "read", Effect: "safe", Share: 1, LatencyObjectiveMs: 200, ClientTimeoutMs: 800}}}
}

// In a chain each call reaches each service once, and its response time is the sum of theirs.
func TestCallPassesEachServiceOfAChain(t *testing.T) {
	for depth := 1; depth <= 6; depth++ {
		r := run(t, chainScenario(depth, 3, 100), randomChoices(2), 3)
		if r.Goodput < 0.999 || len(r.Path.Hops) != depth || len(r.Violations) > 0 || r.BackstopTimeouts > 0 || r.GuardViolations > 0 {
			t.Errorf("depth %d: %+v", depth, r)
		}
		for i, h := range r.Path.Hops {
			if h.Requested < r.Ops || h.Served < h.Requested-10 || h.Attempts < h.Requested {
				t.Errorf("depth %d: hop %d: %+v for %d calls of clients", depth, i+1, h, r.Ops)
			}
		}
		g := DrawGraph(chainScenario(depth, 3, 100).graphSpec(t), 1, &Network{LocalMs: 0.25})
		if want := g.Services[0].ResponseMs + 0.5; r.MeanMs < 0.9*want || r.MeanMs > 2*want {
			t.Errorf("depth %d: mean of %v ms, without queueing %v", depth, r.MeanMs, want)
		}
	}
}

func (s *Scenario) graphSpec(t *testing.T) *GraphSpec {
	if err := s.Graph.Check(s.Zones); err != nil {
		t.Fatal(err)
	}
	return s.Graph
}

// With one attempt for each call, errors of the deepest service become errors of all its callers without a
// retry: a client's call is served only if none of its nested calls fails.
func TestFailedCallFailsItsCaller(t *testing.T) {
	sc := chainScenario(4, 3, 200)
	sc.Faults = []Fault{{Kind: "errors", ServerFraction: 1, TargetService: 4, Fraction: 0.3}}
	sc.Classes[0].Effect = "unsafe" // the client does not retry after a failure
	r := run(t, sc, randomChoices(1), 5)
	if math.Abs(r.Goodput-0.7) > 0.05 || len(r.Violations) > 0 {
		t.Errorf("served %v of %d, violations %v", r.Goodput, r.Ops, r.ViolationTexts)
	}
	for i, h := range r.Path.Hops {
		if h.Attempts != h.Requested || math.Abs(float64(h.Served)/float64(h.Requested)-0.7) > 0.05 {
			t.Errorf("hop %d: %+v", i+1, h)
		}
	}
}

// Retries multiply over hops: with three attempts at each hop and only errors of the deepest service, that
// service gets up to 3^depth attempts for one call of a client, and at least twice as many with each
// additional hop.
func TestRetriesMultiplyOverHops(t *testing.T) {
	last := 0.0
	for depth := 1; depth <= 3; depth++ {
		sc := chainScenario(depth, 6, 5)
		sc.Graph.CallAttempts, sc.Graph.Utilization = 3, 0.02
		sc.Faults = []Fault{{Kind: "errors", ServerFraction: 1, TargetService: depth, Fraction: 1}}
		r := run(t, sc, randomChoices(1), 5)
		if r.Served != 0 || r.Path.DeepestAttempts > math.Pow(3, float64(depth)) || r.Path.DeepestAttempts < 2*max(last, 1) {
			t.Errorf("depth %d: %d served, %v attempts at the deepest service, %v with one hop less", depth, r.Served, r.Path.DeepestAttempts, last)
		}
		last = r.Path.DeepestAttempts
	}
}

// A nested call inherits the deadline of its caller: if the deepest service never answers, the calls at each
// hop still end by the client's deadline, no rule is violated, and no call stays open.
func TestNestedCallsInheritTheDeadline(t *testing.T) {
	sc := chainScenario(5, 3, 50)
	sc.Faults = []Fault{{Kind: "slow", StartS: 2, DurationS: 2, ServerFraction: 1, TargetService: 5, Factor: 1e5}}
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	w, err := newWorld(sc, &Product, 9)
	if err != nil {
		t.Fatal(err)
	}
	w.run(5 * Second / 2)
	var longestWait Time
	for _, g := range w.agents {
		for _, r := range g.requests {
			if r.answered {
				continue
			}
			longestWait = max(longestWait, r.operation.entry.deadline-w.now)
			if r.operation.deadline > r.operation.entry.deadline {
				t.Errorf("hop %d has %v left, the client %v", r.operation.hop, r.operation.deadline-w.now, r.operation.entry.deadline-w.now)
			}
		}
	}
	if longestWait <= 0 {
		t.Error("no call is open half a second into the fault")
	}
	w.run(6 * Second)
	w.scenario.Load.PerS = 1e-9 // no further arrivals
	w.run(60 * Second)
	r := w.summarize()
	if len(r.Violations) > 0 || r.Served == r.Ops || r.Served == 0 {
		t.Errorf("served %d of %d, %v", r.Served, r.Ops, r.ViolationTexts)
	}
	for _, g := range w.agents {
		if g.openRequests > 1 { // an arrival scheduled before the change of the rate may still be open
			t.Errorf("%d calls of service %d are open at the end", g.openRequests, g.service)
		}
	}
}

// A nested call occupies the worker of its caller: with two workers and calls of 100 ms a server serves 20
// requests per second.
func TestNestedCallOccupiesItsWorker(t *testing.T) {
	sc := chainScenario(2, 1, 200)
	sc.Classes[0].Effect = "unsafe"
	sc.Graph.Utilization = 10 // two workers each
	sc.Graph.Seed = 2
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	sc.Servers[0].Workers, sc.Servers[0].Service = 2, Distribution{MeanMs: 0.001}
	sc.Servers[1].Workers, sc.Servers[1].Service = 1000, Distribution{MeanMs: 100}
	r, err := Run(sc, randomChoices(1), 4)
	if err != nil {
		t.Fatal(err)
	}
	if perS := float64(r.ByServer[0]) / sc.Seconds; perS < 18 || perS > 21 {
		t.Errorf("%v requests per second, want 20", perS)
	}
}

// The same seed gives byte-identical results, even if servers restart during nested calls.
func TestGraphRunIsReproducible(t *testing.T) {
	runJSON := func(seed uint64) string {
		sc := &Scenario{Name: "small", Seconds: 3, Zones: 6, Graph: &GraphSpec{Seed: 3, Services: 12, Depth: 4, Regions: 2, CallsPerS: 1500},
			Faults: []Fault{{Kind: "restart", StartS: 1, Count: 10, StaggerS: 0.1}, {Kind: "dark", StartS: 1, DurationS: 1, ServerFraction: 1, TargetRack: 3}}}
		r := run(t, sc, &Product, seed)
		if len(r.Violations) > 0 || r.Ops < 100 {
			t.Errorf("seed %d: %d operations, violations %v", seed, r.Ops, r.ViolationTexts)
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	if a, b := runJSON(1), runJSON(1); a != b {
		t.Errorf("the same seed gives different results:\n%s\n%s", a, b)
	}
	if runJSON(1) == runJSON(2) {
		t.Error("two seeds give the same result")
	}
}

// A fault hits only servers of its target zone, rack and service; without a target it hits servers of many
// services.
func TestFaultTargetsInAGraph(t *testing.T) {
	hit := func(f Fault) (out []*server) {
		sc := &Scenario{Seconds: 1, Zones: 6, Graph: targetSizeSpec(), Faults: []Fault{f}}
		sc.Graph.CallsPerS = 1
		if err := sc.Check(); err != nil {
			t.Fatal(err)
		}
		w, err := newWorld(sc, randomChoices(1), 1)
		if err != nil {
			t.Fatal(err)
		}
		w.run(Second / 2)
		for _, s := range w.servers {
			if s.unresponsive {
				out = append(out, s)
			}
		}
		return out
	}
	for name, f := range map[string]Fault{"zone": {Kind: "dark", ServerFraction: 1, TargetZone: 2}, "rack": {Kind: "dark", ServerFraction: 1, TargetRack: 6},
		"service": {Kind: "dark", ServerFraction: 1, TargetService: 82}, "both": {Kind: "dark", ServerFraction: 1, TargetZone: 2, TargetService: 2}} {
		hitServers := hit(f)
		for _, s := range hitServers {
			if f.TargetZone > 0 && s.zone != 1 || f.TargetRack > 0 && s.rack != 5 || f.TargetService > 0 && s.service != f.TargetService-1 {
				t.Errorf("%s: hits server %d of service %d in zone %d, rack %d", name, s.index, s.service, s.zone, s.rack)
			}
		}
		if len(hitServers) == 0 && name != "both" {
			t.Errorf("%s: hits no server", name)
		}
	}
	services := map[int]bool{}
	for _, s := range hit(Fault{Kind: "dark", Count: 20}) {
		services[s.service] = true
	}
	if len(services) < 10 {
		t.Errorf("20 servers hit belong to only %d services", len(services))
	}
}
