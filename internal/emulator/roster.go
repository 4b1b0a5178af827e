package emulator

import (
	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// RosterLine is a roster that works through calls in turn. One with no rate answers at once. It is a queue
// with reneging whose work is done all the same: who has waited for longer than its patience gets a failure,
// and what it asked for is still made. Who comes when the line is too long fails at once, at no cost. That
// is how the platform's overbooked discovery was seen to behave (docs/design/large-fleet.md).
type RosterLine struct {
	CallsPerS  float64 `toml:"calls_per_s"` // calls for changes that it can answer; a whole list is two of them
	PatienceMs float64 `toml:"patience_ms"`
	LineMs     float64 `toml:"line_ms"` // work ahead beyond which a call fails at once
}

// line is the roster's queue in a run.
type line struct {
	RosterLine
	freeAt Time
	second int64 // in which calls are counted
	calls  int   // of that second
}

// turnedMs is how long a call takes that fails at once.
const turnedMs = 25

// take takes a call at a time and tells after how long it ends, and whether it is answered.
func (l *line) take(now Time, whole bool, res *Result) (Time, bool) {
	if s := int64(now / Second); s != l.second {
		l.second, l.calls = s, 0
	}
	l.calls++
	res.RosterCalls++
	res.RosterPeak = max(res.RosterPeak, l.calls)
	cost := ns(1000 / l.CallsPerS)
	if whole {
		cost *= 2
	}
	l.freeAt = max(l.freeAt, now)
	if l.freeAt-now > ns(l.LineMs) {
		res.RosterFailed++
		return ns(turnedMs), false
	}
	l.freeAt += cost
	if l.freeAt-now > ns(l.PatienceMs) {
		res.RosterFailed++
		return ns(l.PatienceMs), false
	}
	return l.freeAt - now, true
}

// call is an agent's call of the roster, on its way back.
type call struct {
	g      *agent
	b      Balancer // that made it: a killed agent's calls end with it
	fetch  bool
	failed bool
}

func (c *call) fire(uint8) {
	g := c.g
	if c.b != g.b {
		return
	}
	ev := policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateDelta}
	g.fetching = g.fetching && !c.fetch
	switch {
	case g.w.now < g.w.rosterDown || c.failed:
		ev.Update = policy.UpdateFailed
		g.watching = g.watching && c.fetch
	case c.fetch:
		ev.Update = policy.UpdateComplete
		ev.Endpoints = g.known()
	default:
		g.follows = true
		if g.w.line.CallsPerS > 0 {
			ev.Endpoints = g.known() // what it has missed
			g.w.res.LastFollowS = float64(g.w.now) / float64(Second)
		}
	}
	g.event(&ev)
}

// known is the list as the roster has it, which the agent takes over.
func (g *agent) known() []policy.Endpoint {
	var out []policy.Endpoint
	for _, s := range g.w.servers {
		if !g.listed[s.index] {
			continue
		}
		out = append(out, s.entry())
		g.closed[s.index] = s.draining
	}
	return out
}

// asked answers an agent's call.
func (w *World) asked(g *agent, fetch bool) {
	c, d := &call{g: g, b: g.b, fetch: fetch}, ns(2*w.sc.Net.LocalMs)
	switch {
	case w.now < w.rosterDown:
		d = Second
	case w.line.CallsPerS > 0:
		wait, ok := w.line.take(w.now, fetch, &w.res)
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
	b, err := g.w.policy.New(g.settings(), g.w.seed^uint64(g.index+1)*0x9e3779b97f4a7c15^uint64(g.w.now))
	if err != nil {
		return // it was made once before of the same settings
	}
	g.b, g.watching, g.fetching, g.follows = b, false, false, false
	g.requests, g.open, g.pending = map[policy.RequestID]*request{}, 0, nil
	clear(g.idle)
	clear(g.closed)
	for _, r := range lost {
		for _, t := range r.attempts {
			t.done = true
		}
		if !r.answered {
			r.answered = true
			g.w.res.Killed++
			r.op.answered(invariant.Failed, 0) // as its client sees it
		}
	}
	g.carryOut(g.b.Start(g.now(), nil))
	g.event(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateCached, Endpoints: g.atStart})
}
