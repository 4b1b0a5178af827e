package emulator

import "fmt"

// GraphSpec is the parameters of a random graph of services; the same spec gives the same graph. A scenario
// with a graph must not define servers. Zero values take the defaults that the comments give.
type GraphSpec struct {
	Seed        uint64 `toml:"seed"`
	Services    int    `toml:"services"`
	Depth       int    `toml:"depth"`   // number of services on the longest path
	Servers     int    `toml:"servers"` // total number; 0: random between the limits for each service
	MinServers  int    `toml:"least"`   // of a service; default 3
	MaxServers  int    `toml:"most"`    // of a service; default 12
	Regions     int    `toml:"regions"` // each with the same number of zones; default 1
	Racks       int    `toml:"racks"`   // of a zone; default 5
	ClientHosts int    `toml:"edges"`   // each with an agent for each service that clients call; default 12
	// ExtraCalls is the number of calls, as a mean over the services, that are drawn in addition to the tree,
	// each with a random probability; default 0.5; negative: none.
	ExtraCalls float64 `toml:"further"`
	// WorkMs is the mean service time over the services; that of a service is 0.5 to 1.5 times it; default 4.
	WorkMs float64 `toml:"work_ms"`
	// CallsPerS is the rate of calls of all services, without retries. It determines the rate of the clients.
	CallsPerS float64 `toml:"calls_per_s"`
	// Utilization is the mean fraction of a server's workers that are occupied without faults; default 0.55.
	Utilization float64 `toml:"busy"`
	// InterRegionMs is the one-way delay between regions; default 5.
	InterRegionMs float64 `toml:"far_ms"`
	// CallAttempts is the maximum number of times that a server sends a call to its agent; default 1. A
	// client sends an operation up to three times.
	CallAttempts int `toml:"tries"`
}

// Graph is an acyclic graph of services that call each other: calls go from a layer to a deeper one.
type Graph struct {
	Spec     GraphSpec
	Services []Service
	Entries  []int // services that clients call, with equal probability
}

// Service is a service of a graph.
type Service struct {
	Layer      int // from 1
	Height     int // number of services on the longest path from this one, including itself
	Placements []Placement
	Calls      []Call // made sequentially for each request
	WorkMs     float64
	ResponseMs float64 // mean response time: work and nested calls, without queueing
	Rate       float64 // mean calls of the service for each call of a client
	Workers    int     // of each server
}

// Call is an edge of the graph.
type Call struct {
	To          int
	Probability float64 // that a request makes the call
}

// Placement is the zone and rack of a server; rack numbers are unique over all zones.
type Placement struct{ Zone, Rack int }

// Check sets defaults and returns an error that names the first invalid key.
func (g *GraphSpec) Check(zones int) error {
	g.setDefaults()
	if err := checkBounds(g.bounds(zones)); err != nil {
		return fmt.Errorf("graph.%w", err)
	}
	minTotal := g.Services * g.MinServers
	maxTotal := g.Services * g.MaxServers
	if g.Servers != 0 && (g.Servers < minTotal || g.Servers > maxTotal) {
		return fmt.Errorf("graph.servers: %d services must have from %d to %d servers, not %d",
			g.Services, minTotal, maxTotal, g.Servers)
	}
	if zones%g.Regions != 0 {
		return fmt.Errorf("graph.regions: %d zones can't be divided evenly into %d regions", zones, g.Regions)
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

// setDefault sets a value that is zero to its default.
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

// CallsPerEntryCall is the mean number of calls of all services for one call of a client, without retries.
func (g *Graph) CallsPerEntryCall() float64 {
	sum := 0.0
	for i := range g.Services {
		sum += g.Services[i].Rate
	}
	return sum
}

// EntryCallsPerS is the rate of the calls of clients.
func (g *Graph) EntryCallsPerS() float64 { return g.Spec.CallsPerS / g.CallsPerEntryCall() }

// Hops returns the mean number of calls at each hop for one call of a client, without retries; index 0 is
// unused. A service may be called at several hops.
func (g *Graph) Hops() []float64 {
	out := make([]float64, g.Spec.Depth+1)
	rates := make([]float64, len(g.Services)) // at the current hop, by service
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

// Servers is the total number of servers.
func (g *Graph) Servers() int {
	n := 0
	for i := range g.Services {
		n += len(g.Services[i].Placements)
	}
	return n
}
