package emulator

import (
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// cancelDelay is the time from the cancellation of an attempt to its end.
const cancelDelay = 20 * Microsecond

// Balancer makes the decisions of an agent: it receives events and returns actions, as in internal/core.
type Balancer interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// agent is core.EventLoop in virtual time, with the same events in the same order, the same guard and the
// same timeout margins.
type agent struct {
	agentPlacement
	world            *World
	index            int
	balancer         Balancer
	initialEndpoints []policy.Endpoint // the endpoint list at the start of the run
	nextID           policy.RequestID
	requests         map[policy.RequestID]*request
	openRequests     int
	pending          []policy.Event  // to be handled after the current one
	actions          []policy.Action // buffer that is reused for each event

	// By server index.
	listed          []bool
	unavailable     []bool   // known to be draining or removed
	idleConns       []int32  // open connections without a request
	connIncarnation []uint32 // incarnation of the server that they are connected to

	watching           bool // a watch of the endpoint list is open or requested
	subscribed         bool // the watch was accepted
	fetching           bool // a fetch of the endpoint list is in flight
	lastNotificationAt Time // arrival of the last watch event in flight

	guardViolations  int
	backstopTimeouts int
}

// request is a client's attempt in its agent.
type request struct {
	agent         *agent
	operation     *operation
	id            policy.RequestID
	deadline      Time
	answered      bool
	attempts      []*attempt
	inFlight      int
	mayHaveRun    int
	firstSentAt   Time            // start of the first attempt that may have run
	firstEndpoint policy.Endpoint // server of that attempt
}

// timer is a timer of a balancer.
type timer struct {
	agent    *agent
	balancer Balancer // that set it; timers of a killed agent's balancer are ignored
	token    uint32
}

func (t *timer) fire(uint8) {
	if t.balancer != t.agent.balancer {
		return
	}
	t.agent.deliver(&policy.Event{Kind: policy.EventTimer, Token: t.token})
}

// start starts the balancer with the endpoint list of the run's start as its cached one.
func (g *agent) start() {
	g.execute(g.balancer.Start(g.now(), nil))
	g.deliver(&policy.Event{
		Kind:      policy.EventEndpointUpdate,
		Update:    policy.UpdateCached,
		Endpoints: g.initialEndpoints,
	})
}

// restart kills the agent's process and starts it again with the endpoint list of the run's start. Open
// requests fail at their clients, which may retry them.
func (g *agent) restart() {
	w := g.world
	lost := make([]*request, 0, len(g.requests))
	for id := policy.RequestID(1); id <= g.nextID; id++ { // map iteration order would differ by run
		if r := g.requests[id]; r != nil {
			lost = append(lost, r)
		}
	}
	balancer, err := w.policy.New(g.settings(), w.seed^uint64(g.index+1)*hashMultiplier^uint64(w.now))
	if err != nil {
		return // cannot happen: the same settings were accepted before
	}
	g.balancer = balancer
	g.watching = false
	g.fetching = false
	g.subscribed = false
	g.requests = map[policy.RequestID]*request{}
	g.openRequests = 0
	g.pending = nil
	clear(g.idleConns)
	clear(g.unavailable)
	for _, r := range lost {
		g.abandon(r)
	}
	g.start()
}

// abandon fails a request that is lost with the agent's process.
func (g *agent) abandon(r *request) {
	for _, a := range r.attempts {
		a.ended = true
	}
	if r.answered {
		return
	}
	r.answered = true
	g.world.totals.LostWithAgent++
	r.operation.answered(invariant.Failed, 0)
}

func (g *agent) now() float64 { return g.world.unixMs() }

func (g *agent) handle(ev *policy.Event) {
	g.execute(g.balancer.Handle(g.now(), ev, g.actions[:0]))
}

// deliver passes an event to the balancer, and then the events that result from its actions.
func (g *agent) deliver(ev *policy.Event) {
	g.handle(ev)
	for len(g.pending) > 0 {
		next := g.pending[0]
		g.pending = g.pending[1:]
		g.handle(&next)
	}
	g.pending = g.pending[:0]
}

func (g *agent) execute(actions []policy.Action) {
	g.actions = actions
	for i := range actions {
		g.executeOne(&actions[i])
	}
}

func (g *agent) executeOne(a *policy.Action) {
	r := g.requests[a.Request]
	switch a.Kind {
	case policy.ActionForward:
		g.forward(a)
	case policy.ActionCancel:
		if r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			g.cancel(r.attempts[a.Attempt])
		}
	case policy.ActionReject:
		if r != nil {
			g.reject(r, a.DurationMs)
		}
	case policy.ActionFail:
		if r != nil {
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

// submit accepts a client's attempt as a request, or rejects it if too many are open or no time is left.
func (g *agent) submit(o *operation, remaining Time) {
	limits := &g.world.settings.Limits
	g.nextID++
	r := &request{agent: g, operation: o, id: g.nextID, deadline: g.world.now + remaining}
	g.openRequests++
	full := limits.MaxOpenRequests > 0 && g.openRequests > limits.MaxOpenRequests
	if remaining <= 0 || full {
		g.reject(r, limits.MaxRetryAfterMs)
		return
	}
	g.requests[r.id] = r
	timeout, backstop := core.RequestTimeouts(time.Duration(remaining))
	g.world.after(Time(backstop), r, 0)
	g.deliver(&policy.Event{
		Kind:        policy.EventRequest,
		Request:     r.id,
		Class:       o.class,
		Tenant:      o.tenant,
		Key:         o.key,
		RemainingMs: float64(timeout.Microseconds()) / 1000,
		Retry:       o.clientAttempts > 1,
	})
}

// fire is the backstop timeout: it fails a request that the balancer has not answered.
func (r *request) fire(uint8) {
	if r.answered {
		return
	}
	g := r.agent
	g.backstopTimeouts++
	g.complete(r, invariant.Failed, 0)
	for _, a := range r.attempts {
		g.cancel(a)
	}
	g.deliver(&policy.Event{Kind: policy.EventClientDisconnected, Request: r.id})
}

func (g *agent) cancel(a *attempt) {
	if !a.ended {
		g.world.after(cancelDelay, a, attemptCancelled)
	}
}

// reject answers a request with Retry-After, unless one of its attempts may have run.
func (g *agent) reject(r *request, retryAfterMs float64) {
	if !core.MayReject(&g.world.settings.Classes[r.operation.class], r.mayHaveRun) {
		g.guardViolations++
		g.complete(r, invariant.Failed, 0)
		return
	}
	g.complete(r, invariant.Rejected, retryAfterMs)
}

// complete answers a request; only the first call has an effect.
func (g *agent) complete(r *request, outcome invariant.Outcome, retryAfterMs float64) {
	if r.answered {
		return
	}
	r.answered = true
	g.openRequests--
	g.release(r)
	r.operation.answered(outcome, retryAfterMs)
}

// release removes a request that is answered and has no attempt in flight.
func (g *agent) release(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.id)
	}
}

// settings returns the settings of the agent's balancer. In a graph the latency objectives are scaled for the
// called service: by the length of its longest path as a fraction of the graph's depth.
func (g *agent) settings() policy.Settings {
	out := g.world.scenario.settings(g.replicaIndex, g.zone)
	out.Replicas = g.replicas
	if graph := g.world.graph; graph != nil {
		fraction := float64(graph.Services[g.service].Height) / float64(graph.Spec.Depth)
		for i := range out.Classes {
			out.Classes[i].LatencyObjectiveMs *= fraction
		}
	}
	return out
}
