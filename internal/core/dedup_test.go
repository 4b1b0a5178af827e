package core

import (
	"context"
	"strconv"
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// An id that comes again when its request is over is not sent on where that may have run and must not again
// (join+mass 721: such ids come back up to 1.3 s after their answer). Where nothing ran, or repeats are safe, it is.
func TestAnIDThatComesAgain(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		first policy.Status // how all attempts of the first request end; those of the second are served
		again bool          // the second request is sent on
	}{
		"unsafe, served":    {2, policy.OK, false},
		"unsafe, reset":     {2, policy.Reset, false},
		"unsafe, withdrawn": {2, policy.Cancelled, false},
		"unsafe, never ran": {2, policy.ConnectFailed, true},
		"keyed, served":     {1, policy.OK, false},
		"safe, served":      {0, policy.OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			tries, first := 0, true
			u := stub{func(context.Context, *Backend, *Call) Result {
				if tries++; first {
					return Result{Status: c.first, LatencyMs: 1, Reply: "reply"}
				}
				return Result{Status: policy.OK, LatencyMs: 1, Reply: "reply"}
			}}
			l := running(t, u)
			l.roundTrip(t, newCall(u, "1", c.class))
			before := tries
			first = false
			a := l.roundTrip(t, newCall(u, "1", c.class))
			if sent := tries > before; sent != c.again || !sent && (a.Outcome != Failed || a.Reason != Duplicate) {
				t.Errorf("sent %v, answered %+v", sent, a)
			}
		})
	}
}

// Ids are known for onceFor at the least, and not for ever: neither their age nor their number grows without bound.
func TestIDsAreForgotten(t *testing.T) {
	o, now := newRecentIDs(), time.Now()
	o.add(now, "a")
	if !o.contains(now.Add(dedupWindow), "a") || o.contains(now, "b") {
		t.Error("within its time")
	}
	o.add(now.Add(dedupWindow), "b")
	if later := now.Add(2 * dedupWindow); o.contains(later, "a") || !o.contains(later, "b") {
		t.Error("a minute later")
	}
	if later := now.Add(5 * dedupWindow); o.contains(later, "b") || len(o.current)+len(o.previous) != 0 {
		t.Errorf("after silence %d ids are left", len(o.current)+len(o.previous))
	}
	for i := range 3 * maxRecentIDs {
		o.add(now.Add(6*dedupWindow), strconv.Itoa(i))
		if n := len(o.current) + len(o.previous); n > maxRecentIDs {
			t.Fatalf("%d ids", n)
		}
	}
	if at := now.Add(6 * dedupWindow); !o.contains(at, strconv.Itoa(3*maxRecentIDs-1)) || !o.contains(at, strconv.Itoa(3*maxRecentIDs-maxRecentIDs/2)) {
		t.Error("the last half is not known")
	}
}
