package policy

import "testing"

func TestNonIdempotentRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		r := newHarness(t, testSettings(), 3)
		id, s := r.mustForward(1, 5)
		actions := r.endAttempt(id, 0, s, st, 50)
		if findAction(actions, ActionForward) != nil || findAction(actions, ActionReject) != nil || findAction(actions, ActionFail) == nil {
			t.Errorf("ending %d: want a failure and nothing else, got %+v", st, actions)
		}
	}
	r := newHarness(t, testSettings(), 3)
	id, s := r.mustForward(1, 5)
	if actions := r.endAttempt(id, 0, s, ConnectFailed, 50); findAction(actions, ActionForward) == nil {
		t.Errorf("an attempt that never ran was not retried: %+v", actions)
	}
}

func TestIdempotencyKeyRetryStaysInScopeAndWindow(t *testing.T) {
	r := newHarness(t, testSettings(), 6)
	id, s := r.mustForward(2, 5)
	actions := r.endAttempt(id, 0, s, Error, 20)
	a := findAction(actions, ActionForward)
	if a == nil || r.b.byAddr[a.Server].cell != r.b.byAddr[s].cell {
		t.Fatalf("a retry with an idempotency key did not stay in its cell: %+v", actions)
	}
	r.now += 496 // just within the window of 500 ms less the margin
	actions = r.endAttempt(id, 1, a.Server, Error, 20)
	if findAction(actions, ActionForward) != nil || findAction(actions, ActionFail) == nil && len(r.b.queued) == 0 {
		t.Errorf("a retry with an idempotency key was sent after its window: %+v", actions)
	}
}

// While nothing is served retries would only multiply the load.
func TestRetriesAreEarnedByServedRequests(t *testing.T) {
	for _, served := range []bool{true, false} {
		r := newHarness(t, testSettings(), 8)
		retries := 0
		for i := range 100 {
			r.now += 500
			r.b.goodput.ended = 0 // nothing is shed
			id, s := r.mustForward(0, r.b.rng.Uint64())
			if served && i%5 > 0 {
				r.endAttempt(id, 0, s, OK, 10)
				continue
			}
			for attempt := 0; ; attempt++ {
				a := findAction(r.endAttempt(id, attempt, s, Rejected, 1), ActionForward)
				if a == nil {
					break
				}
				s, retries = a.Server, retries+1
			}
		}
		if served && retries < 15 || !served && retries > int(maxRetryTokens) {
			t.Errorf("four of five served: %v; %d retries", served, retries)
		}
	}
}

// A rejection says that a retry by the client is safe. After the idempotency window it is not.
func TestIdempotencyKeyRequestIsRejectedOnlyWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after float64
		want  ActionKind
	}{{100, ActionReject}, {550, ActionFail}} {
		set := testSettings()
		set.Classes[2].DedupScope, set.Limits.MaxAttempts = ScopeAll, 1
		r := newHarness(t, set, 4)
		id, s := r.mustForward(2, 5)
		r.now += c.after
		if actions := r.endAttempt(id, 0, s, Error, c.after); findAction(actions, c.want) == nil {
			t.Errorf("failed after %.0f of 500 ms: %+v", c.after, actions)
		}
	}
}
