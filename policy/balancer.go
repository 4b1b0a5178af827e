package policy

import (
	"math"
	"math/rand/v2"

	"ringtrack.example/ringtrack/internal/concurrency"
	"ringtrack.example/ringtrack/internal/limits"
)

// Tokens of the timers set by a Balancer.
const (
	tickTimerToken = 1
	pollTimerToken = 2
)

// minTickMs is the minimum time between two ticks.
const minTickMs = 5

// Balancer makes the decisions of one agent. It is not safe for concurrent use. Its times are in
// milliseconds of the caller's clock.
type Balancer struct {
	settings       Settings
	minObjectiveMs float64 // lowest latency objective of the classes
	rng            *rand.Rand

	// The event being handled.
	now     float64
	actions []Action

	servers        []*server              // sorted by address
	byAddr         map[Addr]*server       // listed servers and removed ones with attempts in flight
	requests       map[RequestID]*request // unanswered requests and those with an open attempt
	queued         []*request             // requests without an open attempt, at most maxQueued
	unserved       []unservedRequest      // at most maxQueued
	inflight       int                    // attempts in flight
	tierGeneration uint64                 // incremented when a tier or the endpoint list changes
	tick           tickTimer

	// Statistics.
	fleet       fleetStats
	classes     classStats
	tenantUsage usageShares
	hints       hintRegression

	// Rules.
	goodput        goodput
	shedder        limits.LoadShedder
	fairShare      *limits.FairShare
	queueTimeout   limits.QueueTimeout
	keys           keyPopularity
	recentKeys     *concurrency.RecentKeys
	locality       localityWeight
	keyless        keylessLimit
	reportFields   concurrency.ReportFields
	slowStart      slowStartState
	retryBudget    retryBudget
	healthChecks   healthCheckBudget
	discovery      discoveryState
	capacityScarce bool    // a request that may go to any server found no capacity
	minEjectionMs  float64 // set by Observe, otherwise 0

	// Reused buffers.
	candidateBuffer  []*server
	flowWeightBuffer []float64
}

// tickTimer is the timer that runs while requests are queued or in flight.
type tickTimer struct {
	armed bool
	at    float64
}

// New returns the balancer of one agent, or an error that names the first invalid setting. The seed is its
// only source of randomness.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:       settings,
		minObjectiveMs: math.Inf(1),
		rng:            rand.New(rand.NewPCG(seed, mix64(seed))),
		byAddr:         map[Addr]*server{},
		requests:       map[RequestID]*request{},
		classes:        newClassStats(settings.Classes),
		tenantUsage:    make(usageShares, len(settings.Tenants)),
		goodput:        newGoodput(),
		fairShare:      limits.NewFairShare(len(settings.Tenants) * len(settings.Classes)),
		keys:           newKeyPopularity(),
		recentKeys:     concurrency.NewRecentKeys(recentKeyMs, maxRecentKeys),
		locality:       newLocalityWeight(settings.Prices.CrossZone),
		keyless:        newKeylessLimit(),
		reportFields:   concurrency.NewReportFields(settings.Report.Names),
		retryBudget:    newRetryBudget(),
		healthChecks:   newHealthCheckBudget(),
		discovery:      discoveryState{fetchedAt: math.Inf(-1)},
	}
	for i := range settings.Classes {
		b.minObjectiveMs = min(b.minObjectiveMs, settings.Classes[i].LatencyObjectiveMs)
	}
	return b, nil
}

// UpdateSettings replaces the classes, the attempts per request and the contract, and no other setting. It
// does nothing if the number of classes differs. Attempts in flight are not changed; later decisions follow
// the new settings.
func (b *Balancer) UpdateSettings(settings Settings) {
	if len(settings.Classes) == len(b.settings.Classes) {
		b.settings.Classes = settings.Classes
		b.settings.Limits.MaxAttempts = settings.Limits.MaxAttempts
		b.settings.Contract = settings.Contract
	}
}

// Start appends the initial actions of an agent to out. It is called once, before Handle.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now = now
	b.actions = out
	b.startDiscovery()
	return b.actions
}

// Handle processes one event and appends the resulting actions to out. An event for a request, an attempt or
// a server that is unknown or finished is ignored. The event is not retained.
func (b *Balancer) Handle(now float64, event *Event, out []Action) []Action {
	b.now = now
	b.actions = out
	ev := event.sanitized()
	if len(b.queued) == 0 {
		b.queueTimeout.QueueLength(b.now, 0) // the queue was empty until now
	}
	b.handleEvent(ev)
	b.dispatch()
	b.armTickTimer()
	return b.actions
}

// handleEvent calls the handler of the event's kind.
func (b *Balancer) handleEvent(ev *Event) {
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventAttemptEnded:
		b.onAttemptEnded(ev)
	case EventResponseStarted:
		b.onResponseStarted(ev)
	case EventBodyWritten:
		b.onBodyWritten(ev)
	case EventDeadlineShortened:
		b.onDeadlineShortened(ev)
	case EventClientDisconnected:
		b.onClientDisconnected(ev)
	case EventEndpointUpdate:
		b.onEndpointUpdate(ev)
	case EventHealthCheckEnded:
		b.onHealthCheckEnded(ev)
	case EventTimer:
		b.onTimer(ev.Token)
	}
}

// sanitized returns a copy of the event with 0 in place of negative numbers, infinities and NaN.
func (ev *Event) sanitized() *Event {
	e := *ev
	e.RemainingMs = nonNegative(e.RemainingMs)
	e.WorkHintMs = nonNegative(e.WorkHintMs)
	e.LatencyMs = nonNegative(e.LatencyMs)
	return &e
}

// emit appends an action to those of the event being handled.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// armTickTimer sets the tick timer: for the next tick while requests are queued, otherwise for the time at
// which the first server with attempts in flight counts as silent. With nothing queued or in flight no timer
// runs.
func (b *Balancer) armTickTimer() {
	wait := max(2*b.settings.BatchIntervalMs, minTickMs)
	if len(b.queued) == 0 {
		wait = max(b.nextSilenceAt()-b.now, wait)
	}
	at := b.now + wait
	idle := len(b.queued)+b.inflight == 0
	if math.IsInf(at, 1) || idle || b.tick.armed && at >= b.tick.at {
		return
	}
	b.tick.armed = true
	b.tick.at = at
	b.emit(Action{Kind: ActionTimer, DurationMs: wait, Token: tickTimerToken})
}

// onTimer handles a timer that has expired.
func (b *Balancer) onTimer(token uint32) {
	switch token {
	case pollTimerToken:
		b.emit(Action{Kind: ActionWatchEndpoints})
	case tickTimerToken:
		b.tick.armed = b.tick.armed && b.now < b.tick.at-1 // an earlier timer, replaced by the armed one
		b.ejectSilent()
		b.expire()
	}
}
