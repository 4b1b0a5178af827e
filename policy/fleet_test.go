package policy

import (
	"cmp"
	"container/heap"
	"testing"
)

// scheduledEvent is a future event of an agent.
type scheduledEvent struct {
	at    float64
	order int // breaks ties of at
	agent int
	ev    Event
}

// eventQueue is a heap of events ordered by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].order-q[j].order) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet runs many agents in virtual time, in ms. The test handles their actions.
type fleet struct {
	now       float64
	sequence  int // number of events so far
	agents    []*Balancer
	scheduled eventQueue
	// onAction handles the actions of an agent, except timers.
	onAction func(agent int, a *Action)
}

// schedule schedules an event of an agent after the given time.
func (f *fleet) schedule(ms float64, agent int, ev Event) {
	f.sequence++
	heap.Push(&f.scheduled, scheduledEvent{f.now + ms, f.sequence, agent, ev})
}

func (f *fleet) do(agent int, actions []Action) {
	for i := range actions {
		if a := &actions[i]; a.Kind == ActionTimer {
			f.schedule(a.DurationMs, agent, Event{Kind: EventTimer, Token: a.Token})
		} else {
			f.onAction(agent, a)
		}
	}
}

// start starts an agent with a cached endpoint list.
func (f *fleet) start(agent int, entries []Endpoint) {
	b := f.agents[agent]
	f.do(agent, b.Start(f.now, nil))
	f.do(agent, b.Handle(f.now, &Event{Kind: EventEndpointUpdate, Update: UpdateCached, Endpoints: entries}, nil))
}

// runUntil handles the events scheduled before end.
func (f *fleet) runUntil(end float64) {
	for len(f.scheduled) > 0 && f.scheduled[0].at < end {
		e := heap.Pop(&f.scheduled).(scheduledEvent)
		f.now = e.at
		f.do(e.agent, f.agents[e.agent].Handle(f.now, &e.ev, nil))
	}
	f.now = end
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

func readyEndpoints(n int) []Endpoint {
	entries := make([]Endpoint, n)
	for k := range entries {
		entries[k] = Endpoint{Server: addr(k), Health: Ready, Weight: 1, Zone: k % 3}
	}
	return entries
}

// Without servers all requests are rejected; a single server serves nearly all of them; if all servers are in
// slow start, each of them still gets requests and warms up.
func TestNoServerOneServerAndAllInSlowStart(t *testing.T) {
	for name, x := range map[string]struct {
		servers   int
		slowStart bool
		served    int // at least, of 200
	}{"none": {0, false, 0}, "one": {1, false, 190}, "all in slow start": {6, true, 15}} {
		set := testSettings()
		f := newFleet(t, set, 3)
		f.now = 1e6
		served, rejected, at := 0, 0, map[Addr]int{}
		f.onAction = func(i int, a *Action) {
			switch a.Kind {
			case ActionForward:
				at[a.Server]++
				f.schedule(5, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, LatencyMs: 5, Final: true})
				served++
			case ActionReject:
				rejected++
			}
		}
		entries := readyEndpoints(x.servers)
		for k := range entries {
			if x.slowStart {
				entries[k].StartedMs = f.now - 10
			}
		}
		f.start(0, entries)
		for i := range 200 {
			f.schedule(20*float64(i), 0, Event{Kind: EventRequest, Request: RequestID(i + 1), Class: 1, Key: uint64(i) * 7919, RemainingMs: 600})
		}
		f.runUntil(f.now + 8000)
		if served < x.served || served+rejected != 200 || len(at) != x.servers {
			t.Errorf("%s: %d served, %d rejected, of 200, at %d of %d servers",
				name, served, rejected, len(at), x.servers)
		}
	}
}
