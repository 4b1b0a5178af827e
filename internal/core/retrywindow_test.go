package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// With a dedup window shorter than a round trip, or than two batch intervals of the balancer, the balancer
// does not retry; the guard need not intervene. A first attempt that never ran does not start the window
// and is retried.
func TestNoRetryInTooShortDedupWindow(t *testing.T) {
	for _, test := range []struct {
		ttlMs       float64
		status      policy.Status
		maxAttempts int
	}{
		{0, policy.Reset, 1}, {1, policy.Reset, 1}, {9, policy.Reset, 1}, {10, policy.Reset, 1}, {30, policy.Reset, 1},
		{8000, policy.Reset, 3}, {0, policy.Rejected, 3}, {9, policy.Rejected, 3},
	} {
		t.Run(fmt.Sprint(test.ttlMs, " ms, status ", test.status), func(t *testing.T) {
			t.Parallel()
			began := make(chan time.Time, 100)
			u := stub{func(_ context.Context, _ *Backend, c *Call) Result {
				began <- time.Now()
				if test.ttlMs == 30 {
					// This round trip is longer than the window.
					for from := time.Now(); time.Since(from) < 40*time.Millisecond; {
						time.Sleep(time.Millisecond)
					}
				}
				return Result{Status: test.status, LatencyMs: 1}
			}}
			l := newTestLoop(t, u)
			l.cfg.Settings.Classes[1].IdempotencyWindowMs = test.ttlMs
			var err error
			if l.balancer, err = policy.New(l.cfg.Settings, 7); err != nil {
				t.Fatal(err)
			}
			l.cfg.CachedEndpoints.Entries = append(l.cfg.CachedEndpoints.Entries, listedBackend("s-2"), listedBackend("s-3"), listedBackend("s-4"))
			ended := make(chan struct{})
			go func() { defer close(ended); l.Run() }()
			t.Cleanup(func() { <-ended })
			a := l.roundTrip(t, newCall(u, "1", 1))
			if n := len(began); n < min(test.maxAttempts, 2) || n > test.maxAttempts {
				t.Errorf("%d attempts, want at most %d; answered %+v", n, test.maxAttempts, a)
			}
			if a.Outcome == Served || test.status == policy.Reset && test.maxAttempts == 1 && a.Outcome != Failed {
				t.Errorf("the request was answered with %+v", a)
			}
			violations := make(chan int, 1)
			l.Post(func() { violations <- l.Stats().GuardViolations })
			if n := <-violations; n != 0 {
				t.Errorf("%d guard violations, want none", n)
			}
		})
	}
}

// The retry window lies within the dedup window, even if that is very short.
func TestRetryWindowStaysWithinDedupWindow(t *testing.T) {
	for _, ms := range []float64{0, 0.1, 1, 5, 9, 40, 700, 8000} {
		ttl := time.Duration(ms * float64(time.Millisecond))
		if got := RetryWindow(&policy.Class{IdempotencyWindowMs: ms}); got < 0 || got > ttl || ms > 0 && got == ttl {
			t.Errorf("idempotency window of %v ms: retry window %v is negative or too long", ms, got)
		}
	}
}
