package downstream_test

import (
	"fmt"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

// answerRules are about the one answer that each call has, within its time.
var answerRules = []rule{
	{name: "1 served, failed and rejected have one answer each", run: func(t *testing.T, w *world.World) {
		call(t, w, "order", long, lab.Served)
		w.Set(lab.Failing)
		call(t, w, "order", long, lab.Failed)
		w.Set(lab.Rejecting)
		if a := call(t, w, "order", long, lab.Rejected); a.RetryAfter != 600*time.Millisecond {
			t.Errorf("Retry-After %v", a.RetryAfter)
		}
	}},
	{name: "1 a silent server: answered within the deadline", timed: failedIn(400*time.Millisecond, lab.Silent)},
	{name: "1 half a reply and silence", timed: failedIn(400*time.Millisecond, lab.TruncatedAnswer)},
	{name: "1 a reply one byte at a time", run: func(t *testing.T, w *world.World) {
		w.Set(lab.ByteByByte)
		call(t, w, "order", long, lab.Served)
	}},
	{name: "1 a deadline that passes while the reply arrives", timed: failedIn(300*time.Millisecond, lab.Trickle)},
}

// failedIn makes a call to servers in this mode, which has to be answered as failed within its deadline.
func failedIn(within time.Duration, m lab.Mode) func(*world.World) (late, wrong error) {
	return func(w *world.World) (late, wrong error) {
		w.Set(m)
		from := time.Now()
		a, wrong := w.Call("order", within)
		if took := time.Since(from); took > within+20*time.Millisecond {
			late = fmt.Errorf("took %v of %v", took, within)
		}
		if wrong == nil && a.Outcome != lab.Failed {
			wrong = fmt.Errorf("answered %+v, want %v", a, lab.Failed)
		}
		return late, wrong
	}
}
