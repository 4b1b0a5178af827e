package emulator

import "fmt"

// GraphSpec is what a graph of services is drawn from: the same spec gives the same graph. A scenario that
// has one has no servers of its own. Zero values take the defaults that are given here.
type GraphSpec struct {
	Seed        uint64 `toml:"seed"`
	Services    int    `toml:"services"`
	Depth       int    `toml:"depth"`   // of the longest path, in services
	Servers     int    `toml:"servers"` // in all; 0: as drawn
	MinServers  int    `toml:"least"`   // of a service; 3
	MaxServers  int    `toml:"most"`    // of a service; 12
	Regions     int    `toml:"regions"` // of equally many zones each; 1
	Racks       int    `toml:"racks"`   // of a zone; 5
	ClientHosts int    `toml:"edges"`   // with an agent for each service that clients call; 12
	// ExtraCalls is the mean number of calls that a service makes beyond those of the tree, each with a
	// probability; 0.5, and negative: none.
	ExtraCalls float64 `toml:"further"`
	// WorkMs is the mean of the services' own work for a call; each has 0.5 to 1.5 of it; 4.
	WorkMs float64 `toml:"work_ms"`
	// CallsPerS is the rate over all services, without retries; the rate of clients follows from it.
	CallsPerS float64 `toml:"calls_per_s"`
	// Utilization is the mean part of a server's workers that are occupied without faults; 0.55.
	Utilization float64 `toml:"busy"`
	// InterRegionMs is one way between regions; 5.
	InterRegionMs float64 `toml:"far_ms"`
	// CallAttempts is how often a server sends a call to its agent; 1. A client sends three.
	CallAttempts int `toml:"tries"`
}

// Graph is services that call services, without cycles: calls go from one layer to a deeper one.
type Graph struct {
	Spec     GraphSpec
	Services []Service
	Entries  []int // services that clients call, all equally often
}

// Service is a service of a graph.
type Service struct {
	Layer      int // from 1
	Height     int // services on the longest path from this one, itself included
	Placements []Placement
	Calls      []Call // made one after the other
	WorkMs     float64
	ResponseMs float64 // work and nested calls, without queueing
	Rate       float64 // calls of the service for each call of a client
	Workers    int     // of each server
}

// Call is an edge of the graph.
type Call struct {
	To          int
	Probability float64 // with which it is made
}

// Placement is the zone and rack of a server; racks are counted over all zones.
type Placement struct{ Zone, Rack int }

// Check sets defaults and returns an error that names the first unusable key.
func (g *GraphSpec) Check(zones int) error {
	g.setDefaults()
	if err := checkBounds(g.bounds(zones)); err != nil {
		return fmt.Errorf("graph.%w", err)
	}
	fewest := g.Services * g.MinServers
	largest := g.Services * g.MaxServers
	if g.Servers != 0 && (g.Servers < fewest || g.Servers > largest) {
		return fmt.Errorf("graph.servers: %d services have %d to %d, not %d",
			g.Services, fewest, largest, g.Servers)
	}
	if zones%g.Regions != 0 {
		return fmt.Errorf("graph.regions: %d zones are not %d regions of equally many", zones, g.Regions)
	}
	return nil
}

func (g *GraphSpec) setDefaults() {
	setDefault(&g.MinServers, 3)
	setDefault(&g.MaxServers, 12)
	setDefault(&g.Regions, 1)
	setDefault(&g.Racks, 5)
	setDefault(&g.ClientHosts, 12)
	setDefault(&g.CallAttempts, 1)
	setDefault(&g.ExtraCalls, 0.5)
	setDefault(&g.WorkMs, 4)
	setDefault(&g.Utilization, 0.55)
	setDefault(&g.InterRegionMs, 5)
}

// setDefault sets a value that is zero.
func setDefault[T int | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

func (g *GraphSpec) bounds(zones int) []bound {
	return []bound{
		{"depth", float64(g.Depth), 1, 20},
		{"services", float64(g.Services), float64(g.Depth), 1000},
		{"least", float64(g.MinServers), 1, 1000},
		{"most", float64(g.MaxServers), float64(g.MinServers), 1000},
		{"regions", float64(g.Regions), 1, float64(zones)},
		{"racks", float64(g.Racks), 1, 1000},
		{"edges", float64(g.ClientHosts), 1, 1000},
		{"further", g.ExtraCalls, -1, 10},
		{"work_ms", g.WorkMs, 0.01, maxMinuteMs},
		{"calls_per_s", g.CallsPerS, 0.001, maxRatePerS},
		{"busy", g.Utilization, 0.01, 10},
		{"far_ms", g.InterRegionMs, 0, maxMinuteMs},
		{"tries", float64(g.CallAttempts), 1, maxClientAttempts},
	}
}

// CallsPerEntryCall is the number of calls of all services for one call of a client, without retries.
func (g *Graph) CallsPerEntryCall() float64 {
	sum := 0.0
	for i := range g.Services {
		sum += g.Services[i].Rate
	}
	return sum
}

// EntryCallsPerS is the rate of calls of clients.
func (g *Graph) EntryCallsPerS() float64 { return g.Spec.CallsPerS / g.CallsPerEntryCall() }

// Hops returns the calls at each hop, from 1, for one call of a client, without retries. A service may be
// called at several hops.
func (g *Graph) Hops() []float64 {
	out := make([]float64, g.Spec.Depth+1)
	rates := make([]float64, len(g.Services)) // at the present hop, by service
	for _, i := range g.Entries {
		rates[i] = 1 / float64(len(g.Entries))
	}
	for hop := 1; hop <= g.Spec.Depth; hop++ {
		next := make([]float64, len(g.Services))
		for i, rate := range rates {
			out[hop] += rate
			for _, call := range g.Services[i].Calls {
				next[call.To] += rate * call.Probability
			}
		}
		rates = next
	}
	return out
}

// Servers is the number of servers of all services.
func (g *Graph) Servers() int {
	n := 0
	for i := range g.Services {
		n += len(g.Services[i].Placements)
	}
	return n
}
