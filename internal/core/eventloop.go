// Package core runs the event loop that owns the balancer and all open requests.
//
// The loop knows no protocol. A downstream submits a Call and receives exactly one Answer; an Upstream makes one
// attempt and returns exactly one Result. Which backend a request goes to, and when, is decided by the policy
// package. The loop carries those decisions out and checks each of them against the contract first (see Guard).
package core

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/policy"
)

const (
	// inboxCapacity bounds the functions that are posted and not yet run. Post blocks beyond it.
	inboxCapacity = 4096
	// closeExpiredInterval is how often upstreams close connections that have idled too long.
	closeExpiredInterval = time.Second
	// rotationInterval is how often the published Rotation is computed again.
	rotationInterval = 200 * time.Millisecond
)

// EventLoop owns the balancer and the state of all requests. One goroutine runs it (Run); everything else reaches
// that state through Post or Call. The loop never blocks: work that may wait runs in goroutines of its own.
type EventLoop struct {
	cfg        Config
	ctx        context.Context
	inbox      chan func()
	clock      clock.Clock
	upstreams  []Upstream
	bodyBudget *semaphore.Weighted // bytes of memory for bodies, shared with downstreams and upstreams
	onReady    func()

	balancer      *policy.Balancer
	actions       []policy.Action // reused between calls of the balancer
	pendingEvents []policy.Event  // raised while actions were dispatched; see handlePending

	nextID             policy.RequestID
	requests           map[policy.RequestID]*Request // open requests, and completed ones with attempts in flight
	requestsByClientID map[string]*Request           // the same requests by the ids that clients gave them
	openRequests       int                           // requests without an answer; bounded by Limits.MaxOpenRequests
	dedup              *recentIDs                    // ids of completed requests that must not run again
	shutdownDeadline   time.Time                     // every request is answered by then; zero: no shutdown
	shared             *sharedConfigState            // nil: the agent uses its own file alone

	endpoints            *endpointTable
	discoveryClient      *discovery.Client
	revision             uint64    // of the endpoint list
	revisionReceivedAt   time.Time // when that revision was applied
	awaitingCompleteList bool      // the current discovery server has not sent a complete list yet
	watching             bool      // a watch is open
	fetching             bool      // a fetch is in progress
	contacted            bool      // discovery was contacted at least once
	discoveryStale       bool      // last value given to Config.DiscoveryStale
	merge                *membership.Merge
	mergeTimer           *time.Timer // next time at which the merge changes without input

	stats          Stats
	unservedLogged [policy.NumRejectReasons]int64 // of counters.Unserved
	counters       *Counters
	rotation       atomic.Pointer[Rotation]
	logLimiter     *rate.Limiter
	logLines       chan func() // lines on their way to writeLog
}

// New returns an event loop that has not started. bodyBudget is the memory for bodies, in bytes, which downstreams
// and upstreams share. onReady is called in the loop each time that requests can be served.
func New(ctx context.Context, cfg Config, bodyBudget *semaphore.Weighted, upstreams []Upstream, onReady func()) (*EventLoop, error) {
	balancer, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &EventLoop{
		cfg:                cfg,
		ctx:                ctx,
		inbox:              make(chan func(), inboxCapacity),
		clock:              clock.New(),
		upstreams:          upstreams,
		bodyBudget:         bodyBudget,
		onReady:            onReady,
		balancer:           balancer,
		requests:           map[policy.RequestID]*Request{},
		requestsByClientID: map[string]*Request{},
		dedup:              newRecentIDs(),
		endpoints:          newEndpointTable(cfg.Zones, cfg.MachineTypes),
		counters:           newCounters(cfg.Settings.Classes),
		logLimiter:         rate.NewLimiter(logLinesPerSecond, logBurst),
		logLines:           make(chan func(), logBacklog),
	}
	for _, id := range cfg.Cordoned {
		l.endpoints.cordoned[id] = true
	}
	for _, id := range cfg.SeenIDs {
		l.endpoints.addSeen(id)
	}
	if cfg.WatchNodes != nil {
		l.merge = membership.NewMerge(cfg.Merge)
	}
	if cfg.SharedConfig != nil {
		l.initSharedConfig()
	}
	l.useDiscovery(cfg.Discovery)
	return l, nil
}

// Post queues a function to run in the loop. It may block, so the loop itself never calls it. Once the loop's
// context has ended the function may be dropped.
func (l *EventLoop) Post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// Do runs a function in the loop and waits for it, for at most timeout. It reports whether the function has
// returned by then; one that has not may still run.
func (l *EventLoop) Do(timeout time.Duration, f func()) bool {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	done := make(chan struct{})
	select {
	case l.inbox <- func() { f(); close(done) }:
	case <-expired.C:
		return false
	case <-l.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-expired.C:
	case <-l.ctx.Done():
	}
	return false
}

// Run runs the loop until its context ends.
func (l *EventLoop) Run() {
	go l.writeLog()
	l.start()
	if l.merge != nil {
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			l.watchNodes()
		}()
		defer func() { <-followed }()
	}
	closeExpired := time.NewTicker(closeExpiredInterval)
	defer closeExpired.Stop()
	logUnserved := time.NewTicker(unservedLogInterval)
	defer logUnserved.Stop()
	var publish <-chan time.Time // nil: nobody reads the rotation
	if l.cfg.PublishRotation {
		ticker := time.NewTicker(rotationInterval)
		defer ticker.Stop()
		publish = ticker.C
	}
	l.publishRotation()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.handlePending()
		case <-publish:
			l.publishRotation()
		case <-logUnserved.C:
			l.logUnserved()
		case <-closeExpired.C:
			for _, u := range l.upstreams {
				u.CloseExpired()
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// start starts the balancer with the cached endpoint list, however old that is.
func (l *EventLoop) start() {
	l.dispatch(l.balancer.Start(l.now(), l.actions[:0]))
	l.setDiscoveryStale(true) // the cached list was received by an earlier process
	l.updateEndpoints(&l.cfg.CachedEndpoints, policy.UpdateCached, true)
	l.handlePending()
	l.notifyReady()
	if l.updatesPushed() && !l.watching {
		l.startWatch()
	}
}

// now is the loop's clock in ms: Unix time that never goes back, comparable with an endpoint's StartedMs.
func (l *EventLoop) now() float64 { return l.clock.Ms() }

// handle gives the balancer one event and dispatches the actions that it returns.
func (l *EventLoop) handle(event *policy.Event) {
	l.dispatch(l.balancer.Handle(l.now(), event, l.actions[:0]))
}

// handlePending handles the events that were raised while actions were dispatched.
func (l *EventLoop) handlePending() {
	for len(l.pendingEvents) > 0 {
		event := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&event)
	}
	l.pendingEvents = nil
}

// notifyReady calls onReady if requests can be served.
func (l *EventLoop) notifyReady() {
	if l.endpoints.usable() && (l.shared == nil || l.shared.serving) {
		l.onReady()
	}
}

// durationFromMs converts a time of the balancer, in ms.
func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// msFromDuration converts a time for the balancer, in ms with a resolution of 1 µs.
func msFromDuration(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
