package policy

import "testing"

// Each rejection and failure names the rule that caused it.
func TestUnservedRequestsNameTheirRule(t *testing.T) {
	ended := func(r *harness, id RequestID, actions []Action) RejectReason {
		for range 200 {
			for _, a := range actions {
				if a.Request == id && (a.Kind == ActionReject || a.Kind == ActionFail) {
					return a.Reason
				}
			}
			actions = r.tick(10)
		}
		return ReasonNone
	}
	unusable := func(t *testing.T, change func(*Settings)) (*harness, RequestID, []Action) {
		settings := testSettings()
		change(&settings)
		r := newHarness(t, settings, 1)
		r.b.byAddr[addr(0)].usable = false
		id, actions := r.request(0, 7)
		return r, id, actions
	}
	for want, setup := range map[RejectReason]func(t *testing.T) (*harness, RequestID, []Action){
		ReasonShed: func(t *testing.T) (*harness, RequestID, []Action) {
			r := newHarness(t, testSettings(), 1)
			for range 100 {
				r.b.goodput.ended, r.b.goodput.earned = shedWindowRequests, 0
				id, actions := r.request(0, 7)
				if findAction(actions, ActionReject) != nil {
					return r, id, actions
				}
			}
			t.Fatal("nothing was shed")
			return nil, 0, nil
		},
		ReasonUnsent: func(t *testing.T) (*harness, RequestID, []Action) {
			return unusable(t, func(s *Settings) { s.Classes[0].LateCredit, s.Classes[0].LatencyObjectiveMs = 0.5, 1000 })
		},
		ReasonQueueTimeout: func(t *testing.T) (*harness, RequestID, []Action) {
			r, id, actions := unusable(t, func(s *Settings) { s.Classes[0].LateCredit = 0.5 })
			r.b.requests[id].reachedServer = true
			return r, id, actions
		},
		ReasonNotRetryable: func(t *testing.T) (*harness, RequestID, []Action) {
			r := newHarness(t, testSettings(), 3)
			id, s := r.mustForward(1, 5)
			return r, id, r.endAttempt(id, 0, s, Error, 50)
		},
		ReasonRetryBudget: func(t *testing.T) (*harness, RequestID, []Action) {
			r := newHarness(t, testSettings(), 3)
			id, s := r.mustForward(0, 5)
			r.b.retryBudget = retryBudget{}
			return r, id, r.endAttempt(id, 0, s, Rejected, 1)
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			if got := ended(setup(t)); got != want {
				t.Errorf("ended by %v, want %v", got, want)
			}
		})
	}
}

// The names are part of the interface of metrics and logs: none may be missing or used twice.
func TestRejectReasonNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for reason := range NumRejectReasons {
		if name := reason.String(); name == "" || seen[name] {
			t.Errorf("reason %d has the name %q, which is empty or not unique", reason, name)
		}
		seen[reason.String()] = true
	}
}
