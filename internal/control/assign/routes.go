package assign

import (
	"ringtrack.example/ringtrack/policy"
)

// Route is what proxies are to do with requests of one class.
type Route struct {
	Class      string // "" for whatever no class is named of
	TimeoutMs  float64
	MaxRetries int // further attempts at the most; never two at once
	RetryOn    RetryOn
	// Backoff bounds the pause before a further attempt, drawn by the proxy.
	BackoffBaseMs, BackoffMaxMs float64
	// RetryBudgetPercent is the part of running requests that may be further attempts, in 1/100.
	RetryBudgetPercent float64
}

// RetryOn tells after which endings a further attempt is allowed.
type RetryOn uint8

// The rules of further attempts.
const (
	// NeverRan: only where the attempt can't have run: no connection came up, the stream was refused,
	// or the answer says Not-Started.
	NeverRan RetryOn = iota
	// AnyFailure: after any failure, also one after which the attempt may have run.
	AnyFailure
)

const (
	backoffLeastMs, backoffMostMs = 10, 100
	// answerMargin is what a proxy's answer takes to reach its client in time, from a route's time.
	answerMargin = 8.0
	// windowMargin is what a proxy's clock, scheduling and the way to the server may take from a
	// keyed request's window.
	windowMargin = 50.0
)

// Routes decides, for each class, what proxies may do by themselves. A proxy has no notion of a
// window or a group, so that what it may repeat must hold for all the time that the route gives:
// a keyed class is repeated after any failure only where every server drops repeats and the window
// is longer than the route's whole time. All else that is not safe goes again only where it never ran.
// The last route is for what names no class, taken as unsafe, with the shortest time of all.
func Routes(s *policy.Settings) []Route {
	routes := make([]Route, 0, len(s.Classes)+1)
	rest := Route{RetryOn: NeverRan}
	for i := range s.Classes {
		c := &s.Classes[i]
		r := Route{Class: c.Name, TimeoutMs: c.ClientTimeoutMs, RetryOn: NeverRan}
		switch {
		case c.Effect == policy.Idempotent:
			r.RetryOn = AnyFailure
		case c.Effect == policy.IdempotentByKey && c.DedupScope == policy.ScopeAll && c.IdempotencyWindowMs >= c.ClientTimeoutMs+windowMargin:
			r.RetryOn = AnyFailure
		}
		if rest.TimeoutMs == 0 || c.ClientTimeoutMs < rest.TimeoutMs {
			rest.TimeoutMs = c.ClientTimeoutMs
		}
		routes = append(routes, r)
	}
	routes = append(routes, rest)
	for i := range routes {
		r := &routes[i]
		r.TimeoutMs -= min(answerMargin, r.TimeoutMs/8)
		r.MaxRetries = max(min(s.Limits.MaxAttempts, 3)-1, 0)
		r.BackoffBaseMs, r.BackoffMaxMs = backoffLeastMs, backoffMostMs
		r.RetryBudgetPercent = policy.RetryTokensPerSuccess * 100
	}
	return routes
}
