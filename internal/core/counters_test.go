package core

import (
	"context"
	"testing"

	"ringtrack.example/ringtrack/policy"
)

func TestCountersMatchAnswers(t *testing.T) {
	status := map[string]policy.Status{"a": policy.OK, "b": policy.Error, "c": policy.Rejected}
	u := stub{do: func(_ context.Context, _ *Backend, c *Call) Result { return Result{Status: status[c.ID]} }}
	l := startTestLoop(t, u)
	want := map[string]Outcome{"a": Served, "b": Failed, "c": Rejected}
	for _, id := range []string{"a", "b", "c"} {
		if a := l.roundTrip(t, newCall(u, id, 2)); a.Outcome != want[id] {
			t.Errorf("call %s was answered with %+v", id, a)
		}
	}
	c := &l.Counters().Classes[2]
	if c.Name != "order" || c.Served.Load() != 1 || c.Failed.Load() != 1 || c.Rejected.Load() != 1 || l.Counters().Open.Load() != 0 {
		t.Errorf("%s: served %d, rejected %d, failed %d, open %d", c.Name, c.Served.Load(), c.Rejected.Load(), c.Failed.Load(), l.Counters().Open.Load())
	}
	// b must not run twice; no other server was available for c before its deadline.
	var before [policy.NumRejectReasons]int64
	rules := l.Counters().unservedSince(&before)
	if n := l.Counters().Unserved[policy.ReasonNotRetryable].Load(); n != 1 || len(rules) != 4 {
		t.Errorf("ended by rules: %v, want two, not_retryable once", rules)
	}
	if again := l.Counters().unservedSince(&before); len(again) != 0 {
		t.Errorf("counted twice: %v", again)
	}
}
