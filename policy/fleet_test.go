package policy

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
)

// line is a roster that works through calls in turn, as one does that everybody asks: who stands in line
// for too long gets a failure but has its work done all the same, and who comes when the line is very long
// fails at once. Times are ms.
type line struct {
	callMs            float64 // the work of a call for changes; a whole list is twice that
	freeAt            float64 // when the work at hand is done
	patience, longest float64
	asked             []float64 // when calls came
	failed            int
}

// call takes a call that costs so much time, and tells when and how it ends.
func (l *line) call(now, cost float64) (at float64, ok bool) {
	l.asked = append(l.asked, now)
	if l.freeAt = max(l.freeAt, now); l.freeAt-now > l.longest {
		l.failed++
		return now + 25, false
	}
	l.freeAt += cost
	if l.freeAt-now > l.patience {
		l.failed++
		return now + l.patience, false
	}
	return l.freeAt, true
}

// peak is the most calls in any second.
func (l *line) peak() int {
	most, from := 0, 0
	for i, t := range l.asked {
		for l.asked[from] <= t-1000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// due is something that happens to an agent.
type due struct {
	at    float64
	order int // of what happens at one time
	agent int
	ev    Event
}

// dues is a heap, the next first.
type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), d[i].order-d[j].order) < 0
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// fleet is many agents in virtual time, in ms. What they do is answered by the test.
type fleet struct {
	now    float64
	made   int // events so far
	agents []*Balancer
	todo   dues
	// did takes what an agent does, but for timers.
	did func(agent int, a *Action)
}

func newFleet(t *testing.T, set Settings, agents int) *fleet {
	t.Helper()
	f := &fleet{}
	set.Replicas = agents
	for i := range agents {
		set.ReplicaIndex = i
		b, err := New(set, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		f.agents = append(f.agents, b)
	}
	return f
}

// later has an event happen to an agent after some time.
func (f *fleet) later(ms float64, agent int, ev Event) {
	f.made++
	heap.Push(&f.todo, due{f.now + ms, f.made, agent, ev})
}

func (f *fleet) do(agent int, actions []Action) {
	for i := range actions {
		if a := &actions[i]; a.Kind == ActionTimer {
			f.later(a.DurationMs, agent, Event{Kind: EventTimer, Token: a.Token})
		} else {
			f.did(agent, a)
		}
	}
}

// start starts an agent with a list.
func (f *fleet) start(agent int, entries []Endpoint) {
	b := f.agents[agent]
	f.do(agent, b.Start(f.now, nil))
	f.do(agent, b.Handle(f.now, &Event{Kind: EventEndpointUpdate, Update: UpdateCached, Endpoints: entries}, nil))
}

// until lets time pass.
func (f *fleet) until(end float64) {
	for len(f.todo) > 0 && f.todo[0].at < end {
		d := heap.Pop(&f.todo).(due)
		f.now = d.at
		f.do(d.agent, f.agents[d.agent].Handle(f.now, &d.ev, nil))
	}
	f.now = end
}

func ready(n int) []Endpoint {
	entries := make([]Endpoint, n)
	for k := range entries {
		entries[k] = Endpoint{Server: addr(k), Health: Ready, Weight: 1, Zone: k % 3}
	}
	return entries
}

// herd starts agents, all of which know as much of their last calls, within start ms at one roster, lets each see the
// failures of three servers in its first second, and runs them for 60 s. It returns when each got through for changes;
// -1: never.
func herd(t *testing.T, agents int, last LastPoll, roster *line, start float64) []float64 {
	t.Helper()
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs, set.LastPoll = "on_request", 10_000, last
	f := newFleet(t, set, agents)
	following := slices.Repeat([]float64{-1}, agents)
	f.did = func(i int, a *Action) {
		switch a.Kind {
		case ActionWatchEndpoints, ActionFetchEndpoints:
			if a.Kind == ActionWatchEndpoints && following[i] >= 0 {
				return
			}
			cost := roster.callMs
			if a.Kind == ActionFetchEndpoints {
				cost *= 2
			}
			if at, ok := roster.call(f.now, cost); !ok {
				f.later(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
			} else if a.Kind == ActionWatchEndpoints {
				following[i] = at
			}
		case ActionForward:
			f.later(30, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: Error, LatencyMs: 30})
		}
	}
	for i := range agents {
		f.until(start * float64(i) / float64(agents))
		f.start(i, ready(60))
		for k := range 3 {
			f.later(300*float64(k+1), i, Event{Kind: EventRequest, Request: RequestID(k + 1), Class: 1, Key: uint64(k*977 + i + 1), RemainingMs: 600})
		}
	}
	f.until(60_000)
	return following
}

// A release that kills all agents at once must not bring the roster down: what it works off for callers who
// have left is lost to those who come after (herd+vast: after the first second no call was answered for
// ten). What a second brings stays under a bound that the contract gives, whatever the number of agents. Agents that
// may have had no answer before have less time to ask in, so that more of them come in a second; no call may fail
// for it.
func TestHerdAtAnOverbookedRoster(t *testing.T) {
	for _, c := range []struct {
		agents int
		last   LastPoll
		within float64 // s in which each must ask
	}{
		{1, PollAnswered, maxFirstPollSpread * 10}, {8, PollAnswered, maxFirstPollSpread * 10}, {80, PollAnswered, maxFirstPollSpread * 10}, {800, PollAnswered, maxFirstPollSpread * 10},
		{1, PollUnknown, 4}, {8, PollUnknown, 4}, {80, PollUnknown, 4}, {800, PollUnknown, 4},
	} {
		agents := c.agents
		// 15 calls a second, as seen for 80 agents; in proportion for more.
		r := &line{callMs: min(65, 65*80/float64(agents)), patience: 2000, longest: 4700}
		following := herd(t, agents, c.last, r, 200)
		last := slices.Max(following)
		if slices.Contains(following, -1) {
			t.Errorf("%d agents: some never got to follow the list", agents)
		}
		// Each must ask within its time; what comes in a second may be little more than that.
		least := float64(agents) / c.within
		bound := int(max(least*1.6, 24))
		t.Logf("%d agents, last call %d: peak %d calls a second, %d calls, %d failed, the last followed after %.1f s",
			agents, c.last, r.peak(), len(r.asked), r.failed, last/1000)
		if r.failed > 0 {
			t.Errorf("%d agents: %d calls failed in discovery's queue", agents, r.failed)
		}
		if r.peak() > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", agents, r.peak(), bound)
		}
		if last > 10_000 {
			t.Errorf("%d agents: the last followed after %.1f s", agents, last/1000)
		}
		each := 2 // one for changes, and one for the whole list, which many must do without
		if agents > fetchingReplicas {
			each = 1
		}
		if n := len(r.asked); n > each*agents {
			t.Errorf("%d agents made %d calls", agents, n)
		}
	}
}

// What is new must carry its part soon, or the others are crowded for want of it, and never more than the
// contract gives it, counted over all agents (join+vast: 36 of 60 servers were replaced in 7 s, and got a
// third of what they could have done, while attempts at the others timed out).
func TestNewServersCarryTheirPart(t *testing.T) {
	const agents, servers, fresh, perS, capacity = 80, 60, 18, 1450.0, 31.0
	set := testSettings()
	set.Contract.SlowStartMinCapacity, set.Contract.SlowStartMs, set.Contract.OverloadFactor = 0.31, 8600, 2.5
	set.Classes = []Class{{Name: "once", LatencyObjectiveMs: 550, ClientTimeoutMs: 2200, Effect: NonIdempotent, PriorityWeight: 4}}
	f := newFleet(t, set, agents)
	rng := rand.New(rand.NewPCG(7, 7))
	const began = 5000.0
	sent := map[Addr][]float64{} // when new ones were sent to
	warm := 0
	f.did = func(i int, a *Action) {
		if a.Kind != ActionForward {
			return
		}
		if f.now >= began {
			if k := int(a.Server[3]); k >= servers-fresh {
				sent[a.Server] = append(sent[a.Server], f.now)
			} else {
				warm++
			}
		}
		f.later(60+rng.ExpFloat64()*40, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, LatencyMs: 100, Final: true})
	}
	for i := range agents {
		f.start(i, ready(servers))
	}
	id := RequestID(0)
	arrive := func(ms float64) {
		for at := rng.ExpFloat64() * 1000 / perS; at < ms; at += rng.ExpFloat64() * 1000 / perS {
			id++
			f.later(at, rng.IntN(agents), Event{Kind: EventRequest, Request: id, Key: 1 + uint64(rng.ExpFloat64()*800), RemainingMs: 2200})
		}
	}
	arrive(began)
	f.until(began)
	entries := ready(servers)
	for k := servers - fresh; k < servers; k++ {
		entries[k].StartedMs = began
	}
	for i := range agents {
		f.do(i, f.agents[i].Handle(f.now, &Event{Kind: EventEndpointUpdate, Update: UpdateDelta, Endpoints: entries[servers-fresh:]}, nil))
	}
	arrive(set.Contract.SlowStartMs)
	f.until(began + set.Contract.SlowStartMs)
	ramp := func(at float64) float64 { return 0.31 + 0.69*(at-began)/8600 }
	worst, total := 0.0, 0
	for _, times := range sent {
		total += len(times)
		for i, from := range times {
			n, _ := slices.BinarySearch(times[i:], from+1000)
			worst = max(worst, float64(n)/(set.Contract.OverloadFactor*capacity*ramp(from)))
		}
	}
	each, even := float64(total)/fresh, float64(warm)/(servers-fresh)
	t.Logf("each new one got %.2f of what a warm one got; the most in any second was %.2f of the contract's", each/even, worst)
	if each < 0.4*even { // they have 0.65 of the capacity meanwhile
		t.Errorf("each new server got %.0f, each warm one %.0f", each, even)
	}
	if worst > 0.8 {
		t.Errorf("a cold server got %.2f of what may push it over", worst)
	}
}

// Whatever the settings say of the agent's number and of how many there are, it asks within the contract's
// time, and a negative count is said by its key.
func TestTurnsByOddNumbers(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode = "on_request"
	for _, x := range []struct{ replicas, index int }{{0, 0}, {0, 5}, {1, 0}, {1, 900}, {80, 79}, {80, 80}, {80, -3}, {1 << 40, 3}, {3, 1 << 40}} {
		set.Replicas, set.ReplicaIndex = x.replicas, x.index
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		a := find(b.Start(0, nil), ActionTimer)
		if a == nil || !(a.DurationMs >= 0 && a.DurationMs <= maxFirstPollSpread*set.Contract.PollIntervalMs) {
			t.Errorf("agent %d of %d: first call after %+v", x.index, x.replicas, a)
		}
	}
	set.Replicas = -1
	if _, err := New(set, 1); err == nil || !contains(err.Error(), "replicasOfMe") {
		t.Errorf("-1 replicas: %v", err)
	}
}

// Without a server all requests are refused; one server serves nearly all; where all are cold each still
// gets some, so that they warm up.
func TestFewServers(t *testing.T) {
	for name, x := range map[string]struct {
		servers int
		cold    bool
		served  int // at least, of 200
	}{"none": {0, false, 0}, "one": {1, false, 190}, "all cold": {6, true, 15}} {
		set := testSettings()
		f := newFleet(t, set, 3)
		f.now = 1e6
		served, refused, at := 0, 0, map[Addr]int{}
		f.did = func(i int, a *Action) {
			switch a.Kind {
			case ActionForward:
				at[a.Server]++
				f.later(5, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, LatencyMs: 5, Final: true})
				served++
			case ActionReject:
				refused++
			}
		}
		entries := ready(x.servers)
		for k := range entries {
			if x.cold {
				entries[k].StartedMs = f.now - 10
			}
		}
		f.start(0, entries)
		for i := range 200 {
			f.later(20*float64(i), 0, Event{Kind: EventRequest, Request: RequestID(i + 1), Class: 1, Key: uint64(i) * 7919, RemainingMs: 600})
		}
		f.until(f.now + 8000)
		if served < x.served || served+refused != 200 || len(at) != x.servers {
			t.Errorf("%s: %d served, %d refused, of 200, at %d of %d servers", name, served, refused, len(at), x.servers)
		}
	}
}

// Eighty agents that start where all servers have just started wake them, and push none over, were it of
// one core only.
func TestAllColdOverManyAgents(t *testing.T) {
	t.Parallel() // virtual time alone
	const agents, servers, perS = 80, 60, 1450.0
	set := testSettings()
	set.Contract.SlowStartMinCapacity, set.Contract.SlowStartMs, set.Contract.OverloadFactor = 0.31, 8600, 2.5
	f := newFleet(t, set, agents)
	f.now = 1e6
	began := f.now
	mean := f.agents[0].classes.latencyMs[1]
	sent := map[Addr][]float64{}
	f.did = func(i int, a *Action) {
		if a.Kind == ActionForward {
			sent[a.Server] = append(sent[a.Server], f.now)
			f.later(mean, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, LatencyMs: mean, Final: true})
		}
	}
	entries := ready(servers)
	for k := range entries {
		entries[k].StartedMs = began
	}
	for i := range agents {
		f.start(i, entries)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	for i, at := 0, 0.0; at < 6000; i, at = i+1, at+rng.ExpFloat64()*1000/perS {
		f.later(at, rng.IntN(agents), Event{Kind: EventRequest, Request: RequestID(i + 1), Class: 1, Key: rng.Uint64(), RemainingMs: 600})
	}
	f.until(began + 7000)
	worst, total := 0.0, 0
	for _, times := range sent {
		total += len(times)
		for i, from := range times {
			n, _ := slices.BinarySearch(times[i:], from+1000)
			k := 0.31 + 0.69*(from-began)/8600
			worst = max(worst, float64(n)/(2.5*k*1000/mean))
		}
	}
	t.Logf("%d of %.0f sent, to %d servers; the most in any second was %.2f of what a core may get", total, perS*6, len(sent), worst)
	if len(sent) < servers || worst > 1 {
		t.Errorf("%d of %d servers woken; the most in any second was %.2f of what a core may get", len(sent), servers, worst)
	}
}
