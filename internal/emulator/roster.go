package emulator

import (
	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// DiscoveryQueue is a roster that works through calls in turn. One with no rate answers at once. It is a queue
// with reneging whose work is done all the same: who has waited for longer than its patience gets a failure,
// and what it asked for is still made. Who comes when the line is too long fails at once, at no cost. That
// is how the platform's overbooked discovery was seen to behave (docs/design/large-fleet.md).
type DiscoveryQueue struct {
	CallsPerS    float64 `toml:"calls_per_s"` // calls for changes that it can answer; a whole list is two of them
	PatienceMs   float64 `toml:"patience_ms"`
	MaxBacklogMs float64 `toml:"line_ms"` // work ahead beyond which a call fails at once
}

// discoveryQueue is the roster's queue in a run.
type discoveryQueue struct {
	DiscoveryQueue
	freeAt        Time
	second        int64 // in which calls are counted
	callsInSecond int   // of that second
}

// rejectedCallMs is how long a call takes that fails at once.
const rejectedCallMs = 25

// admit takes a call at a time and tells after how long it ends, and whether it is answered.
func (l *discoveryQueue) admit(now Time, complete bool, res *Result) (Time, bool) {
	if s := int64(now / Second); s != l.second {
		l.second, l.callsInSecond = s, 0
	}
	l.callsInSecond++
	res.DiscoveryCalls++
	res.DiscoveryPeakPerS = max(res.DiscoveryPeakPerS, l.callsInSecond)
	cost := fromMs(1000 / l.CallsPerS)
	if complete {
		cost *= 2
	}
	l.freeAt = max(l.freeAt, now)
	if l.freeAt-now > fromMs(l.MaxBacklogMs) {
		res.DiscoveryFailures++
		return fromMs(rejectedCallMs), false
	}
	l.freeAt += cost
	if l.freeAt-now > fromMs(l.PatienceMs) {
		res.DiscoveryFailures++
		return fromMs(l.PatienceMs), false
	}
	return l.freeAt - now, true
}

// discoveryCall is an agent's call of the roster, on its way back.
type discoveryCall struct {
	agent    *agent
	balancer Balancer // that made it: a killed agent's calls end with it
	complete bool
	failed   bool
}

func (c *discoveryCall) fire(uint8) {
	g := c.agent
	if c.balancer != g.balancer {
		return
	}
	ev := policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateDelta}
	g.fetching = g.fetching && !c.complete
	switch {
	case g.world.now < g.world.discoveryDownUntil || c.failed:
		ev.Update = policy.UpdateFailed
		g.watching = g.watching && c.complete
	case c.complete:
		ev.Update = policy.UpdateComplete
		ev.Endpoints = g.currentEndpoints()
	default:
		g.subscribed = true
		if g.world.discoveryQueue.CallsPerS > 0 {
			ev.Endpoints = g.currentEndpoints() // what it has missed
			g.world.totals.LastSubscribedS = float64(g.world.now) / float64(Second)
		}
	}
	g.deliver(&ev)
}

// currentEndpoints is the list as the roster has it, which the agent takes over.
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

// callDiscovery answers an agent's call.
func (w *World) callDiscovery(g *agent, fetch bool) {
	c, d := &discoveryCall{agent: g, balancer: g.balancer, complete: fetch}, fromMs(2*w.scenario.Network.LocalMs)
	switch {
	case w.now < w.discoveryDownUntil:
		d = Second
	case w.discoveryQueue.CallsPerS > 0:
		wait, ok := w.discoveryQueue.admit(w.now, fetch, &w.totals)
		d, c.failed = d+wait, !ok
	}
	w.after(d, c, 0)
}

// kill ends an agent's process and starts it again from nothing but the list of the run's start. What it had
// taken is lost to its client, who was sent no answer and comes back by itself.
func (g *agent) kill() {
	lost := make([]*request, 0, len(g.requests))
	for id := policy.RequestID(1); id <= g.nextID; id++ { // in order: a map's would be another each time
		if r := g.requests[id]; r != nil {
			lost = append(lost, r)
		}
	}
	b, err := g.world.policy.New(g.settings(), g.world.seed^uint64(g.index+1)*0x9e3779b97f4a7c15^uint64(g.world.now))
	if err != nil {
		return // it was made once before of the same settings
	}
	g.balancer, g.watching, g.fetching, g.subscribed = b, false, false, false
	g.requests, g.openRequests, g.pending = map[policy.RequestID]*request{}, 0, nil
	clear(g.idleConns)
	clear(g.unavailable)
	for _, r := range lost {
		for _, t := range r.attempts {
			t.ended = true
		}
		if !r.answered {
			r.answered = true
			g.world.totals.LostWithAgent++
			r.operation.answered(invariant.Failed, 0) // as its client sees it
		}
	}
	g.execute(g.balancer.Start(g.now(), nil))
	g.deliver(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateCached, Endpoints: g.initialEndpoints})
}
