// Package agent runs the decision module as a real agent: clients on one side,
// backends and discovery on the other, and a loop that turns what happens into
// the module's events and carries out its actions.
package agent

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/roster"
	"ringtrack.example/ringtrack/policy"
)

const (
	// moduleMargin is taken off the time that the module is told a request has: what
	// its last attempt's end takes to become an answer at the client.
	moduleMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers,
	// well after the module should have.
	backstopMargin = 4 * time.Millisecond
	// sweepEvery is how often connections that idle too long are closed.
	sweepEvery = time.Second
)

// loop owns the module and all state of requests. One goroutine runs it; all
// else reaches it through post. It never blocks: what may wait runs in
// goroutines of its own.
type loop struct {
	cfg      *Config
	ctx      context.Context
	balancer *policy.Balancer
	table    *table
	sender   *sender
	budget   *semaphore.Weighted // memory for bodies
	disc     *roster.Client
	limit    *rate.Limiter // the log is bounded work on one core
	lines    chan func()   // log lines on their way to whoever reads the log

	inbox    chan func()
	clock    clock.Clock
	nextID   policy.RequestID
	requests map[policy.RequestID]*request
	ids      map[string]*request // the same by the clients' ids
	open     int                 // requests that have no answer yet
	pending  []policy.Event
	actions  []policy.Action
	version  uint64 // of the list
	unknown  bool   // of this discovery no whole list has come yet
	watching bool
	fetching bool
	ready    func()
	figures  figures
}

// figures are counted for the log at the end.
type figures struct {
	taken, served, refused, failed, gone, backstops, guarded int
}

type verdict uint8

const (
	served verdict = iota
	refused
	failed
)

// answer is the one final answer to a call.
type answer struct {
	verdict verdict
	afterMs float64 // refused: when the client may come back
	status  int     // failed: 0 for the usual one
	header  http.Header
	body    []byte
	held    int64 // of the budget; given back once the answer is written
}

// request is a call in the loop, kept until it is answered and no attempt is out.
type request struct {
	id       policy.RequestID
	call     *call
	answered bool
	attempts []*attempt
	out      int // attempts out
	mayRun   int // attempts that are out or may have run
	backstop *time.Timer
}

type attempt struct {
	backend *backend
	cancel  context.CancelFunc
	done    bool
}

func newLoop(ctx context.Context, cfg *Config, ready func()) (*loop, error) {
	balancer, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{cfg: cfg, ctx: ctx, balancer: balancer, table: newTable(cfg.Zones, cfg.Kinds),
		budget: semaphore.NewWeighted(cfg.budget()), limit: rate.NewLimiter(5, 50), lines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clock:    clock.New(),
		requests: map[policy.RequestID]*request{}, ids: map[string]*request{}, ready: ready}
	l.sender = newSender(cfg, l.budget)
	l.discover(cfg.Discovery)
	return l, nil
}

// discover makes an address the one that is asked. What another still has to say is
// dropped: it comes late, and its versions are not those of this one.
func (l *loop) discover(addr string) {
	d := roster.NewClient(l.ctx, addr)
	d.Told = func(list *membership.List, watch bool, err error) {
		l.post(func() {
			if l.disc == d {
				l.onList(list, watch, err)
			}
		})
	}
	l.disc = d
}

// rediscover leaves the discovery for another and asks that for its whole list. Until
// it comes the table stays as it is.
func (l *loop) rediscover(addr string) {
	if addr == l.disc.Addr {
		return
	}
	l.disc.Close()
	l.discover(addr)
	l.version, l.unknown, l.fetching, l.watching = 0, true, false, true
	go l.disc.Watch(0, true)
}

// post hands the loop something to do; it may wait, so the loop itself never calls it.
func (l *loop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// run is the loop; it ends with the context.
func (l *loop) run() {
	go l.writeLog()
	l.carryOut(l.balancer.Start(l.now(), l.actions[:0]))
	// The list as last had comes with the start, however old, as at the simulator.
	l.list(&l.cfg.Known, policy.ListCached, true)
	l.drain()
	if l.table.usable() {
		l.ready()
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.drain()
		case <-sweep.C:
			l.sender.pool.sweep()
		case <-l.ctx.Done():
			return
		}
	}
}

// now is the clock in ms: Unix time, as started_ms of the list, that only advances.
func (l *loop) now() float64 { return l.clock.Ms() }

// handle gives the module one event and carries out what it answers.
func (l *loop) handle(ev *policy.Event) {
	l.carryOut(l.balancer.Handle(l.now(), ev, l.actions[:0]))
}

// drain handles the events that carrying out actions has raised.
func (l *loop) drain() {
	for len(l.pending) > 0 {
		ev := l.pending[0]
		l.pending = l.pending[1:]
		l.handle(&ev)
	}
	l.pending = nil
}

func (l *loop) carryOut(actions []policy.Action) {
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
				l.finish(r, answer{verdict: failed})
			}
		case policy.ActTimer:
			token := a.Token
			time.AfterFunc(ms(a.Ms), func() {
				l.post(func() { l.handle(&policy.Event{Kind: policy.EvTimer, Token: token}) })
			})
		case policy.ActFollow:
			if !l.watching { // one watch is enough; it tells what another would
				l.watching = true
				go l.disc.Watch(l.version, l.unknown)
			}
		case policy.ActFetch:
			if !l.fetching {
				l.fetching = true
				go l.disc.Fetch()
			}
		case policy.ActClose:
			if b := l.table.byAddr[a.Server]; b != nil {
				l.sender.pool.hangUp(b)
			}
		case policy.ActLog:
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case policy.ActProbe:
			// Probes are forbidden here and the settings say so: never asked for.
			l.log(slog.LevelError, "probe asked for where none is allowed")
		}
	}
}

// ---- requests ----

// take gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *loop) take(c *call) *request {
	l.figures.taken++
	l.nextID++
	r := &request{id: l.nextID, call: c}
	l.open++
	if l.ids[c.id] != nil {
		// Somebody else's, or its own that may still run: neither is to be touched.
		l.finish(r, answer{verdict: failed, status: http.StatusConflict})
		return r
	}
	left := time.Until(c.deadline)
	most := l.cfg.Settings.Limits.OpenCap
	if left <= 0 || most > 0 && l.open > most {
		l.refuse(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id], l.ids[c.id] = r, r
	r.backstop = time.AfterFunc(left-min(backstopMargin, left/16), func() {
		l.post(func() { l.late(r) })
	})
	left -= min(moduleMargin, left/8)
	l.handle(&policy.Event{Kind: policy.EvRequest, Request: r.id, Class: c.class, Tenant: c.tenant,
		Key: c.key, LeftMs: float64(left.Microseconds()) / 1000, HintMs: c.hintMs,
		HasHint: c.hasHint, Retry: c.retry})
	return r
}

// late is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted.
func (l *loop) late(r *request) {
	if r.answered {
		return
	}
	l.figures.backstops++
	l.log(slog.LevelWarn, "backstop ended a request", "attempts", len(r.attempts), "out", r.out,
		"late_ms", float64(time.Since(r.call.deadline.Add(-backstopMargin)).Microseconds())/1000)
	l.finish(r, answer{verdict: failed, status: http.StatusGatewayTimeout})
	l.abandon(r)
}

// left is called when a client has gone away.
func (l *loop) left(r *request) {
	if r.answered {
		select {
		case a := <-r.call.answer: // nobody will
			l.budget.Release(a.held)
		default:
		}
		return
	}
	l.figures.gone++
	l.close(r)
	l.abandon(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *loop) abandon(r *request) {
	for _, t := range r.attempts {
		if !t.done && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&policy.Event{Kind: policy.EvDropped, Request: r.id})
}

// refuse answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *loop) refuse(r *request, afterMs float64) {
	c := &l.cfg.Settings.Classes[r.call.class]
	if r.mayRun > 0 && (c.Effect == policy.SingleShot || c.Effect == policy.Guarded && c.Group != policy.GroupAll) {
		l.guard("refusal after an attempt that may have run")
		l.finish(r, answer{verdict: failed})
		return
	}
	l.finish(r, answer{verdict: refused, afterMs: afterMs})
}

// finish gives the final answer; only the first counts.
func (l *loop) finish(r *request, a answer) {
	if r.answered {
		return
	}
	switch a.verdict {
	case served:
		l.figures.served++
	case refused:
		l.figures.refused++
	case failed:
		l.figures.failed++
	}
	r.call.answer <- a
	l.close(r)
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *loop) close(r *request) {
	if !r.answered {
		r.answered = true
		l.open--
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	l.forget(r)
}

// forget drops a request that is over once no attempt is out.
func (l *loop) forget(r *request) {
	if r.answered && r.out == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		delete(l.ids, r.call.id)
	}
}

// ---- attempts ----

func (l *loop) send(a *policy.Action) {
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
	until := r.call.deadline.Add(-backstopMargin)
	now := time.Now()
	if a.Ms != 0 {
		until = earliest(until, now.Add(ms(a.Ms)))
	}
	if why := l.forbidden(r, b, now, until); why != "" {
		l.guard(why)
		t.done = true
		l.pending = append(l.pending, policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: index,
			Server: a.Server, Status: policy.Moot, Final: r.answered})
		return
	}
	r.out++
	r.mayRun++
	b.out++
	ctx, cancel := context.WithCancel(l.ctx)
	t.cancel = cancel
	addr := b.addr
	go func() {
		res := l.sender.do(ctx, b, addr, r.call, now, until)
		cancel()
		l.post(func() { l.ended(r, index, &res) })
	}()
}

// forbidden guards the contract whatever the module says; "" allows the attempt.
func (l *loop) forbidden(r *request, b *backend, now, until time.Time) string {
	c := &l.cfg.Settings.Classes[r.call.class]
	switch {
	case r.answered:
		return "attempt for a request that is over"
	case b == nil || b.addr == "":
		return "attempt to a backend that is not listed"
	case b.closed.Load():
		return "attempt to a backend that drains or is gone"
	case r.out > 0:
		return "second attempt while one is out"
	case len(r.attempts) > l.cfg.Settings.Limits.MaxAttempts:
		return "more attempts than allowed"
	case r.mayRun > 0 && c.Effect == policy.SingleShot:
		return "repeat of an unsafe request that may have run"
	case !until.After(now):
		return "attempt without time"
	}
	return ""
}

// ended takes the end of an attempt.
func (l *loop) ended(r *request, index int, res *result) {
	t := r.attempts[index]
	t.done = true
	t.backend.out--
	r.out--
	if res.status.NeverRan() {
		r.mayRun--
	}
	switch {
	case r.answered:
		l.budget.Release(res.held)
	case res.status == policy.OK:
		l.finish(r, answer{verdict: served, header: res.header, body: res.body, held: res.held})
	case res.status == policy.Cancelled && res.code != 0:
		// The backend found fault with the request: so would any other.
		l.budget.Release(res.held)
		l.finish(r, answer{verdict: failed, status: res.code})
	default:
		l.budget.Release(res.held)
	}
	l.handle(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: index, Server: t.backend.name,
		Status: res.status, LatencyMs: res.latencyMs, Final: r.answered, Report: res.report})
	l.forget(r)
	l.table.forget(t.backend)
}

// ---- discovery ----

// onList takes an answer of discovery. A watch and a fetch may cross: what is
// older than the list at hand is dropped, but for a whole list on the watch,
// which is how a discovery that started again from nothing says so.
func (l *loop) onList(list *membership.List, watch bool, err error) {
	if watch && err != nil {
		l.watching = false
	} else if !watch {
		l.fetching = false
	}
	if err != nil {
		l.log(slog.LevelWarn, "discovery call failed", "err", err)
		l.handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
		return
	}
	if list.Revision < l.version && !(watch && list.Full) {
		return
	}
	kind := policy.ListDelta
	if list.Full {
		kind = policy.ListFull
	}
	l.list(list, kind, list.Full)
	if l.table.usable() {
		l.ready()
	}
}

func (l *loop) list(list *membership.List, kind policy.ListKind, full bool) {
	l.version, l.unknown = list.Revision, l.unknown && !full
	entries, stale, gone := l.table.apply(list, full)
	for _, b := range stale {
		l.sender.pool.hangUp(b)
	}
	l.handle(&policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	for _, b := range gone {
		l.table.forget(b)
	}
}

// ---- the log ----

func (l *loop) guard(what string) {
	l.figures.guarded++
	l.log(slog.LevelError, "guard: "+what)
}

func (l *loop) log(level slog.Level, text string, args ...any) {
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
func (l *loop) writeLog() {
	for {
		select {
		case line := <-l.lines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}
