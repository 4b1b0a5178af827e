package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowStartSimulation simulates agents and servers that can be overloaded, in virtual time (ms). Each server
// works through the accepted requests in order, rejects those that would wait too long, starts with a
// fraction of its capacity, and records arrivals in slow start.
type slowStartSimulation struct {
	*fleet
	rng          *rand.Rand
	set          Settings
	servers      []Endpoint // the endpoint list
	backends     []*simulatedBackend
	byAddr       map[Addr]*simulatedBackend
	processes    []int // per agent: index in fleet.agents of the process that gets its requests
	requestsPerS float64
	keyless      bool    // no request has a key
	backendPerS  float64 // capacity of a server in requests per second
	joining      int     // number of servers that join
	started      int     // number of processes started, over all agents
	open         map[RequestID]bool
	served       int
	ended        int
}

// simulatedBackend is the actual state of a server, independent of the endpoint list.
type simulatedBackend struct {
	requestsPerS      float64 // after slow start
	startMs           float64 // start of its process; 0: long ago
	freeAt            float64
	unreachable       bool
	slowStartArrivals []float64 // arrivals in slow start
}

func newSlowStartSimulation(t *testing.T, seed uint64, agents, servers int) *slowStartSimulation {
	t.Helper()
	w := &slowStartSimulation{rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[Addr]*simulatedBackend{}, open: map[RequestID]bool{}}
	w.set = testSettings()
	c := &w.set.Contract
	c.SlowStartMinCapacity, c.SlowStartMs, c.OverloadFactor, c.OverloadWindowMs = 0.15+0.35*w.rng.Float64(), 5000+10000*w.rng.Float64(), 1.5+2*w.rng.Float64(), 1000
	c.PollIntervalMs = 10_000
	w.set.Classes = []Class{
		{Name: "once", LatencyObjectiveMs: 550, ClientTimeoutMs: 2200, Effect: NonIdempotent, PriorityWeight: 4},
		{Name: "free", LatencyObjectiveMs: 400, ClientTimeoutMs: 1600, Effect: Idempotent, PriorityWeight: 1}}
	w.set.Limits.HealthChecks = seed%2 == 0
	w.set.Replicas = agents
	w.backendPerS = 6 + 30*w.rng.Float64()
	w.requestsPerS = w.backendPerS * float64(servers) * (0.5 + 0.5*w.rng.Float64())
	w.joining = 2 + w.rng.IntN(servers)
	w.fleet = &fleet{now: 1e6}
	w.onAction = w.handleAction
	for range servers {
		w.addBackend(0)
	}
	for range agents {
		w.processes = append(w.processes, w.startProcess())
	}
	return w
}

// capacity returns the fraction of its capacity that a backend has at the given time.
func (w *slowStartSimulation) capacity(b *simulatedBackend, at float64) float64 {
	c := &w.set.Contract
	if b.startMs == 0 || at-b.startMs >= c.SlowStartMs {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*max(at-b.startMs, 0)/c.SlowStartMs
}

// maxOverload returns the largest number of arrivals within an overload window, as a fraction of what a
// backend in slow start can handle then: N, the number that the settings permit at the beginning of the
// window, plus 2 sqrt(N) + 2.
func (w *slowStartSimulation) maxOverload(b *simulatedBackend) float64 {
	worst := 0.0
	for i, from := range b.slowStartArrivals {
		n, _ := slices.BinarySearch(b.slowStartArrivals[i:], from+w.set.Contract.OverloadWindowMs)
		bears := w.set.Contract.OverloadFactor * b.requestsPerS * w.capacity(b, from) * w.set.Contract.OverloadWindowMs / 1000
		worst = max(worst, float64(n)/(bears+2*math.Sqrt(bears)+2))
	}
	return worst
}

// addBackend adds a server whose process started at the given time; 0: long ago.
func (w *slowStartSimulation) addBackend(at float64) *simulatedBackend {
	b := &simulatedBackend{requestsPerS: w.backendPerS, startMs: at}
	e := Endpoint{Server: addr(len(w.servers)), Health: Ready, Weight: 1, StartedMs: at}
	w.servers, w.backends = append(w.servers, e), append(w.backends, b)
	w.byAddr[e.Server] = b
	return b
}

// startProcess starts a process of an agent with a cached endpoint list.
func (w *slowStartSimulation) startProcess() int {
	set := w.set
	set.ReplicaIndex = w.started % w.set.Replicas
	w.started++
	b, err := New(set, w.rng.Uint64())
	if err != nil {
		panic(err)
	}
	w.agents = append(w.agents, b)
	w.start(len(w.agents)-1, w.servers)
	return len(w.agents) - 1
}

// updateProcesses sends the endpoint list to all processes.
func (w *slowStartSimulation) updateProcesses() {
	for _, p := range w.processes {
		w.do(p, w.agents[p].Handle(w.now, &Event{Kind: EventEndpointUpdate, Update: UpdateComplete, Endpoints: w.servers}, nil))
	}
}

func (w *slowStartSimulation) handleAction(agent int, a *Action) {
	switch a.Kind {
	case ActionReject, ActionFail:
		w.ended++
	case ActionHealthCheck:
		b := w.byAddr[a.Server]
		ev := Event{Kind: EventHealthCheckEnded, Server: a.Server, Status: OK, LatencyMs: 3}
		if b.unreachable {
			ev.Status, ev.LatencyMs = Timeout, 500
		} else {
			w.arrive(b)
		}
		w.schedule(ev.LatencyMs, agent, ev)
	case ActionForward:
		b, r := w.byAddr[a.Server], w.agents[agent].requests[a.Request]
		ev := Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, Attempt: len(r.attempts) - 1}
		switch {
		case b.unreachable && w.rng.IntN(2) == 0:
			ev.Status, ev.LatencyMs = ConnectFailed, min(w.set.Limits.ConnectTimeoutMs, a.DurationMs)
		case b.unreachable:
			ev.Status, ev.LatencyMs = Timeout, a.DurationMs
		default:
			w.arrive(b)
			work := 1000 / (b.requestsPerS * w.capacity(b, w.now))
			b.freeAt = max(b.freeAt, w.now-3*work) // four at a time
			wait := b.freeAt + 4*work - w.now
			switch {
			case wait > 1500:
				ev.Status, ev.LatencyMs = Rejected, 2
			case wait > a.DurationMs:
				b.freeAt += work
				ev.Status, ev.LatencyMs = Timeout, a.DurationMs
			default:
				b.freeAt += work
				ev.LatencyMs = wait * (0.7 + 0.6*w.rng.Float64())
			}
		}
		if ev.Status == OK {
			w.served++
			ev.Final = true
		}
		w.schedule(ev.LatencyMs, agent, ev)
	}
}

// arrive records an arrival at a server in slow start.
func (w *slowStartSimulation) arrive(b *simulatedBackend) {
	if w.capacity(b, w.now) < 1 {
		b.slowStartArrivals = append(b.slowStartArrivals, w.now)
	}
}

// load simulates requests for a time, at a fraction of the usual rate; every fifth agent has several times
// the mean traffic.
func (w *slowStartSimulation) load(ms, part float64) {
	weight := func(i int) float64 {
		if i%5 == 0 {
			return 4
		}
		return 1
	}
	all := 0.0
	for i := range w.processes {
		all += weight(i)
	}
	for from, end := w.now, w.now+ms; from < end; from += 50 { // in short intervals, as processes change
		for i, p := range w.processes {
			rate := w.requestsPerS * part * weight(i) / all / 1000
			for at := w.rng.ExpFloat64() / rate; at < 50; at += w.rng.ExpFloat64() / rate {
				w.sequence++
				w.schedule(at, p, Event{Kind: EventRequest, Request: RequestID(w.sequence), Class: w.rng.IntN(2), Key: w.key(), RemainingMs: 1800})
			}
		}
		w.runUntil(from + 50)
	}
}

// key draws a request's key.
func (w *slowStartSimulation) key() uint64 {
	if key := 1 + uint64(w.rng.ExpFloat64()*300); !w.keyless {
		return key
	}
	return 0
}

// worstOverload returns the largest maxOverload of the servers that have started.
func (w *slowStartSimulation) worstOverload() float64 {
	worst := 0.0
	for _, b := range w.backends {
		if b.startMs > 0 {
			worst = max(worst, w.maxOverload(b))
		}
	}
	return worst
}

// slowStartDisturbances are changes to a running simulation.
var slowStartDisturbances = map[string]func(w *slowStartSimulation){
	"join and return": func(w *slowStartSimulation) {
		dark := w.backends[:2+w.rng.IntN(len(w.backends)-1)]
		for _, b := range dark {
			b.unreachable = true
		}
		w.load(3000, 1)
		for i, b := range dark {
			b.unreachable, b.startMs, w.servers[i].StartedMs = false, w.now, w.now
		}
		for range w.joining {
			w.addBackend(w.now)
		}
		w.updateProcesses()
		w.load(12_000, 1.5)
	},
	"all agents restart": func(w *slowStartSimulation) {
		for range w.joining {
			w.addBackend(w.now)
		}
		w.updateProcesses()
		for range 4 {
			w.load(1500, 1.5)
			for i := range w.processes {
				w.processes[i] = w.startProcess()
			}
		}
		w.load(4000, 1.5)
	},
	"one agent after the other restarts": func(w *slowStartSimulation) {
		for range w.joining {
			w.addBackend(w.now)
		}
		w.updateProcesses()
		for n := range 120 {
			w.load(100, 1.5)
			w.processes[n%len(w.processes)] = w.startProcess()
		}
	},
	"two processes each": func(w *slowStartSimulation) {
		for i := range w.processes {
			w.processes = append(w.processes, w.startProcess())
			w.processes[i], w.processes[len(w.processes)-1] = w.processes[len(w.processes)-1], w.processes[i]
		}
		w.load(500, 1)
		for range w.joining {
			w.addBackend(w.now)
		}
		w.updateProcesses()
		w.load(12_000, 1.5)
	},
}

// Servers in slow start get no more than they can handle, counted over all processes of twenty and thirty
// agents in a burst: when new servers join, when unreachable ones return, when agents restart and do not know
// which tokens were spent, and while each agent has two processes; with and without keys. Attempts and health
// checks count.
func TestServersInSlowStartAreNotOverloaded(t *testing.T) {
	t.Parallel() // virtual time alone
	for name, play := range slowStartDisturbances {
		for _, of := range []struct {
			agents  int
			keyless bool
		}{{20, false}, {30, false}, {20, true}, {30, true}} {
			agents := of.agents
			overloaded, worst, served, requests := 0, 0.0, 0, 0
			// The seeds, out of sixty, with the highest load on a server in slow start; in 17, 29 and 41 all
			// servers are in slow start.
			seeds := []uint64{2, 34, 29}
			if name == "join and return" {
				seeds = []uint64{2, 12, 17, 29, 34, 41, 47}
			}
			for _, seed := range seeds {
				w := newSlowStartSimulation(t, seed, agents, 12)
				w.keyless = of.keyless
				w.load(8000, 1)
				w.served, w.ended = 0, 0
				play(w)
				x := w.worstOverload()
				if worst = max(worst, x); x > 1 {
					overloaded++
				}
				served += w.served
				requests += w.served + w.ended
			}
			t.Logf("%s, %d agents, no keys %v: highest load on a server in slow start %.2f of its limit; exceeded in %d of %d; served %.2f",
				name, agents, of.keyless, worst, overloaded, len(seeds), float64(served)/float64(requests))
			if overloaded > 0 {
				t.Errorf("%s, %d agents, no keys %v: a server in slow start is overloaded in %d of %d",
					name, agents, of.keyless, overloaded, len(seeds))
			}
		}
	}
}
