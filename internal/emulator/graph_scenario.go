package emulator

import "errors"

const (
	// queuePerWorker is the length of the queue of a graph's servers.
	queuePerWorker = 4
	// graphOverloadFactor is ServerGroup.OverloadFactor of a graph's servers.
	graphOverloadFactor = 2.5
)

// drawGraph sets servers, agents and load from the graph's spec, if there is one.
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
