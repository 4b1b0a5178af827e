package emulator

import (
	"errors"

	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// graphRun is a graph in a run.
type graphRun struct {
	*Graph
	w         *World
	perRegion int
	mixed     []*server // in the order in which faults take them
	hops      []Hop     // from 1
}

// Path is what a run found of calls inside calls. Figures leave out what began in the warm-up.
type Path struct {
	Hops []Hop `json:"hops"` // the first is the client's call
	// Deepest is the attempts at the last hop for one call at the top; Times the same as a multiple of what it would be
	// if no call was made twice and none failed.
	Deepest float64 `json:"deepest"`
	Times   float64 `json:"times"`
}

// Hop is a hop's calls: operations asked for, attempts sent, operations served.
type Hop struct {
	Asked    int `json:"asked"`
	Attempts int `json:"attempts"`
	Served   int `json:"served"`
}

func (g *graphRun) asked(o *op) {
	if g != nil && o.top.counts {
		g.hops[o.hop].Asked++
	}
}

func (g *graphRun) sent(o *op) {
	if g != nil && o.top.counts {
		g.hops[o.hop].Attempts++
	}
}

// ended notes that an operation has its last answer, and lets go on who waits for it.
func (g *graphRun) ended(o *op, v invariant.Outcome) {
	if g == nil {
		return
	}
	served := v == invariant.Served && g.w.now <= o.until
	if served && o.top.counts {
		g.hops[o.hop].Served++
	}
	if o.hold == nil {
		return
	}
	kind := holdServed
	if !served {
		kind = holdBroken
	}
	g.w.after(0, o.hold, kind)
}

// tries is how often an operation is sent by its caller.
func (g *graphRun) tries(o *op) int {
	if g == nil || o.hold == nil {
		return maxTries
	}
	return g.Spec.Tries
}

func (g *graphRun) path() *Path {
	if g == nil {
		return nil
	}
	p := &Path{Hops: g.hops[1:]}
	if deepest := g.Hops()[g.Spec.Depth]; g.hops[1].Asked > 0 {
		p.Deepest = float64(g.hops[g.Spec.Depth].Attempts) / float64(g.hops[1].Asked)
		p.Times = p.Deepest / deepest
	}
	return p
}

func (g *graphRun) wayMs(from, to int) float64 {
	return wayMs(&g.w.sc.Net, g.Spec.FarMs, g.perRegion, from, to)
}

// agentPlan is where an agent stands and what it calls. An agent that calls several services is one of these a service:
// a module knows one service's servers.
type agentPlan struct {
	zone     int
	service  int     // -1: all servers are alike
	from     *server // beside which it stands; nil: beside clients
	replicas int     // modules that call the same
	order    int     // among those
}

// plannedAgents are those of a run; of a graph those of clients first, the doors.
func (w *World) plannedAgents() (out []agentPlan) {
	if w.graph == nil {
		for i := range w.sc.Agents {
			out = append(out, agentPlan{zone: i % w.sc.Zones, service: -1, replicas: w.sc.Agents, order: i})
		}
		return out
	}
	count := make([]int, len(w.graph.Services))
	add := func(p agentPlan) {
		p.order = count[p.service]
		count[p.service]++
		out = append(out, p)
	}
	for i := range w.graph.Spec.Edges {
		for _, e := range w.graph.Entries {
			add(agentPlan{zone: i % w.sc.Zones, service: e})
		}
	}
	for _, s := range w.servers {
		for _, c := range w.graph.Services[s.service].Calls {
			add(agentPlan{zone: s.zone, service: c.To, from: s})
		}
	}
	for i := range out {
		out[i].replicas = count[out[i].service]
	}
	return out
}

// doors are the agents that clients call, the first of all.
func (w *World) doors() int {
	if w.graph == nil {
		return len(w.agents)
	}
	return w.graph.Spec.Edges * len(w.graph.Entries)
}

// settings are the platform's, for an agent's module. The aim of a call to a service is the part of the class's that the
// longest path from it on has.
func (g *agent) settings() (out policy.Settings) {
	out = g.w.sc.settings(g.order, g.zone)
	out.Replicas = g.replicas
	if g.w.graph != nil {
		part := float64(g.w.graph.Services[g.service].Height) / float64(g.w.graph.Spec.Depth)
		for i := range out.Classes {
			out.Classes[i].LatencyObjectiveMs *= part
		}
	}
	return out
}

func (w *World) placeGraph() {
	sc := w.sc
	w.graph = &graphRun{Graph: sc.graph, w: w, perRegion: sc.Zones / sc.graph.Spec.Regions, hops: make([]Hop, sc.graph.Spec.Depth+1)}
	n := 0
	for _, v := range sc.graph.Services {
		for _, p := range v.Places {
			s := w.servers[n]
			s.zone, s.rack = p.Zone, p.Rack
			n++
		}
	}
	w.graph.mixed = append(w.graph.mixed, w.servers...)
	stream(sc.graph.Spec.Seed, "faults", 0).Shuffle(n, func(i, k int) {
		w.graph.mixed[i], w.graph.mixed[k] = w.graph.mixed[k], w.graph.mixed[i]
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
	s.setGraph(DrawGraph(s.Graph, s.Zones, &s.Net))
	return nil
}

func (s *Scenario) setGraph(g *Graph) {
	s.graph, s.Servers, s.Agents = g, nil, g.Servers()
	s.Load.PerS = g.TopPerS()
	for _, v := range g.Services {
		s.Servers = append(s.Servers, ServerGroup{Count: len(v.Places), Workers: v.Workers, Queue: queuePerWorker * v.Workers,
			Service: Dist{Kind: "exponential", MeanMs: v.WorkMs}, FallMultiple: 2.5, holdMs: v.HoldMs - v.WorkMs})
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
