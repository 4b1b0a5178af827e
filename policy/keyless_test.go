package policy

import (
	"math"
	"slices"
	"testing"
)

// Sequential requests without a key stay on few servers, so that connections are reused. An agent uses about
// as many servers as it has requests in flight at once, and each agent uses different ones.
func TestKeylessRequestsStayOnFewServers(t *testing.T) {
	const agents, servers = 8, 64
	startedAt := map[Addr]int{}
	for agent := range agents {
		s := testSettings()
		s.ReplicaIndex, s.Replicas = agent, agents
		r := newHarness(t, s, servers)
		used := map[Addr]bool{}
		for range 100 {
			id, to := r.mustForward(0, 0)
			used[to] = true
			r.now += 40
			r.endAttempt(id, 0, to, OK, 40)
		}
		for to := range used {
			startedAt[to]++
		}
		if len(used) > 4 {
			t.Errorf("agent %d: 100 requests, one at a time, went to %d of %d servers",
				agent, len(used), servers)
		}
	}
	for to, n := range startedAt {
		if n > 2 {
			t.Errorf("%d of %d agents start at %v", n, agents, to)
		}
	}
}

// An agent has fewer requests without a key in flight while answers from all servers take longer, though no
// single server shows an overload, and more again once answers are fast. Requests with a key are not limited.
func TestKeylessLimitFallsUnderOverload(t *testing.T) {
	r := newHarness(t, testSettings(), 64)
	type out struct {
		id RequestID
		to Addr
	}
	var inflight []out
	// sustain keeps as many requests in flight as permitted, up to 40, and answers them in order.
	sustain := func(answers int, rtt float64) int {
		for range answers {
			for len(inflight) < 40 {
				id, actions := r.request(0, 0)
				a := findAction(actions, ActionForward)
				if a == nil {
					r.do(Event{Kind: EventClientDisconnected, Request: id})
					break
				}
				inflight = append(inflight, out{id, a.Server})
			}
			r.now += rtt / float64(len(inflight))
			r.endAttempt(inflight[0].id, 0, inflight[0].to, OK, rtt)
			inflight = inflight[1:]
		}
		return len(inflight) + 1
	}
	before := sustain(200, 30)
	if before < 30 {
		t.Fatalf("%d in flight before the overload", before)
	}
	overloaded := sustain(300, 120)
	if overloaded > before/2 {
		t.Errorf("%d in flight under overload, %d before", overloaded, before)
	}
	if _, actions := r.request(0, 99); findAction(actions, ActionForward) == nil {
		t.Error("a request with a key waits")
	}
	if again := sustain(1000, 30); again < 2*overloaded || math.IsInf(r.b.keyless.max, 1) {
		t.Errorf("%d in flight after the overload, %d under it", again, overloaded)
	}
}

// Requests that hang in overloaded servers fill the keyless limit until their deadlines. Even so, one more is
// sent per latency objective, or fewer with many agents and few servers, which could not handle that many.
func TestHangingRequestsLeaveAKeylessTrickle(t *testing.T) {
	for _, c := range []struct{ agents, servers, least, most int }{{3, 12, 19, 22}, {240, 12, 1, 3}, {294, 164, 19, 22}} {
		set := testSettings()
		set.Replicas = c.agents
		for i := range set.Classes {
			set.Classes[i].ClientTimeoutMs = 20_000
		}
		r := newHarness(t, set, c.servers)
		send := func() bool {
			r.id++
			return findAction(r.do(Event{Kind: EventRequest, Request: r.id, RemainingMs: 20_000}), ActionForward) != nil
		}
		r.b.keyless.max = 3
		for range 3 {
			if !send() {
				t.Fatal("a limit of three does not admit three")
			}
		}
		sent, last, longest := 0, r.now, 0.0
		for range 6000 / 50 { // 20 latency objectives in which nothing is answered
			r.now += 50
			if send() {
				sent, last = sent+1, r.now
			}
			longest = max(longest, r.now-last)
			for _, h := range slices.Clone(r.b.queued) { // drop the requests that were not sent
				r.do(Event{Kind: EventClientDisconnected, Request: h.id})
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%d agents, %d servers: %d sent in 20 objectives, want %d to %d; none for %.0f ms",
				c.agents, c.servers, sent, c.least, c.most, longest)
		}
	}
}
