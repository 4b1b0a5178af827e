package policy

import (
	"math"
	"testing"
)

func TestRequestWithoutServersIsRejectedInTime(t *testing.T) {
	r := newHarness(t, testSettings(), 0)
	id, actions := r.request(1, 1)
	for range 130 {
		if a := findAction(actions, ActionReject); a != nil {
			if a.Request != id {
				t.Fatalf("rejected %d, want %d", a.Request, id)
			}
			return
		}
		actions = r.tick(10)
	}
	t.Error("a request without servers was never answered")
}

// A request that was never sent is rejected before half of its time is over: for the client a longer wait is
// worse than a rejection. One that reached a server may wait longer.
func TestUnsentRequestEndsBeforeHalfOfItsTime(t *testing.T) {
	for _, reached := range []bool{false, true} {
		set := testSettings()
		// So that the queue timeout is later.
		set.Classes[0].LateCredit, set.Classes[0].LatencyObjectiveMs = 0.5, 1000
		r := newHarness(t, set, 1)
		srv := r.b.byAddr[addr(0)]
		srv.limit.Reset(1)
		if reached {
			id, s := r.mustForward(0, 7)
			r.endAttempt(id, 0, s, Rejected, 1)
		}
		srv.usable = false // no capacity at all
		id, actions := r.request(0, 7)
		if findAction(actions, ActionForward) != nil {
			t.Fatal("sent to a server that is not usable")
		}
		q := r.b.requests[id]
		q.reachedServer = reached
		half := (q.deadline - q.arrived) / 2
		ended := math.Inf(1)
		for from := r.now; r.now < q.deadline && math.IsInf(ended, 1); {
			for _, a := range r.tick(5) {
				if a.Request == id && (a.Kind == ActionReject || a.Kind == ActionFail) {
					ended = r.now - from
				}
			}
		}
		if (ended < half) == reached {
			t.Errorf("reached a server: %v; ended after %v ms of %v", reached, ended, 2*half)
		}
	}
}

// A queue that was empty since the last event is not a standing queue when a request joins it, even one whose
// attempt was rejected: the request may wait as long as in a burst.
func TestQueueIsNotStandingAfterAnIdleTime(t *testing.T) {
	set := testSettings()
	set.Classes[1] = Class{Name: "slow", LatencyObjectiveMs: 1200, ClientTimeoutMs: 5000, Effect: Idempotent, PriorityWeight: 1}
	r := newHarness(t, set, 2)
	const id = 1
	a := findAction(r.do(Event{Kind: EventRequest, Request: id, Class: 1, RemainingMs: 5000}), ActionForward)
	if a == nil {
		t.Fatal("the request was not sent")
	}
	s, other := a.Server, addr(1)
	if s == other {
		other = addr(0)
	}
	// No other server can take the attempt.
	r.updateEndpoints(UpdateDelta, Endpoint{Server: other, Health: Ready, Weight: 1, Cordoned: true})
	r.b.fleet.baselineLatency = 0.05
	for range 5000 {
		// Nearly all are rejected, so the timeout of a standing queue is 180 ms.
		r.b.queueTimeout.RequestEnded(false)
	}
	r.now += 400 // longer than the lowest objective, after which a queue counts as standing
	if findAction(r.endAttempt(id, 0, s, Rejected, 400), ActionReject) != nil || len(r.b.queued) != 1 {
		t.Fatalf("%d queued after a rejection", len(r.b.queued))
	}
	if findAction(r.tick(10), ActionReject) != nil {
		t.Error("rejected after 410 ms: the queue counted as standing since the last event")
	}
	if findAction(r.tick(80), ActionReject) == nil {
		t.Error("still queued after 490 ms, want at most 480")
	}
}

// Of requests with otherwise equal priority the one whose key was sent recently is sent first.
func TestRecentKeysAreSentFirst(t *testing.T) {
	set := testSettings()
	set.ServerInfo.CacheKeys, set.Objective.Total = true, 1
	r := newHarness(t, set, 1)
	s := r.b.servers[0]
	s.limit.Reset(1)
	_, to := r.mustForward(0, 5)
	other, _ := r.request(0, 6)
	r.now++
	recent, _ := r.request(0, 5)
	r.now++
	newest, _ := r.request(0, 8)
	r.now += 20
	out := r.endAttempt(1, 0, to, OK, 20)
	if a := findAction(out, ActionForward); a == nil || a.Request != recent {
		t.Errorf("sent %+v, want %d, not %d or %d", a, recent, other, newest)
	}
}
