package assign

import (
	"testing"

	"ringtrack.example/ringtrack/policy"
)

// outcome is how an attempt may end at a proxy, and whether it may have run.
type outcome struct {
	name   string
	mayRun bool
}

var outcomes = []outcome{
	{"error answer", true}, {"rejected", false}, {"could not connect", false}, {"reset", true}, {"timed out", true},
}

// modelAllows is rule 2 as a model independent of the code: whether a proxy that knows no idempotency window
// and no deduplication scope may retry a class at any time within the client timeout.
func modelAllows(c policy.Class, o outcome) bool {
	if !o.mayRun {
		return true
	}
	switch c.Effect {
	case policy.Idempotent:
		return true
	case policy.IdempotentByKey:
		return c.DedupScope == policy.ScopeAll && c.IdempotencyWindowMs > c.ClientTimeoutMs
	}
	return false
}

func TestRoutesRetryOnlyWhatIsSafe(t *testing.T) {
	var classes []policy.Class
	for _, effect := range []policy.Effect{policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent} {
		for _, group := range []policy.DedupScope{policy.ScopeAll, policy.ScopeZone, policy.ScopeCell} {
			for _, ttl := range []float64{0, 300, 599, 600, 640, 660, 5000} {
				classes = append(classes, policy.Class{Name: string(effect) + string(group), LatencyObjectiveMs: 100, ClientTimeoutMs: 600, Effect: effect, DedupScope: group, IdempotencyWindowMs: ttl})
			}
		}
	}
	for attempts, want := range map[int]int{1: 0, 2: 1, 3: 2, 7: 2} {
		s := testSettings()
		s.Classes, s.Limits.MaxAttempts = classes, attempts
		routes := Routes(&s)
		if len(routes) != len(classes)+1 {
			t.Fatalf("%d routes", len(routes))
		}
		for i, r := range routes {
			c := policy.Class{Effect: policy.NonIdempotent, ClientTimeoutMs: 600}
			if i < len(classes) {
				c = classes[i]
			}
			if r.MaxRetries != want {
				t.Errorf("%d attempts allowed: %d retries, want %d", attempts, r.MaxRetries, want)
			}
			if !(r.TimeoutMs > 0 && r.TimeoutMs < c.ClientTimeoutMs) {
				t.Errorf("%+v: time-out %v of %v", c, r.TimeoutMs, c.ClientTimeoutMs)
			}
			for _, o := range outcomes {
				retried := !o.mayRun || r.RetryOn == AnyFailure
				if retried && !modelAllows(c, o) {
					t.Errorf("%+v is retried after %q", c, o.name)
				}
			}
			// What is clearly permitted is used.
			if c.Effect == policy.Idempotent && r.RetryOn != AnyFailure || c.Effect == policy.IdempotentByKey && c.DedupScope == policy.ScopeAll && c.IdempotencyWindowMs == 5000 && r.RetryOn != AnyFailure {
				t.Errorf("%+v is not retried", c)
			}
		}
	}
}
