package policy

import (
	"math"
	"testing"
)

// Requests without a key that come one after the other stay with few servers, so that connections are used again; the
// agents' servers are others, and each agent's few are as many as it has requests out at once.
func TestKeylessRequestsStayWithFewServers(t *testing.T) {
	const agents, servers = 8, 64
	homes := map[Addr]int{}
	for agent := range agents {
		s := testSettings()
		s.ReplicaIndex, s.Replicas = agent, agents
		r := newRig(t, s, servers)
		used := map[Addr]bool{}
		for range 100 {
			id, to := r.sent(0, 0)
			used[to] = true
			r.now += 40
			r.outcome(id, 0, to, OK, 40)
		}
		for to := range used {
			homes[to]++
		}
		if len(used) > 4 {
			t.Errorf("agent %d: 100 requests, one at a time, went to %d of %d servers", agent, len(used), servers)
		}
	}
	for to, n := range homes {
		if n > 2 {
			t.Errorf("%d of %d agents begin at %v", n, agents, to)
		}
	}
}

// An agent whose answers take longer, wherever they come from, has fewer requests without a key out, though no server
// of its own has shown a crowd; once they are quick again it has more. Requests with a key do not wait for that.
func TestACrowdEverywhereLeavesFewerKeylessRequestsOut(t *testing.T) {
	r := newRig(t, testSettings(), 64)
	type out struct {
		id RequestID
		to Addr
	}
	var outs []out
	steady := func(answers int, rtt float64) int { // as many as may be are out, up to 40, and are answered in turn
		for range answers {
			for len(outs) < 40 {
				id, actions := r.ask(0, 0)
				a := find(actions, ActionForward)
				if a == nil {
					r.do(Event{Kind: EventClientDisconnected, Request: id})
					break
				}
				outs = append(outs, out{id, a.Server})
			}
			r.now += rtt / float64(len(outs))
			r.outcome(outs[0].id, 0, outs[0].to, OK, rtt)
			outs = outs[1:]
		}
		return len(outs) + 1
	}
	calm := steady(200, 30)
	if calm < 30 {
		t.Fatalf("%d out while all is calm", calm)
	}
	crowded := steady(300, 120)
	if crowded > calm/2 {
		t.Errorf("%d out in a crowd, %d before", crowded, calm)
	}
	if _, actions := r.ask(0, 99); find(actions, ActionForward) == nil {
		t.Error("a request with a key waits")
	}
	if again := steady(1000, 30); again < 2*crowded || math.IsInf(r.b.keyless.max, 1) {
		t.Errorf("%d out when all is calm again, %d in the crowd", again, crowded)
	}
}
