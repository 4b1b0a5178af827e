package policy

import "testing"

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
		t.Fatalf("key moved from %v to %v without a reason", s, s2)
	}
	srv.failureRate = 0.5 // above the baseline
	actions := r.endAttempt(id, 0, s, Error, 5)
	if srv.state != Unhealthy {
		t.Fatalf("error: state %d, want Unhealthy", srv.state)
	}
	if findAction(actions, ActionFetchEndpoints) == nil {
		t.Error("an ejection did not fetch the endpoint list")
	}
	if a := findAction(actions, ActionForward); a == nil || a.Server == s {
		t.Errorf("the idempotent request was not retried on another server: %+v", actions)
	}
	// While the server is Unhealthy its key goes to another one. After the ejection time the next request
	// makes it UnhealthyPending, and a served attempt Connected.
	if _, s3 := r.mustForward(0, 7); s3 == s {
		t.Error("an Unhealthy server was selected before those of a better tier")
	}
	r.now += r.b.ejectionTime(srv) + 1
	id, s4 := r.mustForward(0, 7)
	if srv.state != UnhealthyPending || s4 != s {
		t.Fatalf("after the ejection time: state %d, sent to %v; want pending and the first request to validate it",
			srv.state, s4)
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
		t.Error("a rejection ejected the server")
	}
	if a := findAction(actions, ActionForward); a == nil || a.Server == s {
		t.Errorf("a rejected request was not retried elsewhere: %+v", actions)
	}
}

// A server that accepts attempts and does not answer is ejected.
func TestHungServerIsEjected(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	for range 200 { // until the answer time is known
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
	t.Error("a server that did not answer for 300 ms was not ejected")
}

// A server that failed often has a long ejection time while others have capacity for its requests, and none
// while they have not.
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
			for range 40 { // more than the limits of the others permit
				r.request(0, 0)
			}
		}
		r.now += r.b.minObjectiveMs + 1
		r.request(0, 0)
		if validated := bad.state == UnhealthyPending; validated != full {
			t.Errorf("others full: %v; failing server validated after one latency objective: %v", full, validated)
		}
	}
}

// Failures at the same rate on all servers, here one of twelve attempts, must not reduce capacity: no request
// may be rejected because servers are ejected. A server that fails more often than the others is ejected.
func TestBaselineFailuresEjectNoServer(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	rejected, n := 0, 0
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
				rejected++
			case ActionForward:
				r.endAttempt(id, 1, a.Server, OK, 5)
			}
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 600 requests were rejected, want none", rejected)
	}
	for _, s := range r.b.servers {
		if s.ejections > 2 || !r.b.failureRateWithinBaseline(s) { // one may be ejected by chance
			t.Errorf("a server that fails as often as all others has %d counted ejections", s.ejections)
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
		t.Error("a server whose attempts all fail is not ejected")
	}
}

// One hanging attempt must not keep a server ejected that answers the others.
func TestOneHangingAttemptDoesNotPreventValidation(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	srv := r.b.byAddr[addr(0)]
	hangs, s := r.mustForward(0, 7)
	id, _ := r.mustForward(1, 7) // not retried
	r.endAttempt(id, 0, s, Error, 5)
	if srv.state != Unhealthy || r.b.requests[hangs] == nil {
		t.Fatalf("the server has state %d, or the hanging request was dropped", srv.state)
	}
	r.now += 5
	if _, to := r.mustForward(0, 7); to != s || srv.state != UnhealthyPending {
		t.Errorf("not used while an attempt hangs: state %d", srv.state)
	}
}
