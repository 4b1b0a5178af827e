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
	// sweepEvery is how often connections that idle too long are closed.
	sweepEvery = time.Second
	// publishEvery is how often the rotation of backends is counted anew for operators.
	publishEvery = 200 * time.Millisecond
	// probeTimeout is how long the answer to a probe may take: it is given beside the queue, so that whoever
	// is silent for longer stands still.
	probeTimeout = 500 * time.Millisecond
	// pushedLeast and pushedMost bound the pause after a call that failed, where lists are pushed: the roster
	// is then on the agent's own machine, and a call costs nobody else anything.
	pushedLeast, pushedMost = 100 * time.Millisecond, time.Second
)

// EventLoop owns the module and all state of requests. One goroutine runs it; all
// else reaches it through Post. It never blocks: what may wait runs in
// goroutines of its own.
type EventLoop struct {
	cfg       Config
	ctx       context.Context
	balancer  *policy.Balancer
	table     *table
	upstreams []Upstream
	budget    *semaphore.Weighted // memory for bodies
	disc      *discovery.Client
	limit     *rate.Limiter // the log is bounded work on one core
	lines     chan func()   // log lines on their way to whoever reads the log

	inbox    chan func()
	clock    clock.Clock
	nextID   policy.RequestID
	requests map[policy.RequestID]*Request // bound: openCap open ones, and those answered whose attempts still end
	ids      map[string]*Request           // the same by the clients' ids
	once     *once                         // ids of requests that are over and must not run again
	open     int                           // requests that have no answer yet
	pending  []policy.Event
	actions  []policy.Action
	version  uint64    // of the list
	since    time.Time // when that version came
	unknown  bool      // of this discovery no whole list has come yet
	endBy    time.Time // the process ends: by then what is taken from now on has its answer
	watching bool
	asked    bool // discovery was, at least once
	fetching bool
	stale    bool // no answer has come since the watch broke, or to the first call
	ready    func()
	figures  Stats
	tally    *Counters
	rotation atomic.Pointer[Rotation]
	agreed   *agreed // nil: no rules are agreed on with others

	merge *membership.Merge // of the roster with what runs; nil: there is the roster alone
	due   *time.Timer       // when the merge has something to tell by time alone
}

// Stats are counted for the log at the end.
type Stats struct {
	Accepted, Served, Rejected, Failed, Disconnected, DeadlineExceeded, GuardViolations int
}

// Request is a call in the loop, kept until it is answered and no attempt is out.
type Request struct {
	id       policy.RequestID
	call     *Call
	answered bool
	class    *policy.Class // the narrowest that its rules were while it was open; nil: they never changed
	streams  bool          // its answer's rest is still on its way to the client
	attempts []*attempt
	out      int             // attempts out
	mayRun   int             // attempts that are out or may have run
	ran      time.Time       // of a keyed one: when the first of them was sent
	ranOn    policy.Endpoint // and where to, as that was listed then
	spent    bool
	cut      bool // its time was cut short by the end of the process
	claimed  bool // its id is taken from the agent's other processes
	backstop *time.Timer
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
	l := &EventLoop{cfg: cfg, ctx: ctx, balancer: balancer, table: newTable(cfg.Zones, cfg.Kinds),
		budget: budget, limit: rate.NewLimiter(5, 50), lines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clock:    clock.New(),
		requests: map[policy.RequestID]*Request{}, ids: map[string]*Request{}, once: newOnce(), ready: ready}
	l.upstreams, l.tally = upstreams, newTally(cfg.Settings.Classes)
	for _, id := range cfg.Cordoned {
		l.table.banned[id] = true
	}
	for _, id := range cfg.SeenIDs {
		l.table.see(id)
	}
	if cfg.WatchNodes != nil {
		l.merge = membership.NewMerge(cfg.Merge)
	}
	if cfg.SharedConfig != nil {
		l.agree()
	}
	l.discover(cfg.Discovery)
	return l, nil
}

// discover makes an address the one that is asked. What another still has to say is
// dropped: it comes late, and its versions are not those of this one.
func (l *EventLoop) discover(addr string) {
	d := discovery.NewClient(l.ctx, addr)
	if l.pushed() {
		d.PollFrequently()
	}
	d.SetPollSlot(l.cfg.Settings.ReplicaIndex, l.cfg.Settings.Replicas)
	d.OnSilent = func(err error) {
		l.Post(func() {
			if l.disc == d {
				l.lost(err)
				l.setStale(true)
			}
		})
	}
	d.OnAlive = func() {
		l.Post(func() {
			if l.disc == d {
				l.setStale(false)
			}
		})
	}
	d.OnUpdate = func(list *membership.List, watch bool, err error) {
		l.Post(func() {
			if l.disc == d {
				l.onList(list, watch, err)
			}
		})
	}
	l.disc = d
}

// pushed tells whether lists come unasked, as the module has it. On sockets somebody has to ask all the same,
// and the module, which never will, must not be left with the list that came with the start.
func (l *EventLoop) pushed() bool { return l.cfg.Settings.DiscoveryMode == "pushed" }

// watch follows the discovery of now: until it fails, which the module is told, or for good where it counts
// on being told.
func (l *EventLoop) watch() {
	l.watching = true
	if !l.asked && !l.table.usable() {
		go l.disc.FetchInitial()
	}
	l.asked = true
	if l.pushed() {
		go l.disc.Follow(pushedLeast, pushedMost)
		return
	}
	l.setStale(true)
	go l.disc.Watch(l.version, l.unknown)
}

// setStale notes whether what is known may be older than what discovery has told others, for whoever keeps it.
func (l *EventLoop) setStale(stale bool) {
	if l.cfg.DiscoveryStale == nil || l.pushed() || l.stale == stale {
		return
	}
	l.stale = stale
	l.cfg.DiscoveryStale(stale)
}

// SwitchDiscovery leaves the discovery for another and asks that for its whole list. Until
// it comes the table stays as it is.
func (l *EventLoop) SwitchDiscovery(addr string) {
	if addr == l.disc.Addr {
		return
	}
	l.disc.Close()
	l.discover(addr)
	l.version, l.unknown, l.fetching = 0, true, false
	l.watch()
}

// tellReady tells that requests can be served, if they can.
func (l *EventLoop) tellReady() {
	if l.table.usable() && (l.agreed == nil || l.agreed.known) {
		l.ready()
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
	l.carryOut(l.balancer.Start(l.now(), l.actions[:0]))
	l.setStale(true) // what is known now is the list of a process before this one
	// The list as last had comes with the start, however old, as at the simulator.
	l.list(&l.cfg.CachedEndpoints, policy.UpdateCached, true)
	l.drain()
	l.tellReady()
	if l.pushed() && !l.watching {
		l.watch()
	}
	if l.merge != nil {
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			l.cfg.WatchNodes(l.ctx, func(apply func(*membership.Merge, float64)) {
				l.Post(func() {
					apply(l.merge, l.now())
					l.merged(policy.UpdateOtherSource)
				})
			})
		}()
		defer func() { <-followed }()
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	var count <-chan time.Time // nil: nobody asks
	if l.cfg.PublishRotation {
		publish := time.NewTicker(publishEvery)
		defer publish.Stop()
		count = publish.C
	}
	l.publish()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.drain()
		case <-count:
			l.publish()
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
	l.carryOut(l.balancer.Handle(l.now(), ev, l.actions[:0]))
}

// hangUp closes the idle connections to a backend.
func (l *EventLoop) hangUp(b *Backend) {
	for _, u := range l.upstreams {
		u.CloseIdle(b)
	}
}

// ShutDownBy tells that the process ends: what is open, and what is taken from now on, has its answer by then, whatever
// time its client would give it. A process that waited for the longest would be killed first, and a request that it
// still held then is lost. It is called in the loop.
func (l *EventLoop) ShutDownBy(t time.Time) {
	l.endBy = t
	left, backstop := RequestTimeouts(time.Until(t))
	for _, r := range l.requests {
		if r.answered || !r.call.Deadline.After(t) {
			continue
		}
		r.call.Deadline, r.cut = t, true
		r.backstop.Reset(max(backstop, 0))
		l.handle(&policy.Event{Kind: policy.EventDeadlineShortened, Request: r.id, RemainingMs: float64(max(left, 0).Microseconds()) / 1000})
	}
}

// Stats are the counts so far. It is called in the loop, or after its end.
func (l *EventLoop) Stats() Stats { return l.figures }

// Discovery is the discovery that is asked now. It is called in the loop, or before it runs.
func (l *EventLoop) Discovery() *discovery.Client { return l.disc }

// IsListed tells whether a backend of this id is known. It is called in the loop.
func (l *EventLoop) IsListed(id string) bool { return l.table.byID[id] != nil }

// drain handles the events that carrying out actions has raised.
func (l *EventLoop) drain() {
	for len(l.pending) > 0 {
		ev := l.pending[0]
		l.pending = l.pending[1:]
		l.handle(&ev)
	}
	l.pending = nil
}

func (l *EventLoop) carryOut(actions []policy.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActionForward:
			l.send(a)
		case policy.ActionCancel:
			if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.done && t.cancel != nil {
					t.cancel()
				}
			}
		case policy.ActionReject:
			if r := l.requests[a.Request]; r != nil {
				l.refuse(r, a.DurationMs)
			}
		case policy.ActionFail:
			if r := l.requests[a.Request]; r != nil {
				l.finish(r, Answer{Outcome: Failed})
			}
		case policy.ActionTimer:
			token := a.Token
			time.AfterFunc(ms(a.DurationMs), func() {
				l.Post(func() { l.handle(&policy.Event{Kind: policy.EventTimer, Token: token}) })
			})
		case policy.ActionWatchEndpoints:
			if !l.watching { // one watch is enough; it tells what another would
				l.watch()
			}
		case policy.ActionFetchEndpoints:
			if !l.fetching {
				l.fetching = true
				go l.disc.Fetch()
			}
		case policy.ActionCloseIdle:
			if b := l.table.byAddr[a.Server]; b != nil {
				l.hangUp(b)
			}
		case policy.ActionLog:
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case policy.ActionHealthCheck:
			l.probe(a.Server)
		}
	}
}

// ---- requests ----

// Submit gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *EventLoop) Submit(c *Call) *Request {
	l.figures.Accepted++
	l.nextID++
	r := &Request{id: l.nextID, call: c}
	l.open++
	l.tally.Open.Add(1)
	if l.ids[c.ID] != nil || l.once.has(time.Now(), c.ID) || !l.claim(r) {
		// Somebody else's, or its own that may still run, or has: neither is to be touched.
		l.finish(r, Answer{Outcome: Failed, Reason: Duplicate})
		return r
	}
	if !l.endBy.IsZero() {
		c.Deadline = earliest(c.Deadline, l.endBy)
	}
	left := time.Until(c.Deadline)
	if c.TimeAfterBody > 0 {
		left = c.TimeAfterBody
	}
	most := l.cfg.Settings.Limits.MaxOpenRequests
	if left <= 0 || c.NoConnections || most > 0 && l.open > most || l.agreed.shut(time.Now()) {
		l.release(r)
		l.refuse(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id], l.ids[c.ID] = r, r
	left, backstop := RequestTimeouts(left)
	if c.TimeAfterBody > 0 {
		backstop = time.Until(c.Deadline)
		c.written = func(at time.Time) { l.Post(func() { l.written(r, at) }) }
	}
	r.backstop = time.AfterFunc(backstop, func() {
		l.Post(func() { l.late(r) })
	})
	l.handle(&policy.Event{Kind: policy.EventRequest, StreamedBody: c.TimeAfterBody > 0, Request: r.id, Class: c.Class, Tenant: c.Tenant,
		Key: c.Key, RemainingMs: float64(left.Microseconds()) / 1000, WorkHintMs: c.HintMs,
		HasWorkHint: c.HasHint, Retry: c.Retry})
	return r
}

// written begins a streamed call's time: its last byte has gone to a backend.
func (l *EventLoop) written(r *Request, at time.Time) {
	if r.answered {
		return
	}
	r.call.Deadline = at.Add(r.call.TimeAfterBody)
	if !l.endBy.IsZero() {
		r.call.Deadline = earliest(r.call.Deadline, l.endBy)
	}
	left, backstop := RequestTimeouts(time.Until(r.call.Deadline))
	r.backstop.Reset(max(backstop, 0))
	l.handle(&policy.Event{Kind: policy.EventBodyWritten, Request: r.id, Attempt: len(r.attempts) - 1,
		RemainingMs: float64(max(left, 0).Microseconds()) / 1000})
}

// late is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted; unless its time was cut short
// under an attempt, which then has more.
func (l *EventLoop) late(r *Request) {
	if r.answered {
		return
	}
	if !r.cut {
		l.figures.DeadlineExceeded++
		l.log(slog.LevelWarn, "backstop ended a request", "attempts", len(r.attempts), "out", r.out,
			"late_ms", float64(time.Since(r.call.Deadline.Add(-backstopMargin)).Microseconds())/1000)
	}
	l.finish(r, Answer{Outcome: Failed, Reason: DeadlineExceeded})
	l.abandon(r)
}

// ClientDisconnected is called when a client has gone away.
func (l *EventLoop) ClientDisconnected(r *Request) {
	if r.answered {
		select {
		case a := <-r.call.Answer: // nobody will
			l.budget.Release(a.ReservedBytes)
			if drop(a.Reply); streamed(a.Reply) {
				l.tally.CountStreamed(r.call.Class, Failed)
			}
		default:
		}
		return
	}
	l.figures.Disconnected++
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

// refuse answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *EventLoop) refuse(r *Request, afterMs float64) {
	if !MayReject(l.class(r), r.mayRun) {
		l.guard("refusal after an attempt that may have run")
		l.finish(r, Answer{Outcome: Failed})
		return
	}
	l.finish(r, Answer{Outcome: Rejected, RetryAfterMs: afterMs})
}

// finish gives the final answer; only the first counts.
func (l *EventLoop) finish(r *Request, a Answer) {
	if r.answered {
		return
	}
	if r.streams = streamed(a.Reply); !r.streams { // else its front says how it ends
		l.tally.Count(r.call.Class, a.Outcome)
	}
	switch a.Outcome {
	case Served:
		l.figures.Served++
	case Rejected:
		l.figures.Rejected++
	case Failed:
		l.figures.Failed++
	}
	l.close(r) // first: who has the answer may bring the id of what never ran to another process at once
	r.call.Answer <- a
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *EventLoop) close(r *Request) {
	if !r.answered {
		r.answered = true
		l.open--
		if !r.streams {
			l.tally.Open.Add(-1)
		}
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	l.forget(r)
}

// forget drops a request that is over once no attempt is out.
func (l *EventLoop) forget(r *Request) {
	if r.answered && r.out == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		delete(l.ids, r.call.ID)
		if r.mayRun > 0 && l.once.concerns(l.class(r), r.call) {
			l.once.add(time.Now(), r.call.ID)
			l.keep(r)
		} else {
			l.release(r)
		}
	}
}

// ---- attempts ----

func (l *EventLoop) send(a *policy.Action) {
	r := l.requests[a.Request]
	if r == nil {
		// The request is over and forgotten: nothing can be sent, or counted.
		l.guard("attempt for a request that is over")
		return
	}
	index := len(r.attempts)
	b := l.table.byAddr[a.Server]
	t := &attempt{backend: b}
	r.attempts = append(r.attempts, t)
	until := r.call.Deadline.Add(-backstopMargin)
	now := time.Now()
	if a.DurationMs != 0 && r.call.TimeAfterBody == 0 {
		until = earliest(until, now.Add(ms(a.DurationMs)))
	}
	var repeatBy time.Time
	if r.mayRun > 0 && l.class(r).Effect == policy.IdempotentByKey {
		repeatBy = r.ran.Add(RetryWindow(l.class(r)))
	}
	if why := l.forbidden(r, b, now, until, repeatBy); why != "" {
		l.guard(why)
		t.done = true
		if len(r.attempts) > MaxForwardActions(l.cfg.Settings.Limits.MaxAttempts) {
			l.finish(r, Answer{Outcome: Failed})
			return
		}
		l.pending = append(l.pending, policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: index,
			Server: a.Server, Status: policy.NotStarted, Final: r.answered})
		return
	}
	if r.mayRun == 0 && l.class(r).Effect == policy.IdempotentByKey {
		r.ran, r.ranOn = now, l.table.entry(b)
	}
	r.call.RetryBefore = l.agreed.by(index, repeatBy) // no attempt is out that could read it
	r.call.Superseded.Store(false)
	r.out++
	r.mayRun++
	b.out++
	ctx, cancel := context.WithCancel(l.ctx)
	t.cancel = cancel
	addr := b.addr
	go func() {
		res := r.call.Upstream.Do(ctx, b, addr, r.call, now, until)
		cancel()
		l.Post(func() { l.ended(r, index, &res) })
	}()
}

// forbidden guards the contract whatever the module says; "" allows the attempt. repeatBy is until when it may
// repeat one that may have run; zero: it repeats none, or at any time.
func (l *EventLoop) forbidden(r *Request, b *Backend, now, until, repeatBy time.Time) string {
	c := l.class(r)
	g := Guard{Completed: r.answered, Listed: b != nil && b.addr != "", HasTime: until.After(now), InFlight: r.out, MayHaveRun: r.mayRun,
		BodyConsumed: r.spent, Attempts: len(r.attempts), MaxAttempts: l.cfg.Settings.Limits.MaxAttempts, Effect: c.Effect}
	g.Unavailable = g.Listed && b.closed.Load()
	if by := l.agreed.by(len(r.attempts)-1, time.Time{}); !by.IsZero() {
		g.LeaseExpired = !now.Before(by)
	}
	if g.Listed && !repeatBy.IsZero() {
		to := l.table.entry(b)
		g.WindowExpired, g.OutsideScope = now.After(repeatBy), !InDedupScope(c.DedupScope, &r.ranOn, &to)
	}
	return g.Violation()
}

// class is a request's.
func (l *EventLoop) class(r *Request) *policy.Class {
	if r.class != nil {
		return r.class
	}
	return &l.cfg.Settings.Classes[r.call.Class]
}

// ended takes the end of an attempt.
func (l *EventLoop) ended(r *Request, index int, res *Result) {
	t := r.attempts[index]
	t.done = true
	r.spent = r.spent || res.BodyConsumed
	t.backend.out--
	r.out--
	if res.Status.NeverRan() {
		r.mayRun--
	}
	switch {
	case r.answered:
		l.budget.Release(res.ReservedBytes)
		drop(res.Reply)
	case res.ClientDisconnected:
		l.ClientDisconnected(r) // its front will notice, too; by then the request is over
	case res.Status == policy.OK:
		l.finish(r, Answer{Outcome: Served, Reply: res.Reply, ReservedBytes: res.ReservedBytes})
	case res.Status == policy.Cancelled && res.NoReplyExpected:
		l.finish(r, Answer{Outcome: Served})
	case res.Status == policy.Cancelled && res.BadRequest:
		// The backend found fault with the request: so would any other.
		l.finish(r, Answer{Outcome: Failed, Reason: BadRequest, Reply: res.Reply, ReservedBytes: res.ReservedBytes})
	case res.IncompleteRequest:
		l.budget.Release(res.ReservedBytes)
		l.finish(r, Answer{Outcome: Failed, Reason: IncompleteRequest})
	case res.BodyConsumed:
		// Nothing is left that could be sent again.
		l.budget.Release(res.ReservedBytes)
		if MayReject(l.class(r), r.mayRun) {
			l.finish(r, Answer{Outcome: Rejected, RetryAfterMs: l.cfg.Settings.Limits.MaxRetryAfterMs})
		} else {
			l.finish(r, Answer{Outcome: Failed})
		}
	default:
		l.budget.Release(res.ReservedBytes)
	}
	l.handle(&policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: index, Server: t.backend.name,
		Status: res.Status, LatencyMs: res.LatencyMs, Final: r.answered, Report: res.Report})
	l.forget(r)
	l.table.forget(t.backend)
}

// ---- probes ----

// probe asks a backend how it is. The module gets exactly one answer, whatever becomes of it: it bounds the
// probes that are out, and one that it waits for for ever would be the last.
func (l *EventLoop) probe(name policy.Addr) {
	b := l.table.byAddr[name]
	if b == nil || b.addr == "" || b.closed.Load() || l.cfg.HealthCheck == nil || !l.cfg.Settings.Limits.HealthChecks {
		l.guard("probe of a backend that is not to be asked")
		l.pending = append(l.pending, policy.Event{Kind: policy.EventHealthCheckEnded, Server: name, Status: policy.NotStarted})
		return
	}
	b.out++
	addr, now := b.addr, time.Now()
	go func() {
		res := l.cfg.HealthCheck(l.ctx, b, addr, now, now.Add(probeTimeout))
		l.Post(func() {
			b.out--
			l.handle(&policy.Event{Kind: policy.EventHealthCheckEnded, Server: name, Status: res.Status, LatencyMs: res.LatencyMs, Report: res.Report})
			l.table.forget(b)
		})
	}()
}

// ---- discovery ----

// onList takes an answer of discovery. A watch and a fetch may cross: what is
// older than the list at hand is dropped, but for a whole list on the watch,
// which is how a discovery that started again from nothing says so. That one was
// asked for after the list at hand had come: an older call's answer, read late, is an
// older list, and would take back a drain.
func (l *EventLoop) onList(list *membership.List, watch bool, err error) {
	if watch && err != nil {
		l.watching = l.pushed() // there it goes on by itself
	} else if !watch {
		l.fetching = false
	}
	if watch {
		l.setStale(err != nil)
	}
	if err != nil {
		l.lost(err)
		if !watch || !l.pushed() { // it hears of what it asked for
			l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateFailed})
		}
		return
	}
	again := watch && list.Full && (list.RequestedAt.IsZero() || !list.RequestedAt.Before(l.since))
	if list.Revision < l.version && !again {
		return
	}
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateComplete
	}
	l.list(list, kind, list.Full)
	l.tellReady()
}

// lost tells that the roster has failed to answer.
func (l *EventLoop) lost(err error) {
	if l.merge != nil {
		l.merge.DiscoveryLost(err)
	}
	l.log(slog.LevelWarn, "discovery call failed", "err", err)
}

func (l *EventLoop) list(list *membership.List, kind policy.UpdateKind, full bool) {
	l.version, l.since, l.unknown = list.Revision, time.Now(), l.unknown && !full
	if l.merge != nil {
		l.merge.UpdateDiscovery(l.now(), list)
		l.merged(policy.UpdateDelta)
		return
	}
	l.tell(list, kind, full)
}

// merged tells what the merge has to tell now, and comes back when time alone will have more.
func (l *EventLoop) merged(kind policy.UpdateKind) {
	now := l.now()
	changes := membership.List{Entries: l.merge.Changes(now)}
	if len(changes.Entries) > 0 || kind != policy.UpdateOtherSource {
		l.tell(&changes, kind, false)
	}
	if l.due != nil {
		l.due.Stop()
		l.due = nil
	}
	if next := l.merge.NextDeadlineMs(); !math.IsInf(next, 1) {
		l.due = time.AfterFunc(max(ms(next-now), time.Millisecond), func() {
			l.Post(func() { l.merged(policy.UpdateOtherSource) })
		})
	}
	l.tellReady()
}

// tell takes a list into the table and gives it to the module.
func (l *EventLoop) tell(list *membership.List, kind policy.UpdateKind, full bool) {
	entries, stale, gone := l.table.apply(list, full)
	for _, b := range stale {
		l.hangUp(b)
	}
	l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: kind, Endpoints: entries})
	for _, b := range gone {
		l.table.forget(b)
	}
	l.publish()
	if l.cfg.EndpointsChanged != nil {
		l.cfg.EndpointsChanged()
	}
}

// ---- the log ----

func (l *EventLoop) guard(what string) {
	l.figures.GuardViolations++
	l.log(slog.LevelError, "guard: "+what)
}

func (l *EventLoop) log(level slog.Level, text string, args ...any) {
	if !l.limit.Allow() {
		return
	}
	select {
	case l.lines <- func() { slog.Log(l.ctx, level, text, args...) }:
	default:
	}
}

// writeLog writes the loop's log lines. The loop does not write itself: a log that
// nobody reads blocks its writer, and every request with it.
func (l *EventLoop) writeLog() {
	for {
		select {
		case line := <-l.lines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
