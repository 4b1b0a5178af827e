package assign

import (
	"testing"

	"ringtrack.example/ringtrack/policy"
)

// outcome is a possible outcome of an attempt as seen by a proxy.
type outcome struct {
	name   string
	mayRun bool // the server may have executed the request
}

var outcomes = []outcome{
	{"error answer", true}, {"rejected", false}, {"could not connect", false}, {"reset", true}, {"timed out", true},
}

// modelAllows specifies, independently of the code, whether a proxy may retry a request of a class at any
// time within the client timeout without executing it twice. The proxy knows neither idempotency windows nor
// deduplication scopes.
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
		for _, scope := range []policy.DedupScope{policy.ScopeAll, policy.ScopeZone, policy.ScopeCell} {
			for _, window := range []float64{0, 300, 599, 600, 640, 660, 5000} {
				classes = append(classes, policy.Class{Name: string(effect) + string(scope), LatencyObjectiveMs: 100, ClientTimeoutMs: 600, Effect: effect, DedupScope: scope, IdempotencyWindowMs: window})
			}
		}
	}
	for attempts, want := range map[int]int{1: 0, 2: 1, 3: 2, 7: 2} {
		s := testSettings()
		s.Classes, s.Limits.MaxAttempts = classes, attempts
		routes := Routes(&s)
		if len(routes) != len(classes)+1 {
			t.Fatalf("%d routes, want one per class and one more", len(routes))
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
				t.Errorf("%+v: route timeout %v, client timeout %v", c, r.TimeoutMs, c.ClientTimeoutMs)
			}
			for _, o := range outcomes {
				retried := !o.mayRun || r.RetryOn == AnyFailure
				if retried && !modelAllows(c, o) {
					t.Errorf("%+v is retried after %q", c, o.name)
				}
			}
			// Retries that are clearly safe are configured.
			if c.Effect == policy.Idempotent && r.RetryOn != AnyFailure || c.Effect == policy.IdempotentByKey && c.DedupScope == policy.ScopeAll && c.IdempotencyWindowMs == 5000 && r.RetryOn != AnyFailure {
				t.Errorf("%+v is not retried", c)
			}
		}
	}
}
