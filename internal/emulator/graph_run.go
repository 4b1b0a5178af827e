package emulator

import "ringtrack.example/ringtrack/internal/invariant"

// allServices as agentPlacement.service: the agent calls all servers, as in a scenario without a graph.
const allServices = -1

// graphRun is the state of a graph of services in a run. Without a graph it is nil: recordRequest,
// recordAttempt, operationEnded, maxAttempts and summary may be called on nil.
type graphRun struct {
	*Graph
	world          *World
	zonesPerRegion int
	faultOrder     []*server // shuffled; faults select servers in this order
	hops           []Hop     // index 0 is unused
}

// Path is the measurements of nested calls in a run. Client operations that began in the warm-up are left
// out.
type Path struct {
	Hops []Hop `json:"hops"` // the first is the calls of clients
	// DeepestAttempts is the mean number of attempts at the last hop for one call of a client. Amplification
	// is its ratio to the value without retries and failures.
	DeepestAttempts float64 `json:"deepest"`
	Amplification   float64 `json:"times"`
}

// Hop counts the calls of one hop: operations requested, attempts sent, operations served.
type Hop struct {
	Requested int `json:"asked"`
	Attempts  int `json:"attempts"`
	Served    int `json:"served"`
}

func (g *graphRun) recordRequest(o *operation) {
	if g != nil && o.entry.measured {
		g.hops[o.hop].Requested++
	}
}

func (g *graphRun) recordAttempt(o *operation) {
	if g != nil && o.entry.measured {
		g.hops[o.hop].Attempts++
	}
}

// operationEnded records the last answer to an operation, and notifies the server that waits for it.
func (g *graphRun) operationEnded(o *operation, outcome invariant.Outcome) {
	if g == nil {
		return
	}
	served := outcome == invariant.Served && g.world.now <= o.deadline
	if served && o.entry.measured {
		g.hops[o.hop].Served++
	}
	if o.caller == nil {
		return
	}
	kind := nestedCallServed
	if !served {
		kind = nestedCallFailed
	}
	g.world.after(0, o.caller, kind)
}

// maxAttempts is the maximum number of times that the caller of an operation sends it.
func (g *graphRun) maxAttempts(o *operation) int {
	if g == nil || o.caller == nil {
		return maxClientAttempts
	}
	return g.Spec.CallAttempts
}

func (g *graphRun) summary() *Path {
	if g == nil {
		return nil
	}
	path := &Path{Hops: g.hops[1:]}
	if clientCalls := g.hops[1].Requested; clientCalls > 0 {
		path.DeepestAttempts = float64(g.hops[g.Spec.Depth].Attempts) / float64(clientCalls)
		path.Amplification = path.DeepestAttempts / g.Hops()[g.Spec.Depth]
	}
	return path
}

func (g *graphRun) oneWayMs(from, to int) float64 {
	return oneWayMs(&g.world.scenario.Network, g.Spec.InterRegionMs, g.zonesPerRegion, from, to)
}

// placeGraph sets the zones and racks of the servers from the graph.
func (w *World) placeGraph() {
	graph := w.scenario.graph
	w.graph = &graphRun{
		Graph:          graph,
		world:          w,
		zonesPerRegion: w.scenario.Zones / graph.Spec.Regions,
		hops:           make([]Hop, graph.Spec.Depth+1),
	}
	n := 0
	for _, service := range graph.Services {
		for _, placement := range service.Placements {
			w.servers[n].zone = placement.Zone
			w.servers[n].rack = placement.Rack
			n++
		}
	}
	shuffled := append([]*server(nil), w.servers...)
	newRand(graph.Spec.Seed, "faults", 0).Shuffle(n, func(i, k int) {
		shuffled[i], shuffled[k] = shuffled[k], shuffled[i]
	})
	w.graph.faultOrder = shuffled
}

// agentPlacement is the location of an agent and the service that it calls. A host that calls several
// services has an agent for each, as a balancer handles the servers of one service.
type agentPlacement struct {
	zone         int
	service      int     // or allServices
	caller       *server // the server on the same host; nil for an agent of clients
	replicas     int     // number of agents that call the same service
	replicaIndex int     // index among them
}

// agentPlacements returns the placements of the agents of a run; in a graph those of clients come first.
func (w *World) agentPlacements() []agentPlacement {
	if w.graph == nil {
		return w.scenario.agentPlacements()
	}
	var out []agentPlacement
	replicas := make([]int, len(w.graph.Services))
	add := func(p agentPlacement) {
		p.replicaIndex = replicas[p.service]
		replicas[p.service]++
		out = append(out, p)
	}
	for i := range w.graph.Spec.ClientHosts {
		for _, service := range w.graph.Entries {
			add(agentPlacement{zone: i % w.scenario.Zones, service: service})
		}
	}
	for _, s := range w.servers {
		for _, call := range w.graph.Services[s.service].Calls {
			add(agentPlacement{zone: s.zone, service: call.To, caller: s})
		}
	}
	for i := range out {
		out[i].replicas = replicas[out[i].service]
	}
	return out
}

// agentPlacements returns the placements of the agents of a scenario without a graph.
func (s *Scenario) agentPlacements() []agentPlacement {
	var out []agentPlacement
	for i := range s.Agents {
		out = append(out, agentPlacement{
			zone:         i % s.Zones,
			service:      allServices,
			replicas:     s.Agents,
			replicaIndex: i,
		})
	}
	return out
}

// entryAgents is the number of agents that clients call; they come first in World.agents.
func (w *World) entryAgents() int {
	if w.graph == nil {
		return len(w.agents)
	}
	return w.graph.Spec.ClientHosts * len(w.graph.Entries)
}
