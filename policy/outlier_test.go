package policy

import (
	"testing"
)

func TestStateTransitions(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	id, s := r.mustForward(0, 7)
	srv := r.b.byAddr[s]
	if srv.state != Unknown {
		t.Fatalf("a listed server starts in state %d, want Unknown", srv.state)
	}
	r.now += 50
	r.endAttempt(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("served: state %d, want Connected", srv.state)
	}
	id, s2 := r.mustForward(0, 7)
	if s2 != s {
		t.Fatalf("key moved from %v to %v without a cause", s, s2)
	}
	srv.failureRate = 0.5 // more than happens to any
	actions := r.endAttempt(id, 0, s, Error, 5)
	if srv.state != Unhealthy {
		t.Fatalf("error: state %d, want Unhealthy", srv.state)
	}
	if findAction(actions, ActionFetchEndpoints) == nil {
		t.Error("a demotion did not force a refresh of the list")
	}
	if a := findAction(actions, ActionForward); a == nil || a.Server == s {
		t.Errorf("the free request did not go on to another server: %+v", actions)
	}
	// While it is Unhealthy its key goes elsewhere; after its hold the next
	// request makes it pending, and a served answer Connected.
	if _, s3 := r.mustForward(0, 7); s3 == s {
		t.Error("an Unhealthy server was chosen before the better tier")
	}
	r.now += r.b.ejectionTime(srv) + 1
	id, s4 := r.mustForward(0, 7)
	if srv.state != UnhealthyPending || s4 != s {
		t.Fatalf("after the hold: state %d, sent to %v; want pending and the first send to check it", srv.state, s4)
	}
	r.now += 50
	r.endAttempt(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("validated: state %d, want Connected", srv.state)
	}
}

func TestRejectionEjectsNoServer(t *testing.T) {
	r := newHarness(t, testSettings(), 3)
	id, s := r.mustForward(1, 7)
	actions := r.endAttempt(id, 0, s, Rejected, 1)
	if got := r.b.byAddr[s].state; got == Unhealthy {
		t.Error("full demoted the server")
	}
	if a := findAction(actions, ActionForward); a == nil || a.Server == s {
		t.Errorf("a request that was turned away did not go elsewhere: %+v", actions)
	}
}

// Hung servers stay Connected in the source's scheme; silence demotes them.
func TestHungServerIsEjected(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	for range 200 { // learn what an answer takes
		id, s := r.mustForward(0, uint64(r.b.rng.Int64()))
		r.now += 10
		r.endAttempt(id, 0, s, OK, 10)
	}
	_, s := r.mustForward(0, 9)
	for range 30 {
		if r.tick(10); r.b.byAddr[s].state == Unhealthy {
			return
		}
	}
	t.Error("a server that answers nothing for 300 ms was not demoted")
}

// South's rough days: a server that failed often rests long while others can take
// its requests, but is tried again at once while they are full.
func TestFailingServerIsValidatedSoonerWhileOthersAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newHarness(t, testSettings(), 4)
		bad := r.b.byAddr[addr(0)]
		bad.failureRate = 1
		for range 3 {
			r.b.setState(bad, Connected)
			r.b.eject(bad, false)
		}
		if full {
			for range 40 { // more than the other windows hold
				r.request(0, 0)
			}
		}
		r.now += r.b.minObjectiveMs + 1
		r.request(0, 0)
		if tried := bad.state == UnhealthyPending; tried != full {
			t.Errorf("others full: %v; failing server tried after one aim: %v", full, tried)
		}
	}
}

// A trace of a day on which connections broke and answers came spoilt, one of twelve from
// any server alike: each put its server out for an aim and more, and a quarter of the
// requests was refused for want of servers. Such a failure costs no capacity; more of
// them than happen to others does.
func TestBaselineFailuresEjectNoServer(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	refused, n := 0, 0
	for range 600 {
		r.now += 10
		id, s := r.mustForward(0, uint64(r.b.rng.Int64()))
		status := OK
		if n++; n%12 == 0 {
			status = Reset
		}
		for _, a := range r.endAttempt(id, 0, s, status, 5) {
			switch a.Kind {
			case ActionReject, ActionFail:
				refused++
			case ActionForward:
				r.endAttempt(id, 1, a.Server, OK, 5)
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of 600 refused", refused)
	}
	for _, s := range r.b.servers {
		if s.consecutiveFailures > 2 || !r.b.baselineFailure(s) { // chance may put one out now and then
			t.Errorf("a server that fails as all do has %d strikes", s.consecutiveFailures)
		}
	}
	bad := r.b.servers[0]
	r.b.capacityScarce = false
	for range 4 {
		r.b.recordFailure(bad, 1)
		r.b.setState(bad, Connected)
		r.b.eject(bad, false)
	}
	if r.b.ejectionTime(bad) < r.b.minObjectiveMs {
		t.Error("a server that fails each time is not put out")
	}
}

// A trace of a day on which some connections fell silent: the one attempt that hung kept
// its server out until it ended, although it answered all others.
func TestOneHangingAttemptDoesNotPreventValidation(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	srv := r.b.byAddr[addr(0)]
	hangs, s := r.mustForward(0, 7)
	id, _ := r.mustForward(1, 7) // which does not go again
	r.endAttempt(id, 0, s, Error, 5)
	if srv.state != Unhealthy || r.b.requests[hangs] == nil {
		t.Fatalf("state %d", srv.state)
	}
	r.now += 5
	if _, to := r.mustForward(0, 7); to != s || srv.state != UnhealthyPending {
		t.Errorf("not used again while an attempt hangs: state %d", srv.state)
	}
}
