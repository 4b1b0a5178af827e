package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// newSharedConfigLoop returns a loop that is not running and uses a shared configuration, and a channel of
// the calls that its upstream receives.
func newSharedConfigLoop(t *testing.T, rejectOnExpiry bool) (*EventLoop, chan *Call) {
	t.Helper()
	sent := make(chan *Call, 100)
	u := stub{do: func(ctx context.Context, _ *Backend, c *Call) Result {
		sent <- c
		<-ctx.Done()
		return Result{Status: policy.Cancelled}
	}}
	l := newTestLoop(t, u)
	l.cfg.SharedConfig = &SharedConfig{RejectOnExpiry: rejectOnExpiry}
	l.initSharedConfig()
	l.updateEndpoints(&membership.List{Revision: 1, Full: true, Entries: []membership.Entry{listedBackend("s-1"), listedBackend("s-2")}}, policy.UpdateDelta, true)
	return l, sent
}

func (l *EventLoop) submit(t *testing.T, id string, class int) (*Request, *Answer) {
	t.Helper()
	c := newCall(l.upstreams[0], id, class)
	r := l.Submit(c)
	select {
	case a := <-c.Answer:
		return r, &a
	default:
		return r, nil
	}
}

// With RejectOnExpiry an agent rejects requests before its first lease and once its server rules have
// expired. Without it the agent serves by the strictest settings.
func TestRejectsWithoutValidServerRules(t *testing.T) {
	l, sent := newSharedConfigLoop(t, true)
	if _, a := l.submit(t, "1", 0); a == nil || a.Outcome != Rejected || a.RetryAfterMs != 600 {
		t.Fatalf("answer before any lease: %+v, want a rejection", a)
	}
	now := time.Now()
	l.AdoptConfig(2, &sharedconfig.Config{}, now.Add(time.Hour), now.Add(2*time.Hour))
	if _, a := l.submit(t, "2", 0); a != nil {
		t.Fatalf("answer with a lease: %+v, want none yet", a)
	}
	<-sent
	l.RenewLease(now.Add(-2*time.Second), now.Add(-time.Second))
	if _, a := l.submit(t, "3", 0); a == nil || a.Outcome != Rejected {
		t.Fatalf("the server rules have expired: %+v", a)
	}
	l, sent = newSharedConfigLoop(t, false)
	if _, a := l.submit(t, "1", 0); a != nil {
		t.Fatalf("answer without RejectOnExpiry: %+v, want none yet", a)
	}
	<-sent
	if l.cfg.Settings.Limits.MaxAttempts != 1 || l.cfg.Settings.Classes[0].Effect != policy.NonIdempotent {
		t.Errorf("the settings in use are %+v", l.cfg.Settings)
	}
}

// Once the lease has expired nothing is retried, even before the balancer is notified of it. A new lease
// permits retries again.
func TestNoRetryAfterLeaseExpiry(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		want int
	}{{time.Hour, 1}, {-time.Millisecond, 0}} {
		l, sent := newSharedConfigLoop(t, true)
		l.AdoptConfig(2, &sharedconfig.Config{}, time.Now().Add(time.Hour), time.Now().Add(2*time.Hour))
		r, _ := l.submit(t, "1", 0)
		<-sent
		r.attempts[0].done = true // it may have run, and attemptEnded is not called yet
		r.inFlight = 0
		l.RenewLease(time.Now().Add(c.left), time.Now().Add(time.Hour))
		l.forward(&policy.Action{Kind: policy.ActionForward, Request: r.id, Server: l.endpoints.byID["s-1"].policyAddr, DurationMs: 1000})
		if r.inFlight != c.want || l.stats.GuardViolations != 1-c.want {
			t.Errorf("%v of the lease left: %d retries, %d guard violations", c.left, r.inFlight, l.stats.GuardViolations)
		}
		if c.want == 1 {
			if c := <-sent; c.RetryBefore.IsZero() {
				t.Error("RetryBefore is not set")
			}
		}
	}
	l, _ := newSharedConfigLoop(t, true)
	l.AdoptConfig(2, &sharedconfig.Config{}, time.Now().Add(-time.Millisecond), time.Now().Add(time.Hour))
	l.leaseExpired()
	if f, _ := l.SharedConfigStats(); !f.Strict || f.Expirations != 1 || l.cfg.Settings.Limits.MaxAttempts != 1 {
		t.Errorf("after the lease expired: stats %+v, or retries are still permitted", f)
	}
	l.RenewLease(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	if f, _ := l.SharedConfigStats(); f.Strict || l.cfg.Settings.Limits.MaxAttempts != 3 || l.cfg.Settings.Classes[1].Effect != policy.IdempotentByKey {
		t.Errorf("with a new lease: stats %+v, settings %+v", f, l.cfg.Settings)
	}
}

// An open request is subject to the narrowest rules that applied since it was submitted. A retry that has
// not started to write when the rules change is superseded.
func TestOpenRequestsKeepNarrowestRules(t *testing.T) {
	l, sent := newSharedConfigLoop(t, true)
	far := time.Now().Add(time.Hour)
	l.AdoptConfig(2, &sharedconfig.Config{}, far, far)
	first, _ := l.submit(t, "1", 1)
	c := <-sent
	retried, _ := l.submit(t, "2", 1)
	d := <-sent
	retried.attempts = append(retried.attempts, retried.attempts[0])
	l.AdoptConfig(3, &sharedconfig.Config{Classes: map[string]sharedconfig.Class{"send": {Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, IdempotencyWindowMs: 500}}}, far, far)
	if k := l.class(first); k.DedupScope != policy.ScopeZone || k.IdempotencyWindowMs != 500 || c.Superseded.Load() {
		t.Errorf("the class was narrowed to %+v; superseded: %v", k, c.Superseded.Load())
	}
	if !d.Superseded.Load() {
		t.Error("a retry decided under the previous rules is not superseded")
	}
	l.AdoptConfig(4, &sharedconfig.Config{}, far, far)
	if k := l.class(first); k.DedupScope != policy.ScopeZone || k.IdempotencyWindowMs != 500 {
		t.Errorf("the class of an open request was widened to %+v", k)
	}
	if now, _ := l.submit(t, "3", 1); l.class(now).IdempotencyWindowMs != 8000 {
		t.Errorf("the class of a new request is %+v", l.class(now))
	}
	l.AdoptConfig(5, &sharedconfig.Config{Classes: map[string]sharedconfig.Class{"read": {Effect: policy.Idempotent}, "order": {Effect: policy.Idempotent}}}, far, far)
	if l.cfg.Settings.Classes[2].Effect != policy.NonIdempotent {
		t.Error("the shared configuration widened what the agent's file permits")
	}
}

// The shared configuration cordons servers, excludes servers and sets weights, in addition to the endpoint
// list. A cordon of this agent ends once the shared configuration contains it.
func TestSharedConfigServerRules(t *testing.T) {
	l, _ := newSharedConfigLoop(t, true)
	far := time.Now().Add(time.Hour)
	wantUnavailable := func(what string, want ...string) {
		t.Helper()
		got := map[string]bool{}
		for id, b := range l.endpoints.byID {
			if b.Unavailable() {
				got[id] = true
			}
		}
		for _, id := range want {
			if !got[id] {
				t.Errorf("%s: %s is available", what, id)
			}
		}
		if len(got) != len(want) {
			t.Errorf("%s: unavailable are %v, not %v", what, got, want)
		}
	}
	wantUnavailable("at first")
	l.AdoptConfig(2, &sharedconfig.Config{Cordoned: []string{"s-1"}}, far, far)
	wantUnavailable("cordoned", "s-1")
	l.updateEndpoints(&membership.List{Revision: 2, Entries: []membership.Entry{listedBackend("s-1"), listedBackend("s-3")}}, policy.UpdateDelta, false)
	wantUnavailable("listed as up", "s-1")
	l.Cordon("s-1", true)
	l.ReleaseCordon("s-1", 5)
	l.AdoptConfig(3, &sharedconfig.Config{Listed: true, Servers: map[string]sharedconfig.Server{"s-1": {}, "s-2": {Weight: 3}, "s-9": {}}}, far, far)
	wantUnavailable("not in the shared configuration, and cordoned here", "s-1", "s-3")
	if e := l.endpoints.endpoint(l.endpoints.byID["s-2"]); e.Weight != 3 {
		t.Errorf("weight %v, want 3", e.Weight)
	}
	l.AdoptConfig(5, &sharedconfig.Config{}, far, far)
	wantUnavailable("cordon released at the epoch")
	l.Cordon("s-2", true)
	l.ReleaseCordon("s-2", 4)
	wantUnavailable("cordon released at an earlier epoch")
	drains := listedBackend("s-2")
	drains.State = membership.Draining
	l.updateEndpoints(&membership.List{Revision: 3, Entries: []membership.Entry{drains}}, policy.UpdateDelta, false)
	l.AdoptConfig(6, &sharedconfig.Config{Listed: true, Servers: map[string]sharedconfig.Server{"s-1": {}, "s-2": {}, "s-3": {}}}, far, far)
	wantUnavailable("listed as draining", "s-2")
}
