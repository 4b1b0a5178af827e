package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// A request with an idempotency key that may have run is retried only within the dedup window and scope
// that applied when it was first sent.
func TestRetryByKeyStaysInWindowAndScope(t *testing.T) {
	far := listedBackend("s-2")
	far.Zone, far.Cell = "west", 2
	moved := listedBackend("s-1") // the id of the first server, now in another zone and cell
	moved.Zone, moved.Cell = "west", 2
	for name, c := range map[string]struct {
		scope  policy.DedupScope
		effect policy.Effect
		mayRun int
		to     membership.Entry
		ago    time.Duration // since the first send; the window is 1 s
		want   bool
	}{
		"within both":                    {policy.ScopeZone, policy.IdempotentByKey, 1, listedBackend("s-3"), 0, true},
		"another zone":                   {policy.ScopeZone, policy.IdempotentByKey, 1, far, 0, false},
		"another cell":                   {policy.ScopeCell, policy.IdempotentByKey, 1, far, 0, false},
		"scope of all servers":           {policy.ScopeAll, policy.IdempotentByKey, 1, far, 0, true},
		"the id in another zone":         {policy.ScopeZone, policy.IdempotentByKey, 1, moved, 0, false},
		"the id in another cell":         {policy.ScopeCell, policy.IdempotentByKey, 1, moved, 0, false},
		"just within the window":         {policy.ScopeAll, policy.IdempotentByKey, 1, listedBackend("s-3"), 900 * time.Millisecond, true},
		"after the window":               {policy.ScopeAll, policy.IdempotentByKey, 1, listedBackend("s-3"), time.Second, false},
		"nothing ran, long ago":          {policy.ScopeZone, policy.IdempotentByKey, 0, far, time.Minute, true},
		"idempotent, anywhere, long ago": {policy.ScopeZone, policy.Idempotent, 1, far, time.Minute, true},
		"non-idempotent":                 {policy.ScopeAll, policy.NonIdempotent, 1, listedBackend("s-3"), 0, false},
	} {
		u := stub{func(context.Context, *Backend, *Call) Result { return Result{Status: policy.Cancelled} }}
		l := newTestLoop(t, u)
		l.endpoints = newEndpointTable([]string{"", "west"}, nil)
		class := &l.cfg.Settings.Classes[1]
		class.DedupScope, class.Effect, class.IdempotencyWindowMs = c.scope, c.effect, 1000
		first := listedBackend("s-1")
		l.endpoints.apply(&membership.List{Entries: []membership.Entry{first}}, false)
		r := &Request{id: 1, call: newCall(u, "1", 1), attempts: []*attempt{{done: true}}, mayHaveRun: c.mayRun}
		r.firstSentAt, r.firstSentTo = time.Now().Add(-c.ago), l.endpoints.endpoint(l.endpoints.byID["s-1"])
		l.requests[1] = r
		l.endpoints.apply(&membership.List{Entries: []membership.Entry{c.to}}, false)
		l.forward(&policy.Action{Kind: policy.ActionForward, Request: 1, Server: l.endpoints.byID[c.to.ID].policyAddr, DurationMs: 1000})
		if sent := r.inFlight; (sent == 1) != c.want || (l.stats.GuardViolations == 0) != c.want {
			t.Errorf("%s: %d attempts sent, %d guard violations", name, sent, l.stats.GuardViolations)
		}
		if to := l.endpoints.endpoint(l.endpoints.byID[c.to.ID]); c.mayRun == 0 && (time.Since(r.firstSentAt) > testTimeout || r.firstSentTo.Zone != to.Zone) {
			t.Errorf("%s: first sent %v ago, to %+v", name, time.Since(r.firstSentAt), r.firstSentTo)
		}
		if repeat := c.mayRun > 0 && c.effect == policy.IdempotentByKey; c.want && r.call.RetryBefore.IsZero() == repeat {
			t.Errorf("%s: RetryBefore is %v", name, r.call.RetryBefore)
		}
	}
}

// The guard blocks invalid attempts and rejections that the balancer orders.
func TestGuardBlocksInvalidDecisions(t *testing.T) {
	up := func() *Backend { return &Backend{addr: "127.0.0.1:1"} }
	unavailable := up()
	unavailable.MarkUnavailable()
	now := time.Now()
	l := newTestLoop(t, stub{})
	for _, test := range []struct {
		name  string
		r     Request
		b     *Backend
		until time.Time
		want  bool
	}{
		{"allowed", Request{}, up(), now.Add(time.Second), true},
		{"unavailable backend", Request{}, unavailable, now.Add(time.Second), false},
		{"unknown backend", Request{}, nil, now.Add(time.Second), false},
		{"one in flight", Request{inFlight: 1}, up(), now.Add(time.Second), false},
		{"answered", Request{answered: true}, up(), now.Add(time.Second), false},
		{"may have run", Request{mayHaveRun: 1}, up(), now.Add(time.Second), false},
		{"fourth attempt", Request{attempts: make([]*attempt, 4)}, up(), now.Add(time.Second), false},
		{"no time", Request{}, up(), now, false},
	} {
		test.r.call = &Call{Class: 2}
		if v := l.violation(&test.r, test.b, now, test.until, time.Time{}); (v == NoViolation) != test.want {
			t.Errorf("%s: violation %q", test.name, v)
		}
	}
	// A rejection after an attempt that may have run becomes a failure.
	c := newCall(stub{}, "1", 2)
	l.reject(&Request{id: 1 << 30, call: c, mayHaveRun: 1}, 1, policy.ReasonNone)
	if a := <-c.Answer; a.Outcome != Failed {
		t.Errorf("answered %+v, want a failure", a)
	}
}
