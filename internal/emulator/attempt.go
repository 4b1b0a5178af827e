package emulator

import (
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// attempt is a request as it is sent to one server.
type attempt struct {
	request     *request
	server      *server
	index       int // among the attempts of the request
	sentAt      Time
	deadline    Time
	incarnation uint32 // of the process that it is connected to
	connected   bool
	ended       bool
	status      policy.Status
	report      [len(reportNames)]float32
	noReport    bool // the answer has no load report
	work        Time // service time on the server
}

// The events of an attempt.
const (
	attemptConnected uint8 = iota
	attemptConnectFailed
	attemptArrived
	attemptServiceEnded
	attemptAnswered
	attemptTimeout
	attemptCancelled
)

func (a *attempt) fire(kind uint8) {
	switch kind {
	case attemptConnected:
		if !a.ended {
			a.connectedTo(a.server.incarnation)
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
		a.end(a.timeoutStatus())
	case attemptCancelled:
		if a.connected {
			a.end(policy.Cancelled)
		} else {
			a.end(policy.NotStarted)
		}
	}
}

// timeoutStatus is the status of an attempt that reaches its deadline.
func (a *attempt) timeoutStatus() policy.Status {
	switch {
	case a.connected:
		return policy.Timeout
	case a.deadline-a.sentAt < connectTimeoutMs*Millisecond:
		return policy.NotStarted // the deadline came before the connect timeout
	}
	return policy.ConnectFailed
}

func (a *attempt) connectedTo(incarnation uint32) {
	a.connected = true
	a.incarnation = incarnation
}

// write sends the request, unless its server became unavailable during the connect.
func (a *attempt) write() {
	g := a.request.agent
	if g.unavailable[a.server.index] {
		a.end(policy.NotStarted)
		return
	}
	a.transmit()
}

// transmit schedules the arrival of the request at its server, unless the network loses it.
func (a *attempt) transmit() {
	g := a.request.agent
	if delay, ok := g.world.delay(g.zone, a.server.zone, false); ok {
		g.world.after(delay, a, attemptArrived)
	}
}

// end reports the outcome to the agent; only the first call has an effect.
func (a *attempt) end(status policy.Status) {
	if a.ended {
		return
	}
	a.ended = true
	g := a.request.agent
	if answeredByServer(status) && a.incarnation == a.server.incarnation {
		g.idleConns[a.server.index]++
	}
	g.attemptEnded(a, status)
}

// answeredByServer reports whether the server answered, after which the connection can be reused.
func answeredByServer(status policy.Status) bool {
	return status == policy.OK || status == policy.Rejected || status == policy.Error
}

// forward sends an attempt, unless the guard blocks it.
func (g *agent) forward(action *policy.Action) {
	r := g.requests[action.Request]
	if r == nil {
		g.guardViolations++
		return
	}
	a := g.newAttempt(r, action)
	if violation := g.guard(a).Violation(); violation != core.NoViolation {
		g.block(a, action.Server, violation)
		return
	}
	if r.mayHaveRun == 0 {
		r.firstSentAt = g.world.now
		r.firstEndpoint = a.server.endpoint()
	}
	r.inFlight++
	r.mayHaveRun++
	r.operation.serverAttempts++
	g.world.graph.recordAttempt(r.operation)
	g.world.after(a.deadline-g.world.now, a, attemptTimeout)
	g.connect(a)
}

func (g *agent) newAttempt(r *request, action *policy.Action) *attempt {
	now := g.world.now
	_, backstop := core.RequestTimeouts(time.Duration(r.deadline - now))
	a := &attempt{
		request:  r,
		server:   g.world.byAddr[action.Server],
		index:    len(r.attempts),
		sentAt:   now,
		deadline: now + Time(backstop),
	}
	if action.DurationMs != 0 {
		a.deadline = min(a.deadline, now+fromMs(action.DurationMs))
	}
	r.attempts = append(r.attempts, a)
	return a
}

// guard returns the state that the guard of internal/core checks before an attempt. Unguarded balancers are
// checked only for what cannot be executed: answered requests, unknown servers, no time, too many attempts.
func (g *agent) guard(a *attempt) *core.Guard {
	r := a.request
	w := g.world
	guard := &core.Guard{
		Completed:   r.answered,
		Listed:      a.server != nil,
		HasTime:     a.deadline > w.now,
		Attempts:    len(r.attempts),
		MaxAttempts: w.settings.Limits.MaxAttempts,
	}
	if w.unguarded {
		return guard
	}
	class := &w.settings.Classes[r.operation.class]
	guard.Listed = a.server != nil && g.listed[a.server.index]
	guard.InFlight = r.inFlight
	guard.MayHaveRun = r.mayHaveRun
	guard.Effect = class.Effect
	if !guard.Listed {
		return guard
	}
	guard.Unavailable = g.unavailable[a.server.index]
	if r.mayHaveRun > 0 {
		to := a.server.endpoint()
		guard.OutsideScope = !core.InDedupScope(class.DedupScope, &r.firstEndpoint, &to)
		guard.WindowExpired = w.now > r.firstSentAt+Time(core.RetryWindow(class))
	}
	return guard
}

// block ends an attempt that the guard rejects, and notifies the balancer. A request fails if its balancer
// keeps forwarding it beyond the maximum of forward actions.
func (g *agent) block(a *attempt, addr policy.Addr, violation core.Violation) {
	r := a.request
	g.guardViolations++
	g.world.violationsByReason[string(violation)]++
	a.ended = true
	if len(r.attempts) > core.MaxForwardActions(g.world.settings.Limits.MaxAttempts) {
		g.complete(r, invariant.Failed, 0)
		return
	}
	g.pending = append(g.pending, policy.Event{
		Kind:    policy.EventAttemptEnded,
		Request: r.id,
		Attempt: a.index,
		Server:  addr,
		Status:  policy.NotStarted,
		Final:   r.answered,
	})
}

// connect sends an attempt over an idle connection, or over a new one.
func (g *agent) connect(a *attempt) {
	w := g.world
	s := a.server
	if g.idleConns[s.index] > 0 && g.connIncarnation[s.index] == s.incarnation {
		g.idleConns[s.index]--
		a.connectedTo(s.incarnation)
		a.transmit()
		return
	}
	g.idleConns[s.index] = 0
	g.connIncarnation[s.index] = s.incarnation
	if a.request.operation.measured {
		w.totals.Handshakes++
	}
	toServer, delivered := w.delay(g.zone, s.zone, false)
	fromServer, answered := w.delay(s.zone, g.zone, false)
	switch {
	case !delivered || !answered || s.unresponsive:
		w.after(connectTimeoutMs*Millisecond, a, attemptConnectFailed)
	case s.stopped:
		w.after(toServer+fromServer, a, attemptConnectFailed)
	default:
		w.after(toServer+fromServer, a, attemptConnected)
	}
}

// attemptEnded handles the outcome of an attempt: it answers the request if it was served, and notifies the
// balancer.
func (g *agent) attemptEnded(a *attempt, status policy.Status) {
	r := a.request
	r.inFlight--
	if status.NeverRan() {
		r.mayHaveRun--
	}
	if !r.answered && status == policy.OK {
		g.complete(r, invariant.Served, 0)
	}
	var report []float32
	if !a.noReport && answeredByServer(status) {
		report = a.report[:]
	}
	g.deliver(&policy.Event{
		Kind:      policy.EventAttemptEnded,
		Request:   r.id,
		Attempt:   a.index,
		Server:    a.server.addr,
		Status:    status,
		LatencyMs: float64(g.world.now-a.sentAt) / float64(Millisecond),
		Final:     r.answered,
		Report:    report,
	})
	g.release(r)
}
