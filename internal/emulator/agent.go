package emulator

import (
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// Balancer is what decides for an agent: the product's module, or a peer. It is handed events and answers
// with actions, as internal/core does it.
type Balancer interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// agent is core.Loop in virtual time: the same events in the same order, the same guard, the same margins.
type agent struct {
	w     *World
	index int
	agentPlan
	atStart  []policy.Endpoint // the list of the run's start
	b        Balancer
	nextID   policy.RequestID
	requests map[policy.RequestID]*request
	open     int
	pending  []policy.Event
	actions  []policy.Action
	closed   []bool // by server: told to drain or gone
	listed   []bool
	idle     []int32 // kept connections, by server
	life     []uint32
	watching bool // a call for changes is out, or stands
	follows  bool // and was taken
	fetching bool
	toldAt   Time // when the last change that is under way comes
	guarded  int
	backstop int
}

// request is a try in an agent.
type request struct {
	agent    *agent
	op       *op
	id       policy.RequestID
	deadline Time
	answered bool
	attempts []*attempt
	out      int
	mayRun   int
	ran      Time            // when the first of them was sent
	ranOn    policy.Endpoint // and where to
}

// attempt is one send.
type attempt struct {
	r         *request
	s         *server
	index     int
	sent      Time
	until     Time
	life      uint32 // of the process that it was connected to
	connected bool
	done      bool
	status    policy.Status
	report    [3]float32
	silent    bool // the answer holds no report
	work      Time // of the server's
}

// What happens to attempts.
const (
	attemptConnected uint8 = iota
	attemptRefused
	attemptArrived
	attemptDone
	attemptAnswered
	attemptTimeout
	attemptCancelled
	attemptMoot
)

func (a *attempt) fire(kind uint8) {
	switch kind {
	case attemptConnected:
		if !a.done {
			a.connected, a.life = true, a.s.life
			a.write()
		}
	case attemptRefused:
		a.end(policy.ConnectFailed)
	case attemptArrived:
		a.s.arrive(a)
	case attemptDone:
		a.s.finish(a)
	case attemptAnswered:
		a.end(a.status)
	case attemptTimeout:
		switch {
		case a.done:
		case a.connected:
			a.end(policy.Timeout)
		case a.until-a.sent < connectTimeoutMs*Millisecond:
			a.end(policy.NotStarted) // it had no time to come up
		default:
			a.end(policy.ConnectFailed)
		}
	case attemptCancelled:
		if a.connected {
			a.end(policy.Cancelled)
		} else {
			a.end(policy.NotStarted)
		}
	case attemptMoot:
		a.end(policy.NotStarted)
	}
}

// write sends the request, unless its server was told away meanwhile.
func (a *attempt) write() {
	g := a.r.agent
	if g.closed[a.s.index] {
		a.end(policy.NotStarted)
		return
	}
	if d, ok := g.w.delay(g.zone, a.s.zone, false); ok {
		g.w.after(d, a, attemptArrived)
	}
}

// end hands the ending to the agent, once.
func (a *attempt) end(status policy.Status) {
	if a.done {
		return
	}
	a.done = true
	if (status == policy.OK || status == policy.Rejected || status == policy.Error) && a.life == a.s.life {
		a.r.agent.idle[a.s.index]++
	}
	a.r.agent.ended(a, status)
}

func (g *agent) now() float64 { return g.w.unixMs() }

func (g *agent) handle(ev *policy.Event) {
	g.carryOut(g.b.Handle(g.now(), ev, g.actions[:0]))
}

// event is handle from outside, with all that follows from it.
func (g *agent) event(ev *policy.Event) {
	g.handle(ev)
	g.drain()
}

func (g *agent) drain() {
	for len(g.pending) > 0 {
		ev := g.pending[0]
		g.pending = g.pending[1:]
		g.handle(&ev)
	}
	g.pending = g.pending[:0]
}

// What happens to agents; timers have events of their own.
type timer struct {
	g     *agent
	b     Balancer // that asked for it: a killed agent's timers end with it
	token uint32
}

func (t *timer) fire(uint8) {
	if t.b != t.g.b {
		return
	}
	t.g.event(&policy.Event{Kind: policy.EventTimer, Token: t.token})
}

func (g *agent) carryOut(actions []policy.Action) {
	g.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActionForward:
			g.send(a)
		case policy.ActionCancel:
			if r := g.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.done {
					g.w.after(20*Microsecond, t, attemptCancelled)
				}
			}
		case policy.ActionReject:
			if r := g.requests[a.Request]; r != nil {
				g.refuse(r, a.DurationMs)
			}
		case policy.ActionFail:
			if r := g.requests[a.Request]; r != nil {
				g.finish(r, invariant.Failed, 0)
			}
		case policy.ActionTimer:
			g.w.after(ns(a.DurationMs), &timer{g, g.b, a.Token}, 0)
		case policy.ActionWatchEndpoints:
			if !g.watching {
				g.watching = true
				g.w.asked(g, false)
			}
		case policy.ActionFetchEndpoints:
			if !g.fetching {
				g.fetching = true
				g.w.asked(g, true)
			}
		case policy.ActionCloseIdle:
			if s := g.w.byAddr[a.Server]; s != nil {
				g.idle[s.index] = 0
			}
		}
	}
}

// take gives a client's try to the module.
func (g *agent) take(o *op, left Time) {
	g.nextID++
	r := &request{agent: g, op: o, id: g.nextID, deadline: g.w.now + left}
	g.open++
	if most := g.w.settings.Limits.MaxOpenRequests; left <= 0 || most > 0 && g.open > most {
		g.refuse(r, g.w.settings.Limits.MaxRetryAfterMs)
		return
	}
	g.requests[r.id] = r
	module, backstop := core.RequestTimeouts(time.Duration(left))
	g.w.after(Time(backstop), r, 0)
	g.event(&policy.Event{Kind: policy.EventRequest, Request: r.id, Class: o.class, Tenant: o.tenant, Key: o.key,
		RemainingMs: float64(module.Microseconds()) / 1000, Retry: o.tries > 1})
}

// fire is the backstop.
func (r *request) fire(uint8) {
	if r.answered {
		return
	}
	r.agent.backstop++
	r.agent.finish(r, invariant.Failed, 0)
	for _, t := range r.attempts {
		if !t.done {
			r.agent.w.after(20*Microsecond, t, attemptCancelled)
		}
	}
	r.agent.event(&policy.Event{Kind: policy.EventClientDisconnected, Request: r.id})
}

func (g *agent) refuse(r *request, afterMs float64) {
	if !core.MayReject(&g.w.settings.Classes[r.op.class], r.mayRun) {
		g.guarded++
		g.finish(r, invariant.Failed, 0)
		return
	}
	g.finish(r, invariant.Rejected, afterMs)
}

func (g *agent) finish(r *request, v invariant.Outcome, afterMs float64) {
	if r.answered {
		return
	}
	r.answered = true
	g.open--
	g.forget(r)
	r.op.answered(v, afterMs)
}

func (g *agent) forget(r *request) {
	if r.answered && r.out == 0 {
		delete(g.requests, r.id)
	}
}

func (g *agent) send(a *policy.Action) {
	r := g.requests[a.Request]
	if r == nil {
		g.guarded++
		return
	}
	s := g.w.byAddr[a.Server]
	t := &attempt{r: r, s: s, index: len(r.attempts), sent: g.w.now}
	r.attempts = append(r.attempts, t)
	_, backstop := core.RequestTimeouts(time.Duration(r.deadline - g.w.now))
	t.until = g.w.now + Time(backstop)
	if a.DurationMs != 0 {
		t.until = min(t.until, g.w.now+ns(a.DurationMs))
	}
	class := &g.w.settings.Classes[r.op.class]
	guard := core.Guard{Completed: r.answered, Listed: s != nil && g.listed[s.index], HasTime: t.until > g.w.now, InFlight: r.out, MayHaveRun: r.mayRun,
		Attempts: len(r.attempts), MaxAttempts: g.w.settings.Limits.MaxAttempts, Effect: class.Effect}
	if guard.Listed {
		guard.Unavailable = g.closed[s.index]
		if r.mayRun > 0 {
			to := s.entry()
			guard.OutsideScope = !core.InDedupScope(class.DedupScope, &r.ranOn, &to)
			guard.WindowExpired = g.w.now > r.ran+Time(core.RetryWindow(class))
		}
	}
	if g.w.freely {
		guard = core.Guard{Completed: r.answered, Listed: s != nil, HasTime: guard.HasTime, Attempts: len(r.attempts), MaxAttempts: guard.MaxAttempts}
	}
	if v := guard.Violation(); v != core.NoViolation {
		g.guarded++
		g.w.guards[string(v)]++
		t.done = true
		if len(r.attempts) > core.MaxForwardActions(guard.MaxAttempts) {
			g.finish(r, invariant.Failed, 0)
			return
		}
		g.pending = append(g.pending, policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: t.index, Server: a.Server,
			Status: policy.NotStarted, Final: r.answered})
		return
	}
	if r.mayRun == 0 {
		r.ran, r.ranOn = g.w.now, s.entry()
	}
	r.out++
	r.mayRun++
	r.op.attempts++
	g.w.graph.sent(r.op)
	g.w.after(t.until-g.w.now, t, attemptTimeout)
	if g.idle[s.index] > 0 && g.life[s.index] == s.life {
		g.idle[s.index]--
		t.connected, t.life = true, s.life
		// Not from within the module's own action.
		if d, ok := g.w.delay(g.zone, s.zone, false); ok {
			g.w.after(d, t, attemptArrived)
		}
		return
	}
	g.idle[s.index], g.life[s.index] = 0, s.life
	if r.op.counts {
		g.w.res.Handshakes++
	}
	there, ok := g.w.delay(g.zone, s.zone, false)
	back, ok2 := g.w.delay(s.zone, g.zone, false)
	switch {
	case !ok || !ok2 || s.dark:
		g.w.after(connectTimeoutMs*Millisecond, t, attemptRefused)
	case s.stopped:
		g.w.after(there+back, t, attemptRefused)
	default:
		g.w.after(there+back, t, attemptConnected)
	}
}

func (g *agent) ended(a *attempt, status policy.Status) {
	r := a.r
	r.out--
	if status.NeverRan() {
		r.mayRun--
	}
	if !r.answered && status == policy.OK {
		g.finish(r, invariant.Served, 0)
	}
	report := a.report[:]
	if a.silent || status != policy.OK && status != policy.Rejected && status != policy.Error {
		report = nil
	}
	g.event(&policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: a.index, Server: a.s.addr, Status: status,
		LatencyMs: float64(g.w.now-a.sent) / float64(Millisecond), Final: r.answered, Report: report})
	g.forget(r)
}
