package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// A window for repeats that is shorter than one round trip or than two rounds of the module has nothing repeated in
// it, and one that ends while the first attempt is out neither; nothing of that needs a guard. A first attempt that
// never ran opens no window: it is made again.
func TestWindowsTooShortForARepeat(t *testing.T) {
	for _, test := range []struct {
		ttlMs  float64
		status policy.Status
		most   int
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
					for from := time.Now(); time.Since(from) < 40*time.Millisecond; { // a round trip longer than the window
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
			if n := len(began); n < min(test.most, 2) || n > test.most {
				t.Errorf("%d attempts, want %d at the most; answered %+v", n, test.most, a)
			}
			if a.Outcome == Served || test.status == policy.Reset && test.most == 1 && a.Outcome != Failed {
				t.Errorf("answered %+v", a)
			}
			guarded := make(chan int, 1)
			l.Post(func() { guarded <- l.Stats().GuardViolations })
			if n := <-guarded; n != 0 {
				t.Errorf("a guard had to act %d times", n)
			}
		})
	}
}

// The last look's window lies within the one of the settings, however short that is.
func TestRepeatForStaysWithinTheWindow(t *testing.T) {
	for _, ms := range []float64{0, 0.1, 1, 5, 9, 40, 700, 8000} {
		ttl := time.Duration(ms * float64(time.Millisecond))
		if got := RetryWindow(&policy.Class{IdempotencyWindowMs: ms}); got < 0 || got > ttl || ms > 0 && got == ttl {
			t.Errorf("%v ms: %v", ms, got)
		}
	}
}
