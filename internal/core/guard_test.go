package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// A keyed request that may have run goes again only while its key is known, and only to the group that drops
// repeats, as both stood when it was first sent, whatever the module wants.
func TestKeyedRepeatsOutsideWindowAndGroupAreStopped(t *testing.T) {
	far := listedBackend("s-2")
	far.Zone, far.Cell = "west", 2
	moved := listedBackend("s-1") // the id of the first server, in another place
	moved.Zone, moved.Cell = "west", 2
	for name, c := range map[string]struct {
		group  policy.DedupScope
		effect policy.Effect
		mayRun int
		to     membership.Entry
		ago    time.Duration // since the first send; the window is 1 s
		want   bool
	}{
		"within both":               {policy.ScopeZone, policy.IdempotentByKey, 1, listedBackend("s-3"), 0, true},
		"another zone":              {policy.ScopeZone, policy.IdempotentByKey, 1, far, 0, false},
		"another cell":              {policy.ScopeCell, policy.IdempotentByKey, 1, far, 0, false},
		"every server drops":        {policy.ScopeAll, policy.IdempotentByKey, 1, far, 0, true},
		"the id in another zone":    {policy.ScopeZone, policy.IdempotentByKey, 1, moved, 0, false},
		"the id in another cell":    {policy.ScopeCell, policy.IdempotentByKey, 1, moved, 0, false},
		"just within the window":    {policy.ScopeAll, policy.IdempotentByKey, 1, listedBackend("s-3"), 900 * time.Millisecond, true},
		"the window is over":        {policy.ScopeAll, policy.IdempotentByKey, 1, listedBackend("s-3"), time.Second, false},
		"nothing ran, long ago":     {policy.ScopeZone, policy.IdempotentByKey, 0, far, time.Minute, true},
		"safe, anywhere, long ago":  {policy.ScopeZone, policy.Idempotent, 1, far, time.Minute, true},
		"unsafe, whatever is known": {policy.ScopeAll, policy.NonIdempotent, 1, listedBackend("s-3"), 0, false},
	} {
		u := stub{func(context.Context, *Backend, *Call) Result { return Result{Status: policy.Cancelled} }}
		l := newTestLoop(t, u)
		l.endpoints = newEndpointTable([]string{"", "west"}, nil)
		class := &l.cfg.Settings.Classes[1]
		class.DedupScope, class.Effect, class.IdempotencyWindowMs = c.group, c.effect, 1000
		first := listedBackend("s-1")
		l.endpoints.apply(&membership.List{Entries: []membership.Entry{first}}, false)
		r := &Request{id: 1, call: newCall(u, "1", 1), attempts: []*attempt{{done: true}}, mayHaveRun: c.mayRun}
		r.firstSentAt, r.firstSentTo = time.Now().Add(-c.ago), l.endpoints.endpoint(l.endpoints.byID["s-1"])
		l.requests[1] = r
		l.endpoints.apply(&membership.List{Entries: []membership.Entry{c.to}}, false)
		l.forward(&policy.Action{Kind: policy.ActionForward, Request: 1, Server: l.endpoints.byID[c.to.ID].name, DurationMs: 1000})
		if sent := r.inFlight; (sent == 1) != c.want || (l.stats.GuardViolations == 0) != c.want {
			t.Errorf("%s: %d sent, %d stopped", name, sent, l.stats.GuardViolations)
		}
		if to := l.endpoints.endpoint(l.endpoints.byID[c.to.ID]); c.mayRun == 0 && (time.Since(r.firstSentAt) > testTimeout || r.firstSentTo.Zone != to.Zone) {
			t.Errorf("%s: first sent %v ago, to %+v", name, time.Since(r.firstSentAt), r.firstSentTo)
		}
		if repeat := c.mayRun > 0 && c.effect == policy.IdempotentByKey; c.want && r.call.RetryBefore.IsZero() == repeat {
			t.Errorf("%s: its upstream is told %v", name, r.call.RetryBefore)
		}
	}
}
