package assign

import "ringtrack.example/ringtrack/policy"

const (
	backoffBaseMs = 10
	backoffMaxMs  = 100
	// maxProxyAttempts bounds the attempts that a proxy makes for a request, whatever the settings allow.
	maxProxyAttempts = 3
	// answerMarginMs is subtracted from a route's timeout, so that the proxy's answer reaches the client
	// before the client's own timeout.
	answerMarginMs = 8.0
	// maxAnswerMarginFraction bounds that margin, as a fraction of the timeout.
	maxAnswerMarginFraction = 1.0 / 8
	// windowMarginMs is the part of an idempotency window that clock differences, scheduling and network
	// delays may use up.
	windowMarginMs = 50.0
)

// Route configures how proxies handle the requests of one class.
type Route struct {
	Class      string // "" for requests without a known class
	TimeoutMs  float64
	MaxRetries int // attempts after the first, one at a time
	RetryOn    RetryOn
	// BackoffBaseMs and BackoffMaxMs bound the random backoff before a retry.
	BackoffBaseMs, BackoffMaxMs float64
	// RetryBudgetPercent is the percentage of the active requests that may be retries.
	RetryBudgetPercent float64
}

// RetryOn is the set of failures after which a retry is permitted.
type RetryOn uint8

// The retry conditions.
const (
	// NeverRan permits a retry only if the attempt cannot have run: the connection failed, the stream was
	// refused, or the answer has the header Not-Started.
	NeverRan RetryOn = iota
	// AnyFailure permits a retry after any failure, including those after which the attempt may have run.
	AnyFailure
)

// Routes returns a route for each class, followed by one for requests without a known class, which are
// treated as not idempotent and get the shortest timeout of all classes.
//
// A proxy knows neither idempotency windows nor deduplication scopes, so its retries have to be safe at any
// time within the route's timeout: classes that are idempotent by key are retried after any failure only if
// all servers share the deduplication and the window is longer than the timeout.
func Routes(s *policy.Settings) []Route {
	routes := make([]Route, 0, len(s.Classes)+1)
	unclassified := Route{RetryOn: NeverRan}
	for i := range s.Classes {
		class := &s.Classes[i]
		routes = append(routes, Route{Class: class.Name, TimeoutMs: class.ClientTimeoutMs, RetryOn: retryOn(class)})
		if unclassified.TimeoutMs == 0 || class.ClientTimeoutMs < unclassified.TimeoutMs {
			unclassified.TimeoutMs = class.ClientTimeoutMs
		}
	}
	routes = append(routes, unclassified)
	for i := range routes {
		r := &routes[i]
		r.TimeoutMs -= min(answerMarginMs, r.TimeoutMs*maxAnswerMarginFraction)
		r.MaxRetries = max(min(s.Limits.MaxAttempts, maxProxyAttempts)-1, 0)
		r.BackoffBaseMs = backoffBaseMs
		r.BackoffMaxMs = backoffMaxMs
		r.RetryBudgetPercent = policy.RetryTokensPerSuccess * 100
	}
	return routes
}

// retryOn returns the failures after which proxies may retry requests of a class.
func retryOn(class *policy.Class) RetryOn {
	switch class.Effect {
	case policy.Idempotent:
		return AnyFailure
	case policy.IdempotentByKey:
		if class.DedupScope == policy.ScopeAll && class.IdempotencyWindowMs >= class.ClientTimeoutMs+windowMarginMs {
			return AnyFailure
		}
	}
	return NeverRan
}
