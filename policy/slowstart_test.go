package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A server in slow start gets no more than the share that its capacity permits.
func TestSlowStartLimitsTheShareOfAServer(t *testing.T) {
	r := newHarness(t, testSettings(), 5)
	r.updateEndpoints(UpdateDelta, Endpoint{Server: addr(4), Health: Ready, Weight: 1, StartedMs: r.now - 10})
	got, all := 0, 2000
	for range all {
		r.now++
		id, s := r.mustForward(0, uint64(r.b.rng.Int64()))
		if s == addr(4) {
			got++
		}
		r.endAttempt(id, 0, s, OK, 20)
	}
	even := float64(all) / 4
	if limit := even * 0.36 * 0.5 * 1.2; float64(got) > limit || got == 0 {
		t.Errorf("a server in slow start got %d of %d requests; want some, and at most %.0f", got, all, limit)
	}
}

// Hints are rough: a server in slow start could be overloaded by many requests that are hinted as small.
func TestSmallHintsCostAMeanRequest(t *testing.T) {
	r := newHarness(t, testSettings(), 3)
	r.b.hints.meanArriving = 50
	if c := r.b.workCost(&request{workHintMs: 1}); c != 1 {
		t.Errorf("a request with a small hint costs %.2f mean requests, want 1", c)
	}
	if c := r.b.workCost(&request{workHintMs: 200}); c != 4 {
		t.Errorf("a request hinted at four times the mean costs %.2f, want 4", c)
	}
}

// If only servers in slow start are left, they get the requests.
func TestServerInSlowStartServesWhenTheOthersFailed(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range 200 {
		r.now += 10
		id, s := r.mustForward(0, uint64(r.b.rng.Int64()))
		r.endAttempt(id, 0, s, OK, 20)
	}
	r.updateEndpoints(UpdateDelta, Endpoint{Server: addr(2), Health: Ready, Weight: 1, StartedMs: r.now})
	r.b.byAddr[addr(2)].sentAt = 0
	for i := range 2 {
		r.b.eject(r.b.byAddr[addr(i)], true)
	}
	if _, s := r.mustForward(0, 9); s != addr(2) {
		t.Errorf("sent to %v, want the server in slow start", s)
	}
}

// A server that answers again after it was silent may be a new process that the endpoint list does not show
// yet.
func TestServerThatWasSilentIsInSlowStart(t *testing.T) {
	r := newHarness(t, testSettings(), 3)
	id, s := r.mustForward(0, 9)
	r.endAttempt(id, 0, s, ConnectFailed, 100)
	r.now += r.b.settings.Contract.OverloadWindowMs + 500
	for key := uint64(9); ; key++ {
		id, to := r.mustForward(0, 9)
		r.now += 20
		r.endAttempt(id, 0, to, OK, 20)
		if to == s {
			break
		}
		if key > 50 {
			t.Fatal("the silent server was never validated")
		}
	}
	if srv := r.b.byAddr[s]; r.b.warmUpFraction(srv) >= 0.5 {
		t.Errorf("a server that was silent is not in slow start: capacity %.2f", r.b.warmUpFraction(srv))
	}
}

// Under overload most attempts are rejected. If they counted, a server in slow start would earn tokens for
// many times its share.
func TestSlowStartTokensAreEarnedByServedRequestsOnly(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	r.updateEndpoints(UpdateDelta, Endpoint{Server: addr(4), Health: Ready, Weight: 1, StartedMs: r.now})
	starting := r.b.byAddr[addr(4)]
	first := starting.slowStartTokens
	for range 50 {
		r.now += 5
		id, actions := r.request(1, r.b.rng.Uint64())
		if a := findAction(actions, ActionForward); a != nil {
			r.endAttempt(id, 0, a.Server, Rejected, 1)
		}
	}
	if starting.slowStartTokens > first || r.b.slowStart.servedWork > 0 {
		t.Errorf("nothing was served, but the server in slow start has %.2f tokens and the served work is %.2f",
			starting.slowStartTokens, r.b.slowStart.servedWork)
	}
}

// Each of many agents with few requests earns less than one token for a server in slow start; together they
// must still send it its share.
func TestServerInSlowStartGetsItsShareFromManySmallAgents(t *testing.T) {
	starting, all := 0, 0
	for seed := range uint64(200) {
		r := newHarness(t, testSettings(), 19)
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		entries := make([]Endpoint, 20)
		for i := range entries {
			entries[i] = Endpoint{Server: addr(i), Health: Ready, Weight: 1}
		}
		r.b = b
		r.updateEndpoints(UpdateComplete, entries...)
		entries[19].StartedMs = r.now - 2000
		r.updateEndpoints(UpdateComplete, entries...)
		for range 20 {
			r.now += 100
			id, s := r.mustForward(0, r.b.rng.Uint64())
			if all++; s == addr(19) {
				starting++
			}
			r.endAttempt(id, 0, s, OK, 20)
		}
	}
	if even := all / 20; starting < even/20 || starting > even {
		t.Errorf("a server in slow start got %d of %d requests, where an even share is %d", starting, all, even)
	}
}

// New servers must soon get their share, or the others are overloaded, and never more than the contract
// permits, counted over all agents.
func TestNewServersGetTheirShare(t *testing.T) {
	const agents, servers, joining, perS, capacity = 80, 60, 18, 1450.0, 31.0
	set := testSettings()
	set.Contract.SlowStartMinCapacity, set.Contract.SlowStartMs, set.Contract.OverloadFactor = 0.31, 8600, 2.5
	set.Classes = []Class{{Name: "once", LatencyObjectiveMs: 550, ClientTimeoutMs: 2200, Effect: NonIdempotent, PriorityWeight: 4}}
	f := newFleet(t, set, agents)
	rng := rand.New(rand.NewPCG(7, 7))
	const began = 5000.0
	sent := map[Addr][]float64{} // when requests were sent to new servers
	toOthers := 0
	f.onAction = func(i int, a *Action) {
		if a.Kind != ActionForward {
			return
		}
		if f.now >= began {
			if k := int(a.Server[3]); k >= servers-joining {
				sent[a.Server] = append(sent[a.Server], f.now)
			} else {
				toOthers++
			}
		}
		f.schedule(60+rng.ExpFloat64()*40, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, LatencyMs: 100, Final: true})
	}
	for i := range agents {
		f.start(i, readyEndpoints(servers))
	}
	id := RequestID(0)
	arrive := func(ms float64) {
		for at := rng.ExpFloat64() * 1000 / perS; at < ms; at += rng.ExpFloat64() * 1000 / perS {
			id++
			f.schedule(at, rng.IntN(agents), Event{Kind: EventRequest, Request: id, Key: 1 + uint64(rng.ExpFloat64()*800), RemainingMs: 2200})
		}
	}
	arrive(began)
	f.runUntil(began)
	entries := readyEndpoints(servers)
	for k := servers - joining; k < servers; k++ {
		entries[k].StartedMs = began
	}
	for i := range agents {
		f.do(i, f.agents[i].Handle(f.now, &Event{Kind: EventEndpointUpdate, Update: UpdateDelta, Endpoints: entries[servers-joining:]}, nil))
	}
	arrive(set.Contract.SlowStartMs)
	f.runUntil(began + set.Contract.SlowStartMs)
	capacityAt := func(at float64) float64 { return 0.31 + 0.69*(at-began)/8600 }
	worst, total := 0.0, 0
	for _, times := range sent {
		total += len(times)
		for i, from := range times {
			n, _ := slices.BinarySearch(times[i:], from+1000)
			worst = max(worst, float64(n)/(set.Contract.OverloadFactor*capacity*capacityAt(from)))
		}
	}
	each, even := float64(total)/joining, float64(toOthers)/(servers-joining)
	t.Logf("each new server got %.2f times as much as another; the maximum in any second was %.2f of the limit",
		each/even, worst)
	if each < 0.4*even { // their mean capacity in slow start is 0.65
		t.Errorf("each new server got %.0f requests, each other one %.0f", each, even)
	}
	if worst > 0.8 {
		t.Errorf("a server in slow start got %.2f of what overloads it", worst)
	}
}

// Eighty agents that start when all servers have just started use all servers and overload none, even if each
// server has only one core.
func TestAllServersInSlowStartWithManyAgents(t *testing.T) {
	t.Parallel() // virtual time alone
	const agents, servers, perS = 80, 60, 1450.0
	set := testSettings()
	set.Contract.SlowStartMinCapacity, set.Contract.SlowStartMs, set.Contract.OverloadFactor = 0.31, 8600, 2.5
	f := newFleet(t, set, agents)
	f.now = 1e6
	began := f.now
	mean := f.agents[0].classes.latencyMs[1]
	sent := map[Addr][]float64{}
	f.onAction = func(i int, a *Action) {
		if a.Kind == ActionForward {
			sent[a.Server] = append(sent[a.Server], f.now)
			f.schedule(mean, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: OK, LatencyMs: mean, Final: true})
		}
	}
	entries := readyEndpoints(servers)
	for k := range entries {
		entries[k].StartedMs = began
	}
	for i := range agents {
		f.start(i, entries)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	for i, at := 0, 0.0; at < 6000; i, at = i+1, at+rng.ExpFloat64()*1000/perS {
		f.schedule(at, rng.IntN(agents), Event{Kind: EventRequest, Request: RequestID(i + 1), Class: 1, Key: rng.Uint64(), RemainingMs: 600})
	}
	f.runUntil(began + 7000)
	worst, total := 0.0, 0
	for _, times := range sent {
		total += len(times)
		for i, from := range times {
			n, _ := slices.BinarySearch(times[i:], from+1000)
			k := 0.31 + 0.69*(from-began)/8600
			worst = max(worst, float64(n)/(2.5*k*1000/mean))
		}
	}
	t.Logf("%d of %.0f sent, to %d servers; the maximum in any second was %.2f of what a core can handle",
		total, perS*6, len(sent), worst)
	if len(sent) < servers || worst > 1 {
		t.Errorf("%d of %d servers used; the maximum in any second was %.2f of what a core can handle",
			len(sent), servers, worst)
	}
}
