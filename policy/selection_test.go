package policy

import "testing"

func TestUnhealthyServersAreUsedWhenNoOthersAreLeft(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range 2 {
		id, s := r.mustForward(1, 3)
		r.endAttempt(id, 0, s, Error, 5)
	}
	if _, s := r.mustForward(0, 3); s == (Addr{}) {
		t.Error("no request was sent though there were only Unhealthy servers")
	}
}

// Queued requests that wait for the servers nearest their key must not delay requests for which other servers
// have capacity.
func TestRequestsWaitingForAKeyBlockNoOthers(t *testing.T) {
	r := newHarness(t, testSettings(), 6)
	for range 30 {
		r.request(0, 42) // one key: fills its two nearest servers, the other requests are queued
	}
	if len(r.b.queued) == 0 {
		t.Fatal("no request is queued, which the test requires")
	}
	free := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := r.request(0, key); findAction(actions, ActionForward) != nil {
			free++
		}
	}
	if free == 0 {
		t.Error("requests for idle servers were queued behind a popular key")
	}
}

// While attempts are rejected servers have little spare capacity: fewer requests of a burst for one key go to
// the same server, and as many as before once the rejections have ended.
func TestBoundedLoadFallsWithRejections(t *testing.T) {
	burst := func(r *harness) int {
		r.now += 1000
		r.b.goodput.ended, r.b.goodput.earned = 10, 10 // nothing is shed
		n := map[Addr]int{}
		var ids []RequestID
		var at []Addr
		for range 12 {
			for _, s := range r.b.servers {
				s.limit.Reset(100) // only the bounded load is to limit it
			}
			id, actions := r.request(0, 7)
			if a := findAction(actions, ActionForward); a != nil {
				n[a.Server]++
				ids, at = append(ids, id), append(at, a.Server)
			}
		}
		most := 0
		for _, k := range n {
			most = max(most, k)
		}
		for i := range ids {
			r.endAttempt(ids[i], 0, at[i], OK, 20)
		}
		return most
	}
	r := newHarness(t, testSettings(), 6)
	before := burst(r)
	for range 300 { // half of the attempts are rejected, as each is retried
		r.now += 10
		id, actions := r.request(0, r.b.rng.Uint64())
		for n, st := range []Status{Rejected, OK} {
			if a := findAction(actions, ActionForward); a != nil {
				actions = r.endAttempt(id, n, a.Server, st, 1)
			}
		}
		r.do(Event{Kind: EventClientDisconnected, Request: id})
	}
	rejecting := burst(r)
	for range 3000 {
		r.now += 10
		id, actions := r.request(0, r.b.rng.Uint64())
		if a := findAction(actions, ActionForward); a != nil {
			r.endAttempt(id, 0, a.Server, OK, 20)
		}
		r.do(Event{Kind: EventClientDisconnected, Request: id})
	}
	if again := burst(r); rejecting >= before || again < before {
		t.Errorf("on one server at most %d of 12 before, %d while attempts are rejected, %d after",
			before, rejecting, again)
	}
}

// Before a request is rejected it may go to any idle server, even if its key is nearer to others, but not to
// one that reports that it is busy.
func TestIdleServerTakesRequestsOfFullServers(t *testing.T) {
	for _, util := range []float32{0.3, 0.99} {
		set := testSettings()
		set.Report.Names = []string{"util"}
		r := newHarness(t, set, 6)
		_, home := r.mustForward(0, 7)
		r.b.byAddr[home].limit.Reset(1) // the two nearest have no capacity
		r.mustForward(0, 7)
		for _, s := range r.b.servers {
			s.loadReport.Update(r.now, r.b.reportFields, []float32{util})
			if len(s.inflight) > 0 {
				s.limit.Reset(1)
			}
		}
		id, actions := r.request(0, 7)
		if findAction(actions, ActionForward) != nil {
			t.Fatal("the nearest servers still have capacity, which the test excludes")
		}
		var to *Action
		ended := false
		for i := 0; i < 60 && to == nil && !ended; i++ {
			for _, a := range r.tick(5) {
				if a.Request == id && a.Kind == ActionForward {
					to = &a
				}
				ended = ended || a.Request == id && a.Kind == ActionReject
			}
			r.b.queueTimeout.QueueLength(r.now-1e6, 0) // the queue is standing
			for range 3000 {
				r.b.queueTimeout.RequestEnded(false)
			}
			r.b.fleet.baselineLatency = 0.02
		}
		if util < 0.9 && to == nil {
			t.Error("rejected although servers were idle")
		}
		if util > 0.9 && to != nil {
			t.Error("sent to a server that reports that it is busy")
		}
	}
}

func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	r.updateEndpoints(UpdateDelta, Endpoint{Server: addr(0), Health: Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustForward(0, key+1)
		if s == addr(0) {
			t.Fatal("sent to a draining server")
		}
		r.endAttempt(id, 0, s, OK, 20)
	}
	r.updateEndpoints(UpdateComplete, Endpoint{Server: addr(0), Health: Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustForward(0, key+1)
		if s == addr(1) {
			t.Fatal("sent to a server that was removed")
		}
		r.endAttempt(id, 0, s, OK, 20)
	}
}

// Requests that arrive before the first endpoint list are queued. One with a key used to panic the balancer.
func TestRequestsBeforeTheFirstEndpointListAreQueued(t *testing.T) {
	for _, key := range []uint64{0, 42} {
		balancer, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		balancer.Start(0, nil)
		event := Event{Kind: EventRequest, Request: 1, Key: key, RemainingMs: 1000}
		if a := findAction(balancer.Handle(1, &event, nil), ActionForward); a != nil {
			t.Errorf("key %d: forwarded to %v though no server is known", key, a.Server)
		}
		if len(balancer.queued) != 1 {
			t.Errorf("key %d: %d requests queued, want 1", key, len(balancer.queued))
		}
		update := Event{Kind: EventEndpointUpdate, Update: UpdateCached,
			Endpoints: []Endpoint{{Server: addr(0), Health: Ready, Weight: 1}}}
		if findAction(balancer.Handle(2, &update, nil), ActionForward) == nil {
			t.Errorf("key %d: not forwarded once a server is known", key)
		}
	}
}
