package policy

import (
	"math"
	"math/rand/v2"

	"ringtrack.example/ringtrack/internal/concurrency"
	"ringtrack.example/ringtrack/internal/limits"
)

// Tokens of the timers that a Balancer sets.
const (
	tickToken   = 1
	followToken = 2
)

// maxHeld bounds the queue, and so the work of one decision.
const maxHeld = 512

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
	keys      map[uint64]float64 // requests of each key, keyed in all
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

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, mix(seed))), byAddr: map[Addr]*server{},
		requests: map[RequestID]*request{}, keys: map[uint64]float64{}, mayProbe: probeCap,
		own: MinLocalityWeight, again: againMost, tried: shedMemory / 2, gained: shedMemory / 2,
		usage:    make([]float64, len(set.Tenants)),
		portions: limits.NewFairShare(len(set.Tenants) * len(set.Classes)),
		warmed:   concurrency.NewRecentKeys(warmMs, warmKeys),
		fields:   concurrency.NewReportFields(set.Report.Names),
		aimMin:   math.Inf(1), most: math.Inf(1), lookedAt: math.Inf(-1)}
	if set.Prices.CrossZone > 0 {
		b.own = ownStart
	}
	for _, c := range set.Classes {
		b.expect = append(b.expect, c.LatencyObjectiveMs*crowdShare/2)
		b.aimMin = min(b.aimMin, c.LatencyObjectiveMs)
		b.asked, b.won = append(b.asked, 1), append(b.won, 1)
	}
	return b, nil
}

// UpdateSettings has it go on by other rules: effects, groups, windows, attempts and contract may differ
// from those it was made with, nothing else. What is out stays out; what is decided from now on goes by
// them.
func (b *Balancer) UpdateSettings(set Settings) {
	if len(set.Classes) == len(b.set.Classes) {
		b.set.Classes = set.Classes
		b.set.Limits.MaxAttempts = set.Limits.MaxAttempts
		b.set.Contract = set.Contract
	}
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.out = now, out
	if b.set.DiscoveryMode == "on_request" {
		// Agents that start together must not all call at once: each has a turn of its own.
		turn := (float64(max(b.set.ReplicaIndex, 0)%b.agents()) + b.rng.Float64()) / float64(b.agents())
		spread := b.askSpread()
		switch b.set.LastPoll {
		case PollUnanswered:
			spread = min(spread, updateTold-queueMs-restartMs)
		case PollUnknown: // it may have had no answer
			spread = min(spread, updateTold-queueMs)
		}
		b.do(Action{Kind: ActionTimer, DurationMs: turn * spread, Token: followToken})
	}
	if float64(b.agents()) > refetchAgents {
		b.lookedAt = now // the list is as fresh as the start
	}
	return b.out
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, event *Event, out []Action) []Action {
	b.now, b.out = now, out
	ev := event.finite()
	if len(b.held) == 0 { // up to now; nothing was held when this came
		b.patience.QueueLength(b.now, 0)
	}
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventAttemptEnded:
		b.onOutcome(ev)
	case EventResponseStarted:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			r.started = true
			if ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
				r.attempts[ev.Attempt].s.heard = now
			}
		}
	case EventBodyWritten:
		b.onWritten(ev)
	case EventDeadlineShortened:
		if r := b.requests[ev.Request]; r != nil {
			r.deadline = min(r.deadline, b.now+ev.RemainingMs-min(b.set.BatchIntervalMs, ev.RemainingMs/4))
			r.aimAt = min(r.aimAt, r.deadline)
		}
	case EventClientDisconnected:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.remember(r)
			if r.open > 0 && b.now > r.aimAt { // who leaves sooner tells nothing of crowds
				b.gain(0)
			}
			b.close(r)
		}
	case EventEndpointUpdate:
		b.onList(ev)
	case EventHealthCheckEnded:
		b.onProbed(ev)
	case EventTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.arm()
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// arm keeps a timer running while there is something to watch: what is held, each few ms; with nothing
// held, the moment at which a server that has attempts out would count as silent. A process whose requests
// are all out rests until then, or until something happens, and not for 5 ms at a time.
func (b *Balancer) arm() {
	wait := max(2*b.set.BatchIntervalMs, 5)
	if len(b.held) == 0 {
		wait = max(b.silentAt()-b.now, wait)
	}
	at := b.now + wait
	if math.IsInf(at, 1) || len(b.held)+b.inflight == 0 || b.ticking && at >= b.tickAt {
		return
	}
	b.ticking, b.tickAt = true, at
	b.do(Action{Kind: ActionTimer, DurationMs: wait, Token: tickToken})
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case followToken:
		b.do(Action{Kind: ActionWatchEndpoints})
	case tickToken:
		b.ticking = b.ticking && b.now < b.tickAt-1 // then a sooner one has replaced this timer
		b.watchSilence()
		b.expire()
	}
}
