package policy

import (
	"math"
	"testing"
)

// The latency objective of a client's retry runs from its first attempt.
func TestRetryKeepsTheObjectiveOfItsFirstAttempt(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	id, s := r.mustForward(0, 5)
	r.now += 200
	r.do(Event{Kind: EventClientDisconnected, Request: id})
	r.endAttempt(id, 0, s, Cancelled, 200)
	r.id++
	r.do(Event{Kind: EventRequest, Request: r.id, Class: 0, Key: 5, RemainingMs: 600, Retry: true})
	if q := r.b.requests[r.id]; q == nil || q.objectiveAt-r.now > 101 {
		t.Error("the latency objective of a retry started anew")
	}
}

// Once the client has received a part of a response, its request is neither sent again nor answered
// otherwise.
func TestStartedResponseIsNeitherRetriedNorAnswered(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streamed = true
	r := newHarness(t, set, 4)
	id, s := r.mustForward(0, 3)
	r.now += 30
	r.do(Event{Kind: EventResponseStarted, Request: id, Attempt: 0, Server: s, LatencyMs: 30})
	for range 200 {
		for _, a := range r.tick(10) {
			if a.Request == id && a.Kind != ActionTimer {
				t.Fatalf("action %+v for a request whose response has started", a)
			}
		}
	}
	actions := r.do(Event{Kind: EventAttemptEnded, Request: id, Attempt: 0, Server: s, Status: Reset, LatencyMs: 2000, Final: true})
	if findAction(actions, ActionForward) != nil || findAction(actions, ActionFail) != nil || len(r.b.requests) != 0 {
		t.Errorf("after a reset stream: actions %+v, %d requests remain, want no retry and none", actions, len(r.b.requests))
	}
}

// While a streamed body is being sent its attempt does not count as load of its server, and a server that
// does not answer is not failing; the time of the request runs from the last byte.
func TestStreamedBodyIsNoLoadUntilItIsSent(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	r.id++
	id := r.id
	out := r.do(Event{Kind: EventRequest, Request: id, Class: 1, RemainingMs: 600, StreamedBody: true})
	if findAction(out, ActionForward) == nil {
		t.Fatal("the request was not sent")
	}
	s := r.b.byAddr[addr(0)]
	for range 100 { // 10 s, with other requests on the server
		r.now += 100
		r.do(Event{Kind: EventTimer, Token: tickTimerToken})
		other, out := r.request(1, 0)
		if findAction(out, ActionForward) == nil {
			t.Fatal("the server has no capacity")
		}
		r.endAttempt(other, 0, addr(0), OK, 20)
	}
	if s.state != Connected || len(s.inflight) != 0 || r.b.inflight != 0 {
		t.Errorf("state %v, %d attempts in flight on the server, %d in total", s.state, len(s.inflight), r.b.inflight)
	}
	r.do(Event{Kind: EventBodyWritten, Request: id, Attempt: 0, RemainingMs: 600})
	q := r.b.requests[id]
	if len(s.inflight) != 1 || r.b.inflight != 1 || q.deadline < r.now+590 || q.deadline > r.now+600 || q.objectiveAt != r.now+300 {
		t.Errorf("after the body was written: %d in flight, deadline in %v, objective in %v",
			len(s.inflight), q.deadline-r.now, q.objectiveAt-r.now)
	}
	r.do(Event{Kind: EventBodyWritten, Request: id, Attempt: 0, RemainingMs: 600}) // a second time
	r.endAttempt(id, 0, addr(0), OK, 20)
	if len(s.inflight) != 0 || r.b.inflight != 0 || len(r.b.requests) != 0 {
		t.Errorf("after the answer: %d attempts in flight on the server, %d in total, %d requests", len(s.inflight), r.b.inflight, len(r.b.requests))
	}
	// An attempt that ends before its body is sent must not be subtracted from the load.
	r.id++
	id = r.id
	r.do(Event{Kind: EventRequest, Request: id, Class: 1, RemainingMs: 600, StreamedBody: true})
	r.do(Event{Kind: EventAttemptEnded, Request: id, Attempt: 0, Server: addr(0), Status: NotStarted, Final: true})
	if len(s.inflight) != 0 || r.b.inflight != 0 || len(r.b.requests) != 0 {
		t.Errorf("after an attempt that was not started: %d in flight on the server, %d in total, %d requests",
			len(s.inflight), r.b.inflight, len(r.b.requests))
	}
}

// Invalid numbers have no effect: every request is still sent and answered.
func TestInvalidNumbersHaveNoEffect(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		r := newHarness(t, testSettings(), 3)
		r.updateEndpoints(UpdateComplete, Endpoint{Server: addr(0), Health: Ready, Weight: x, StartedMs: x},
			Endpoint{Server: addr(1), Health: Ready, Weight: 1, StartedMs: -x})
		id, s := r.mustForward(0, 7)
		r.do(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: x, Final: true})
		r.do(Event{Kind: EventRequest, Request: 99, RemainingMs: x, WorkHintMs: x, HasWorkHint: true, Attempt: -1})
		r.do(Event{Kind: EventAttemptEnded, Request: 99, Attempt: -1, Server: s, Status: OK})
		for _, srv := range r.b.servers {
			if w := r.b.score(&request{hashKey: 3}, srv); math.IsNaN(w) || math.IsNaN(srv.latency) || srv.startedAt > r.now {
				t.Errorf("%v: server %v has score %v, time %v, start %v",
					x, srv.addr, w, srv.latency, srv.startedAt)
			}
		}
	}
}
