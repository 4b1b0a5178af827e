package downstream_test

import (
	"fmt"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// answerRules test that each call has exactly one answer, within its deadline.
var answerRules = []rule{
	{name: "1 served, failed and rejected have one answer each", run: func(t *testing.T, w *world.World) {
		call(t, w, "order", callTimeout, lab.Served)
		w.Set(lab.Failing)
		call(t, w, "order", callTimeout, lab.Failed)
		w.Set(lab.Rejecting)
		if a := call(t, w, "order", callTimeout, lab.Rejected); a.RetryAfter != 600*time.Millisecond {
			t.Errorf("Retry-After %v, want 600ms", a.RetryAfter)
		}
	}},
	{name: "1 a silent server: answered within the deadline", timed: failsWithin(400*time.Millisecond, lab.Silent)},
	{name: "1 half a reply and silence", timed: failsWithin(400*time.Millisecond, lab.TruncatedAnswer)},
	{name: "1 a reply one byte at a time", run: func(t *testing.T, w *world.World) {
		w.Set(lab.ByteByByte)
		call(t, w, "order", callTimeout, lab.Served)
	}},
	{name: "1 a deadline that passes while the reply arrives", timed: failsWithin(300*time.Millisecond, lab.Trickle)},
}

// failsWithin makes a call to servers in this mode. It must be answered as failed, at most 20 ms after its
// deadline.
func failsWithin(timeout time.Duration, mode lab.Mode) func(*world.World) (late, wrong error) {
	return func(w *world.World) (late, wrong error) {
		w.Set(mode)
		start := time.Now()
		a, wrong := w.Call("order", timeout)
		if took := time.Since(start); took > timeout+20*time.Millisecond {
			late = fmt.Errorf("the answer took %v with a timeout of %v", took, timeout)
		}
		if wrong == nil && a.Outcome != lab.Failed {
			wrong = fmt.Errorf("answered %+v, want %v", a, lab.Failed)
		}
		return late, wrong
	}
}
