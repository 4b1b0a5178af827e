// Package core runs the event loop that owns the balancer and all open requests.
//
// The loop is independent of the protocols. A downstream submits a Call and receives exactly one Answer; an
// Upstream makes one attempt and returns exactly one Result. The policy package decides which backend a
// request is sent to, and when. The loop checks each of these decisions against the contract (see Guard)
// and then carries it out.
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
	// inboxCapacity bounds the functions that are posted and not yet run. Post blocks while the inbox is
	// full.
	inboxCapacity = 4096
	// closeExpiredInterval is how often upstreams close connections that have been idle for too long.
	closeExpiredInterval = time.Second
	// rotationInterval is how often the published Rotation is recomputed.
	rotationInterval = 200 * time.Millisecond
)

// EventLoop owns the balancer and the state of all requests. One goroutine runs it (Run); all other
// goroutines access that state through Post or Do. The loop never blocks: work that may wait runs in other
// goroutines.
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
	requests           map[policy.RequestID]*Request // open, or completed with attempts in flight
	requestsByClientID map[string]*Request           // the same requests by the ids set by their clients
	openRequests       int                           // without an answer; bounded by Limits.MaxOpenRequests
	dedup              *recentIDs                    // ids of completed requests that must not run again
	shutdownDeadline   time.Time                     // by which every request is answered; zero: no shutdown
	acceptUntil        time.Time                     // calls that were received later are rejected; zero: no shutdown
	shared             *sharedConfigState            // nil: only the agent's own file applies

	endpoints            *endpointTable
	discoveryClient      *discovery.Client
	revision             uint64    // of the endpoint list
	revisionReceivedAt   time.Time // when that revision was applied
	awaitingCompleteList bool      // the current discovery server has not sent a complete list yet
	watching             bool      // a watch is open
	fetching             bool      // a fetch is in progress
	discoveryContacted   bool      // discovery was contacted at least once
	discoveryStale       bool      // last value passed to Config.DiscoveryStale
	merge                *membership.Merge
	mergeTimer           *time.Timer // fires when the merge next changes without input

	stats          Stats
	unservedLogged [policy.NumRejectReasons]int64 // of counters.Unserved
	counters       *Counters
	rotation       atomic.Pointer[Rotation]
	logLimiter     *rate.Limiter
	logLines       chan func() // lines queued for writeLog
}

// New returns an event loop that is not running yet. bodyBudget is the memory for bodies, in bytes, shared
// by downstreams and upstreams. onReady is called in the loop whenever requests can be served; it may be
// called repeatedly.
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

// Post queues a function to run in the loop. It may block, so it must not be called by the loop itself.
// Once the loop's context has ended the function may be dropped.
func (l *EventLoop) Post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// Do runs a function in the loop and waits for it, for at most timeout. It reports whether the function has
// returned; if it has not, it may still run later.
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
		watchEnded := make(chan struct{})
		go func() {
			defer close(watchEnded)
			l.watchNodes()
		}()
		defer func() { <-watchEnded }()
	}
	closeExpired := time.NewTicker(closeExpiredInterval)
	defer closeExpired.Stop()
	logUnserved := time.NewTicker(unservedLogInterval)
	defer logUnserved.Stop()
	var publish <-chan time.Time // nil: the rotation is not published periodically
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

// start starts the balancer with the cached endpoint list, regardless of its age.
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

// now returns the time of the loop's clock: monotonic Unix time in ms, comparable with an endpoint's
// StartedMs.
func (l *EventLoop) now() float64 { return l.clock.Ms() }

// handle passes one event to the balancer and dispatches the actions that it returns.
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

// durationFromMs converts a duration used by the balancer, in ms.
func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// msFromDuration converts a duration for the balancer, to ms with a resolution of 1 µs.
func msFromDuration(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
