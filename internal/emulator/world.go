package emulator

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// epochMs is the Unix time at which runs begin, in ms.
const epochMs = 1.7e12

// Policy makes the balancer of one agent.
type Policy struct {
	Name string
	// Unguarded: it may break the contract, and the book says so. The product's module runs behind core's
	// guard, as it does in life; a peer's own system has none.
	Unguarded bool
	New       func(policy.Settings, uint64) (Balancer, error)
}

// Product is the module as the agent runs it.
var Product = Policy{Name: "ringtrack", New: func(s policy.Settings, seed uint64) (Balancer, error) { return policy.New(s, seed) }}

// World is one run.
type World struct {
	engine
	scenario           *Scenario
	settings           policy.Settings // of the first agent; the others' differ in index and zone
	seed               uint64
	servers            []*server
	agents             []*agent
	byAddr             map[policy.Addr]*server
	checker            invariant.Checker
	unguarded          bool
	violationsByReason map[string]int

	netRng, clientRng, discoveryRng *rand.Rand
	keys                            *zipf
	burst                           bool
	partitioned                     []bool         // zones that are cut off
	answerDelay                     []Time         // by zone: what its answers are late
	discoveryDownUntil              Time           // until then nobody is told anything
	discoveryQueue                  discoveryQueue // of callers at the roster
	policy                          *Policy
	sampledServers                  int // servers, by the census
	graph                           *graphRun

	loadFactor    float64        // times the load
	quotaAccounts []quotaAccount // by tenant
	operations    uint64
	totals        Result
	latencies     *hdrhistogram.Histogram
}

// Result is what a run found. Figures leave out the warm-up.
type Result struct {
	Scenario        string  `json:"scenario"`
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	Ops             int     `json:"ops"`
	Served          int     `json:"served"`  // within the client's time
	WithinObjective int     `json:"in_aim"`  // within the class's aim
	Rejected        int     `json:"refused"` // at last
	Failed          int     `json:"failed"`
	ClientAttempts  int     `json:"tries"`
	Attempts        int     `json:"attempts"`
	Goodput         float64 `json:"goodput"` // served of all
	// WeightedGoodput is what was served within its aim, of what was asked for, in worth: beyond its portion a tenant's requests
	// are worth a tenth. Tenants is the same by tenant.
	WeightedGoodput float64   `json:"worth"`
	Tenants         []float64 `json:"tenants,omitempty"`
	// WastedWork is the part of the servers' work that was for nobody: the request had been answered, or was late.
	WastedWork float64 `json:"lost"`
	// RecoveryS is how many seconds after the last trouble's end goodput was at 0.95 again, -1: not by the end.
	RecoveryS int     `json:"back_s"`
	MeanMs    float64 `json:"mean_ms"`
	P50Ms     float64 `json:"p50_ms"`
	P99Ms     float64 `json:"p99_ms"`
	P999Ms    float64 `json:"p999_ms"`
	// Timeline is the goodput of the operations that began in each second.
	Timeline        []float64   `json:"timeline"`
	ByServer        []int       `json:"by_server"`
	Overloads       int         `json:"falls"` // cold servers that were pushed over
	Violations      map[int]int `json:"breaches,omitempty"`
	ViolationTexts  []string    `json:"words,omitempty"`
	GuardViolations int         `json:"guarded"`
	// GuardViolationsByReason are the reasons.
	GuardViolationsByReason map[string]int `json:"guards,omitempty"`
	BackstopTimeouts        int            `json:"backstop"`
	Events                  uint64         `json:"events"`
	// Of a roster that works through calls in turn: calls, those that failed, the most in a second, and when
	// the last agent got through for changes.
	DiscoveryCalls    int     `json:"roster_calls,omitempty"`
	DiscoveryFailures int     `json:"roster_failed,omitempty"`
	DiscoveryPeakPerS int     `json:"roster_peak,omitempty"`
	LastSubscribedS   float64 `json:"last_follow_s,omitempty"`
	LostWithAgent     int     `json:"killed,omitempty"` // tries that were lost with their agents
	Handshakes        int     `json:"handshakes"`       // connections that were opened, after the warm-up
	// MeanConnections and OpenMost are connections at a server, idle ones and those in use, over all agents: the mean
	// over servers and seconds, and the most at any server.
	MeanConnections float64 `json:"open_mean"`
	MaxConnections  int     `json:"open_most"`
	Path            *Path   `json:"path,omitempty"` // of a graph
}

// stream is a source of chance of its own, so that one part's draws do not shift another's.
func stream(seed uint64, name string, i int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name, i)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Run plays a scenario, which was checked, under a policy.
func Run(sc *Scenario, p *Policy, seed uint64) (*Result, error) {
	w, err := newWorld(sc, p, seed)
	if err != nil {
		return nil, err
	}
	w.run(Time(sc.Seconds * float64(Second)))
	return w.summarize(), nil
}

func newWorld(sc *Scenario, p *Policy, seed uint64) (*World, error) {
	w := &World{scenario: sc, seed: seed, byAddr: map[policy.Addr]*server{}, checker: invariant.Checker{Rules: invariant.DefaultRules()}, unguarded: p.Unguarded, violationsByReason: map[string]int{},
		netRng: stream(seed, "net", 0), clientRng: stream(seed, "clients", 0), discoveryRng: stream(seed, "roster", 0),
		partitioned: make([]bool, sc.Zones), answerDelay: make([]Time, sc.Zones), settings: sc.settings(0, 0), discoveryQueue: discoveryQueue{DiscoveryQueue: sc.Discovery.Queue}, policy: p,
		latencies: hdrhistogram.New(1, 120_000_000, 3)}
	w.loadFactor, w.quotaAccounts = 1, sc.quotaAccounts()
	w.totals = Result{Scenario: sc.Name, Policy: p.Name, Seed: seed}
	if sc.Load.Keys > 0 {
		w.keys = newZipf(sc.Load.Keys, sc.Load.Zipf)
	}
	for i := range sc.Servers {
		for range sc.Servers[i].Count {
			n := len(w.servers)
			id := fmt.Sprintf("s-%04d", n)
			s := &server{world: w, index: n, zone: n % sc.Zones, service: i, group: &sc.Servers[i], rng: stream(seed, "server", n), errorClass: -1,
				record: invariant.Server{Name: id}, addr: membership.ServerAddr(id, func(a policy.Addr) bool { return w.byAddr[a] != nil })}
			w.servers = append(w.servers, s)
			w.byAddr[s.addr] = s
		}
	}
	if sc.graph != nil {
		w.placeGraph()
	}
	for i, of := range w.agentPlacements() {
		g := &agent{world: w, index: i, agentPlacement: of, requests: map[policy.RequestID]*request{}, unavailable: make([]bool, len(w.servers)),
			listed: make([]bool, len(w.servers)), idleConns: make([]int32, len(w.servers)), connIncarnation: make([]uint32, len(w.servers))}
		for _, s := range w.servers {
			if of.service < 0 || s.service == of.service {
				g.listed[s.index] = true
				g.initialEndpoints = append(g.initialEndpoints, s.endpoint())
			}
		}
		var err error
		if g.balancer, err = p.New(g.settings(), seed^uint64(i+1)*0x9e3779b97f4a7c15); err != nil {
			return nil, fmt.Errorf("%s: %w", p.Name, err)
		}
		w.agents = append(w.agents, g)
		if of.caller != nil {
			of.caller.downstream = append(of.caller.downstream, g)
		}
		g.execute(g.balancer.Start(g.now(), nil))
		g.deliver(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateCached, Endpoints: g.initialEndpoints})
	}
	for i := range sc.Faults {
		w.scheduleFault(&sc.Faults[i])
	}
	w.after(Second, (*connectionSampler)(w), 0)
	if sc.Load.PerS > 0 {
		w.after(w.nextArrival(), (*arrivals)(w), 0)
	}
	if sc.Load.Burst > 1 {
		w.scheduleBurst()
	}
	return w, nil
}

// connectionSampler is the world as what counts connections, once a second.
type connectionSampler World

func (c *connectionSampler) fire(uint8) {
	w := (*World)(c)
	w.after(Second, c, 0)
	if float64(w.now) < w.scenario.WarmUpSeconds*float64(Second) {
		return
	}
	for _, s := range w.servers {
		n := s.busy + len(s.queue) - s.head
		for _, g := range w.agents {
			if g.connIncarnation[s.index] == s.incarnation {
				n += int(g.idleConns[s.index])
			}
		}
		w.sampledServers++
		w.totals.MeanConnections += (float64(n) - w.totals.MeanConnections) / float64(w.sampledServers)
		w.totals.MaxConnections = max(w.totals.MaxConnections, n)
	}
}

// unixMs is the clock as the module is told it, time the same as the book is.
func (w *World) unixMs() float64 { return epochMs + float64(w.now)/float64(Millisecond) }
func (w *World) time() time.Time { return time.Unix(0, int64(epochMs)*1e6+w.now) }

// delay is one way through the network; false: it is lost.
func (w *World) delay(from, to int, answer bool) (Time, bool) {
	ms := w.scenario.Network.LocalMs
	if from != to {
		if w.partitioned[from] || w.partitioned[to] {
			return 0, false
		}
		ms = w.scenario.Network.CrossMs
		if w.graph != nil {
			ms = w.graph.oneWayMs(from, to)
		}
	}
	if w.scenario.Network.JitterMs > 0 {
		ms += w.scenario.Network.JitterMs * w.netRng.ExpFloat64()
	}
	d := fromMs(ms)
	if answer {
		d += w.answerDelay[from]
	}
	return d, true
}

// ---- the roster ----

func (s *server) endpoint() policy.Endpoint {
	e := policy.Endpoint{Server: s.addr, Zone: s.zone, Weight: s.group.Weight, Health: policy.Ready}
	if s.incarnation > 0 {
		e.StartedMs = epochMs + float64(s.started)/float64(Millisecond)
	}
	if s.draining {
		e.Health = policy.Draining
	}
	return e
}

// endpointChange is a change on its way to one agent.
type endpointChange struct {
	agent    *agent
	endpoint policy.Endpoint
	server   *server
}

func (t *endpointChange) fire(uint8) {
	if t.agent.world.discoveryQueue.CallsPerS > 0 && !t.agent.subscribed {
		return // it hears of it with the answer to its call
	}
	t.agent.unavailable[t.server.index] = t.endpoint.Health != policy.Ready
	if t.endpoint.Health != policy.Ready {
		t.agent.idleConns[t.server.index] = 0
	}
	t.agent.deliver(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateDelta, Endpoints: []policy.Endpoint{t.endpoint}})
}

// notify has the roster tell what a server is now, later, to each agent at another moment.
func (w *World) notify(s *server) {
	lag := w.scenario.Discovery.LagMs
	for _, g := range w.agents {
		if !g.listed[s.index] {
			continue
		}
		d := fromMs(lag + lag*w.discoveryRng.Float64())
		g.lastNotificationAt = max(g.lastNotificationAt, max(w.now, w.discoveryDownUntil)+d) // in the order in which it happened
		w.at(g.lastNotificationAt, &endpointChange{g, s.endpoint(), s}, 0)
	}
}

// ---- clients ----

// operation is a client's operation over its tries.
type operation struct {
	invariant.Operation
	world          *World
	agent          *agent
	class          int
	tenant         int
	effect         invariant.Effect
	key            uint64
	startedAt      Time
	deadline       Time
	clientAttempts int
	serverAttempts int
	executed       bool
	immediateRetry bool
	measured       bool // it began after the warm-up
	completed      bool // it ran, and no call that it needed failed
	// Of a graph's: the call at the top, how deep it is, and what waits for it.
	entry  *operation
	hop    int
	caller *nestedCalls
}

// arrivals is the world as what makes clients send.
type arrivals World

func (a *arrivals) fire(uint8) {
	w := (*World)(a)
	w.after(w.nextArrival(), a, 0)
	rng := w.clientRng
	if w.scenario.Load.Swing > 0 {
		// Thinning: arrivals are drawn at the peak's rate.
		part := 1 - w.scenario.Load.Swing*math.Cos(2*math.Pi*float64(w.now)/float64(Second)/w.scenario.Seconds)
		if rng.Float64()*(1+w.scenario.Load.Swing) > part {
			return
		}
	}
	w.operations++
	o := &operation{world: w, agent: w.agents[rng.IntN(w.entryAgents())], startedAt: w.now, measured: float64(w.now) >= w.scenario.WarmUpSeconds*float64(Second), hop: 1}
	o.entry = o
	x := rng.Float64()
	for o.class < len(w.scenario.Classes)-1 && x >= w.scenario.Classes[o.class].Share {
		x -= w.scenario.Classes[o.class].Share
		o.class++
	}
	c := &w.scenario.Classes[o.class]
	o.effect = invariant.Effect(c.Effect)
	o.Operation = invariant.Operation{Effect: o.effect}
	if len(w.scenario.Tenants) > 0 {
		o.tenant = w.scenario.drawTenant(rng.Float64())
	}
	if w.scenario.FirstAgentFraction > 0 && rng.Float64() < w.scenario.FirstAgentFraction {
		o.agent = w.agents[0]
	}
	if o.measured {
		p := &w.quotaAccounts[o.tenant]
		p.offeredWeight += weightUnderQuota(&p.offered, w.now, w.settings.Classes[o.class].PriorityWeight)
	}
	if w.keys != nil {
		o.key = uint64(w.keys.draw(rng))*0x9e3779b97f4a7c15 + 1
		if w.scenario.Load.HotKey > 0 && rng.Float64() < w.scenario.Load.HotKey {
			o.key = 1
		}
	}
	o.immediateRetry = w.scenario.Load.ImmediateRetry > 0 && rng.Float64() < w.scenario.Load.ImmediateRetry
	o.deadline = w.now + fromMs(c.ClientTimeoutMs)
	if o.measured {
		w.totals.Ops++
	}
	w.graph.recordRequest(o)
	o.send()
}

// nextArrival is the time to the next arrival.
func (w *World) nextArrival() Time {
	rate := w.scenario.Load.PerS * (1 + w.scenario.Load.Swing) * max(w.loadFactor, 1e-3)
	if w.scenario.Load.Burst > 1 {
		// On for a tenth of the time.
		if off := (1 - 0.1*w.scenario.Load.Burst) / 0.9; w.burst {
			rate *= w.scenario.Load.Burst
		} else {
			rate *= max(off, 0.01)
		}
	}
	return Time(w.clientRng.ExpFloat64() / rate * float64(Second))
}

// burstSwitch is the world as what begins and ends bursts.
type burstSwitch World

func (b *burstSwitch) fire(uint8) {
	w := (*World)(b)
	w.burst = !w.burst
	w.scheduleBurst()
}

func (w *World) scheduleBurst() {
	mean := max(w.scenario.Load.BurstMs, 1)
	if !w.burst {
		mean *= 9
	}
	w.after(fromMs(mean*w.clientRng.ExpFloat64()), (*burstSwitch)(w), 0)
}

// fire is the client that comes back.
func (o *operation) fire(uint8) { o.send() }

func (o *operation) send() {
	o.clientAttempts++
	if o.Name == "" {
		o.Name = "op"
	}
	left := o.deadline - o.world.now
	o.world.checker.AttemptStarted(&o.Operation, o.world.time().Add(time.Duration(left)))
	if o.measured {
		o.world.totals.ClientAttempts++
	}
	o.agent.submit(o, left)
}

// maxClientAttempts is how often a client sends an operation at the most; leastLeft what has to be left for that.
const (
	maxClientAttempts = 3
	minRemaining      = 20 * Millisecond
)

// answered takes the answer to a try, and comes back where that is allowed.
func (o *operation) answered(v invariant.Outcome, afterMs float64) {
	w := o.world
	w.checker.Answered(&o.Operation, v, w.time())
	wait := Time(-1)
	switch {
	case v == invariant.Served, v == invariant.Failed && o.effect == invariant.NonIdempotent:
	case o.immediateRetry:
		wait = 0
	case v == invariant.Failed:
		wait = 10 * Millisecond
	default:
		wait = fromMs(afterMs/2 + w.clientRng.Float64()*afterMs/2)
	}
	if wait >= 0 && o.clientAttempts < w.graph.maxAttempts(o) && w.now+wait+minRemaining < o.deadline {
		w.after(wait, o, 0)
		return
	}
	w.graph.operationEnded(o, v)
	if !o.measured {
		return
	}
	w.totals.Attempts += o.serverAttempts
	second := int(o.startedAt / Second)
	for len(w.totals.Timeline) <= 2*second+1 {
		w.totals.Timeline = append(w.totals.Timeline, 0)
	}
	w.totals.Timeline[2*second]++
	switch {
	case v == invariant.Served && w.now <= o.deadline:
		w.totals.Served++
		w.totals.Timeline[2*second+1]++
		took := w.now - o.startedAt
		_ = w.latencies.RecordValue(min(max(took/Microsecond, 1), 120_000_000))
		if took <= fromMs(w.scenario.Classes[o.class].LatencyObjectiveMs) {
			w.totals.WithinObjective++
			p := &w.quotaAccounts[o.tenant]
			p.servedWeight += weightUnderQuota(&p.granted, w.now, w.settings.Classes[o.class].PriorityWeight)
		}
	case v == invariant.Rejected:
		w.totals.Rejected++
	default:
		w.totals.Failed++
	}
}

func (w *World) summarize() *Result {
	r := &w.totals
	ended := r.Served + r.Rejected + r.Failed // what is open at the end says nothing
	r.Ops = ended
	r.Goodput = float64(r.Served) / float64(max(ended, 1))
	r.MeanMs = w.latencies.Mean() / 1000
	r.P50Ms = float64(w.latencies.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(w.latencies.ValueAtQuantile(99)) / 1000
	r.P999Ms = float64(w.latencies.ValueAtQuantile(99.9)) / 1000
	asked, won := 0.0, 0.0
	for i := range w.quotaAccounts {
		p := &w.quotaAccounts[i]
		asked, won = asked+p.offeredWeight, won+min(p.servedWeight, p.offeredWeight)
		if len(w.scenario.Tenants) > 0 {
			r.Tenants = append(r.Tenants, p.servedFraction())
		}
	}
	if asked > 0 {
		r.WeightedGoodput = won / asked
	}
	work, lost := Time(0), Time(0)
	for _, s := range w.servers {
		work, lost = work+s.work, lost+s.wastedWork
	}
	r.WastedWork = float64(lost) / float64(max(work, 1))
	var line []float64
	for i := 0; i+1 < len(r.Timeline); i += 2 {
		v := 1.0
		if r.Timeline[i] > 0 {
			v = r.Timeline[i+1] / r.Timeline[i]
		}
		line = append(line, v)
	}
	r.Timeline = line
	r.RecoveryS = w.scenario.recoveryS(line)
	for _, s := range w.servers {
		r.ByServer = append(r.ByServer, s.served)
		r.Overloads += s.overloads
		w.checker.CheckSlowStart(&s.record)
	}
	for _, g := range w.agents {
		r.GuardViolations += g.guardViolations
		r.BackstopTimeouts += g.backstopTimeouts
	}
	r.GuardViolationsByReason = w.violationsByReason
	r.Violations, r.ViolationTexts = w.checker.Violations()
	r.Events = w.fired
	r.Path = w.graph.summary()
	return r
}

// recoveryS is how many seconds after the last trouble's end goodput is at 0.95 again, and stays there for two.
func (s *Scenario) recoveryS(line []float64) int {
	end := 0.0
	for _, f := range s.Faults {
		if f.DurationS > 0 {
			end = max(end, f.StartS+f.DurationS)
		}
	}
	if end == 0 {
		return 0
	}
	from := int(math.Ceil(end))
	for i := from; i+1 < len(line); i++ {
		if line[i] >= 0.95 && line[i+1] >= 0.95 {
			return i - from
		}
	}
	return -1
}
