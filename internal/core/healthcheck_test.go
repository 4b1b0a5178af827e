package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// A health check that is not allowed ends as NotStarted: the balancer waits for the end of each check, and
// would otherwise wait forever.
func TestForbiddenHealthCheckEndsAsNotStarted(t *testing.T) {
	l := newTestLoop(t, stub{})
	checked := false
	l.cfg.HealthCheck = func(context.Context, *Backend, string, time.Time, time.Time) Result { checked = true; return Result{} }
	b := l.endpoints.getOrCreate("s-1")
	for name, forbid := range map[string]func(){
		"not listed":  func() { b.addr = "" },
		"unavailable": func() { b.unavailable.Store(true) },
		"not allowed": func() { l.cfg.Settings.Limits.HealthChecks = false },
	} {
		b.addr, l.cfg.Settings.Limits.HealthChecks = "127.0.0.1:1", true
		b.unavailable.Store(false)
		forbid()
		l.dispatch([]policy.Action{{Kind: policy.ActionHealthCheck, Server: b.policyAddr}})
		if len(l.pendingEvents) != 1 || l.pendingEvents[0].Kind != policy.EventHealthCheckEnded || l.pendingEvents[0].Server != b.policyAddr || l.pendingEvents[0].Status != policy.NotStarted || checked {
			t.Errorf("%s: events %+v, want only a health check that was not started", name, l.pendingEvents)
		}
		l.pendingEvents = nil
	}
}
