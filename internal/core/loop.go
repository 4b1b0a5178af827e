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
	"ringtrack.example/ringtrack/internal/membership/roster"
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

// Loop owns the module and all state of requests. One goroutine runs it; all
// else reaches it through Post. It never blocks: what may wait runs in
// goroutines of its own.
type Loop struct {
	cfg       Config
	ctx       context.Context
	balancer  *policy.Balancer
	table     *table
	upstreams []Upstream
	budget    *semaphore.Weighted // memory for bodies
	disc      *roster.Client
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
	figures  Figures
	tally    *Tally
	rotation atomic.Pointer[Rotation]
	agreed   *agreed // nil: no rules are agreed on with others

	merge *membership.Merge // of the roster with what runs; nil: there is the roster alone
	due   *time.Timer       // when the merge has something to tell by time alone
}

// Figures are counted for the log at the end.
type Figures struct {
	Taken, Served, Refused, Failed, Gone, Backstops, Guarded int
}

// Request is a call in the loop, kept until it is answered and no attempt is out.
type Request struct {
	id       policy.RequestID
	call     *Call
	answered bool
	class    *policy.Class // the narrowest that its rules were while it was open; nil: they never changed
	streams  bool          // its answer's rest is still on its way to the client
	attempts []*attempt
	out      int          // attempts out
	mayRun   int          // attempts that are out or may have run
	ran      time.Time    // of a keyed one: when the first of them was sent
	ranOn    policy.Entry // and where to, as that was listed then
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
func New(ctx context.Context, cfg Config, budget *semaphore.Weighted, upstreams []Upstream, ready func()) (*Loop, error) {
	balancer, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &Loop{cfg: cfg, ctx: ctx, balancer: balancer, table: newTable(cfg.Zones, cfg.Kinds),
		budget: budget, limit: rate.NewLimiter(5, 50), lines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clock:    clock.New(),
		requests: map[policy.RequestID]*Request{}, ids: map[string]*Request{}, once: newOnce(), ready: ready}
	l.upstreams, l.tally = upstreams, newTally(cfg.Settings.Classes)
	for _, id := range cfg.Banned {
		l.table.banned[id] = true
	}
	for _, id := range cfg.Seen {
		l.table.see(id)
	}
	if cfg.Nodes != nil {
		l.merge = membership.NewMerge(cfg.Merge)
	}
	if cfg.Agreed != nil {
		l.agree()
	}
	l.discover(cfg.Discovery)
	return l, nil
}

// discover makes an address the one that is asked. What another still has to say is
// dropped: it comes late, and its versions are not those of this one.
func (l *Loop) discover(addr string) {
	d := roster.NewClient(l.ctx, addr)
	if l.pushed() {
		d.Eager()
	}
	d.Turn(l.cfg.Settings.Index, l.cfg.Settings.Replicas)
	d.Quiet = func(err error) {
		l.Post(func() {
			if l.disc == d {
				l.lost(err)
				l.setStale(true)
			}
		})
	}
	d.Alive = func() {
		l.Post(func() {
			if l.disc == d {
				l.setStale(false)
			}
		})
	}
	d.Told = func(list *membership.List, watch bool, err error) {
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
func (l *Loop) pushed() bool { return l.cfg.Settings.Membership == "pushed" }

// watch follows the discovery of now: until it fails, which the module is told, or for good where it counts
// on being told.
func (l *Loop) watch() {
	l.watching = true
	if !l.asked && !l.table.usable() {
		go l.disc.First()
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
func (l *Loop) setStale(stale bool) {
	if l.cfg.Stale == nil || l.pushed() || l.stale == stale {
		return
	}
	l.stale = stale
	l.cfg.Stale(stale)
}

// Rediscover leaves the discovery for another and asks that for its whole list. Until
// it comes the table stays as it is.
func (l *Loop) Rediscover(addr string) {
	if addr == l.disc.Addr {
		return
	}
	l.disc.Close()
	l.discover(addr)
	l.version, l.unknown, l.fetching = 0, true, false
	l.watch()
}

// tellReady tells that requests can be served, if they can.
func (l *Loop) tellReady() {
	if l.table.usable() && (l.agreed == nil || l.agreed.known) {
		l.ready()
	}
}

// Post hands the loop something to do; it may wait, so the loop itself never calls it.
func (l *Loop) Post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// Ask has the loop do something and waits for it, for so long at the most; it tells whether it was done by then.
// What was not may still be done.
func (l *Loop) Ask(within time.Duration, f func()) bool {
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
func (l *Loop) Run() {
	go l.writeLog()
	l.carryOut(l.balancer.Start(l.now(), l.actions[:0]))
	l.setStale(true) // what is known now is the list of a process before this one
	// The list as last had comes with the start, however old, as at the simulator.
	l.list(&l.cfg.Known, policy.ListCached, true)
	l.drain()
	l.tellReady()
	if l.pushed() && !l.watching {
		l.watch()
	}
	if l.merge != nil {
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			l.cfg.Nodes(l.ctx, func(apply func(*membership.Merge, float64)) {
				l.Post(func() {
					apply(l.merge, l.now())
					l.merged(policy.ListOther)
				})
			})
		}()
		defer func() { <-followed }()
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	var count <-chan time.Time // nil: nobody asks
	if l.cfg.Watched {
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
				u.Sweep()
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// now is the clock in ms: Unix time, as started_ms of the list, that only advances.
func (l *Loop) now() float64 { return l.clock.Ms() }

// handle gives the module one event and carries out what it answers.
func (l *Loop) handle(ev *policy.Event) {
	l.carryOut(l.balancer.Handle(l.now(), ev, l.actions[:0]))
}

// hangUp closes the idle connections to a backend.
func (l *Loop) hangUp(b *Backend) {
	for _, u := range l.upstreams {
		u.HangUp(b)
	}
}

// EndBy tells that the process ends: what is open, and what is taken from now on, has its answer by then, whatever
// time its client would give it. A process that waited for the longest would be killed first, and a request that it
// still held then is lost. It is called in the loop.
func (l *Loop) EndBy(t time.Time) {
	l.endBy = t
	left, backstop := Times(time.Until(t))
	for _, r := range l.requests {
		if r.answered || !r.call.Deadline.After(t) {
			continue
		}
		r.call.Deadline, r.cut = t, true
		r.backstop.Reset(max(backstop, 0))
		l.handle(&policy.Event{Kind: policy.EvHurried, Request: r.id, LeftMs: float64(max(left, 0).Microseconds()) / 1000})
	}
}

// Figures are the counts so far. It is called in the loop, or after its end.
func (l *Loop) Figures() Figures { return l.figures }

// Roster is the discovery that is asked now. It is called in the loop, or before it runs.
func (l *Loop) Roster() *roster.Client { return l.disc }

// Lists tells whether a backend of this id is known. It is called in the loop.
func (l *Loop) Lists(id string) bool { return l.table.byID[id] != nil }

// drain handles the events that carrying out actions has raised.
func (l *Loop) drain() {
	for len(l.pending) > 0 {
		ev := l.pending[0]
		l.pending = l.pending[1:]
		l.handle(&ev)
	}
	l.pending = nil
}

func (l *Loop) carryOut(actions []policy.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActSend:
			l.send(a)
		case policy.ActCancel:
			if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.done && t.cancel != nil {
					t.cancel()
				}
			}
		case policy.ActRefuse:
			if r := l.requests[a.Request]; r != nil {
				l.refuse(r, a.Ms)
			}
		case policy.ActFail:
			if r := l.requests[a.Request]; r != nil {
				l.finish(r, Answer{Verdict: Failed})
			}
		case policy.ActTimer:
			token := a.Token
			time.AfterFunc(ms(a.Ms), func() {
				l.Post(func() { l.handle(&policy.Event{Kind: policy.EvTimer, Token: token}) })
			})
		case policy.ActFollow:
			if !l.watching { // one watch is enough; it tells what another would
				l.watch()
			}
		case policy.ActFetch:
			if !l.fetching {
				l.fetching = true
				go l.disc.Fetch()
			}
		case policy.ActClose:
			if b := l.table.byAddr[a.Server]; b != nil {
				l.hangUp(b)
			}
		case policy.ActLog:
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case policy.ActProbe:
			l.probe(a.Server)
		}
	}
}

// ---- requests ----

// Take gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *Loop) Take(c *Call) *Request {
	l.figures.Taken++
	l.nextID++
	r := &Request{id: l.nextID, call: c}
	l.open++
	l.tally.Open.Add(1)
	if l.ids[c.ID] != nil || l.once.has(time.Now(), c.ID) || !l.claim(r) {
		// Somebody else's, or its own that may still run, or has: neither is to be touched.
		l.finish(r, Answer{Verdict: Failed, Fault: Duplicate})
		return r
	}
	if !l.endBy.IsZero() {
		c.Deadline = earliest(c.Deadline, l.endBy)
	}
	left := time.Until(c.Deadline)
	if c.Left > 0 {
		left = c.Left
	}
	most := l.cfg.Settings.Limits.OpenCap
	if left <= 0 || c.NoRoom || most > 0 && l.open > most || l.agreed.shut(time.Now()) {
		l.release(r)
		l.refuse(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id], l.ids[c.ID] = r, r
	left, backstop := Times(left)
	if c.Left > 0 {
		backstop = time.Until(c.Deadline)
		c.written = func(at time.Time) { l.Post(func() { l.written(r, at) }) }
	}
	r.backstop = time.AfterFunc(backstop, func() {
		l.Post(func() { l.late(r) })
	})
	l.handle(&policy.Event{Kind: policy.EvRequest, Stream: c.Left > 0, Request: r.id, Class: c.Class, Tenant: c.Tenant,
		Key: c.Key, LeftMs: float64(left.Microseconds()) / 1000, HintMs: c.HintMs,
		HasHint: c.HasHint, Retry: c.Retry})
	return r
}

// written begins a streamed call's time: its last byte has gone to a backend.
func (l *Loop) written(r *Request, at time.Time) {
	if r.answered {
		return
	}
	r.call.Deadline = at.Add(r.call.Left)
	if !l.endBy.IsZero() {
		r.call.Deadline = earliest(r.call.Deadline, l.endBy)
	}
	left, backstop := Times(time.Until(r.call.Deadline))
	r.backstop.Reset(max(backstop, 0))
	l.handle(&policy.Event{Kind: policy.EvWritten, Request: r.id, Attempt: len(r.attempts) - 1,
		LeftMs: float64(max(left, 0).Microseconds()) / 1000})
}

// late is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted; unless its time was cut short
// under an attempt, which then has more.
func (l *Loop) late(r *Request) {
	if r.answered {
		return
	}
	if !r.cut {
		l.figures.Backstops++
		l.log(slog.LevelWarn, "backstop ended a request", "attempts", len(r.attempts), "out", r.out,
			"late_ms", float64(time.Since(r.call.Deadline.Add(-backstopMargin)).Microseconds())/1000)
	}
	l.finish(r, Answer{Verdict: Failed, Fault: Expired})
	l.abandon(r)
}

// Left is called when a client has gone away.
func (l *Loop) Left(r *Request) {
	if r.answered {
		select {
		case a := <-r.call.Answer: // nobody will
			l.budget.Release(a.Held)
			if drop(a.Reply); streamed(a.Reply) {
				l.tally.End(r.call.Class, Failed)
			}
		default:
		}
		return
	}
	l.figures.Gone++
	l.close(r)
	l.abandon(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *Loop) abandon(r *Request) {
	for _, t := range r.attempts {
		if !t.done && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&policy.Event{Kind: policy.EvDropped, Request: r.id})
}

// refuse answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *Loop) refuse(r *Request, afterMs float64) {
	if !MayRefuse(l.class(r), r.mayRun) {
		l.guard("refusal after an attempt that may have run")
		l.finish(r, Answer{Verdict: Failed})
		return
	}
	l.finish(r, Answer{Verdict: Refused, AfterMs: afterMs})
}

// finish gives the final answer; only the first counts.
func (l *Loop) finish(r *Request, a Answer) {
	if r.answered {
		return
	}
	if r.streams = streamed(a.Reply); !r.streams { // else its front says how it ends
		l.tally.Count(r.call.Class, a.Verdict)
	}
	switch a.Verdict {
	case Served:
		l.figures.Served++
	case Refused:
		l.figures.Refused++
	case Failed:
		l.figures.Failed++
	}
	l.close(r) // first: who has the answer may bring the id of what never ran to another process at once
	r.call.Answer <- a
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *Loop) close(r *Request) {
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
func (l *Loop) forget(r *Request) {
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

func (l *Loop) send(a *policy.Action) {
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
	if a.Ms != 0 && r.call.Left == 0 {
		until = earliest(until, now.Add(ms(a.Ms)))
	}
	var repeatBy time.Time
	if r.mayRun > 0 && l.class(r).Effect == policy.Guarded {
		repeatBy = r.ran.Add(RepeatFor(l.class(r)))
	}
	if why := l.forbidden(r, b, now, until, repeatBy); why != "" {
		l.guard(why)
		t.done = true
		if len(r.attempts) > MostSends(l.cfg.Settings.Limits.MaxAttempts) {
			l.finish(r, Answer{Verdict: Failed})
			return
		}
		l.pending = append(l.pending, policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: index,
			Server: a.Server, Status: policy.Moot, Final: r.answered})
		return
	}
	if r.mayRun == 0 && l.class(r).Effect == policy.Guarded {
		r.ran, r.ranOn = now, l.table.entry(b)
	}
	r.call.RepeatBy = l.agreed.by(index, repeatBy) // no attempt is out that could read it
	r.call.Outdated.Store(false)
	r.out++
	r.mayRun++
	b.out++
	ctx, cancel := context.WithCancel(l.ctx)
	t.cancel = cancel
	addr := b.addr
	go func() {
		res := r.call.Via.Do(ctx, b, addr, r.call, now, until)
		cancel()
		l.Post(func() { l.ended(r, index, &res) })
	}()
}

// forbidden guards the contract whatever the module says; "" allows the attempt. repeatBy is until when it may
// repeat one that may have run; zero: it repeats none, or at any time.
func (l *Loop) forbidden(r *Request, b *Backend, now, until, repeatBy time.Time) string {
	c := l.class(r)
	g := Guard{Answered: r.answered, Listed: b != nil && b.addr != "", Timely: until.After(now), Out: r.out, MayRun: r.mayRun,
		Spent: r.spent, Made: len(r.attempts), Most: l.cfg.Settings.Limits.MaxAttempts, Effect: c.Effect}
	g.Closed = g.Listed && b.closed.Load()
	if by := l.agreed.by(len(r.attempts)-1, time.Time{}); !by.IsZero() {
		g.Lapsed = !now.Before(by)
	}
	if g.Listed && !repeatBy.IsZero() {
		to := l.table.entry(b)
		g.Expired, g.Foreign = now.After(repeatBy), !InGroup(c.Group, &r.ranOn, &to)
	}
	return g.Forbids()
}

// class is a request's.
func (l *Loop) class(r *Request) *policy.Class {
	if r.class != nil {
		return r.class
	}
	return &l.cfg.Settings.Classes[r.call.Class]
}

// ended takes the end of an attempt.
func (l *Loop) ended(r *Request, index int, res *Result) {
	t := r.attempts[index]
	t.done = true
	r.spent = r.spent || res.Spent
	t.backend.out--
	r.out--
	if res.Status.NeverRan() {
		r.mayRun--
	}
	switch {
	case r.answered:
		l.budget.Release(res.Held)
		drop(res.Reply)
	case res.Gone:
		l.Left(r) // its front will notice, too; by then the request is over
	case res.Status == policy.OK:
		l.finish(r, Answer{Verdict: Served, Reply: res.Reply, Held: res.Held})
	case res.Status == policy.Cancelled && res.Unanswered:
		l.finish(r, Answer{Verdict: Served})
	case res.Status == policy.Cancelled && res.Blamed:
		// The backend found fault with the request: so would any other.
		l.finish(r, Answer{Verdict: Failed, Fault: Blamed, Reply: res.Reply, Held: res.Held})
	case res.Unread:
		l.budget.Release(res.Held)
		l.finish(r, Answer{Verdict: Failed, Fault: Unread})
	case res.Spent:
		// Nothing is left that could be sent again.
		l.budget.Release(res.Held)
		if MayRefuse(l.class(r), r.mayRun) {
			l.finish(r, Answer{Verdict: Refused, AfterMs: l.cfg.Settings.Limits.MaxRetryAfterMs})
		} else {
			l.finish(r, Answer{Verdict: Failed})
		}
	default:
		l.budget.Release(res.Held)
	}
	l.handle(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: index, Server: t.backend.name,
		Status: res.Status, LatencyMs: res.LatencyMs, Final: r.answered, Report: res.Report})
	l.forget(r)
	l.table.forget(t.backend)
}

// ---- probes ----

// probe asks a backend how it is. The module gets exactly one answer, whatever becomes of it: it bounds the
// probes that are out, and one that it waits for for ever would be the last.
func (l *Loop) probe(name policy.Addr) {
	b := l.table.byAddr[name]
	if b == nil || b.addr == "" || b.closed.Load() || l.cfg.Probe == nil || !l.cfg.Settings.Limits.Probing {
		l.guard("probe of a backend that is not to be asked")
		l.pending = append(l.pending, policy.Event{Kind: policy.EvProbed, Server: name, Status: policy.Moot})
		return
	}
	b.out++
	addr, now := b.addr, time.Now()
	go func() {
		res := l.cfg.Probe(l.ctx, b, addr, now, now.Add(probeTimeout))
		l.Post(func() {
			b.out--
			l.handle(&policy.Event{Kind: policy.EvProbed, Server: name, Status: res.Status, LatencyMs: res.LatencyMs, Report: res.Report})
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
func (l *Loop) onList(list *membership.List, watch bool, err error) {
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
			l.handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
		}
		return
	}
	again := watch && list.Full && (list.Asked.IsZero() || !list.Asked.Before(l.since))
	if list.Revision < l.version && !again {
		return
	}
	kind := policy.ListDelta
	if list.Full {
		kind = policy.ListFull
	}
	l.list(list, kind, list.Full)
	l.tellReady()
}

// lost tells that the roster has failed to answer.
func (l *Loop) lost(err error) {
	if l.merge != nil {
		l.merge.RosterLost(err)
	}
	l.log(slog.LevelWarn, "discovery call failed", "err", err)
}

func (l *Loop) list(list *membership.List, kind policy.ListKind, full bool) {
	l.version, l.since, l.unknown = list.Revision, time.Now(), l.unknown && !full
	if l.merge != nil {
		l.merge.Roster(l.now(), list)
		l.merged(policy.ListDelta)
		return
	}
	l.tell(list, kind, full)
}

// merged tells what the merge has to tell now, and comes back when time alone will have more.
func (l *Loop) merged(kind policy.ListKind) {
	now := l.now()
	changes := membership.List{Entries: l.merge.Take(now)}
	if len(changes.Entries) > 0 || kind != policy.ListOther {
		l.tell(&changes, kind, false)
	}
	if l.due != nil {
		l.due.Stop()
		l.due = nil
	}
	if next := l.merge.NextMs(); !math.IsInf(next, 1) {
		l.due = time.AfterFunc(max(ms(next-now), time.Millisecond), func() {
			l.Post(func() { l.merged(policy.ListOther) })
		})
	}
	l.tellReady()
}

// tell takes a list into the table and gives it to the module.
func (l *Loop) tell(list *membership.List, kind policy.ListKind, full bool) {
	entries, stale, gone := l.table.apply(list, full)
	for _, b := range stale {
		l.hangUp(b)
	}
	l.handle(&policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	for _, b := range gone {
		l.table.forget(b)
	}
	l.publish()
	if l.cfg.Changed != nil {
		l.cfg.Changed()
	}
}

// ---- the log ----

func (l *Loop) guard(what string) {
	l.figures.Guarded++
	l.log(slog.LevelError, "guard: "+what)
}

func (l *Loop) log(level slog.Level, text string, args ...any) {
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
func (l *Loop) writeLog() {
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
