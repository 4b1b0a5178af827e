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
	world *World
	index int
	agentPlacement
	initialEndpoints   []policy.Endpoint // the list of the run's start
	balancer           Balancer
	nextID             policy.RequestID
	requests           map[policy.RequestID]*request
	openRequests       int
	pending            []policy.Event
	actions            []policy.Action
	unavailable        []bool // by server: told to drain or gone
	listed             []bool
	idleConns          []int32 // kept connections, by server
	connIncarnation    []uint32
	watching           bool // a call for changes is out, or stands
	subscribed         bool // and was taken
	fetching           bool
	lastNotificationAt Time // when the last change that is under way comes
	guardViolations    int
	backstopTimeouts   int
}

// request is a try in an agent.
type request struct {
	agent         *agent
	operation     *operation
	id            policy.RequestID
	deadline      Time
	answered      bool
	attempts      []*attempt
	inFlight      int
	mayHaveRun    int
	firstSentAt   Time            // when the first of them was sent
	firstEndpoint policy.Endpoint // and where to
}

// attempt is one send.
type attempt struct {
	request     *request
	server      *server
	index       int
	sentAt      Time
	deadline    Time
	incarnation uint32 // of the process that it was connected to
	connected   bool
	ended       bool
	status      policy.Status
	report      [3]float32
	noReport    bool // the answer holds no report
	work        Time // of the server's
}

// What happens to attempts.
const (
	attemptConnected uint8 = iota
	attemptConnectFailed
	attemptArrived
	attemptServiceEnded
	attemptAnswered
	attemptTimeout
	attemptCancelled
	attemptMoot
)

func (a *attempt) fire(kind uint8) {
	switch kind {
	case attemptConnected:
		if !a.ended {
			a.connected, a.incarnation = true, a.server.incarnation
			a.write()
		}
	case attemptConnectFailed:
		a.end(policy.ConnectFailed)
	case attemptArrived:
		a.server.arrive(a)
	case attemptServiceEnded:
		a.server.serviceEnded(a)
	case attemptAnswered:
		a.end(a.status)
	case attemptTimeout:
		switch {
		case a.ended:
		case a.connected:
			a.end(policy.Timeout)
		case a.deadline-a.sentAt < connectTimeoutMs*Millisecond:
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
	g := a.request.agent
	if g.unavailable[a.server.index] {
		a.end(policy.NotStarted)
		return
	}
	if d, ok := g.world.delay(g.zone, a.server.zone, false); ok {
		g.world.after(d, a, attemptArrived)
	}
}

// end hands the ending to the agent, once.
func (a *attempt) end(status policy.Status) {
	if a.ended {
		return
	}
	a.ended = true
	if (status == policy.OK || status == policy.Rejected || status == policy.Error) && a.incarnation == a.server.incarnation {
		a.request.agent.idleConns[a.server.index]++
	}
	a.request.agent.attemptEnded(a, status)
}

func (g *agent) now() float64 { return g.world.unixMs() }

func (g *agent) handle(ev *policy.Event) {
	g.execute(g.balancer.Handle(g.now(), ev, g.actions[:0]))
}

// deliver is handle from outside, with all that follows from it.
func (g *agent) deliver(ev *policy.Event) {
	g.handle(ev)
	g.deliverPending()
}

func (g *agent) deliverPending() {
	for len(g.pending) > 0 {
		ev := g.pending[0]
		g.pending = g.pending[1:]
		g.handle(&ev)
	}
	g.pending = g.pending[:0]
}

// What happens to agents; timers have events of their own.
type timer struct {
	agent    *agent
	balancer Balancer // that asked for it: a killed agent's timers end with it
	token    uint32
}

func (t *timer) fire(uint8) {
	if t.balancer != t.agent.balancer {
		return
	}
	t.agent.deliver(&policy.Event{Kind: policy.EventTimer, Token: t.token})
}

func (g *agent) execute(actions []policy.Action) {
	g.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActionForward:
			g.forward(a)
		case policy.ActionCancel:
			if r := g.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.ended {
					g.world.after(20*Microsecond, t, attemptCancelled)
				}
			}
		case policy.ActionReject:
			if r := g.requests[a.Request]; r != nil {
				g.reject(r, a.DurationMs)
			}
		case policy.ActionFail:
			if r := g.requests[a.Request]; r != nil {
				g.complete(r, invariant.Failed, 0)
			}
		case policy.ActionTimer:
			g.world.after(fromMs(a.DurationMs), &timer{g, g.balancer, a.Token}, 0)
		case policy.ActionWatchEndpoints:
			if !g.watching {
				g.watching = true
				g.world.callDiscovery(g, false)
			}
		case policy.ActionFetchEndpoints:
			if !g.fetching {
				g.fetching = true
				g.world.callDiscovery(g, true)
			}
		case policy.ActionCloseIdle:
			if s := g.world.byAddr[a.Server]; s != nil {
				g.idleConns[s.index] = 0
			}
		}
	}
}

// submit gives a client's try to the module.
func (g *agent) submit(o *operation, left Time) {
	g.nextID++
	r := &request{agent: g, operation: o, id: g.nextID, deadline: g.world.now + left}
	g.openRequests++
	if most := g.world.settings.Limits.MaxOpenRequests; left <= 0 || most > 0 && g.openRequests > most {
		g.reject(r, g.world.settings.Limits.MaxRetryAfterMs)
		return
	}
	g.requests[r.id] = r
	module, backstop := core.RequestTimeouts(time.Duration(left))
	g.world.after(Time(backstop), r, 0)
	g.deliver(&policy.Event{Kind: policy.EventRequest, Request: r.id, Class: o.class, Tenant: o.tenant, Key: o.key,
		RemainingMs: float64(module.Microseconds()) / 1000, Retry: o.clientAttempts > 1})
}

// fire is the backstop.
func (r *request) fire(uint8) {
	if r.answered {
		return
	}
	r.agent.backstopTimeouts++
	r.agent.complete(r, invariant.Failed, 0)
	for _, t := range r.attempts {
		if !t.ended {
			r.agent.world.after(20*Microsecond, t, attemptCancelled)
		}
	}
	r.agent.deliver(&policy.Event{Kind: policy.EventClientDisconnected, Request: r.id})
}

func (g *agent) reject(r *request, afterMs float64) {
	if !core.MayReject(&g.world.settings.Classes[r.operation.class], r.mayHaveRun) {
		g.guardViolations++
		g.complete(r, invariant.Failed, 0)
		return
	}
	g.complete(r, invariant.Rejected, afterMs)
}

func (g *agent) complete(r *request, v invariant.Outcome, afterMs float64) {
	if r.answered {
		return
	}
	r.answered = true
	g.openRequests--
	g.release(r)
	r.operation.answered(v, afterMs)
}

func (g *agent) release(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.id)
	}
}

func (g *agent) forward(a *policy.Action) {
	r := g.requests[a.Request]
	if r == nil {
		g.guardViolations++
		return
	}
	s := g.world.byAddr[a.Server]
	t := &attempt{request: r, server: s, index: len(r.attempts), sentAt: g.world.now}
	r.attempts = append(r.attempts, t)
	_, backstop := core.RequestTimeouts(time.Duration(r.deadline - g.world.now))
	t.deadline = g.world.now + Time(backstop)
	if a.DurationMs != 0 {
		t.deadline = min(t.deadline, g.world.now+fromMs(a.DurationMs))
	}
	class := &g.world.settings.Classes[r.operation.class]
	guard := core.Guard{Completed: r.answered, Listed: s != nil && g.listed[s.index], HasTime: t.deadline > g.world.now, InFlight: r.inFlight, MayHaveRun: r.mayHaveRun,
		Attempts: len(r.attempts), MaxAttempts: g.world.settings.Limits.MaxAttempts, Effect: class.Effect}
	if guard.Listed {
		guard.Unavailable = g.unavailable[s.index]
		if r.mayHaveRun > 0 {
			to := s.endpoint()
			guard.OutsideScope = !core.InDedupScope(class.DedupScope, &r.firstEndpoint, &to)
			guard.WindowExpired = g.world.now > r.firstSentAt+Time(core.RetryWindow(class))
		}
	}
	if g.world.unguarded {
		guard = core.Guard{Completed: r.answered, Listed: s != nil, HasTime: guard.HasTime, Attempts: len(r.attempts), MaxAttempts: guard.MaxAttempts}
	}
	if v := guard.Violation(); v != core.NoViolation {
		g.guardViolations++
		g.world.violationsByReason[string(v)]++
		t.ended = true
		if len(r.attempts) > core.MaxForwardActions(guard.MaxAttempts) {
			g.complete(r, invariant.Failed, 0)
			return
		}
		g.pending = append(g.pending, policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: t.index, Server: a.Server,
			Status: policy.NotStarted, Final: r.answered})
		return
	}
	if r.mayHaveRun == 0 {
		r.firstSentAt, r.firstEndpoint = g.world.now, s.endpoint()
	}
	r.inFlight++
	r.mayHaveRun++
	r.operation.serverAttempts++
	g.world.graph.recordAttempt(r.operation)
	g.world.after(t.deadline-g.world.now, t, attemptTimeout)
	if g.idleConns[s.index] > 0 && g.connIncarnation[s.index] == s.incarnation {
		g.idleConns[s.index]--
		t.connected, t.incarnation = true, s.incarnation
		// Not from within the module's own action.
		if d, ok := g.world.delay(g.zone, s.zone, false); ok {
			g.world.after(d, t, attemptArrived)
		}
		return
	}
	g.idleConns[s.index], g.connIncarnation[s.index] = 0, s.incarnation
	if r.operation.measured {
		g.world.totals.Handshakes++
	}
	there, ok := g.world.delay(g.zone, s.zone, false)
	back, ok2 := g.world.delay(s.zone, g.zone, false)
	switch {
	case !ok || !ok2 || s.unresponsive:
		g.world.after(connectTimeoutMs*Millisecond, t, attemptConnectFailed)
	case s.stopped:
		g.world.after(there+back, t, attemptConnectFailed)
	default:
		g.world.after(there+back, t, attemptConnected)
	}
}

func (g *agent) attemptEnded(a *attempt, status policy.Status) {
	r := a.request
	r.inFlight--
	if status.NeverRan() {
		r.mayHaveRun--
	}
	if !r.answered && status == policy.OK {
		g.complete(r, invariant.Served, 0)
	}
	report := a.report[:]
	if a.noReport || status != policy.OK && status != policy.Rejected && status != policy.Error {
		report = nil
	}
	g.deliver(&policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: a.index, Server: a.server.addr, Status: status,
		LatencyMs: float64(g.world.now-a.sentAt) / float64(Millisecond), Final: r.answered, Report: report})
	g.release(r)
}
