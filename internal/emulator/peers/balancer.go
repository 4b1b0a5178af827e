package peers

import (
	"math/rand/v2"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

const (
	// randomStream separates the balancer's random numbers from others of the same seed.
	randomStream = 77
	// rewatchMs is the delay before the next watch of the endpoint list after a failure.
	rewatchMs = 1000
	// retryAfterMs is the Retry-After of rejected requests.
	retryAfterMs = 100
	// minRetryTimeMs: a request is retried only if more than this time is left before its deadline.
	minRetryTimeMs = 5
	// minAttemptTimeMs is the minimum timeout of an attempt.
	minAttemptTimeMs = 1
)

// server is a balancer's state of a server. Times are in ms.
type server struct {
	addr   policy.Addr
	ready  bool
	active int // attempts in flight

	ejectedUntil        float64
	ejections           int
	consecutiveFailures int

	wrr      weightedState
	ewma     ewmaState
	gradient gradientState
}

// request is a request in flight.
type request struct {
	class      int
	key        uint64
	deadline   float64 // ms
	attempts   int
	mayHaveRun bool
	tried      []*server
}

// retryPolicy limits retries. Retries in flight are limited to a fraction of the requests in flight, but not
// below a minimum.
type retryPolicy struct {
	max         int     // retries of a request
	budget      float64 // retries in flight as a fraction of the requests in flight
	minInFlight int     // minimum of the limit
}

// balancer is the common part of all balancers: it watches the endpoint list, forwards a request to the
// server that pick returns, retries within a budget, and fails or rejects what it does not retry. It has no
// queue. It is not safe for concurrent use.
type balancer struct {
	settings policy.Settings
	rng      *rand.Rand
	now      float64 // ms
	servers  []*server
	byAddr   map[policy.Addr]*server
	requests map[policy.RequestID]*request
	actions  []policy.Action

	// pick returns the server of the next attempt, or nil to reject the request.
	pick func(*request) *server
	// observe is called with the outcome of each attempt that was sent and not cancelled; it may be nil.
	observe func(*server, *policy.Event)
	// endpointsChanged is called after an update of the endpoint list; it may be nil.
	endpointsChanged func()

	retry           retryPolicy
	retriesInFlight int
	outlier         *outlierDetection // nil: none
	// panicThreshold: if the fraction of servers that are not ejected is below it, ejections are ignored.
	panicThreshold float64
}

func newBalancer(settings policy.Settings, seed uint64) *balancer {
	return &balancer{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, randomStream)),
		byAddr:   map[policy.Addr]*server{},
		requests: map[policy.RequestID]*request{},
	}
}

// newEnvoyBalancer returns a balancer with Envoy's outlier detection, panic threshold of 50 % and retry
// budget of 20 %, at least 3.
func newEnvoyBalancer(settings policy.Settings, seed uint64) *balancer {
	b := newBalancer(settings, seed)
	b.outlier = &outlierDetection{consecutiveFailures: 5, baseEjectionMs: 30_000, maxEjectionFraction: 0.1}
	b.retry = retryPolicy{max: 1, budget: 0.2, minInFlight: 3}
	b.panicThreshold = 0.5
	return b
}

// Start begins to watch the endpoint list.
func (b *balancer) Start(_ float64, out []policy.Action) []policy.Action {
	return append(out, policy.Action{Kind: policy.ActionWatchEndpoints})
}

// Handle handles an event and appends the resulting actions to out.
func (b *balancer) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	b.now = now
	b.actions = out
	switch ev.Kind {
	case policy.EventEndpointUpdate:
		b.updateEndpoints(ev)
	case policy.EventRequest:
		r := &request{class: ev.Class, key: ev.Key, deadline: now + ev.RemainingMs}
		b.requests[ev.Request] = r
		b.forward(ev.Request, r)
	case policy.EventAttemptEnded:
		b.attemptEnded(ev)
	case policy.EventClientDisconnected:
		delete(b.requests, ev.Request)
	case policy.EventTimer:
		b.emit(policy.Action{Kind: policy.ActionWatchEndpoints})
	}
	return b.actions
}

func (b *balancer) emit(a policy.Action) { b.actions = append(b.actions, a) }

func (b *balancer) updateEndpoints(ev *policy.Event) {
	if ev.Update == policy.UpdateFailed {
		b.emit(policy.Action{Kind: policy.ActionTimer, DurationMs: rewatchMs})
		return
	}
	for i := range ev.Endpoints {
		e := &ev.Endpoints[i]
		s := b.byAddr[e.Server]
		if s == nil {
			s = &server{addr: e.Server}
			b.byAddr[e.Server] = s
			b.servers = append(b.servers, s)
		}
		s.ready = e.Health == policy.Ready
	}
	slices.SortFunc(b.servers, func(x, y *server) int { return slices.Compare(x.addr[:], y.addr[:]) })
	if b.endpointsChanged != nil {
		b.endpointsChanged()
	}
}

// usable returns the servers that may be picked: those that are ready and not ejected, or all that are ready
// if too few are left by the panic threshold. Servers in exclude are left out if there are others.
func (b *balancer) usable(exclude []*server) []*server {
	var ready []*server
	var usable []*server
	for _, s := range b.servers {
		if !s.ready {
			continue
		}
		ready = append(ready, s)
		if s.ejectedUntil <= b.now {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 || float64(len(usable)) < b.panicThreshold*float64(len(ready)) {
		usable = ready
	}
	if len(exclude) == 0 {
		return usable
	}
	excluded := func(s *server) bool { return slices.Contains(exclude, s) }
	if others := slices.DeleteFunc(slices.Clone(usable), excluded); len(others) > 0 {
		return others
	}
	return usable
}

// twoRandom draws two usable servers, which may be the same; both are nil if there is none.
func (b *balancer) twoRandom() (first, second *server) {
	servers := b.usable(nil)
	if len(servers) == 0 {
		return nil, nil
	}
	first = servers[b.rng.IntN(len(servers))]
	second = servers[b.rng.IntN(len(servers))]
	return first, second
}

func (b *balancer) forward(id policy.RequestID, r *request) {
	s := b.pick(r)
	if s == nil {
		delete(b.requests, id)
		b.reject(id)
		return
	}
	r.attempts++
	r.tried = append(r.tried, s)
	s.active++
	b.emit(policy.Action{
		Kind:       policy.ActionForward,
		Request:    id,
		Server:     s.addr,
		DurationMs: max(r.deadline-b.now, minAttemptTimeMs),
	})
}

func (b *balancer) reject(id policy.RequestID) {
	b.emit(policy.Action{Kind: policy.ActionReject, Request: id, DurationMs: retryAfterMs})
}

func (b *balancer) attemptEnded(ev *policy.Event) {
	if s := b.byAddr[ev.Server]; s != nil {
		b.recordOutcome(s, ev)
	}
	r := b.requests[ev.Request]
	if r == nil {
		return
	}
	if r.attempts > 1 {
		b.retriesInFlight--
	}
	if ev.Final || ev.Status == policy.OK {
		delete(b.requests, ev.Request)
		return
	}
	r.mayHaveRun = r.mayHaveRun || !ev.Status.NeverRan()
	if b.mayRetry(r, ev.Status) {
		b.retriesInFlight++
		b.forward(ev.Request, r)
		return
	}
	delete(b.requests, ev.Request)
	if r.mayHaveRun {
		b.emit(policy.Action{Kind: policy.ActionFail, Request: ev.Request})
	} else {
		b.reject(ev.Request)
	}
}

func (b *balancer) recordOutcome(s *server, ev *policy.Event) {
	if s.active > 0 {
		s.active--
	}
	if ev.Status == policy.NotStarted || ev.Status == policy.Cancelled {
		return
	}
	if b.observe != nil {
		b.observe(s, ev)
	}
	b.detectOutlier(s, ev.Status)
}

// mayRetry reports whether a request is retried. Other proxies do not know the effects of requests; operators
// commonly configure retries of connect failures, resets and gateway errors for routes that allow them
// ("connect-failure,refused-stream,gateway-error"). Here errors and resets are retried unless
// the class is NonIdempotent, and what never ran is retried for all classes.
func (b *balancer) mayRetry(r *request, status policy.Status) bool {
	if r.attempts > b.retry.max || r.deadline-b.now <= minRetryTimeMs {
		return false
	}
	limit := max(b.retry.budget*float64(len(b.requests)), float64(b.retry.minInFlight))
	return b.retryable(r.class, status) && float64(b.retriesInFlight) < limit
}

func (b *balancer) retryable(class int, status policy.Status) bool {
	switch status {
	case policy.ConnectFailed, policy.Rejected, policy.NotStarted:
		return true
	case policy.Error, policy.Reset:
		return b.settings.Classes[class].Effect != policy.NonIdempotent
	}
	return false
}
