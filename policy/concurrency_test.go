package policy

import (
	"math"
	"testing"
)

// A single agent may get fast answers first. Slower answers after that must not count as overload permanently
// while it has one attempt at a time in flight on each server.
func TestBaselineRisesForASingleAgent(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.Replicas = agents
		r := newHarness(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, s := r.mustForward(0, uint64(r.b.rng.Int64()))
			r.now += rtt
			r.endAttempt(id, 0, s, OK, rtt)
		}
		if grown := r.b.fleet.baselineLatency > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the objective, one at a time, the baseline is %.3f",
				agents, r.b.fleet.baselineLatency)
		}
	}
}

// With few agents each sees most of a server's load: a server that answers well within the objective is not
// overloaded, however low the baseline. Servers in slow start are slow before they are overloaded.
func TestLatencyLimitFallsWithTheNumberOfAgents(t *testing.T) {
	limit := func(agents int, baseline float64) float64 {
		set := testSettings()
		set.Replicas = agents
		r := newHarness(t, set, 1)
		r.b.fleet.baselineLatency = baseline
		return r.b.latencyLimit(r.b.byAddr[addr(0)])
	}
	if one, many := limit(1, 0.01), limit(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("lowest limits: %.2f for one agent, want about a third; %.2f for twenty, want at most 0.1",
			one, many)
	}
	if l := limit(1, 0.9); l != maxLatencyFraction {
		t.Errorf("limit %.2f with a high baseline, want %.2f", l, maxLatencyFraction)
	}
	r := newHarness(t, testSettings(), 1)
	r.updateEndpoints(UpdateDelta, Endpoint{Server: addr(1), Health: Ready, Weight: 1, StartedMs: r.now})
	r.b.fleet.baselineLatency = 0.2
	if starting, established := r.b.latencyLimit(r.b.byAddr[addr(1)]), r.b.latencyLimit(r.b.byAddr[addr(0)]); starting < 2*established {
		t.Errorf("limit %.2f in slow start, %.2f after it", starting, established)
	}
}

// Agents may be restarted while the servers are overloaded.
func TestOverloadAtStartDoesNotSetTheBaseline(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	for range baselineAnswers {
		id, s := r.mustForward(0, uint64(r.b.rng.Int64()))
		r.now += 270
		r.endAttempt(id, 0, s, OK, 270)
	}
	if r.b.fleet.baselineLatency > maxLatencyFraction/2 {
		t.Errorf("answers in 0.9 of the objective became the baseline: %.2f", r.b.fleet.baselineLatency)
	}
}

func TestLimitOfAnOverloadedServerDecreases(t *testing.T) {
	set := testSettings()
	set.Replicas = 20 // each sees a small part of the load
	r := newHarness(t, set, 1)
	srv := r.b.servers[0]
	for range 300 { // until the baseline is known
		id, s := r.mustForward(0, 1)
		r.now += 20
		r.endAttempt(id, 0, s, OK, 20)
	}
	grown := srv.limit.Size()
	for range 200 {
		if id, actions := r.request(0, 1); findAction(actions, ActionForward) != nil {
			r.now += 140
			r.endAttempt(id, 0, srv.addr, OK, 140)
		}
		r.now += 10
	}
	if srv.limit.Size() >= grown {
		t.Errorf("answers took seven times as long and the limit went from %.2f to %.2f",
			grown, srv.limit.Size())
	}
	// With many agents one attempt from each is enough to keep a server overloaded.
	if srv.limit.Size() >= 1 {
		t.Errorf("the limit of an overloaded server did not fall below one attempt: %.2f", srv.limit.Size())
	}
}

// Limits that were increased before the baseline is known would overload the servers, and the overload would
// become the baseline.
func TestLimitsDoNotGrowBeforeTheBaselineIsKnown(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range baselineAnswers - 1 {
		id, s := r.mustForward(0, r.b.rng.Uint64())
		r.now += 20
		r.endAttempt(id, 0, s, OK, 20)
		if w := r.b.byAddr[s].limit.Size(); w > initialLimit {
			t.Fatalf("limit %.2f after %.0f answers", w, r.b.fleet.answers)
		}
	}
	var ids []RequestID
	var tos []Addr
	for range 40 {
		ids, tos = ids[:0], tos[:0]
		for range 3 {
			if id, actions := r.request(0, r.b.rng.Uint64()); findAction(actions, ActionForward) != nil {
				ids, tos = append(ids, id), append(tos, findAction(actions, ActionForward).Server)
			}
		}
		r.now += 20
		for i := range ids {
			r.endAttempt(ids[i], 0, tos[i], OK, 20)
		}
	}
	if w := max(r.b.servers[0].limit.Size(), r.b.servers[1].limit.Size()); w <= initialLimit {
		t.Errorf("no limit was increased once the baseline was known: %.2f", w)
	}
}

// An agent that sends a server two requests a minute cannot adjust its limit. Instead, a server that rejected
// an attempt, answered late or reports far more than the mean load is deprioritized for about as long as one
// request to each server takes, unless that applies to most of its tier.
func TestOverloadedServerIsDeprioritized(t *testing.T) {
	for _, c := range []struct {
		cause   string
		skipped bool
	}{{"none", false}, {"rejected", true}, {"late", true}, {"reported", true}, {"all", false}} {
		set := testSettings()
		set.Report = ReportFormat{Delivery: "inline", Names: []string{"eps", "inflight"}}
		r := newHarness(t, set, 6)
		for range 40 {
			r.now += 500
			id, s := r.mustForward(0, r.b.rng.Uint64())
			r.do(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: 20, Final: true,
				Report: []float32{0, 2}})
		}
		id, s := r.mustForward(0, 7)
		ev := Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: 20, Final: true}
		switch c.cause {
		case "rejected":
			ev.Status, ev.Final = Rejected, false
		case "late":
			ev.LatencyMs = 400
		case "reported":
			ev.Report = []float32{0, 40}
		case "all":
			ev.LatencyMs = 400
			for i := range 6 {
				r.b.byAddr[addr(i)].deprioritizedUntil = r.now + 5000
			}
		}
		r.now += ev.LatencyMs
		r.do(ev)
		r.b.byAddr[s].limit.Reset(9)
		if _, again := r.mustForward(0, 7); (again != s) != c.skipped {
			t.Errorf("%s: the key's next request went to %v after %v", c.cause, again, s)
		}
	}
}

// A server with few slots rejects attempts while it answers in time what it has accepted. An agent that sends
// the next attempt soon adjusts its limit, and the keys stay where they are cached.
func TestRejectingServerKeepsItsKeysForABusyAgent(t *testing.T) {
	r := newHarness(t, testSettings(), 6)
	for range 100 {
		r.now += 5
		id, s := r.mustForward(0, r.b.rng.Uint64())
		r.endAttempt(id, 0, s, OK, 20)
	}
	id, s := r.mustForward(0, 7)
	r.now++
	r.do(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: Rejected, LatencyMs: 1})
	r.b.byAddr[s].limit.Reset(9)
	if _, again := r.mustForward(0, 7); again != s {
		t.Errorf("the key's next request went to %v after %v", again, s)
	}
}

// Invalid load reports do not count as overload.
func TestInvalidReportsAreNoOverload(t *testing.T) {
	set := testSettings()
	set.Report = ReportFormat{Delivery: "inline", Names: []string{"inflight"}}
	r := newHarness(t, set, 3)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, report := range [][]float32{nil, {nan}, {inf}, {-inf}, {-3}} {
		if s := r.b.servers[0]; r.b.overloaded(s, report) || r.b.fleet.reportedLoad != 0 {
			t.Errorf("report %v: counted as overload, or changed the mean to %v", report, r.b.fleet.reportedLoad)
		}
	}
}

// While requests find no capacity a limit tolerates longer answer times, which otherwise decrease it.
func TestLimitsTolerateLongerLatencyWhileCapacityIsScarce(t *testing.T) {
	limitAfter := func(burst int) float64 {
		s := testSettings()
		s.Replicas = 20
		r := newHarness(t, s, 1)
		for range baselineAnswers + 50 { // the baseline is known: a fifth of the objective
			id, _ := r.request(1, 0)
			r.now += 60
			r.endAttempt(id, 0, addr(0), OK, 60)
		}
		srv := r.b.byAddr[addr(0)]
		srv.limit.Reset(4)
		var out []RequestID
		for range burst {
			id, actions := r.request(1, 0)
			if findAction(actions, ActionForward) != nil {
				out = append(out, id)
			}
		}
		for range 12 { // answers at 0.38 of the objective: 1.9 times the baseline
			if len(out) == 0 {
				break
			}
			id := out[0]
			out = out[1:]
			r.now += 115
			actions := r.endAttempt(id, 0, addr(0), OK, 115)
			for _, a := range actions {
				if a.Kind == ActionForward {
					out = append(out, a.Request)
				}
			}
			next, actions := r.request(1, 0)
			if a := findAction(actions, ActionForward); a != nil && a.Request == next {
				out = append(out, next)
			}
		}
		return srv.limit.Size()
	}
	if plenty, scarce := limitAfter(1), limitAfter(40); plenty >= 4 || scarce < plenty+0.5 {
		t.Errorf("limits from 4: %.2f with capacity, %.2f without", plenty, scarce)
	}
}
