package policy

import "testing"

func TestHealthChecksValidatePendingServers(t *testing.T) {
	set := testSettings()
	set.Limits.HealthChecks = true
	r := newHarness(t, set, 3)
	id, s := r.mustForward(0, 7)
	r.endAttempt(id, 0, s, Error, 5)
	r.now += 2 * r.b.ejectionTime(r.b.byAddr[s])
	_, actions := r.request(0, 7)
	if p := findAction(actions, ActionHealthCheck); p == nil || p.Server != s {
		t.Fatalf("no health check of the pending server: %+v", actions)
	}
	if a := findAction(actions, ActionForward); a == nil || a.Server == s {
		t.Error("a request went to a pending server before its health check")
	}
	r.do(Event{Kind: EventHealthCheckEnded, Server: s, Status: Timeout, LatencyMs: 100})
	if r.b.byAddr[s].state != Unhealthy {
		t.Error("a failed health check did not eject")
	}
	r.now += 10 * r.b.ejectionTime(r.b.byAddr[s])
	r.request(0, 8)
	r.do(Event{Kind: EventHealthCheckEnded, Server: s, Status: OK, LatencyMs: 5})
	if r.b.byAddr[s].state != Connected {
		t.Error("a passed health check did not set Connected")
	}
}

// An overloaded server also rejects health checks, and must not get one for every request.
func TestHealthChecksAreFewerThanRequests(t *testing.T) {
	set := testSettings()
	set.Limits.HealthChecks = true
	r := newHarness(t, set, 6)
	for i := range 4 {
		r.b.eject(r.b.byAddr[addr(i)], true)
	}
	healthChecks := 0
	for range 200 {
		r.now += 50
		id, actions := r.request(0, r.b.rng.Uint64())
		sent := findAction(actions, ActionForward)
		for _, a := range actions {
			if a.Kind == ActionHealthCheck {
				healthChecks++
				r.do(Event{Kind: EventHealthCheckEnded, Server: a.Server, Status: Rejected, LatencyMs: 1})
			}
		}
		if sent != nil {
			r.endAttempt(id, 0, sent.Server, Rejected, 1)
		}
	}
	if healthChecks == 0 || healthChecks > 30 {
		t.Errorf("%d health checks in 200 requests", healthChecks)
	}
}

// A request that must not run twice could not be retried if the server that it is to validate fails again.
func TestNonIdempotentRequestsDoNotValidateServers(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	bad := r.b.byAddr[addr(0)]
	r.b.setState(bad, UnhealthyPending)
	bad.failureRate = 1
	idempotent, nonIdempotent := 0, 0
	for range 200 {
		r.now += 10
		for class, n := range []*int{&idempotent, &nonIdempotent} {
			id, s := r.mustForward(class, uint64(r.b.rng.Int64()))
			if s == bad.addr {
				*n++
			}
			r.endAttempt(id, 0, s, OK, 5)
			r.b.setState(bad, UnhealthyPending)
			bad.failureRate = 1
		}
	}
	if idempotent == 0 || nonIdempotent > 0 {
		t.Errorf("a pending server was validated by %d idempotent and %d other requests; want some and none",
			idempotent, nonIdempotent)
	}
}
