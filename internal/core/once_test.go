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
			l.ask(t, newCall(u, "1", c.class))
			before := tries
			first = false
			a := l.ask(t, newCall(u, "1", c.class))
			if sent := tries > before; sent != c.again || !sent && (a.Outcome != Failed || a.Reason != Duplicate) {
				t.Errorf("sent %v, answered %+v", sent, a)
			}
		})
	}
}

// Ids are known for onceFor at the least, and not for ever: neither their age nor their number grows without bound.
func TestIDsAreForgotten(t *testing.T) {
	o, now := newOnce(), time.Now()
	o.add(now, "a")
	if !o.has(now.Add(onceFor), "a") || o.has(now, "b") {
		t.Error("within its time")
	}
	o.add(now.Add(onceFor), "b")
	if later := now.Add(2 * onceFor); o.has(later, "a") || !o.has(later, "b") {
		t.Error("a minute later")
	}
	if later := now.Add(5 * onceFor); o.has(later, "b") || len(o.now)+len(o.old) != 0 {
		t.Errorf("after silence %d ids are left", len(o.now)+len(o.old))
	}
	for i := range 3 * onceMost {
		o.add(now.Add(6*onceFor), strconv.Itoa(i))
		if n := len(o.now) + len(o.old); n > onceMost {
			t.Fatalf("%d ids", n)
		}
	}
	if at := now.Add(6 * onceFor); !o.has(at, strconv.Itoa(3*onceMost-1)) || !o.has(at, strconv.Itoa(3*onceMost-onceMost/2)) {
		t.Error("the last half is not known")
	}
}
