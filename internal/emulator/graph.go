package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// GraphSpec is what a graph of services is drawn from: the same spec gives the same graph. A scenario that has one has
// no servers of its own.
type GraphSpec struct {
	Seed        uint64 `toml:"seed"`
	Services    int    `toml:"services"`
	Depth       int    `toml:"depth"`   // of the longest path, in services
	Servers     int    `toml:"servers"` // in all; 0: as drawn
	MinServers  int    `toml:"least"`   // servers of a service; 3
	MaxServers  int    `toml:"most"`    // and at the most; 12
	Regions     int    `toml:"regions"` // of equally many zones each; 1
	Racks       int    `toml:"racks"`   // of a zone; 5
	ClientHosts int    `toml:"edges"`   // machines of clients, with an agent each; 12
	// ExtraCalls is the number of calls a service makes beyond the tree's, in the mean: 0.5. Each call is made
	// for a part of the calls only. Negative: none.
	ExtraCalls float64 `toml:"further"`
	// WorkMs is a service's own work for a call, in the mean of all; each has 0.5 to 1.5 of it. 4.
	WorkMs float64 `toml:"work_ms"`
	// CallsPerS is over all services, without repeats: the load of clients follows from it.
	CallsPerS float64 `toml:"calls_per_s"`
	// Utilization is the part of a server's workers that is held in the mean on a day without trouble: 0.55.
	Utilization float64 `toml:"busy"`
	// InterRegionMs is one way between regions: 5.
	InterRegionMs float64 `toml:"far_ms"`
	// CallAttempts is how often a server makes a call, its agent's attempts aside: 1. A client makes three.
	CallAttempts int `toml:"tries"`
}

// Graph is services that call services. It has no circle: calls go from one layer to a deeper one.
type Graph struct {
	Spec     GraphSpec
	Services []Service
	Entries  []int // which clients call, evenly
}

// Service is one of a graph.
type Service struct {
	Layer      int // from 1
	Height     int // services of the longest path from it, itself counted
	Placements []Placement
	Calls      []Call // one after the other, each once per call that it is made for
	WorkMs     float64
	ResponseMs float64 // work and the calls it waits for, without queues
	Rate       float64 // calls of it for each call at the top
	Workers    int     // of each server
}

// Call is an edge.
type Call struct {
	To          int
	Probability float64 // of calls for which it is made
}

// Placement is where a server stands.
type Placement struct{ Zone, Rack int }

// Check fills what has a default and says what makes a spec unusable; the error names the key.
func (g *GraphSpec) Check(zones int) error {
	for _, d := range []struct {
		v *int
		d int
	}{{&g.MinServers, 3}, {&g.MaxServers, 12}, {&g.Regions, 1}, {&g.Racks, 5}, {&g.ClientHosts, 12}, {&g.CallAttempts, 1}} {
		if *d.v == 0 {
			*d.v = d.d
		}
	}
	for _, d := range []struct {
		v *float64
		d float64
	}{{&g.ExtraCalls, 0.5}, {&g.WorkMs, 4}, {&g.Utilization, 0.55}, {&g.InterRegionMs, 5}} {
		if *d.v == 0 {
			*d.v = d.d
		}
	}
	for _, b := range []struct {
		key         string
		v           float64
		least, most float64
	}{{"depth", float64(g.Depth), 1, 20}, {"services", float64(g.Services), float64(g.Depth), 1000}, {"least", float64(g.MinServers), 1, 1000},
		{"most", float64(g.MaxServers), float64(g.MinServers), 1000}, {"regions", float64(g.Regions), 1, float64(zones)}, {"racks", float64(g.Racks), 1, 1000},
		{"edges", float64(g.ClientHosts), 1, 1000}, {"further", g.ExtraCalls, -1, 10}, {"work_ms", g.WorkMs, 0.01, 60_000}, {"calls_per_s", g.CallsPerS, 0.001, 1e7},
		{"busy", g.Utilization, 0.01, 10}, {"far_ms", g.InterRegionMs, 0, 60_000}, {"tries", float64(g.CallAttempts), 1, maxClientAttempts}} {
		if !(b.v >= b.least && b.v <= b.most) {
			return fmt.Errorf("graph.%s: must be %v to %v, is %v", b.key, b.least, b.most, b.v)
		}
	}
	if n := g.Servers; n != 0 && (n < g.Services*g.MinServers || n > g.Services*g.MaxServers) {
		return fmt.Errorf("graph.servers: %d services have %d to %d, not %d", g.Services, g.Services*g.MinServers, g.Services*g.MaxServers, n)
	}
	if zones%g.Regions != 0 {
		return fmt.Errorf("graph.regions: %d zones are not %d regions of equally many", zones, g.Regions)
	}
	return nil
}

// DrawGraph draws the graph of a spec, which was checked. net says what a call's way costs in the sizing of workers.
func DrawGraph(spec *GraphSpec, zones int, net *Network) *Graph {
	g := &Graph{Spec: *spec, Services: make([]Service, spec.Services)}
	rng := stream(spec.Seed, "graph", 0)
	g.drawLayers(rng)
	g.drawCalls(rng)
	g.drawPlacements(rng, zones)
	for i := range g.Services {
		g.Services[i].WorkMs = spec.WorkMs * (0.5 + rng.Float64())
	}
	g.sizeWorkers(zones, net)
	return g
}

// treeCalls is how many calls of the tree a service makes for a call, in the mean and at the most.
const treeCalls = 1.5

// drawLayers puts a service in each layer, and the others anywhere.
func (g *Graph) drawLayers(rng *rand.Rand) {
	for i := range g.Services {
		if g.Services[i].Layer = i + 1; i >= g.Spec.Depth {
			g.Services[i].Layer = 1 + rng.IntN(g.Spec.Depth)
		}
	}
	slices.SortStableFunc(g.Services, func(a, b Service) int { return a.Layer - b.Layer })
	for i := range g.Services {
		if g.Services[i].Layer == 1 {
			g.Entries = append(g.Entries, i)
		}
	}
}

// drawCalls draws the tree, by which each service below the top is called from the layer above, and further calls.
func (g *Graph) drawCalls(rng *rand.Rand) {
	var above, layer []int // services of the layer above, and of this
	at := 0
	for i := range g.Services {
		if s := &g.Services[i]; s.Layer != at {
			above, layer, at = layer, nil, s.Layer
		}
		layer = append(layer, i)
		if len(above) > 0 {
			from := &g.Services[above[rng.IntN(len(above))]]
			from.Calls = append(from.Calls, Call{To: i, Probability: 1})
		}
	}
	// If a service called all that hang below it in the tree for each call, calls would grow with the size of the graph:
	// it makes treeCalls of them in the mean.
	for i := range g.Services {
		s := &g.Services[i]
		for k := range s.Calls {
			s.Calls[k].Probability = min(1, treeCalls/float64(len(s.Calls)))
		}
	}
	for range int(math.Round(max(g.Spec.ExtraCalls, 0) * float64(len(g.Services)))) {
		from, to := rng.IntN(len(g.Services)), rng.IntN(len(g.Services))
		part := 0.1 + 0.4*rng.Float64()
		s := &g.Services[from]
		if s.Layer < g.Services[to].Layer && !slices.ContainsFunc(s.Calls, func(c Call) bool { return c.To == to }) {
			s.Calls = append(s.Calls, Call{To: to, Probability: part})
		}
	}
}

// drawPlacements draws the number of each service's servers, and where they stand: spread over the zones.
func (g *Graph) drawPlacements(rng *rand.Rand, zones int) {
	n, all := make([]int, len(g.Services)), 0
	for i := range n {
		n[i] = g.Spec.MinServers + rng.IntN(g.Spec.MaxServers-g.Spec.MinServers+1)
		all += n[i]
	}
	for g.Spec.Servers > 0 && all != g.Spec.Servers {
		i := rng.IntN(len(n))
		switch {
		case all < g.Spec.Servers && n[i] < g.Spec.MaxServers:
			n[i]++
			all++
		case all > g.Spec.Servers && n[i] > g.Spec.MinServers:
			n[i]--
			all--
		}
	}
	for i := range n {
		first := rng.IntN(zones)
		for k := range n[i] {
			zone := (first + k) % zones
			g.Services[i].Placements = append(g.Services[i].Placements, Placement{zone, zone*g.Spec.Racks + rng.IntN(g.Spec.Racks)})
		}
	}
}

// sizeWorkers says how long a call holds a worker, how often each service is called, and how many workers that takes.
func (g *Graph) sizeWorkers(zones int, net *Network) {
	perRegion := zones / g.Spec.Regions
	way := 0.0 // there and back, to a server anywhere
	for from := range zones {
		for to := range zones {
			way += 2 * oneWayMs(net, g.Spec.InterRegionMs, perRegion, from, to) / float64(zones*zones)
		}
	}
	for i := len(g.Services) - 1; i >= 0; i-- {
		s := &g.Services[i]
		s.ResponseMs, s.Height = s.WorkMs, 1
		for _, c := range s.Calls {
			s.ResponseMs += c.Probability * (g.Services[c.To].ResponseMs + way)
			s.Height = max(s.Height, 1+g.Services[c.To].Height)
		}
	}
	for _, i := range g.Entries {
		g.Services[i].Rate = 1 / float64(len(g.Entries))
	}
	for i := range g.Services {
		for _, c := range g.Services[i].Calls {
			g.Services[c.To].Rate += g.Services[i].Rate * c.Probability
		}
	}
	for i := range g.Services {
		s := &g.Services[i]
		held := g.EntryCallsPerS() * s.Rate * s.ResponseMs / 1000 / float64(len(s.Placements))
		s.Workers = max(int(math.Ceil(held/g.Spec.Utilization)), 2)
	}
}

// oneWayMs is one way through the network without jitter.
func oneWayMs(net *Network, farMs float64, perRegion, from, to int) float64 {
	switch {
	case from == to:
		return net.LocalMs
	case perRegion > 0 && from/perRegion != to/perRegion:
		return farMs
	}
	return net.CrossMs
}

// CallsPerEntryCall is the calls of all services for one call at the top, without repeats.
func (g *Graph) CallsPerEntryCall() float64 {
	sum := 0.0
	for i := range g.Services {
		sum += g.Services[i].Rate
	}
	return sum
}

// EntryCallsPerS is what clients call, a second.
func (g *Graph) EntryCallsPerS() float64 { return g.Spec.CallsPerS / g.CallsPerEntryCall() }

// Hops are the calls at each hop, from 1, for one call at the top, without repeats. A service may be met at several hops.
func (g *Graph) Hops() []float64 {
	out := make([]float64, g.Spec.Depth+1)
	at := make([]float64, len(g.Services))
	for _, i := range g.Entries {
		at[i] = 1 / float64(len(g.Entries))
	}
	for hop := 1; hop <= g.Spec.Depth; hop++ {
		next := make([]float64, len(g.Services))
		for i, n := range at {
			out[hop] += n
			for _, c := range g.Services[i].Calls {
				next[c.To] += n * c.Probability
			}
		}
		at = next
	}
	return out
}

// Servers is the number of all.
func (g *Graph) Servers() int {
	n := 0
	for i := range g.Services {
		n += len(g.Services[i].Placements)
	}
	return n
}
