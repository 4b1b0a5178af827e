package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/policy"
)

// A panic in the code of an attempt fails only that attempt, which counts as one that may have run: a
// non-idempotent request fails, and the agent continues to serve.
func TestPanicOfAnAttemptFailsItsRequestOnly(t *testing.T) {
	before := panics.Recovered()
	attempts := 0
	upstream := stub{do: func(context.Context, *Backend, *Call) Result {
		if attempts++; attempts == 1 {
			panic("defect")
		}
		return Result{Status: policy.OK, LatencyMs: 1}
	}}
	l := startTestLoop(t, upstream)
	const nonIdempotent = 2
	if a := l.roundTrip(t, newCall(upstream, "a", nonIdempotent)); a.Outcome != Failed {
		t.Errorf("%+v, want a failed request", a)
	}
	if a := l.roundTrip(t, newCall(upstream, "b", nonIdempotent)); a.Outcome != Served {
		t.Errorf("%+v, want a served request", a)
	}
	if n := panics.Recovered() - before; n != 1 || attempts != 2 {
		t.Errorf("%d panics counted in %d attempts, want 1 in 2", n, attempts)
	}
}

func TestPanicOfAHealthCheckIsAFailedCheck(t *testing.T) {
	l := newTestLoop(t, stub{})
	l.cfg.HealthCheck = func(context.Context, *Backend, string, time.Time, time.Time) Result { panic("defect") }
	if r := l.checkHealth(l.endpoints.getOrCreate("s-1"), "127.0.0.1:1", time.Now()); r.Status != policy.Reset {
		t.Errorf("%+v, want a reset", r)
	}
}
