package emulator

import "ringtrack.example/ringtrack/policy"

// rejectedCallMs is the duration of a call that the discovery service rejects because of its backlog.
const rejectedCallMs = 25

// DiscoveryQueue is the capacity of a discovery service that handles calls one after the other. With a rate
// of 0 it answers at once. A call that takes longer than PatienceMs fails for its caller, but is processed
// all the same. A call that finds a backlog of more than MaxBacklogMs is rejected and takes no capacity.
type DiscoveryQueue struct {
	CallsPerS    float64 `toml:"calls_per_s"` // watches; a fetch of the complete endpoint list counts as two
	PatienceMs   float64 `toml:"patience_ms"`
	MaxBacklogMs float64 `toml:"line_ms"`
}

// discoveryQueue is the queue of the discovery service in a run.
type discoveryQueue struct {
	DiscoveryQueue
	freeAt        Time  // end of the backlog
	second        int64 // of the run, to which callsInSecond belongs
	callsInSecond int
}

// admit queues a call. It returns the time until the caller gets an answer or a failure, and whether it is an
// answer.
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

// discoveryCall is an agent's call of the discovery service; it fires when the agent gets the result.
type discoveryCall struct {
	agent    *agent
	balancer Balancer // that made the call; calls of a killed agent's balancer are ignored
	complete bool     // a fetch of the complete endpoint list, not a watch
	failed   bool
}

// callDiscovery schedules the result of an agent's watch of the endpoint list, or of its fetch of the
// complete list.
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
			ev.Endpoints = g.currentEndpoints() // includes changes from before the watch
			w.totals.LastSubscribedS = float64(w.now) / float64(Second)
		}
	}
	g.deliver(&ev)
}

// currentEndpoints returns the current endpoint list and updates which servers the agent knows as
// unavailable.
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

// endpointChange is a watch event in flight to one agent.
type endpointChange struct {
	agent    *agent
	endpoint policy.Endpoint
	server   *server
}

// notify sends a server's current endpoint to each agent, with a random delay for each.
func (w *World) notify(s *server) {
	lagMs := w.scenario.Discovery.LagMs
	for _, g := range w.agents {
		if !g.listed[s.index] {
			continue
		}
		delay := fromMs(lagMs + lagMs*w.discoveryRng.Float64())
		// Watch events of an agent arrive in order.
		g.lastNotificationAt = max(g.lastNotificationAt, max(w.now, w.discoveryDownUntil)+delay)
		w.at(g.lastNotificationAt, &endpointChange{g, s.endpoint(), s}, 0)
	}
}

func (c *endpointChange) fire(uint8) {
	g := c.agent
	if g.world.discoveryQueue.CallsPerS > 0 && !g.subscribed {
		return // the answer to the watch will include the change
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
