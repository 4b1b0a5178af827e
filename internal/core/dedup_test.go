package core

import (
	"context"
	"strconv"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// Repeating the id of a completed request that may have run fails as a duplicate. If the first request
// never ran, or is idempotent, the repeat is forwarded.
func TestRepeatedIDOfCompletedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		class     int
		first     policy.Status // how all attempts of the first request end; those of the second are served
		forwarded bool          // the second request is forwarded
	}{
		"non-idempotent, served":    {2, policy.OK, false},
		"non-idempotent, reset":     {2, policy.Reset, false},
		"non-idempotent, cancelled": {2, policy.Cancelled, false},
		"non-idempotent, never ran": {2, policy.ConnectFailed, true},
		"idempotent by key, served": {1, policy.OK, false},
		"idempotent, served":        {0, policy.OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			attempts, first := 0, true
			u := stub{func(context.Context, *Backend, *Call) Result {
				if attempts++; first {
					return Result{Status: c.first, LatencyMs: 1, Reply: "reply"}
				}
				return Result{Status: policy.OK, LatencyMs: 1, Reply: "reply"}
			}}
			l := startTestLoop(t, u)
			l.roundTrip(t, newCall(u, "1", c.class))
			before := attempts
			first = false
			a := l.roundTrip(t, newCall(u, "1", c.class))
			if sent := attempts > before; sent != c.forwarded || !sent && (a.Outcome != Failed || a.Reason != Duplicate) {
				t.Errorf("request sent: %v, answer %+v", sent, a)
			}
		})
	}
}

// Ids are remembered for at least dedupWindow; their age and number are bounded.
func TestRecentIDsAreBounded(t *testing.T) {
	o, now := newRecentIDs(), time.Now()
	o.add(now, "a")
	if !o.contains(now.Add(dedupWindow), "a") || o.contains(now, "b") {
		t.Error("within dedupWindow: a is not known, or b is")
	}
	o.add(now.Add(dedupWindow), "b")
	if later := now.Add(2 * dedupWindow); o.contains(later, "a") || !o.contains(later, "b") {
		t.Error("after two windows: a is still known, or b is not")
	}
	if later := now.Add(5 * dedupWindow); o.contains(later, "b") || len(o.current)+len(o.previous) != 0 {
		t.Errorf("%d ids are left after five windows without new ones", len(o.current)+len(o.previous))
	}
	for i := range 3 * maxRecentIDs {
		o.add(now.Add(6*dedupWindow), strconv.Itoa(i))
		if n := len(o.current) + len(o.previous); n > maxRecentIDs {
			t.Fatalf("%d ids are stored, more than maxRecentIDs", n)
		}
	}
	if at := now.Add(6 * dedupWindow); !o.contains(at, strconv.Itoa(3*maxRecentIDs-1)) || !o.contains(at, strconv.Itoa(3*maxRecentIDs-maxRecentIDs/2)) {
		t.Error("the ids of the last generation are not known")
	}
}

// Guards against ids that are forgotten before their minute at the rates of the busiest days, across generations: their
// requests would run twice.
func TestRecentIDsAreKnownForAMinuteAtHighRates(t *testing.T) {
	for _, perSecond := range []int{1280, 2000, 3000} {
		o, start := newRecentIDs(), time.Now()
		const seconds = 150
		id := func(second, i int) string { return strconv.Itoa(second) + "-" + strconv.Itoa(i) }
		for second := range seconds {
			now := start.Add(time.Duration(second) * time.Second)
			if o.full(now) {
				t.Fatalf("%d a second: full after %d s", perSecond, second)
			}
			for i := range perSecond {
				o.add(now, id(second, i))
			}
			for i := 0; i < perSecond && second >= 59; i += 100 {
				if !o.contains(now, id(second-59, i)) {
					t.Fatalf("%d a second: an id of 59 s ago is forgotten after %d s", perSecond, second)
				}
			}
		}
	}
}

// A request whose id could not be remembered is rejected: nothing of it may run. Others are not affected.
func TestRequestsAreRejectedWithoutRoomForTheirIDs(t *testing.T) {
	u := stub{func(context.Context, *Backend, *Call) Result {
		return Result{Status: policy.OK, LatencyMs: 1, Reply: "reply"}
	}}
	l := startTestLoop(t, u)
	filled := make(chan struct{})
	l.Post(func() {
		defer close(filled)
		for i := range maxWindowIDs {
			l.dedup.add(time.Now(), strconv.Itoa(i))
		}
	})
	<-filled
	if a := l.roundTrip(t, newCall(u, "next", 2)); a.Outcome != Rejected {
		t.Errorf("a request that must not run twice: %+v, want it rejected", a)
	}
	if a := l.roundTrip(t, newCall(u, "read", 0)); a.Outcome != Served {
		t.Errorf("an idempotent request: %+v, want it served", a)
	}
}
