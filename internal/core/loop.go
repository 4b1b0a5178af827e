package core

import (
	"context"
	"log/slog"
	"math"
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
	// closeExpiredInterval is how often connections that idle too long are closed.
	closeExpiredInterval = time.Second
	// rotationInterval is how often the rotation of backends is counted anew for operators.
	rotationInterval = 200 * time.Millisecond
	// healthCheckTimeout is how long the answer to a probe may take: it is given beside the queue, so that whoever
	// is silent for longer stands still.
	healthCheckTimeout = 500 * time.Millisecond
	// pushedMinBackoff and pushedMost bound the pause after a call that failed, where lists are pushed: the roster
	// is then on the agent's own machine, and a call costs nobody else anything.
	pushedMinBackoff, pushedMaxBackoff = 100 * time.Millisecond, time.Second
)

// EventLoop owns the module and all state of requests. One goroutine runs it; all
// else reaches it through Post. It never blocks: what may wait runs in
// goroutines of its own.
type EventLoop struct {
	cfg             Config
	ctx             context.Context
	balancer        *policy.Balancer
	endpoints       *endpointTable
	upstreams       []Upstream
	bodyBudget      *semaphore.Weighted // memory for bodies
	discoveryClient *discovery.Client
	logLimiter      *rate.Limiter // the log is bounded work on one core
	logLines        chan func()   // log lines on their way to whoever reads the log

	inbox                chan func()
	clock                clock.Clock
	nextID               policy.RequestID
	requests             map[policy.RequestID]*Request // bound: openCap open ones, and those answered whose attempts still end
	requestsByClientID   map[string]*Request           // the same by the clients' ids
	dedup                *recentIDs                    // ids of requests that are over and must not run again
	openRequests         int                           // requests that have no answer yet
	pendingEvents        []policy.Event
	actions              []policy.Action
	revision             uint64    // of the list
	revisionReceivedAt   time.Time // when that version came
	awaitingCompleteList bool      // of this discovery no whole list has come yet
	shutdownDeadline     time.Time // the process ends: by then what is taken from now on has its answer
	watching             bool
	contacted            bool // discovery was, at least once
	fetching             bool
	discoveryStale       bool // no answer has come since the watch broke, or to the first call
	onReady              func()
	stats                Stats
	counters             *Counters
	rotation             atomic.Pointer[Rotation]
	shared               *sharedConfigState // nil: no rules are agreed on with others

	merge      *membership.Merge // of the roster with what runs; nil: there is the roster alone
	mergeTimer *time.Timer       // when the merge has something to tell by time alone
}

// Stats are counted for the log at the end.
type Stats struct {
	Accepted, Served, Rejected, Failed, Disconnected, DeadlineExceeded, GuardViolations int
}

// Request is a call in the loop, kept until it is answered and no attempt is out.
type Request struct {
	id                policy.RequestID
	call              *Call
	answered          bool
	narrowestClass    *policy.Class // the narrowest that its rules were while it was open; nil: they never changed
	streaming         bool          // its answer's rest is still on its way to the client
	attempts          []*attempt
	inFlight          int             // attempts out
	mayHaveRun        int             // attempts that are out or may have run
	firstSentAt       time.Time       // of a keyed one: when the first of them was sent
	firstSentTo       policy.Endpoint // and where to, as that was listed then
	bodyConsumed      bool
	deadlineShortened bool // its time was cut short by the end of the process
	idClaimed         bool // its id is taken from the agent's other processes
	backstop          *time.Timer
}

type attempt struct {
	backend *Backend
	cancel  context.CancelFunc
	done    bool
}

// New returns a loop that has not started. budget is the memory for bodies, which fronts and upstreams
// share; ready is called whenever a backend is known to be in service.
func New(ctx context.Context, cfg Config, budget *semaphore.Weighted, upstreams []Upstream, ready func()) (*EventLoop, error) {
	balancer, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &EventLoop{cfg: cfg, ctx: ctx, balancer: balancer, endpoints: newEndpointTable(cfg.Zones, cfg.MachineTypes),
		bodyBudget: budget, logLimiter: rate.NewLimiter(5, 50), logLines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clock:    clock.New(),
		requests: map[policy.RequestID]*Request{}, requestsByClientID: map[string]*Request{}, dedup: newRecentIDs(), onReady: ready}
	l.upstreams, l.counters = upstreams, newCounters(cfg.Settings.Classes)
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

// useDiscovery makes an address the one that is asked. What another still has to say is
// dropped: it comes late, and its versions are not those of this one.
func (l *EventLoop) useDiscovery(addr string) {
	d := discovery.NewClient(l.ctx, addr)
	if l.updatesPushed() {
		d.PollFrequently()
	}
	d.SetPollSlot(l.cfg.Settings.ReplicaIndex, l.cfg.Settings.Replicas)
	d.OnSilent = func(err error) {
		l.Post(func() {
			if l.discoveryClient == d {
				l.discoveryFailed(err)
				l.setDiscoveryStale(true)
			}
		})
	}
	d.OnAlive = func() {
		l.Post(func() {
			if l.discoveryClient == d {
				l.setDiscoveryStale(false)
			}
		})
	}
	d.OnUpdate = func(list *membership.List, watch bool, err error) {
		l.Post(func() {
			if l.discoveryClient == d {
				l.discoveryAnswered(list, watch, err)
			}
		})
	}
	l.discoveryClient = d
}

// updatesPushed tells whether lists come unasked, as the module has it. On sockets somebody has to ask all the same,
// and the module, which never will, must not be left with the list that came with the start.
func (l *EventLoop) updatesPushed() bool { return l.cfg.Settings.DiscoveryMode == "pushed" }

// startWatch follows the discovery of now: until it fails, which the module is told, or for good where it counts
// on being told.
func (l *EventLoop) startWatch() {
	l.watching = true
	if !l.contacted && !l.endpoints.usable() {
		go l.discoveryClient.FetchInitial()
	}
	l.contacted = true
	if l.updatesPushed() {
		go l.discoveryClient.Follow(pushedMinBackoff, pushedMaxBackoff)
		return
	}
	l.setDiscoveryStale(true)
	go l.discoveryClient.Watch(l.revision, l.awaitingCompleteList)
}

// setDiscoveryStale notes whether what is known may be older than what discovery has told others, for whoever keeps it.
func (l *EventLoop) setDiscoveryStale(stale bool) {
	if l.cfg.DiscoveryStale == nil || l.updatesPushed() || l.discoveryStale == stale {
		return
	}
	l.discoveryStale = stale
	l.cfg.DiscoveryStale(stale)
}

// SwitchDiscovery leaves the discovery for another and asks that for its whole list. Until
// it comes the table stays as it is.
func (l *EventLoop) SwitchDiscovery(addr string) {
	if addr == l.discoveryClient.Addr {
		return
	}
	l.discoveryClient.Close()
	l.useDiscovery(addr)
	l.revision, l.awaitingCompleteList, l.fetching = 0, true, false
	l.startWatch()
}

// notifyReady tells that requests can be served, if they can.
func (l *EventLoop) notifyReady() {
	if l.endpoints.usable() && (l.shared == nil || l.shared.serving) {
		l.onReady()
	}
}

// Post hands the loop something to do; it may wait, so the loop itself never calls it.
func (l *EventLoop) Post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// Call has the loop do something and waits for it, for so long at the most; it tells whether it was done by then.
// What was not may still be done.
func (l *EventLoop) Call(within time.Duration, f func()) bool {
	over := time.NewTimer(within)
	defer over.Stop()
	done := make(chan struct{})
	select {
	case l.inbox <- func() { f(); close(done) }:
	case <-over.C:
		return false
	case <-l.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-over.C:
	case <-l.ctx.Done():
	}
	return false
}

// Run is the loop; it ends with the context.
func (l *EventLoop) Run() {
	go l.writeLog()
	l.dispatch(l.balancer.Start(l.now(), l.actions[:0]))
	l.setDiscoveryStale(true) // what is known now is the list of a process before this one
	// The list as last had comes with the start, however old, as at the simulator.
	l.updateEndpoints(&l.cfg.CachedEndpoints, policy.UpdateCached, true)
	l.handlePending()
	l.notifyReady()
	if l.updatesPushed() && !l.watching {
		l.startWatch()
	}
	if l.merge != nil {
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			l.cfg.WatchNodes(l.ctx, func(apply func(*membership.Merge, float64)) {
				l.Post(func() {
					apply(l.merge, l.now())
					l.applyMergeChanges(policy.UpdateOtherSource)
				})
			})
		}()
		defer func() { <-followed }()
	}
	sweep := time.NewTicker(closeExpiredInterval)
	defer sweep.Stop()
	var count <-chan time.Time // nil: nobody asks
	if l.cfg.PublishRotation {
		publish := time.NewTicker(rotationInterval)
		defer publish.Stop()
		count = publish.C
	}
	l.publishRotation()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.handlePending()
		case <-count:
			l.publishRotation()
		case <-sweep.C:
			for _, u := range l.upstreams {
				u.CloseExpired()
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// now is the clock in ms: Unix time, as started_ms of the list, that only advances.
func (l *EventLoop) now() float64 { return l.clock.Ms() }

// handle gives the module one event and carries out what it answers.
func (l *EventLoop) handle(ev *policy.Event) {
	l.dispatch(l.balancer.Handle(l.now(), ev, l.actions[:0]))
}

// closeIdle closes the idle connections to a backend.
func (l *EventLoop) closeIdle(b *Backend) {
	for _, u := range l.upstreams {
		u.CloseIdle(b)
	}
}

// ShutDownBy tells that the process ends: what is open, and what is taken from now on, has its answer by then, whatever
// time its client would give it. A process that waited for the longest would be killed first, and a request that it
// still held then is lost. It is called in the loop.
func (l *EventLoop) ShutDownBy(t time.Time) {
	l.shutdownDeadline = t
	left, backstop := RequestTimeouts(time.Until(t))
	for _, r := range l.requests {
		if r.answered || !r.call.Deadline.After(t) {
			continue
		}
		r.call.Deadline, r.deadlineShortened = t, true
		r.backstop.Reset(max(backstop, 0))
		l.handle(&policy.Event{Kind: policy.EventDeadlineShortened, Request: r.id, RemainingMs: float64(max(left, 0).Microseconds()) / 1000})
	}
}

// Stats are the counts so far. It is called in the loop, or after its end.
func (l *EventLoop) Stats() Stats { return l.stats }

// Discovery is the discovery that is asked now. It is called in the loop, or before it runs.
func (l *EventLoop) Discovery() *discovery.Client { return l.discoveryClient }

// IsListed tells whether a backend of this id is known. It is called in the loop.
func (l *EventLoop) IsListed(id string) bool { return l.endpoints.byID[id] != nil }

// handlePending handles the events that carrying out actions has raised.
func (l *EventLoop) handlePending() {
	for len(l.pendingEvents) > 0 {
		ev := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&ev)
	}
	l.pendingEvents = nil
}

func (l *EventLoop) dispatch(actions []policy.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActionForward:
			l.forward(a)
		case policy.ActionCancel:
			if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.done && t.cancel != nil {
					t.cancel()
				}
			}
		case policy.ActionReject:
			if r := l.requests[a.Request]; r != nil {
				l.reject(r, a.DurationMs)
			}
		case policy.ActionFail:
			if r := l.requests[a.Request]; r != nil {
				l.complete(r, Answer{Outcome: Failed})
			}
		case policy.ActionTimer:
			token := a.Token
			time.AfterFunc(durationFromMs(a.DurationMs), func() {
				l.Post(func() { l.handle(&policy.Event{Kind: policy.EventTimer, Token: token}) })
			})
		case policy.ActionWatchEndpoints:
			if !l.watching { // one watch is enough; it tells what another would
				l.startWatch()
			}
		case policy.ActionFetchEndpoints:
			if !l.fetching {
				l.fetching = true
				go l.discoveryClient.Fetch()
			}
		case policy.ActionCloseIdle:
			if b := l.endpoints.byAddr[a.Server]; b != nil {
				l.closeIdle(b)
			}
		case policy.ActionLog:
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case policy.ActionHealthCheck:
			l.startHealthCheck(a.Server)
		}
	}
}

// ---- requests ----

// Submit gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *EventLoop) Submit(c *Call) *Request {
	l.stats.Accepted++
	l.nextID++
	r := &Request{id: l.nextID, call: c}
	l.openRequests++
	l.counters.Open.Add(1)
	if l.requestsByClientID[c.ID] != nil || l.dedup.contains(time.Now(), c.ID) || !l.claimID(r) {
		// Somebody else's, or its own that may still run, or has: neither is to be touched.
		l.complete(r, Answer{Outcome: Failed, Reason: Duplicate})
		return r
	}
	if !l.shutdownDeadline.IsZero() {
		c.Deadline = earliest(c.Deadline, l.shutdownDeadline)
	}
	left := time.Until(c.Deadline)
	if c.TimeAfterBody > 0 {
		left = c.TimeAfterBody
	}
	most := l.cfg.Settings.Limits.MaxOpenRequests
	if left <= 0 || c.NoConnections || most > 0 && l.openRequests > most || l.shared.rejecting(time.Now()) {
		l.releaseID(r)
		l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id], l.requestsByClientID[c.ID] = r, r
	left, backstop := RequestTimeouts(left)
	if c.TimeAfterBody > 0 {
		backstop = time.Until(c.Deadline)
		c.onBodyWritten = func(at time.Time) { l.Post(func() { l.bodyWritten(r, at) }) }
	}
	r.backstop = time.AfterFunc(backstop, func() {
		l.Post(func() { l.deadlineExceeded(r) })
	})
	l.handle(&policy.Event{Kind: policy.EventRequest, StreamedBody: c.TimeAfterBody > 0, Request: r.id, Class: c.Class, Tenant: c.Tenant,
		Key: c.Key, RemainingMs: float64(left.Microseconds()) / 1000, WorkHintMs: c.HintMs,
		HasWorkHint: c.HasHint, Retry: c.Retry})
	return r
}

// bodyWritten begins a streamed call's time: its last byte has gone to a backend.
func (l *EventLoop) bodyWritten(r *Request, at time.Time) {
	if r.answered {
		return
	}
	r.call.Deadline = at.Add(r.call.TimeAfterBody)
	if !l.shutdownDeadline.IsZero() {
		r.call.Deadline = earliest(r.call.Deadline, l.shutdownDeadline)
	}
	left, backstop := RequestTimeouts(time.Until(r.call.Deadline))
	r.backstop.Reset(max(backstop, 0))
	l.handle(&policy.Event{Kind: policy.EventBodyWritten, Request: r.id, Attempt: len(r.attempts) - 1,
		RemainingMs: float64(max(left, 0).Microseconds()) / 1000})
}

// deadlineExceeded is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted; unless its time was cut short
// under an attempt, which then has more.
func (l *EventLoop) deadlineExceeded(r *Request) {
	if r.answered {
		return
	}
	if !r.deadlineShortened {
		l.stats.DeadlineExceeded++
		l.log(slog.LevelWarn, "backstop ended a request", "attempts", len(r.attempts), "out", r.inFlight,
			"late_ms", float64(time.Since(r.call.Deadline.Add(-backstopMargin)).Microseconds())/1000)
	}
	l.complete(r, Answer{Outcome: Failed, Reason: DeadlineExceeded})
	l.abandon(r)
}

// ClientDisconnected is called when a client has gone away.
func (l *EventLoop) ClientDisconnected(r *Request) {
	if r.answered {
		select {
		case a := <-r.call.Answer: // nobody will
			l.bodyBudget.Release(a.ReservedBytes)
			if closeReply(a.Reply); isStreamed(a.Reply) {
				l.counters.CountStreamed(r.call.Class, Failed)
			}
		default:
		}
		return
	}
	l.stats.Disconnected++
	l.close(r)
	l.abandon(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *EventLoop) abandon(r *Request) {
	for _, t := range r.attempts {
		if !t.done && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&policy.Event{Kind: policy.EventClientDisconnected, Request: r.id})
}

// reject answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *EventLoop) reject(r *Request, afterMs float64) {
	if !MayReject(l.class(r), r.mayHaveRun) {
		l.reportViolation("refusal after an attempt that may have run")
		l.complete(r, Answer{Outcome: Failed})
		return
	}
	l.complete(r, Answer{Outcome: Rejected, RetryAfterMs: afterMs})
}

// complete gives the final answer; only the first counts.
func (l *EventLoop) complete(r *Request, a Answer) {
	if r.answered {
		return
	}
	if r.streaming = isStreamed(a.Reply); !r.streaming { // else its front says how it ends
		l.counters.Count(r.call.Class, a.Outcome)
	}
	switch a.Outcome {
	case Served:
		l.stats.Served++
	case Rejected:
		l.stats.Rejected++
	case Failed:
		l.stats.Failed++
	}
	l.close(r) // first: who has the answer may bring the id of what never ran to another process at once
	r.call.Answer <- a
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *EventLoop) close(r *Request) {
	if !r.answered {
		r.answered = true
		l.openRequests--
		if !r.streaming {
			l.counters.Open.Add(-1)
		}
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	l.forget(r)
}

// forget drops a request that is over once no attempt is out.
func (l *EventLoop) forget(r *Request) {
	if r.answered && r.inFlight == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		delete(l.requestsByClientID, r.call.ID)
		if r.mayHaveRun > 0 && l.dedup.applies(l.class(r), r.call) {
			l.dedup.add(time.Now(), r.call.ID)
			l.retainID(r)
		} else {
			l.releaseID(r)
		}
	}
}

// ---- attempts ----

func (l *EventLoop) forward(a *policy.Action) {
	r := l.requests[a.Request]
	if r == nil {
		// The request is over and forgotten: nothing can be sent, or counted.
		l.reportViolation("attempt for a request that is over")
		return
	}
	index := len(r.attempts)
	b := l.endpoints.byAddr[a.Server]
	t := &attempt{backend: b}
	r.attempts = append(r.attempts, t)
	until := r.call.Deadline.Add(-backstopMargin)
	now := time.Now()
	if a.DurationMs != 0 && r.call.TimeAfterBody == 0 {
		until = earliest(until, now.Add(durationFromMs(a.DurationMs)))
	}
	var repeatBy time.Time
	if r.mayHaveRun > 0 && l.class(r).Effect == policy.IdempotentByKey {
		repeatBy = r.firstSentAt.Add(RetryWindow(l.class(r)))
	}
	if why := l.violation(r, b, now, until, repeatBy); why != "" {
		l.reportViolation(why)
		t.done = true
		if len(r.attempts) > MaxForwardActions(l.cfg.Settings.Limits.MaxAttempts) {
			l.complete(r, Answer{Outcome: Failed})
			return
		}
		l.pendingEvents = append(l.pendingEvents, policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: index,
			Server: a.Server, Status: policy.NotStarted, Final: r.answered})
		return
	}
	if r.mayHaveRun == 0 && l.class(r).Effect == policy.IdempotentByKey {
		r.firstSentAt, r.firstSentTo = now, l.endpoints.endpoint(b)
	}
	r.call.RetryBefore = l.shared.startDeadline(index, repeatBy) // no attempt is out that could read it
	r.call.Superseded.Store(false)
	r.inFlight++
	r.mayHaveRun++
	b.inFlight++
	ctx, cancel := context.WithCancel(l.ctx)
	t.cancel = cancel
	addr := b.addr
	go func() {
		res := r.call.Upstream.Do(ctx, b, addr, r.call, now, until)
		cancel()
		l.Post(func() { l.attemptEnded(r, index, &res) })
	}()
}

// violation guards the contract whatever the module says; "" allows the attempt. repeatBy is until when it may
// repeat one that may have run; zero: it repeats none, or at any time.
func (l *EventLoop) violation(r *Request, b *Backend, now, until, repeatBy time.Time) string {
	c := l.class(r)
	g := Guard{Completed: r.answered, Listed: b != nil && b.addr != "", HasTime: until.After(now), InFlight: r.inFlight, MayHaveRun: r.mayHaveRun,
		BodyConsumed: r.bodyConsumed, Attempts: len(r.attempts), MaxAttempts: l.cfg.Settings.Limits.MaxAttempts, Effect: c.Effect}
	g.Unavailable = g.Listed && b.unavailable.Load()
	if by := l.shared.startDeadline(len(r.attempts)-1, time.Time{}); !by.IsZero() {
		g.LeaseExpired = !now.Before(by)
	}
	if g.Listed && !repeatBy.IsZero() {
		to := l.endpoints.endpoint(b)
		g.WindowExpired, g.OutsideScope = now.After(repeatBy), !InDedupScope(c.DedupScope, &r.firstSentTo, &to)
	}
	return g.Violation()
}

// class is a request's.
func (l *EventLoop) class(r *Request) *policy.Class {
	if r.narrowestClass != nil {
		return r.narrowestClass
	}
	return &l.cfg.Settings.Classes[r.call.Class]
}

// attemptEnded takes the end of an attempt.
func (l *EventLoop) attemptEnded(r *Request, index int, res *Result) {
	t := r.attempts[index]
	t.done = true
	r.bodyConsumed = r.bodyConsumed || res.BodyConsumed
	t.backend.inFlight--
	r.inFlight--
	if res.Status.NeverRan() {
		r.mayHaveRun--
	}
	switch {
	case r.answered:
		l.bodyBudget.Release(res.ReservedBytes)
		closeReply(res.Reply)
	case res.ClientDisconnected:
		l.ClientDisconnected(r) // its front will notice, too; by then the request is over
	case res.Status == policy.OK:
		l.complete(r, Answer{Outcome: Served, Reply: res.Reply, ReservedBytes: res.ReservedBytes})
	case res.Status == policy.Cancelled && res.NoReplyExpected:
		l.complete(r, Answer{Outcome: Served})
	case res.Status == policy.Cancelled && res.BadRequest:
		// The backend found fault with the request: so would any other.
		l.complete(r, Answer{Outcome: Failed, Reason: BadRequest, Reply: res.Reply, ReservedBytes: res.ReservedBytes})
	case res.IncompleteRequest:
		l.bodyBudget.Release(res.ReservedBytes)
		l.complete(r, Answer{Outcome: Failed, Reason: IncompleteRequest})
	case res.BodyConsumed:
		// Nothing is left that could be sent again.
		l.bodyBudget.Release(res.ReservedBytes)
		if MayReject(l.class(r), r.mayHaveRun) {
			l.complete(r, Answer{Outcome: Rejected, RetryAfterMs: l.cfg.Settings.Limits.MaxRetryAfterMs})
		} else {
			l.complete(r, Answer{Outcome: Failed})
		}
	default:
		l.bodyBudget.Release(res.ReservedBytes)
	}
	l.handle(&policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: index, Server: t.backend.name,
		Status: res.Status, LatencyMs: res.LatencyMs, Final: r.answered, Report: res.Report})
	l.forget(r)
	l.endpoints.forget(t.backend)
}

// ---- probes ----

// startHealthCheck asks a backend how it is. The module gets exactly one answer, whatever becomes of it: it bounds the
// probes that are out, and one that it waits for for ever would be the last.
func (l *EventLoop) startHealthCheck(name policy.Addr) {
	b := l.endpoints.byAddr[name]
	if b == nil || b.addr == "" || b.unavailable.Load() || l.cfg.HealthCheck == nil || !l.cfg.Settings.Limits.HealthChecks {
		l.reportViolation("probe of a backend that is not to be asked")
		l.pendingEvents = append(l.pendingEvents, policy.Event{Kind: policy.EventHealthCheckEnded, Server: name, Status: policy.NotStarted})
		return
	}
	b.inFlight++
	addr, now := b.addr, time.Now()
	go func() {
		res := l.cfg.HealthCheck(l.ctx, b, addr, now, now.Add(healthCheckTimeout))
		l.Post(func() {
			b.inFlight--
			l.handle(&policy.Event{Kind: policy.EventHealthCheckEnded, Server: name, Status: res.Status, LatencyMs: res.LatencyMs, Report: res.Report})
			l.endpoints.forget(b)
		})
	}()
}

// ---- discovery ----

// discoveryAnswered takes an answer of discovery. A watch and a fetch may cross: what is
// older than the list at hand is dropped, but for a whole list on the watch,
// which is how a discovery that started again from nothing says so. That one was
// asked for after the list at hand had come: an older call's answer, read late, is an
// older list, and would take back a drain.
func (l *EventLoop) discoveryAnswered(list *membership.List, watch bool, err error) {
	if watch && err != nil {
		l.watching = l.updatesPushed() // there it goes on by itself
	} else if !watch {
		l.fetching = false
	}
	if watch {
		l.setDiscoveryStale(err != nil)
	}
	if err != nil {
		l.discoveryFailed(err)
		if !watch || !l.updatesPushed() { // it hears of what it asked for
			l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateFailed})
		}
		return
	}
	again := watch && list.Full && (list.RequestedAt.IsZero() || !list.RequestedAt.Before(l.revisionReceivedAt))
	if list.Revision < l.revision && !again {
		return
	}
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateComplete
	}
	l.updateEndpoints(list, kind, list.Full)
	l.notifyReady()
}

// discoveryFailed tells that the roster has failed to answer.
func (l *EventLoop) discoveryFailed(err error) {
	if l.merge != nil {
		l.merge.DiscoveryLost(err)
	}
	l.log(slog.LevelWarn, "discovery call failed", "err", err)
}

func (l *EventLoop) updateEndpoints(list *membership.List, kind policy.UpdateKind, full bool) {
	l.revision, l.revisionReceivedAt, l.awaitingCompleteList = list.Revision, time.Now(), l.awaitingCompleteList && !full
	if l.merge != nil {
		l.merge.UpdateDiscovery(l.now(), list)
		l.applyMergeChanges(policy.UpdateDelta)
		return
	}
	l.applyEndpoints(list, kind, full)
}

// applyMergeChanges tells what the merge has to tell now, and comes back when time alone will have more.
func (l *EventLoop) applyMergeChanges(kind policy.UpdateKind) {
	now := l.now()
	changes := membership.List{Entries: l.merge.Changes(now)}
	if len(changes.Entries) > 0 || kind != policy.UpdateOtherSource {
		l.applyEndpoints(&changes, kind, false)
	}
	if l.mergeTimer != nil {
		l.mergeTimer.Stop()
		l.mergeTimer = nil
	}
	if next := l.merge.NextDeadlineMs(); !math.IsInf(next, 1) {
		l.mergeTimer = time.AfterFunc(max(durationFromMs(next-now), time.Millisecond), func() {
			l.Post(func() { l.applyMergeChanges(policy.UpdateOtherSource) })
		})
	}
	l.notifyReady()
}

// applyEndpoints takes a list into the table and gives it to the module.
func (l *EventLoop) applyEndpoints(list *membership.List, kind policy.UpdateKind, full bool) {
	entries, stale, gone := l.endpoints.apply(list, full)
	for _, b := range stale {
		l.closeIdle(b)
	}
	l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: kind, Endpoints: entries})
	for _, b := range gone {
		l.endpoints.forget(b)
	}
	l.publishRotation()
	if l.cfg.EndpointsChanged != nil {
		l.cfg.EndpointsChanged()
	}
}

// ---- the log ----

func (l *EventLoop) reportViolation(what string) {
	l.stats.GuardViolations++
	l.log(slog.LevelError, "guard: "+what)
}

func (l *EventLoop) log(level slog.Level, text string, args ...any) {
	if !l.logLimiter.Allow() {
		return
	}
	select {
	case l.logLines <- func() { slog.Log(l.ctx, level, text, args...) }:
	default:
	}
}

// writeLog writes the loop's log lines. The loop does not write itself: a log that
// nobody reads blocks its writer, and every request with it.
func (l *EventLoop) writeLog() {
	for {
		select {
		case line := <-l.logLines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}

func durationFromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
