package policy

import "testing"

// If the objective has a term for the worst class, the class with the lowest priority weight must not be
// starved.
func TestWorstClassHasAHigherPriority(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Total: 0.5, WorstClass: 0.5}
	r := newHarness(t, set, 2)
	once, free := &request{class: 1, objectiveAt: r.now + 500}, &request{class: 0, objectiveAt: r.now + 500}
	for range 500 { // all requests of class 1 are served, none of class 0
		r.b.classes.countRequest(0, r.b.settings.Classes)
		r.b.classes.countRequest(1, r.b.settings.Classes)
		r.b.classes.inTimeShare[1] += 1 - shareDecay
	}
	with := r.b.priority(free) / r.b.priority(once)
	r.b.classes.worst = 1
	if without := r.b.priority(free) / r.b.priority(once); with <= without {
		t.Errorf("the starved class has priority %.2f, when served well %.2f", with, without)
	}
}

// Late answers, rejections and timeouts indicate overload, in which servers work for clients that have
// disconnected and each rejection causes a retry. Errors do not.
func TestLoadIsShedWhileServersAnswerLate(t *testing.T) {
	for _, c := range []struct {
		end  Status
		rtt  float64
		want bool
	}{{OK, 20, false}, {OK, 500, true}, {Rejected, 1, true}, {Timeout, 600, true}, {Error, 5, false}} {
		set := testSettings()
		set.Limits.MaxAttempts = 1
		r := newHarness(t, set, 6)
		rejected := 0
		for range 200 {
			r.now += 500
			id, actions := r.request(0, r.b.rng.Uint64())
			if a := findAction(actions, ActionForward); a != nil {
				r.now += c.rtt
				r.endAttempt(id, 0, a.Server, c.end, c.rtt)
			} else if findAction(actions, ActionReject) != nil {
				rejected++
			}
		}
		if c.want && (rejected < 100 || rejected > 170) || !c.want && rejected > 0 {
			t.Errorf("all end with %d after %.0f ms: %d of 200 rejected", c.end, c.rtt, rejected)
		}
	}
}

// An agent that sheds most of its requests because its servers were overloaded still sends some, and all of
// them once the servers have recovered: at least one of any 13 requests is sent, even while each request has
// a lower priority than the one before.
func TestSheddingAgentKeepsSendingSomeRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int // class of most requests during the overload
		then   int // class of the requests after it
		ending Status
	}{{"late, one class", 0, 0, OK}, {"late, then another class", 1, 0, OK}, {"late, then a class of higher priority", 0, 1, OK}, {"rejected", 1, 0, Rejected}} {
		set := testSettings()
		set.Limits.MaxAttempts = 1
		set.Objective = Objective{Total: 0.8, WorstWindow: 0.1, WorstClass: 0.1}
		r := newHarness(t, set, 12)
		for i := range 400 { // requests of both classes, all late or rejected
			class := c.before
			if i%5 == 0 {
				class = c.then
			}
			r.now += 500
			id, actions := r.request(class, 0)
			if a := findAction(actions, ActionForward); a != nil {
				r.now += 400
				r.endAttempt(id, 0, a.Server, c.ending, 400)
			} else if findAction(actions, ActionReject) == nil {
				t.Fatalf("%s: neither sent nor rejected", c.name)
			}
		}
		if x := r.b.ShedFraction(); x < 0.7 {
			t.Fatalf("%s: sheds %.2f under overload", c.name, x)
		}
		run, longest, rejected := 0, 0, 0
		for i := range 400 { // the servers have recovered
			r.now += 250
			id, actions := r.request(c.then, 0)
			if a := findAction(actions, ActionForward); a != nil {
				r.now += 20
				r.endAttempt(id, 0, a.Server, OK, 20)
				run = 0
				continue
			}
			run++
			longest = max(longest, run)
			if i >= 300 {
				rejected++
			}
		}
		t.Logf("%s: %d in a row not sent, %d of the last 100, sheds %.2f",
			c.name, longest, rejected, r.b.ShedFraction())
		if longest > 12 {
			t.Errorf("%s: %d in a row not sent to servers that have recovered", c.name, longest)
		}
		if rejected > 0 {
			t.Errorf("%s: %d of 100 rejected 75 s after the overload", c.name, rejected)
		}
	}
}
