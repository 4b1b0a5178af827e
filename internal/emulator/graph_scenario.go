package emulator

import "errors"

const (
	// queuePerWorker is the queue length of a graph's server, for each of its workers.
	queuePerWorker = 4
	// graphOverloadFactor is the ServerGroup.OverloadFactor of a graph's servers.
	graphOverloadFactor = 2.5
)

// drawGraph draws the graph, if the scenario has one, and sets servers, agents and load from it. It may be
// called repeatedly.
func (s *Scenario) drawGraph() error {
	if s.Graph == nil {
		return nil
	}
	if s.graph == nil && len(s.Servers) > 0 {
		return errors.New("servers: not allowed with a graph, which determines them")
	}
	if err := s.Graph.Check(s.Zones); err != nil {
		return err
	}
	s.setGraph(DrawGraph(s.Graph, s.Zones, &s.Network))
	return nil
}

func (s *Scenario) setGraph(g *Graph) {
	s.graph = g
	s.Agents = g.Servers()
	s.Load.PerS = g.EntryCallsPerS()
	s.Servers = nil
	for _, service := range g.Services {
		s.Servers = append(s.Servers, ServerGroup{
			Count:          len(service.Placements),
			Workers:        service.Workers,
			Queue:          queuePerWorker * service.Workers,
			Service:        Distribution{Kind: "exponential", MeanMs: service.WorkMs},
			OverloadFactor: graphOverloadFactor,
			nestedCallsMs:  service.ResponseMs - service.WorkMs,
		})
	}
}

// services is the number of services of the graph, 0 without one.
func (s *Scenario) services() int {
	if s.graph == nil {
		return 0
	}
	return len(s.graph.Services)
}

// racks is the number of racks in all zones, 0 without a graph.
func (s *Scenario) racks() int {
	if s.graph == nil {
		return 0
	}
	return s.Zones * s.graph.Spec.Racks
}
