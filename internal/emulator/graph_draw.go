package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// treeCalls is the maximum of the mean number of tree calls that a service makes for a request.
	treeCalls = 1.5
	// minGraphWorkers is the minimum number of workers of a graph's server.
	minGraphWorkers = 2
)

// DrawGraph draws the graph of a spec that Check has accepted. Network delays count for the number of
// workers, as a nested call occupies its caller's worker during them.
func DrawGraph(spec *GraphSpec, zones int, network *Network) *Graph {
	g := &Graph{Spec: *spec, Services: make([]Service, spec.Services)}
	rng := newRand(spec.Seed, "graph", 0)
	g.drawLayers(rng)
	g.drawTree(rng)
	g.drawExtraCalls(rng)
	g.drawPlacements(rng, zones)
	for i := range g.Services {
		g.Services[i].WorkMs = spec.WorkMs * (0.5 + rng.Float64())
	}
	g.computeResponseTimes(meanRoundTripMs(spec, zones, network))
	g.computeRates()
	g.sizeWorkers()
	return g
}

// drawLayers assigns one service to each layer, and the others to random layers.
func (g *Graph) drawLayers(rng *rand.Rand) {
	for i := range g.Services {
		g.Services[i].Layer = i + 1
		if i >= g.Spec.Depth {
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

// drawTree draws a caller in the layer above for each service below the first layer.
func (g *Graph) drawTree(rng *rand.Rand) {
	var above []int   // services of the layer above
	var current []int // services of the current layer
	layer := 0
	for i := range g.Services {
		s := &g.Services[i]
		if s.Layer != layer {
			above = current
			current = nil
			layer = s.Layer
		}
		current = append(current, i)
		if len(above) > 0 {
			caller := &g.Services[above[rng.IntN(len(above))]]
			caller.Calls = append(caller.Calls, Call{To: i, Probability: 1})
		}
	}
	// If each request made all calls of the tree, their number would grow with the size of the graph.
	for i := range g.Services {
		calls := g.Services[i].Calls
		for k := range calls {
			calls[k].Probability = min(1, treeCalls/float64(len(calls)))
		}
	}
}

// drawExtraCalls draws calls to services of any deeper layer. Pairs that are not such calls are dropped, so
// that there are fewer than Spec.ExtraCalls for each service.
func (g *Graph) drawExtraCalls(rng *rand.Rand) {
	n := int(math.Round(max(g.Spec.ExtraCalls, 0) * float64(len(g.Services))))
	for range n {
		from := rng.IntN(len(g.Services))
		to := rng.IntN(len(g.Services))
		probability := 0.1 + 0.4*rng.Float64()
		caller := &g.Services[from]
		deeper := caller.Layer < g.Services[to].Layer
		if deeper && !caller.calls(to) {
			caller.Calls = append(caller.Calls, Call{To: to, Probability: probability})
		}
	}
}

func (s *Service) calls(to int) bool {
	return slices.ContainsFunc(s.Calls, func(c Call) bool { return c.To == to })
}

// drawPlacements draws the number of servers of each service, and spreads them evenly over the zones.
func (g *Graph) drawPlacements(rng *rand.Rand, zones int) {
	for i, servers := range g.drawServerCounts(rng) {
		firstZone := rng.IntN(zones)
		for k := range servers {
			zone := (firstZone + k) % zones
			rack := zone*g.Spec.Racks + rng.IntN(g.Spec.Racks)
			g.Services[i].Placements = append(g.Services[i].Placements, Placement{zone, rack})
		}
	}
}

// drawServerCounts draws the number of servers of each service; their sum is Spec.Servers if that is set.
func (g *Graph) drawServerCounts(rng *rand.Rand) []int {
	counts := make([]int, len(g.Services))
	sum := 0
	for i := range counts {
		counts[i] = g.Spec.MinServers + rng.IntN(g.Spec.MaxServers-g.Spec.MinServers+1)
		sum += counts[i]
	}
	for g.Spec.Servers > 0 && sum != g.Spec.Servers {
		i := rng.IntN(len(counts))
		switch {
		case sum < g.Spec.Servers && counts[i] < g.Spec.MaxServers:
			counts[i]++
			sum++
		case sum > g.Spec.Servers && counts[i] > g.Spec.MinServers:
			counts[i]--
			sum--
		}
	}
	return counts
}

// computeResponseTimes computes the response time and height of each service, from the deepest layer up.
func (g *Graph) computeResponseTimes(roundTripMs float64) {
	for i := len(g.Services) - 1; i >= 0; i-- {
		s := &g.Services[i]
		s.ResponseMs = s.WorkMs
		s.Height = 1
		for _, call := range s.Calls {
			s.ResponseMs += call.Probability * (g.Services[call.To].ResponseMs + roundTripMs)
			s.Height = max(s.Height, 1+g.Services[call.To].Height)
		}
	}
}

// computeRates computes the calls of each service for one call of a client, from the first layer down.
func (g *Graph) computeRates() {
	for _, i := range g.Entries {
		g.Services[i].Rate = 1 / float64(len(g.Entries))
	}
	for i := range g.Services {
		for _, call := range g.Services[i].Calls {
			g.Services[call.To].Rate += g.Services[i].Rate * call.Probability
		}
	}
}

// sizeWorkers computes the number of workers of each server from the mean number of occupied workers.
func (g *Graph) sizeWorkers() {
	for i := range g.Services {
		s := &g.Services[i]
		occupied := g.EntryCallsPerS() * s.Rate * s.ResponseMs / 1000 / float64(len(s.Placements))
		s.Workers = max(int(math.Ceil(occupied/g.Spec.Utilization)), minGraphWorkers)
	}
}

// meanRoundTripMs is the mean round trip time over all pairs of zones, including a zone with itself.
func meanRoundTripMs(spec *GraphSpec, zones int, network *Network) float64 {
	zonesPerRegion := zones / spec.Regions
	sum := 0.0
	for from := range zones {
		for to := range zones {
			sum += 2 * oneWayMs(network, spec.InterRegionMs, zonesPerRegion, from, to) / float64(zones*zones)
		}
	}
	return sum
}

// oneWayMs is the one-way network delay without jitter.
func oneWayMs(network *Network, interRegionMs float64, zonesPerRegion, from, to int) float64 {
	switch {
	case from == to:
		return network.LocalMs
	case zonesPerRegion > 0 && from/zonesPerRegion != to/zonesPerRegion:
		return interRegionMs
	}
	return network.CrossMs
}
