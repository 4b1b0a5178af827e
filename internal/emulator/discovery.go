package emulator

import "ringtrack.example/ringtrack/policy"

// rejectedCallMs is how long a call of the discovery service takes that fails at once.
const rejectedCallMs = 25

// DiscoveryQueue is the capacity of a discovery service that handles calls one after the other; with a rate
// of 0 it answers at once. A caller that has waited for longer than PatienceMs gets a failure, but its call
// is still worked off. A call that arrives behind more than MaxBacklogMs of work fails at once, at no cost.
type DiscoveryQueue struct {
	CallsPerS    float64 `toml:"calls_per_s"` // watches; a fetch of the complete endpoint list costs as much as two
	PatienceMs   float64 `toml:"patience_ms"`
	MaxBacklogMs float64 `toml:"line_ms"`
}

// discoveryQueue is the queue of the discovery service in a run.
type discoveryQueue struct {
	DiscoveryQueue
	freeAt        Time
	second        int64 // in which callsInSecond is counted
	callsInSecond int
}

// admit takes a call and returns after how long it ends, and whether it is answered.
func (q *discoveryQueue) admit(now Time, complete bool, totals *Result) (Time, bool) {
	q.count(now, totals)
	cost := fromMs(1000 / q.CallsPerS)
	if complete {
		cost *= 2
	}
	q.freeAt = max(q.freeAt, now)
	if q.freeAt-now > fromMs(q.MaxBacklogMs) {
		totals.DiscoveryFailures++
		return fromMs(rejectedCallMs), false
	}
	q.freeAt += cost
	if q.freeAt-now > fromMs(q.PatienceMs) {
		totals.DiscoveryFailures++
		return fromMs(q.PatienceMs), false
	}
	return q.freeAt - now, true
}

func (q *discoveryQueue) count(now Time, totals *Result) {
	second := int64(now / Second)
	if second != q.second {
		q.second = second
		q.callsInSecond = 0
	}
	q.callsInSecond++
	totals.DiscoveryCalls++
	totals.DiscoveryPeakPerS = max(totals.DiscoveryPeakPerS, q.callsInSecond)
}

// discoveryCall is the answer to an agent's call, on its way back.
type discoveryCall struct {
	agent    *agent
	balancer Balancer // that made it: a killed agent's calls end with it
	complete bool     // a fetch of the complete endpoint list, not a watch
	failed   bool
}

// callDiscovery answers an agent's watch of the endpoint list, or its fetch of the complete list.
func (w *World) callDiscovery(g *agent, complete bool) {
	call := &discoveryCall{agent: g, balancer: g.balancer, complete: complete}
	duration := fromMs(2 * w.scenario.Network.LocalMs)
	switch {
	case w.now < w.discoveryDownUntil:
		duration = Second
	case w.discoveryQueue.CallsPerS > 0:
		wait, ok := w.discoveryQueue.admit(w.now, complete, &w.totals)
		duration += wait
		call.failed = !ok
	}
	w.after(duration, call, 0)
}

func (c *discoveryCall) fire(uint8) {
	g := c.agent
	if c.balancer != g.balancer {
		return
	}
	w := g.world
	ev := policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateDelta}
	g.fetching = g.fetching && !c.complete
	switch {
	case w.now < w.discoveryDownUntil || c.failed:
		ev.Update = policy.UpdateFailed
		g.watching = g.watching && c.complete
	case c.complete:
		ev.Update = policy.UpdateComplete
		ev.Endpoints = g.currentEndpoints()
	default:
		g.subscribed = true
		if w.discoveryQueue.CallsPerS > 0 {
			ev.Endpoints = g.currentEndpoints() // what changed before the watch
			w.totals.LastSubscribedS = float64(w.now) / float64(Second)
		}
	}
	g.deliver(&ev)
}

// currentEndpoints is the endpoint list of the discovery service, which the agent takes over.
func (g *agent) currentEndpoints() []policy.Endpoint {
	var out []policy.Endpoint
	for _, s := range g.world.servers {
		if !g.listed[s.index] {
			continue
		}
		out = append(out, s.endpoint())
		g.unavailable[s.index] = s.draining
	}
	return out
}

// endpointChange is a watch event on its way to one agent.
type endpointChange struct {
	agent    *agent
	endpoint policy.Endpoint
	server   *server
}

// notify sends a server's present endpoint to each agent, at a time of its own for each.
func (w *World) notify(s *server) {
	lagMs := w.scenario.Discovery.LagMs
	for _, g := range w.agents {
		if !g.listed[s.index] {
			continue
		}
		delay := fromMs(lagMs + lagMs*w.discoveryRng.Float64())
		// An agent gets changes in the order in which they happened.
		g.lastNotificationAt = max(g.lastNotificationAt, max(w.now, w.discoveryDownUntil)+delay)
		w.at(g.lastNotificationAt, &endpointChange{g, s.endpoint(), s}, 0)
	}
}

func (c *endpointChange) fire(uint8) {
	g := c.agent
	if g.world.discoveryQueue.CallsPerS > 0 && !g.subscribed {
		return // the change comes with the answer to its watch
	}
	ready := c.endpoint.Health == policy.Ready
	g.unavailable[c.server.index] = !ready
	if !ready {
		g.idleConns[c.server.index] = 0
	}
	g.deliver(&policy.Event{
		Kind:      policy.EventEndpointUpdate,
		Update:    policy.UpdateDelta,
		Endpoints: []policy.Endpoint{c.endpoint},
	})
}
