package policy

import (
	"slices"
	"testing"
)

// An agent that refuses most of what it gets, as its servers were crowded, goes on trying them, and comes back once they
// are calm: in any dozen and one requests one is sent, and of those that come later all are. Bergen calm+mass: 198 of
// 294 agents sent nothing for 4 s on end, as each request was worth a little less than all before it.
func TestAnAgentThatShedsGoesOnTrying(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int // class of what comes while servers are late, and of what comes then
		then   int
		ending Status
	}{{"late, one class", 0, 0, OK}, {"late, then another class", 1, 0, OK}, {"late, then a class worth more", 0, 1, OK}, {"turned away", 1, 0, Rejected}} {
		set := testSettings()
		set.Limits.MaxAttempts = 1
		set.Objective = Objective{Total: 0.8, WorstWindow: 0.1, WorstClass: 0.1}
		r := newRig(t, set, 12)
		for i := range 400 { // both classes are asked for, and all ends badly
			class := c.before
			if i%5 == 0 {
				class = c.then
			}
			r.now += 500
			id, actions := r.ask(class, 0)
			if a := find(actions, ActionForward); a != nil {
				r.now += 400
				r.outcome(id, 0, a.Server, c.ending, 400)
			} else if find(actions, ActionReject) == nil {
				t.Fatalf("%s: neither sent nor refused", c.name)
			}
		}
		if x := r.b.ShedFraction(); x < 0.7 {
			t.Fatalf("%s: sheds %.2f of a crowd", c.name, x)
		}
		row, longest, shut := 0, 0, 0
		for i := range 400 { // the servers are calm
			r.now += 250
			id, actions := r.ask(c.then, 0)
			if a := find(actions, ActionForward); a != nil {
				r.now += 20
				r.outcome(id, 0, a.Server, OK, 20)
				row = 0
				continue
			}
			row++
			longest = max(longest, row)
			if i >= 300 {
				shut++
			}
		}
		t.Logf("%s: %d in a row not sent, %d of the last 100, sheds %.2f", c.name, longest, shut, r.b.ShedFraction())
		if longest > 12 {
			t.Errorf("%s: %d in a row not sent to calm servers", c.name, longest)
		}
		if shut > 0 {
			t.Errorf("%s: %d of 100 refused 75 s after the crowd", c.name, shut)
		}
	}
}

// Requests that hang in crowded servers hold the window for requests without a key up to their deadlines. One more is
// sent each aim all the same, and no more than that: with many agents before few servers as many as these bear.
func TestRequestsThatHangLeaveATrickle(t *testing.T) {
	for _, c := range []struct{ agents, servers, least, most int }{{3, 12, 19, 22}, {240, 12, 1, 3}, {294, 164, 19, 22}} {
		set := testSettings()
		set.Replicas = c.agents
		for i := range set.Classes {
			set.Classes[i].ClientTimeoutMs = 20_000
		}
		r := newRig(t, set, c.servers)
		ask := func() bool {
			r.id++
			return find(r.do(Event{Kind: EventRequest, Request: r.id, RemainingMs: 20_000}), ActionForward) != nil
		}
		r.b.keyless.max = 3
		for range 3 {
			if !ask() {
				t.Fatal("a window of three has no room for three")
			}
		}
		sent, last, longest := 0, r.now, 0.0
		for range 6000 / 50 { // 20 aims in which nothing is answered
			r.now += 50
			if ask() {
				sent, last = sent+1, r.now
			}
			longest = max(longest, r.now-last)
			for _, h := range slices.Clone(r.b.queued) { // what waits in vain
				r.do(Event{Kind: EventClientDisconnected, Request: h.id})
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%d agents, %d servers: %d sent in 20 aims, want %d to %d; none for %.0f ms", c.agents, c.servers, sent, c.least, c.most, longest)
		}
	}
}
