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
	// Freely: it may break the contract, and the book says so. The product's module runs behind core's
	// guard, as it does in life; a peer's own system has none.
	Freely bool
	New    func(policy.Settings, uint64) (Balancer, error)
}

// Product is the module as the agent runs it.
var Product = Policy{Name: "ringtrack", New: func(s policy.Settings, seed uint64) (Balancer, error) { return policy.New(s, seed) }}

// World is one run.
type World struct {
	engine
	sc       *Scenario
	settings policy.Settings // of the first agent; the others' differ in index and zone
	seed     uint64
	servers  []*server
	agents   []*agent
	byAddr   map[policy.Addr]*server
	book     invariant.Checker
	freely   bool
	guards   map[string]int

	netRng, clientRng, rosterRng *rand.Rand
	keys                         *zipf
	burst                        bool
	cut                          []bool // zones that are cut off
	late                         []Time // by zone: what its answers are late
	rosterDown                   Time   // until then nobody is told anything
	line                         line   // of callers at the roster
	policy                       *Policy
	counted                      int // servers, by the census
	graph                        *graphRun

	surge  float64 // times the load
	purses []purse // by tenant
	nextOp uint64
	res    Result
	hist   *hdrhistogram.Histogram
}

// Result is what a run found. Figures leave out the warm-up.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Ops      int     `json:"ops"`
	Served   int     `json:"served"`  // within the client's time
	InAim    int     `json:"in_aim"`  // within the class's aim
	Refused  int     `json:"refused"` // at last
	Failed   int     `json:"failed"`
	Tries    int     `json:"tries"`
	Attempts int     `json:"attempts"`
	Goodput  float64 `json:"goodput"` // served of all
	// Worth is what was served within its aim, of what was asked for, in worth: beyond its portion a tenant's requests
	// are worth a tenth. Tenants is the same by tenant.
	Worth   float64   `json:"worth"`
	Tenants []float64 `json:"tenants,omitempty"`
	// Lost is the part of the servers' work that was for nobody: the request had been answered, or was late.
	Lost float64 `json:"lost"`
	// BackS is how many seconds after the last trouble's end goodput was at 0.95 again, -1: not by the end.
	BackS  int     `json:"back_s"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	// Timeline is the goodput of the operations that began in each second.
	Timeline []float64   `json:"timeline"`
	ByServer []int       `json:"by_server"`
	Falls    int         `json:"falls"` // cold servers that were pushed over
	Breaches map[int]int `json:"breaches,omitempty"`
	Words    []string    `json:"words,omitempty"`
	Guarded  int         `json:"guarded"`
	// Guards are the reasons.
	Guards   map[string]int `json:"guards,omitempty"`
	Backstop int            `json:"backstop"`
	Events   uint64         `json:"events"`
	// Of a roster that works through calls in turn: calls, those that failed, the most in a second, and when
	// the last agent got through for changes.
	RosterCalls  int     `json:"roster_calls,omitempty"`
	RosterFailed int     `json:"roster_failed,omitempty"`
	RosterPeak   int     `json:"roster_peak,omitempty"`
	LastFollowS  float64 `json:"last_follow_s,omitempty"`
	Killed       int     `json:"killed,omitempty"` // tries that were lost with their agents
	Handshakes   int     `json:"handshakes"`       // connections that were opened, after the warm-up
	// OpenMean and OpenMost are connections at a server, idle ones and those in use, over all agents: the mean
	// over servers and seconds, and the most at any server.
	OpenMean float64 `json:"open_mean"`
	OpenMost int     `json:"open_most"`
	Path     *Path   `json:"path,omitempty"` // of a graph
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
	return w.result(), nil
}

func newWorld(sc *Scenario, p *Policy, seed uint64) (*World, error) {
	w := &World{sc: sc, seed: seed, byAddr: map[policy.Addr]*server{}, book: invariant.Checker{Rules: invariant.DefaultRules()}, freely: p.Freely, guards: map[string]int{},
		netRng: stream(seed, "net", 0), clientRng: stream(seed, "clients", 0), rosterRng: stream(seed, "roster", 0),
		cut: make([]bool, sc.Zones), late: make([]Time, sc.Zones), settings: sc.settings(0, 0), line: line{RosterLine: sc.Roster.Line}, policy: p,
		hist: hdrhistogram.New(1, 120_000_000, 3)}
	w.surge, w.purses = 1, sc.purses()
	w.res = Result{Scenario: sc.Name, Policy: p.Name, Seed: seed}
	if sc.Load.Keys > 0 {
		w.keys = newZipf(sc.Load.Keys, sc.Load.Zipf)
	}
	for i := range sc.Servers {
		for range sc.Servers[i].Count {
			n := len(w.servers)
			id := fmt.Sprintf("s-%04d", n)
			s := &server{w: w, index: n, zone: n % sc.Zones, service: i, group: &sc.Servers[i], rng: stream(seed, "server", n), errClass: -1,
				acct: invariant.Server{Name: id}, addr: membership.ServerAddr(id, func(a policy.Addr) bool { return w.byAddr[a] != nil })}
			w.servers = append(w.servers, s)
			w.byAddr[s.addr] = s
		}
	}
	if sc.graph != nil {
		w.placeGraph()
	}
	for i, of := range w.plannedAgents() {
		g := &agent{w: w, index: i, agentPlan: of, requests: map[policy.RequestID]*request{}, closed: make([]bool, len(w.servers)),
			listed: make([]bool, len(w.servers)), idle: make([]int32, len(w.servers)), life: make([]uint32, len(w.servers))}
		for _, s := range w.servers {
			if of.service < 0 || s.service == of.service {
				g.listed[s.index] = true
				g.atStart = append(g.atStart, s.entry())
			}
		}
		var err error
		if g.b, err = p.New(g.settings(), seed^uint64(i+1)*0x9e3779b97f4a7c15); err != nil {
			return nil, fmt.Errorf("%s: %w", p.Name, err)
		}
		w.agents = append(w.agents, g)
		if of.from != nil {
			of.from.calls = append(of.from.calls, g)
		}
		g.carryOut(g.b.Start(g.now(), nil))
		g.event(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateCached, Endpoints: g.atStart})
	}
	for i := range sc.Faults {
		w.plan(&sc.Faults[i])
	}
	w.after(Second, (*census)(w), 0)
	if sc.Load.PerS > 0 {
		w.after(w.untilNext(), (*arrivals)(w), 0)
	}
	if sc.Load.Burst > 1 {
		w.toggle()
	}
	return w, nil
}

// census is the world as what counts connections, once a second.
type census World

func (c *census) fire(uint8) {
	w := (*World)(c)
	w.after(Second, c, 0)
	if float64(w.now) < w.sc.WarmSeconds*float64(Second) {
		return
	}
	for _, s := range w.servers {
		n := s.busy + len(s.queue) - s.head
		for _, g := range w.agents {
			if g.life[s.index] == s.life {
				n += int(g.idle[s.index])
			}
		}
		w.counted++
		w.res.OpenMean += (float64(n) - w.res.OpenMean) / float64(w.counted)
		w.res.OpenMost = max(w.res.OpenMost, n)
	}
}

// unixMs is the clock as the module is told it, time the same as the book is.
func (w *World) unixMs() float64 { return epochMs + float64(w.now)/float64(Millisecond) }
func (w *World) time() time.Time { return time.Unix(0, int64(epochMs)*1e6+w.now) }

// delay is one way through the network; false: it is lost.
func (w *World) delay(from, to int, answer bool) (Time, bool) {
	ms := w.sc.Net.LocalMs
	if from != to {
		if w.cut[from] || w.cut[to] {
			return 0, false
		}
		ms = w.sc.Net.CrossMs
		if w.graph != nil {
			ms = w.graph.wayMs(from, to)
		}
	}
	if w.sc.Net.JitterMs > 0 {
		ms += w.sc.Net.JitterMs * w.netRng.ExpFloat64()
	}
	d := ns(ms)
	if answer {
		d += w.late[from]
	}
	return d, true
}

// ---- the roster ----

func (s *server) entry() policy.Endpoint {
	e := policy.Endpoint{Server: s.addr, Zone: s.zone, Weight: s.group.Weight, Health: policy.Ready}
	if s.life > 0 {
		e.StartedMs = epochMs + float64(s.started)/float64(Millisecond)
	}
	if s.draining {
		e.Health = policy.Draining
	}
	return e
}

// telling is a change on its way to one agent.
type telling struct {
	g *agent
	e policy.Endpoint
	s *server
}

func (t *telling) fire(uint8) {
	if t.g.w.line.CallsPerS > 0 && !t.g.follows {
		return // it hears of it with the answer to its call
	}
	t.g.closed[t.s.index] = t.e.Health != policy.Ready
	if t.e.Health != policy.Ready {
		t.g.idle[t.s.index] = 0
	}
	t.g.event(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateDelta, Endpoints: []policy.Endpoint{t.e}})
}

// tell has the roster tell what a server is now, later, to each agent at another moment.
func (w *World) tell(s *server) {
	lag := w.sc.Roster.LagMs
	for _, g := range w.agents {
		if !g.listed[s.index] {
			continue
		}
		d := ns(lag + lag*w.rosterRng.Float64())
		g.toldAt = max(g.toldAt, max(w.now, w.rosterDown)+d) // in the order in which it happened
		w.at(g.toldAt, &telling{g, s.entry(), s}, 0)
	}
}

// ---- clients ----

// op is a client's operation over its tries.
type op struct {
	invariant.Operation
	w        *World
	agent    *agent
	class    int
	tenant   int
	effect   invariant.Effect
	key      uint64
	began    Time
	until    Time
	tries    int
	attempts int
	runs     bool
	rude     bool
	counts   bool // it began after the warm-up
	whole    bool // it ran, and no call that it needed failed
	// Of a graph's: the call at the top, how deep it is, and what waits for it.
	top  *op
	hop  int
	hold *hold
}

// arrivals is the world as what makes clients send.
type arrivals World

func (a *arrivals) fire(uint8) {
	w := (*World)(a)
	w.after(w.untilNext(), a, 0)
	rng := w.clientRng
	if w.sc.Load.Swing > 0 {
		// Thinning: arrivals are drawn at the peak's rate.
		part := 1 - w.sc.Load.Swing*math.Cos(2*math.Pi*float64(w.now)/float64(Second)/w.sc.Seconds)
		if rng.Float64()*(1+w.sc.Load.Swing) > part {
			return
		}
	}
	w.nextOp++
	o := &op{w: w, agent: w.agents[rng.IntN(w.doors())], began: w.now, counts: float64(w.now) >= w.sc.WarmSeconds*float64(Second), hop: 1}
	o.top = o
	x := rng.Float64()
	for o.class < len(w.sc.Classes)-1 && x >= w.sc.Classes[o.class].Share {
		x -= w.sc.Classes[o.class].Share
		o.class++
	}
	c := &w.sc.Classes[o.class]
	o.effect = invariant.Effect(c.Effect)
	o.Operation = invariant.Operation{Effect: o.effect}
	if len(w.sc.Tenants) > 0 {
		o.tenant = w.sc.drawTenant(rng.Float64())
	}
	if w.sc.OneAgent > 0 && rng.Float64() < w.sc.OneAgent {
		o.agent = w.agents[0]
	}
	if o.counts {
		p := &w.purses[o.tenant]
		p.asked += worthOf(&p.asks, w.now, w.settings.Classes[o.class].PriorityWeight)
	}
	if w.keys != nil {
		o.key = uint64(w.keys.draw(rng))*0x9e3779b97f4a7c15 + 1
		if w.sc.Load.HotKey > 0 && rng.Float64() < w.sc.Load.HotKey {
			o.key = 1
		}
	}
	o.rude = w.sc.Load.Rude > 0 && rng.Float64() < w.sc.Load.Rude
	o.until = w.now + ns(c.GiveUpMs)
	if o.counts {
		w.res.Ops++
	}
	w.graph.asked(o)
	o.try()
}

// untilNext is the time to the next arrival.
func (w *World) untilNext() Time {
	rate := w.sc.Load.PerS * (1 + w.sc.Load.Swing) * max(w.surge, 1e-3)
	if w.sc.Load.Burst > 1 {
		// On for a tenth of the time.
		if off := (1 - 0.1*w.sc.Load.Burst) / 0.9; w.burst {
			rate *= w.sc.Load.Burst
		} else {
			rate *= max(off, 0.01)
		}
	}
	return Time(w.clientRng.ExpFloat64() / rate * float64(Second))
}

// bursts is the world as what begins and ends bursts.
type bursts World

func (b *bursts) fire(uint8) {
	w := (*World)(b)
	w.burst = !w.burst
	w.toggle()
}

func (w *World) toggle() {
	mean := max(w.sc.Load.BurstMs, 1)
	if !w.burst {
		mean *= 9
	}
	w.after(ns(mean*w.clientRng.ExpFloat64()), (*bursts)(w), 0)
}

// fire is the client that comes back.
func (o *op) fire(uint8) { o.try() }

func (o *op) try() {
	o.tries++
	if o.Name == "" {
		o.Name = "op"
	}
	left := o.until - o.w.now
	o.w.book.AttemptStarted(&o.Operation, o.w.time().Add(time.Duration(left)))
	if o.counts {
		o.w.res.Tries++
	}
	o.agent.take(o, left)
}

// maxTries is how often a client sends an operation at the most; leastLeft what has to be left for that.
const (
	maxTries  = 3
	leastLeft = 20 * Millisecond
)

// answered takes the answer to a try, and comes back where that is allowed.
func (o *op) answered(v invariant.Outcome, afterMs float64) {
	w := o.w
	w.book.Answered(&o.Operation, v, w.time())
	wait := Time(-1)
	switch {
	case v == invariant.Served, v == invariant.Failed && o.effect == invariant.NonIdempotent:
	case o.rude:
		wait = 0
	case v == invariant.Failed:
		wait = 10 * Millisecond
	default:
		wait = ns(afterMs/2 + w.clientRng.Float64()*afterMs/2)
	}
	if wait >= 0 && o.tries < w.graph.tries(o) && w.now+wait+leastLeft < o.until {
		w.after(wait, o, 0)
		return
	}
	w.graph.ended(o, v)
	if !o.counts {
		return
	}
	w.res.Attempts += o.attempts
	second := int(o.began / Second)
	for len(w.res.Timeline) <= 2*second+1 {
		w.res.Timeline = append(w.res.Timeline, 0)
	}
	w.res.Timeline[2*second]++
	switch {
	case v == invariant.Served && w.now <= o.until:
		w.res.Served++
		w.res.Timeline[2*second+1]++
		took := w.now - o.began
		_ = w.hist.RecordValue(min(max(took/Microsecond, 1), 120_000_000))
		if took <= ns(w.sc.Classes[o.class].AimMs) {
			w.res.InAim++
			p := &w.purses[o.tenant]
			p.won += worthOf(&p.gets, w.now, w.settings.Classes[o.class].PriorityWeight)
		}
	case v == invariant.Rejected:
		w.res.Refused++
	default:
		w.res.Failed++
	}
}

func (w *World) result() *Result {
	r := &w.res
	ended := r.Served + r.Refused + r.Failed // what is open at the end says nothing
	r.Ops = ended
	r.Goodput = float64(r.Served) / float64(max(ended, 1))
	r.MeanMs = w.hist.Mean() / 1000
	r.P50Ms = float64(w.hist.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(w.hist.ValueAtQuantile(99)) / 1000
	r.P999Ms = float64(w.hist.ValueAtQuantile(99.9)) / 1000
	asked, won := 0.0, 0.0
	for i := range w.purses {
		p := &w.purses[i]
		asked, won = asked+p.asked, won+min(p.won, p.asked)
		if len(w.sc.Tenants) > 0 {
			r.Tenants = append(r.Tenants, p.part())
		}
	}
	if asked > 0 {
		r.Worth = won / asked
	}
	work, lost := Time(0), Time(0)
	for _, s := range w.servers {
		work, lost = work+s.work, lost+s.lost
	}
	r.Lost = float64(lost) / float64(max(work, 1))
	var line []float64
	for i := 0; i+1 < len(r.Timeline); i += 2 {
		v := 1.0
		if r.Timeline[i] > 0 {
			v = r.Timeline[i+1] / r.Timeline[i]
		}
		line = append(line, v)
	}
	r.Timeline = line
	r.BackS = w.sc.back(line)
	for _, s := range w.servers {
		r.ByServer = append(r.ByServer, s.served)
		r.Falls += s.falls
		w.book.CheckSlowStart(&s.acct)
	}
	for _, g := range w.agents {
		r.Guarded += g.guarded
		r.Backstop += g.backstop
	}
	r.Guards = w.guards
	r.Breaches, r.Words = w.book.Violations()
	r.Events = w.fired
	r.Path = w.graph.path()
	return r
}

// back is how many seconds after the last trouble's end goodput is at 0.95 again, and stays there for two.
func (s *Scenario) back(line []float64) int {
	end := 0.0
	for _, f := range s.Faults {
		if f.ForS > 0 {
			end = max(end, f.AtS+f.ForS)
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
