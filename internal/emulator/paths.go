package emulator

import (
	"errors"

	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// graphRun is a graph in a run.
type graphRun struct {
	*Graph
	world     *World
	perRegion int
	shuffled  []*server // in the order in which faults take them
	hops      []Hop     // from 1
}

// Path is what a run found of calls inside calls. Figures leave out what began in the warm-up.
type Path struct {
	Hops []Hop `json:"hops"` // the first is the client's call
	// DeepestAttempts is the attempts at the last hop for one call at the top; Times the same as a multiple of what it would be
	// if no call was made twice and none failed.
	DeepestAttempts float64 `json:"deepest"`
	Amplification   float64 `json:"times"`
}

// Hop is a hop's calls: operations asked for, attempts sent, operations served.
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

// operationEnded notes that an operation has its last answer, and lets go on who waits for it.
func (g *graphRun) operationEnded(o *operation, v invariant.Outcome) {
	if g == nil {
		return
	}
	served := v == invariant.Served && g.world.now <= o.deadline
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

// maxAttempts is how often an operation is sent by its caller.
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
	p := &Path{Hops: g.hops[1:]}
	if deepest := g.Hops()[g.Spec.Depth]; g.hops[1].Requested > 0 {
		p.DeepestAttempts = float64(g.hops[g.Spec.Depth].Attempts) / float64(g.hops[1].Requested)
		p.Amplification = p.DeepestAttempts / deepest
	}
	return p
}

func (g *graphRun) oneWayMs(from, to int) float64 {
	return oneWayMs(&g.world.scenario.Network, g.Spec.InterRegionMs, g.perRegion, from, to)
}

// agentPlacement is where an agent stands and what it calls. An agent that calls several services is one of these a service:
// a module knows one service's servers.
type agentPlacement struct {
	zone         int
	service      int     // -1: all servers are alike
	caller       *server // beside which it stands; nil: beside clients
	replicas     int     // modules that call the same
	replicaIndex int     // among those
}

// agentPlacements are those of a run; of a graph those of clients first, the doors.
func (w *World) agentPlacements() (out []agentPlacement) {
	if w.graph == nil {
		for i := range w.scenario.Agents {
			out = append(out, agentPlacement{zone: i % w.scenario.Zones, service: -1, replicas: w.scenario.Agents, replicaIndex: i})
		}
		return out
	}
	count := make([]int, len(w.graph.Services))
	add := func(p agentPlacement) {
		p.replicaIndex = count[p.service]
		count[p.service]++
		out = append(out, p)
	}
	for i := range w.graph.Spec.ClientHosts {
		for _, e := range w.graph.Entries {
			add(agentPlacement{zone: i % w.scenario.Zones, service: e})
		}
	}
	for _, s := range w.servers {
		for _, c := range w.graph.Services[s.service].Calls {
			add(agentPlacement{zone: s.zone, service: c.To, caller: s})
		}
	}
	for i := range out {
		out[i].replicas = count[out[i].service]
	}
	return out
}

// entryAgents are the agents that clients call, the first of all.
func (w *World) entryAgents() int {
	if w.graph == nil {
		return len(w.agents)
	}
	return w.graph.Spec.ClientHosts * len(w.graph.Entries)
}

// settings are the platform's, for an agent's module. The aim of a call to a service is the part of the class's that the
// longest path from it on has.
func (g *agent) settings() (out policy.Settings) {
	out = g.world.scenario.settings(g.replicaIndex, g.zone)
	out.Replicas = g.replicas
	if g.world.graph != nil {
		part := float64(g.world.graph.Services[g.service].Height) / float64(g.world.graph.Spec.Depth)
		for i := range out.Classes {
			out.Classes[i].LatencyObjectiveMs *= part
		}
	}
	return out
}

func (w *World) placeGraph() {
	sc := w.scenario
	w.graph = &graphRun{Graph: sc.graph, world: w, perRegion: sc.Zones / sc.graph.Spec.Regions, hops: make([]Hop, sc.graph.Spec.Depth+1)}
	n := 0
	for _, v := range sc.graph.Services {
		for _, p := range v.Placements {
			s := w.servers[n]
			s.zone, s.rack = p.Zone, p.Rack
			n++
		}
	}
	w.graph.shuffled = append(w.graph.shuffled, w.servers...)
	stream(sc.graph.Spec.Seed, "faults", 0).Shuffle(n, func(i, k int) {
		w.graph.shuffled[i], w.graph.shuffled[k] = w.graph.shuffled[k], w.graph.shuffled[i]
	})
}

// drawGraph fills servers, agents and load from the graph's spec.
func (s *Scenario) drawGraph() error {
	if s.Graph == nil {
		return nil
	}
	if s.graph == nil && len(s.Servers) > 0 {
		return errors.New("servers: they follow from the graph")
	}
	if err := s.Graph.Check(s.Zones); err != nil {
		return err
	}
	s.setGraph(DrawGraph(s.Graph, s.Zones, &s.Network))
	return nil
}

func (s *Scenario) setGraph(g *Graph) {
	s.graph, s.Servers, s.Agents = g, nil, g.Servers()
	s.Load.PerS = g.EntryCallsPerS()
	for _, v := range g.Services {
		s.Servers = append(s.Servers, ServerGroup{Count: len(v.Placements), Workers: v.Workers, Queue: queuePerWorker * v.Workers,
			Service: Distribution{Kind: "exponential", MeanMs: v.WorkMs}, OverloadFactor: 2.5, nestedCallsMs: v.ResponseMs - v.WorkMs})
	}
}

// queuePerWorker is the length of a graph's servers' queues.
const queuePerWorker = 4

func (s *Scenario) services() int {
	if s.graph == nil {
		return 0
	}
	return len(s.graph.Services)
}

func (s *Scenario) racks() int {
	if s.graph == nil {
		return 0
	}
	return s.Zones * s.graph.Spec.Racks
}
