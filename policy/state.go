package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"ringtrack.example/ringtrack/internal/concurrency"
	"ringtrack.example/ringtrack/internal/limits"
)

// This file holds what a Balancer remembers and plain arithmetic on it; the
// decisions are in policy.go.

// server is what the agent knows of one listed server.
type server struct {
	id        Addr
	hash      uint64
	ahead     float64 // how far on the agent's walk
	zone      int
	cell      int
	weight    float64
	listedAt  float64 // start of its process by the list
	startedAt float64 // the same, or later where a restart is assumed
	ready     bool    // listed as ready
	banned    bool    // by an operator
	usable    bool    // ready and not banned
	state     State
	since     float64 // when the state was entered
	silent    bool    // demoted for silence, not for an answer
	lostAt    float64 // first failed connect since it last answered; 0: none
	strikes   int     // how often it failed of late; sets the hold
	good      int     // served since the last change of strikes
	probing   bool
	out       []*attempt // attempts out, oldest first
	heard     float64    // when it last answered anything
	lat       float64    // mean answer time as a part of the aim
	samples   int
	window    concurrency.Limit
	load      concurrency.LoadReport
	sentAt    float64 // last attempt
	gap       float64 // mean time between attempts
	restUntil float64 // passed over in its tier
	rtt       float64 // mean answer time
	failing   float64 // part of its attempts that fail
	credit    float64 // work a cold server may still be sent
	score     float64 // place in a request's order; lower is nearer
}

// attempt is one send of a request.
type attempt struct {
	r      *request
	s      *server
	index  int
	sentAt float64
	alone  bool // no other of this agent was out on its server
	cost   float64
	done   bool
	// writing: its body still comes. It is no work of the server's yet, and no silence of it.
	writing bool
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id         RequestID
	class      int
	tenant     int
	key        uint64
	spot       uint64 // the key, or one of its parts
	hint       float64
	first      float64 // when the client's first try came, as far as known
	arrived    float64
	aimAt      float64
	deadline   float64 // margin already taken off
	attempts   []*attempt
	open       int // attempts out
	risky      int // attempts that may have run
	ranAt      float64
	ranOn      *server
	near       [keyServers]*server // nearest its key, as of epoch
	epoch      uint64
	tierWeight float64 // of the tier at its last pick
	value      float64
	flow       int  // of portions
	warm       bool // its key was sent of late
	anywhere   bool // has waited its time for its key's servers
	wrote      bool // an attempt reached a server
	closed     bool
	stream     bool // its body is sent as it comes, once
	started    bool // a streamed answer belongs to the client now
}

// past is what is remembered of an unserved request, to know its retry.
type past struct {
	class int
	key   uint64
	first float64
}

// UpdateSettings has it go on by other rules: effects, groups, windows, attempts and contract may differ from those it was
// made with, nothing else. What is out stays out; what is decided from now on goes by them.
func (b *Balancer) UpdateSettings(set Settings) {
	if len(set.Classes) == len(b.set.Classes) {
		b.set.Classes, b.set.Limits.MaxAttempts, b.set.Contract = set.Classes, set.Limits.MaxAttempts, set.Contract
	}
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set       Settings
	rng       *rand.Rand
	now       float64
	out       []Action
	servers   []*server              // by address
	byAddr    map[Addr]*server       // bound: what is listed, and what is gone with attempts out
	requests  map[RequestID]*request // bound: what is open, and what is over with an attempt out
	held      []*request
	keys      map[uint64]float64 // requests of each key, of keyed in all, halved now and then; bound: keyMemory/keyPart for each server
	keyed     float64
	tier      []*server // scratch of pick
	pasts     []past
	warm      float64 // weight of warm servers, at warmAt and warmEpoch
	warmAt    float64
	warmEpoch uint64
	epoch     uint64  // counts changes of tiers and list
	own       float64 // how much more a server of the own zone weighs
	inflight  int
	most      float64 // requests without a key that may be out, and when that was cut last
	mostAt    float64
	lately    float64 // mean answer time as a part of the aim, of the last few
	turned    float64 // part of all attempts that were turned away
	failing   float64 // part of all attempts that fail
	load      float64 // mean reported requests for weight one
	sentAt    float64 // last attempt
	gap       float64 // mean time between attempts
	tried     float64 // ended tries, fading, and what they gained
	gained    float64
	again     float64 // further attempts that may be made
	probes    int
	mayProbe  float64   // probes that may be sent
	expect    []float64 // per class: mean answer time
	meanHint  float64
	hints     float64 // answers to hinted requests, and their means and spread
	hintMean  float64
	hintTime  float64
	hintVar   float64
	hintCov   float64
	answers   float64 // served so far
	fleetLat  float64 // mean answer time as a part of the aim, all servers
	calmLat   float64 // the same when nothing is crowded
	warmed    *concurrency.RecentKeys
	fields    concurrency.ReportFields
	portions  *limits.FairShare
	flows     []float64 // scratch of weights
	patience  limits.QueueTimeout
	levels    limits.LoadShedder
	usage     []float64 // tenants' shares of requests
	asked     []float64 // classes' shares of requests
	won       []float64 // and of those served in time
	worst     int       // the class served worst
	credit    float64   // mean worth of a request
	aimMin    float64
	lookedAt  float64 // last fetch of the list
	follows   int     // failed calls in a row
	flow      float64 // work sent to a warm server of weight one, fading over the cold time
	flowAt    float64
	ticking   bool
	tickAt    float64 // when it will tick
	scarce    bool    // requests that would take any server find no room
	lapse     float64 // the least hold, where states go on by what others saw; else 0
}

// tally keeps the classes' shares of requests and of those served in time.
func (b *Balancer) tally(class int) {
	b.credit = 0
	for i, c := range b.set.Classes {
		b.asked[i] *= fade
		b.won[i] *= fade
		if i == class {
			b.asked[i] += 1 - fade
		}
		b.credit += b.asked[i] * c.PriorityWeight
	}
}

// count keeps the tenants' shares of this agent's requests.
func (b *Balancer) count(tenant int) {
	if tenant < 0 || tenant >= len(b.usage) {
		return
	}
	for i := range b.usage {
		b.usage[i] *= fade
	}
	b.usage[tenant] += 1 - fade
}

// countKey counts a request of the key; counts are halved when there are too many.
func (b *Balancer) countKey(key uint64, most float64) {
	if b.keyed >= most {
		b.keyed /= 2
		for k := range b.keys {
			if b.keys[k] /= 2; b.keys[k] < 0.5 {
				delete(b.keys, k)
			}
		}
	}
	b.keyed++
	b.keys[key]++
}

// learnHint keeps the straight line of answer time over hinted work: the network's
// share does not grow with the work.
func (b *Balancer) learnHint(r *request, rtt float64) {
	if r.hint <= 0 {
		return
	}
	b.hints++
	w := max(slowSmooth, 1/b.hints)
	dh, dt := r.hint-b.hintMean, rtt-b.hintTime
	b.hintMean += w * dh
	b.hintTime += w * dt
	b.hintVar += w * (dh*dh*(1-w) - b.hintVar)
	b.hintCov += w * (dh*dt*(1-w) - b.hintCov)
}

// hintedTime is what the line says for the request; 0 while little is known.
func (b *Balancer) hintedTime(r *request) float64 {
	if r.hint <= 0 || b.hints < 1/(4*slowSmooth) || b.hintVar <= 0 {
		return 0
	}
	return max(b.hintTime+b.hintCov/b.hintVar*(r.hint-b.hintMean), 0)
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	if !b.set.Clients.MarksRetry {
		return
	}
	b.pasts = slices.DeleteFunc(b.pasts, func(p past) bool {
		return b.now-p.first > b.set.Classes[p.class].ClientTimeoutMs
	})
	if len(b.pasts) < maxHeld {
		b.pasts = append(b.pasts, past{r.class, r.key, r.first})
	}
}

func (b *Balancer) recall(r *request) float64 {
	i := slices.IndexFunc(b.pasts, func(p past) bool { return p.class == r.class && p.key == r.key })
	if i < 0 {
		return r.arrived
	}
	first := b.pasts[i].first
	b.pasts = slices.Delete(b.pasts, i, i+1)
	return first
}

// gain counts an ended try and the part of its worth that it earned.
func (b *Balancer) gain(part float64) {
	b.tried += 1 - b.tried/shedMemory
	b.gained += part - b.gained/shedMemory
}

// gainMany counts n ended tries at once, and how many of them earned their worth.
func (b *Balancer) gainMany(n, earned float64) {
	if n > 0 {
		k := 1 - math.Pow(1-1/shedMemory, n)
		b.tried += k * (shedMemory - b.tried)
		b.gained += k * (earned/n*shedMemory - b.gained)
	}
}

// partOf moves a running part towards that of so many failed and served attempts.
func partOf(old, failed, served, weight float64) float64 {
	if n := failed + served; n > 0 {
		old += (1 - math.Pow(1-weight, n)) * (failed/n - old)
	}
	return old
}

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) ramp(s *server) float64 {
	c := &b.set.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.startedAt != s.listedAt && age > c.PollIntervalMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*max(age, 0)/c.SlowStartMs
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted
// once for all decisions of a moment.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warm, b.warmAt, b.warmEpoch = 0, b.now, b.epoch
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.ramp(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}

// partOfAim is an answer time as a part of the aim. Where hints tell the work a
// costly request counts as one of mean work; a small one is not scaled up, as its
// time is mostly the network's.
func (b *Balancer) partOfAim(r *request, rtt float64) float64 {
	x := rtt / b.set.Classes[r.class].LatencyObjectiveMs
	if r.hint > 0 {
		x *= min(b.meanHint/r.hint, 1)
	}
	return min(x, 2)
}

// expected is how long an answer to the request takes, on the mean.
func (b *Balancer) expected(r *request) float64 {
	e := b.expect[r.class]
	if t := b.hintedTime(r); t > 0 {
		e = max(t, e/4)
	}
	return e
}

// cost is the work of a request in units of the mean one, and never less: hints are
// rough, and a cold server would be sent the small ones that are not (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.meanHint {
		return r.hint / b.meanHint
	}
	return 1
}

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.epoch++
	}
	s.state, s.since = to, b.now
}

// calmRise is how fast calm follows longer answer times: hardly, or a crowd would
// become the measure. An attempt that was alone of its agent tells more the fewer
// agents there are, as those see most of the load: a lone agent that took quick first
// answers for calm would leave its servers idle for good.
func (b *Balancer) calmRise(a *attempt) float64 {
	if a.alone {
		return slowSmooth / min(2*math.Pow(float64(max(b.set.Replicas, 1)), 3), 250)
	}
	return slowSmooth / 250
}

// fails counts an attempt's end as a failure, or not, of the server and of them all.
func (b *Balancer) fails(s *server, x float64) {
	s.failing += straySmooth * (x - s.failing)
	b.failing += slowSmooth * (x - b.failing)
}

// stray tells whether the server fails no more than may happen to any.
func (b *Balancer) stray(s *server) bool {
	return s.failing < strayMost+strayFactor*b.failing
}

// learn keeps a server's mean answer time.
func (b *Balancer) learn(s *server, x float64) {
	s.samples++
	s.lat = mean(s.lat, x, max(smooth, 1/float64(s.samples)))
}

// finite is the number, or 0 where it is negative or none.
func finite(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// finite is the event with numbers that make sense.
func (ev *Event) finite() *Event {
	e := *ev
	e.RemainingMs, e.WorkHintMs, e.LatencyMs = finite(e.RemainingMs), finite(e.WorkHintMs), finite(e.LatencyMs)
	return &e
}

// mean moves a running mean towards x; the first value is taken whole.
func mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
