package core

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"ringtrack.example/ringtrack/policy"
)

// A rejection that may be the response to another request proves nothing: a request that must not run twice is
// neither repeated nor rejected. An idempotent one is repeated as after any rejection.
func TestUnconfirmedRejectionMayHaveRun(t *testing.T) {
	const read, order = 0, 2
	for _, test := range []struct {
		class        int
		unconfirmed  bool
		mayRepeat    bool
		want         Outcome
		bodyConsumed bool
	}{
		{order, true, false, Failed, false},
		{order, true, false, Failed, true},
		{order, false, true, Rejected, false},
		{order, false, false, Rejected, true},
		{read, true, true, Rejected, false},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int64
			u := stub{func(context.Context, *Backend, *Call) Result {
				attempts.Add(1)
				return Result{Status: policy.Rejected, Unconfirmed: test.unconfirmed, BodyConsumed: test.bodyConsumed, LatencyMs: 1}
			}}
			l := newTestLoop(t, u)
			l.cfg.CachedEndpoints.Entries = append(l.cfg.CachedEndpoints.Entries, listedBackend("s-2"), listedBackend("s-3"))
			a := runLoop(t, l).roundTrip(t, newCall(u, "1", test.class))
			if a.Outcome != test.want || (attempts.Load() > 1) != test.mayRepeat {
				t.Errorf("%d attempts, answered %+v", attempts.Load(), a)
			}
		})
	}
}
