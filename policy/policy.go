// This file holds every decision. Its interface, the settings, events, actions
// and states, is in policy/types.go.

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"ringtrack.example/ringtrack/internal/concurrency"
	"ringtrack.example/ringtrack/internal/limits"
)

const (
	// BoundedLoadFactor is c: how far above its even share of the agent's attempts a
	// server may go before a key's request moves on to the next in hash order.
	BoundedLoadFactor = 3.0
	// leastCap and turnedWeight bring the cap down where attempts are turned away: there is little room
	// behind each server then, so that a key must move on before its server is full.
	leastCap, turnedWeight = 1.1, 60.0
	// crowdShare is the part of the aim that a server's mean answer time may
	// take before the agent gives it less: the rest is for the spread.
	crowdShare = 0.5
	// crowdFactor is how many times the fleet's calm answer time a server's mean may be
	// before it counts as crowded: enough to keep its cores busy, too little to tip it.
	crowdFactor = 1.5
	// scarceFactor is the same while requests find no room: then a queue costs less than a refusal.
	scarceFactor = 2.25
	// firstWindow is the number of attempts an unmeasured server may hold.
	firstWindow = 2.0
	// learnFor is the number of answers that make the first measure of calm; until
	// then no window grows, so that a start does not crowd what it measures.
	learnFor = 50
	// leastWindow is what is left to a server however crowded it is: enough to see
	// when it is not.
	leastWindow, tipFactor = 0.1, 2.5
	// warmMs is for how long a key that was sent counts as warm, warmKeys how many are remembered, and
	// warmWorth how much more such a request is worth for the work it costs, where warm keys save work:
	// between 1.5 and 3 it made no difference (docs/design/overload.md).
	warmMs, warmKeys, warmWorth = 3000.0, 2048, 2.0
	// shortWorth is the part of the worst tenant's weight that a request gets whose tenant and class have
	// been served well under their portion, shortUsage the least share of traffic it is taken over.
	shortWorth, shortUsage = 0.3, 0.02
	// trickleMost bounds what a server gets in an aim, of all agents, beside windows that are full.
	trickleMost = 2.0
	// keyWait is the part of its aim that a request may wait for one of the
	// keyServers nearest its key: going on at once would lose the warm key and
	// warm it up elsewhere, just when servers are short of time.
	keyWait, keyServers = 0.25, 2
	// hopeless is the part of its expected time that a hinted request needs at the
	// least: hints are rough, a warm key saves work, and some servers are quicker.
	hopeless = 0.7
	// keyPart is the most of a server's even share that one part of a key may bring: the
	// sum over parts is what makes servers unequal. keyMemory is the number of requests,
	// for each part there may be, by which a key's share is known.
	keyPart, keyMemory = 0.25, 2.0
	// MinLocalityWeight and MaxLocalityWeight bound how much more a server of the agent's own zone
	// weighs in a key's order: crossing takes time and may have a price. ownStart is the weight of an agent
	// that knows nothing yet but that crossing has a price, ownStep how fast it moves.
	MinLocalityWeight, MaxLocalityWeight, ownStart, ownStep = 1.5, 8.0, 4.0, 0.1
	// maxStrikes bounds the doubling of a bad server's hold.
	maxStrikes = 5
	// strayMost is the part of its attempts that a server may fail, beyond strayFactor times
	// what the others do, before a failure puts it out: connections break, and answers come
	// spoilt, from any server alike.
	strayMost, strayFactor, straySmooth = 0.2, 1.5, 0.15
	// unsent is the part of its time after which a request of which nothing was sent is
	// given up: from half of it on the client counts the wait as worse than a refusal.
	unsent = 0.46
	// RetryTokensPerSuccess is the further attempts that a served request earns, againMost what may be
	// saved up, and what an agent starts with.
	RetryTokensPerSuccess, againMost = 0.25, 4.0
	// shedMemory is the number of tries by which an agent knows what part of them is served
	// in time; under 1/shedFactor of them it refuses some, never more than shedMost.
	shedMemory, shedFactor, shedMost = 20.0, 1.5, 0.8
	// loadFactor is how many times the mean of the reported requests a server may hold.
	loadFactor = 1.5
	// smooth is the weight of one answer in a server's mean, slowSmooth in a fleet-wide one.
	smooth, slowSmooth = 0.2, 0.005
	// fade lets requests count less for shares with age, over about 500.
	fade = 0.998
	// maxHeld bounds the requests held for room, and so the work of a decision.
	maxHeld = 512
	// coldBurst bounds what a cold server's credit saves up, in mean requests: all
	// agents may spend theirs at once, and the budget is counted over a short time. Where few
	// come from each it is up to twice that.
	coldBurst = 1.0
	// coldMargin is what an even share may cost a cold server, in its present capacity: the
	// warm ones save up to three quarters of the work by the keys they know, and an agent's
	// requests come in bursts. Of many agents with few requests each chance evens out the
	// bursts: their margin is slim.
	coldMargin, slimMargin = 4.0, 2.5
	// coldSpill is how many times its share such an agent credits a cold server with: a credit
	// of just the share is often full when none of its keys comes, and empty when one does,
	// and what it would wait for is seconds away (join+vast: 18 of 60 servers got half of
	// their shares, beside crowded ones). fewSends is how many requests to a server, while
	// one is cold, make an agent one half of either kind.
	coldSpill, fewSends = 4.0, 8.0
	// askGapMs is the mean time between first calls of the agents to discovery, as far as the
	// contract's time allows: all of them may start at once, and what comes faster than it
	// is served waits in a line that nobody outlasts (docs/design/large-fleet.md).
	askGapMs, askLeast, askMost, askAgain = 60.0, 1.0 / 8, 0.8, 0.4
	// updateTold is when a change counts as told, whatever failed meanwhile; queueMs is what a call may
	// stand in discovery's queue; askAgainLeast is the pause of few agents. restartMs is the least that
	// a killed process is away for: its agent may have an old list meanwhile (LastCall).
	updateTold, queueMs, askAgainLeast, restartMs = 6000.0, 2000.0, 1000.0, 1000.0
	// refetchAgents is how many agents may each fetch the list once in the contract's time.
	refetchAgents = 8.0
	// probeCap bounds the probes under way, probeShare those for each request.
	probeCap, probeShare = 2, 0.1

	tickToken, followToken = 1, 2
)

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
		fields: concurrency.NewReportFields(set.Report.Names),
		aimMin: math.Inf(1), most: math.Inf(1), lookedAt: math.Inf(-1)}
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

// ---- requests ----

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) || b.requests[ev.Request] != nil {
		return
	}
	c := &b.set.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key,
		arrived: b.now, first: b.now, stream: ev.StreamedBody}
	if ev.HasWorkHint && ev.WorkHintMs > 0 {
		r.hint = ev.WorkHintMs
		b.meanHint = mean(b.meanHint, r.hint, slowSmooth)
	}
	left := max(ev.RemainingMs, 0)
	r.deadline = b.now + left - min(b.set.BatchIntervalMs, left/4)
	if ev.Retry {
		r.first = b.recall(r)
	}
	r.aimAt = min(r.first+c.LatencyObjectiveMs+c.ObjectiveStretch*r.hint, r.deadline)
	r.spot, r.flow = b.spot(r.key), b.flowOf(r)
	r.warm = b.set.FamilyInfo.WarmKeys && b.warmed.Contains(b.now, r.key)
	b.requests[r.id] = r
	b.count(r.tenant)
	b.tally(r.class)
	for i := range b.won {
		if b.won[i]*b.asked[b.worst] < b.won[b.worst]*b.asked[i] {
			b.worst = i
		}
	}
	b.mayProbe = min(b.mayProbe+probeShare, probeCap)
	b.revalidate()
	b.held = append(b.held, r)
	if b.levels.Sheds(b.value(r), b.shed(), b.rng.Float64()) && !b.portions.UnderQuota(r.flow) {
		b.gain(0)
		b.end(r)
		return
	}
	// A request whose hinted work cannot fit the aim anywhere would only keep
	// others waiting: the costly few of a heavy tail.
	if r.hint > 0 && c.LateCredit == 0 && hopeless*b.hintedTime(r) > r.aimAt-b.now {
		b.end(r)
	}
}

// spot is where a key's hash starts. A key with more than keyPart of a server's share of
// this agent's requests is split at random into parts, each with an order of its own: of
// many agents none has enough in flight for the cap to move a popular key on (ia9314f:
// one server got 18 times the mean). While little is known each key has two parts.
func (b *Balancer) spot(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	all := float64(len(b.servers)) / keyPart
	b.countKey(key, keyMemory*all)
	parts := b.keys[key] * all / (b.keyed + all/2)
	if i := uint64(b.rng.Float64() * math.Ceil(parts)); i > 0 {
		return mix(key + i)
	}
	return key
}

// shed is the part of requests to refuse at once. Where much is served too late the
// servers are crowded and work for nothing, and only less load lets them recover; an
// agent that sees little knows no server's crowd, but its own part served in time.
func (b *Balancer) shed() float64 {
	return min(max(b.tried-shedFactor*b.gained, 0)/(b.tried+1), shedMost)
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	o := &b.set.Objective
	v := c.PriorityWeight * (o.Total + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.credit / b.asked[r.class]
	}
	if b.now+b.expected(r) > r.aimAt {
		v *= c.LateCredit + b.set.Prices.LateFailure
	}
	switch {
	case b.portions.OverQuota(r.flow):
		v *= b.set.OverQuotaWeight
	case b.portions.UnderQuota(r.flow):
		v += shortWorth * o.WorstTenant * c.PriorityWeight / max(b.usage[r.tenant], shortUsage)
	}
	if b.set.PriorityUnit != "work" {
		v /= b.expect[r.class]
	}
	if r.warm {
		v *= warmWorth
	}
	return v
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.held {
		r.value = b.value(r)
	}
	slices.SortFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// A request that waits for the servers of its key finds no room where the next
	// does: it is passed over. Of those that take any server a few failures tell.
	b.scarce = false
	for i, failures := 0, 0; i < len(b.held) && failures < 4; {
		r := b.held[i]
		if b.waits(r) && r.epoch == b.epoch && !b.takes(r.near[0], r) && !b.takes(r.near[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.send(r, s) {
			b.held = slices.Delete(b.held, i, i+1)
			continue
		}
		i++
		if !b.waits(r) {
			failures++
		}
		b.scarce = failures > 0
	}
	b.patience.QueueLength(b.now, len(b.held))
	for len(b.held) > maxHeld {
		b.end(b.held[len(b.held)-1])
	}
}

// expire ends held requests that can no longer earn anything: refused early,
// before they cost server work.
func (b *Balancer) expire() {
	patience := b.patience.Fraction(b.now, b.aimMin, b.calmLat)
	for i := 0; i < len(b.held); {
		r := b.held[i]
		r.warm = b.set.FamilyInfo.WarmKeys && b.warmed.Contains(b.now, r.key) // others may have sent it
		last := r.aimAt
		if b.set.Classes[r.class].LateCredit > 0 {
			last = r.deadline
		}
		waited := !r.wrote && b.now-r.arrived > unsent*(r.deadline-r.arrived) ||
			b.now-r.arrived > patience*b.set.Classes[r.class].LatencyObjectiveMs
		switch late := b.now+b.expected(r) > last || b.now >= r.deadline; {
		case waited && !late && b.waits(r):
			r.anywhere = true // before it is given up any server with idle cores may have it
			i++
		case waited || late:
			b.end(r)
		default:
			i++
		}
	}
}

// ---- the pick: tiers, then the capped key hash ----

// rank is the server's tier for the request.
func (b *Balancer) rank(s *server, r *request) int {
	switch s.state {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		// What must not run twice does not check a server while others are healthy.
		once := b.set.Classes[r.class].Effect == NonIdempotent && !b.stray(s)
		if once || b.set.Limits.HealthChecks && b.now-s.since < b.aimMin {
			return 1
		}
	}
	return 0
}

// pick walks the best tier that has anyone in the order of the key's hash and
// takes the first server that is under its cap and has room. Only servers that
// matter are scored, and none are sorted: with hundreds of them that took more than
// the agent's CPU share.
func (b *Balancer) pick(r *request) *server {
	if r.key == 0 && float64(b.inflight) >= b.most && b.now-b.sentAt < b.trickle() {
		return nil
	}
	waits := b.waits(r)
	for pass := range 6 {
		// Of each tier those that rest come last, unless most do: then all are crowded.
		rank, rest := pass/2, pass%2 == 0
		tier, resting := b.tier[:0], 0.0
		r.tierWeight = 0
		var near [keyServers]*server
		for _, s := range b.servers {
			if b.rank(s, r) != rank || !b.maySend(r, s) {
				continue
			}
			if r.anywhere && !s.load.Idle(b.now, s.window.RecentlyRejected(b.now)) {
				continue
			}
			r.tierWeight += s.weight * b.ramp(s)
			if rest && b.now < s.restUntil {
				resting += s.weight * b.ramp(s)
				continue
			}
			if !waits && !b.hasRoom(s, r) {
				continue
			}
			s.score = b.score(r, s)
			tier = append(tier, s)
			for i, at := 0, s; i < keyServers && at != nil; i++ {
				if near[i] == nil || at.score < near[i].score {
					near[i], at = at, near[i]
				}
			}
		}
		b.tier = tier
		if r.tierWeight == 0 || rest && (len(tier) == 0 || resting > r.tierWeight/2) {
			continue // an empty tier passes down
		}
		if waits && len(tier) > keyServers {
			r.near, r.epoch = near, b.epoch
			tier = near[:]
		}
		var best *server
		for _, s := range tier {
			if (best == nil || s.score < best.score) && b.takes(s, r) {
				best = s
			}
		}
		return best
	}
	return nil
}

// trickle is the time after which one more request without a key is sent though the window for them is
// full: what hangs in crowded servers up to its deadline tells nothing meanwhile, neither that they are calm
// again. All agents together send each server no more than trickleMost so in the least aim.
func (b *Balancer) trickle() float64 {
	n := float64(max(len(b.servers), 1))
	return b.aimMin * max(float64(b.agents())/(trickleMost*n), 1)
}

// waits tells whether the request still waits for the servers nearest its key.
func (b *Balancer) waits(r *request) bool {
	return r.key != 0 && !r.anywhere && len(r.attempts) == 0 && b.now-r.arrived < keyWait*(r.aimAt-r.arrived)
}

// score orders servers by weighted rendezvous hashing: every agent of a zone
// finds the same order for a key, and a server's share of keys is that of its weight.
func (b *Balancer) score(r *request, s *server) float64 {
	x := mix(r.spot ^ s.hash)
	w := s.weight * b.coldShare(s)
	if s.zone == b.set.Zone {
		w *= b.own
	}
	if r.key == 0 {
		return s.ahead / w
	}
	u := float64(x>>11) / (1 << 53)
	return -math.Log(u+1e-18) / w
}

// placeServers gives each server its place in the agent's walk round all of them: requests
// without a key go to the first on it that has room, so that an agent opens as many
// connections as it has requests out at once, and not one to every server, each for a
// handshake. The agents begin their walks one after the other.
func (b *Balancer) placeServers() {
	round := slices.Clone(b.servers)
	slices.SortFunc(round, func(x, y *server) int { return cmp.Compare(x.hash, y.hash) })
	from := (float64(max(b.set.ReplicaIndex, 0)%b.agents()) + 0.5) / float64(b.agents())
	for i, s := range round {
		s.ahead = (float64(i)+0.5)/float64(len(round)) - from
		if s.ahead < 0 {
			s.ahead++
		}
	}
}

// takes tells whether the server is under its cap in the tier of the request's
// last pick and has room.
func (b *Balancer) takes(s *server, r *request) bool {
	share := s.weight * b.ramp(s) / r.tierWeight
	c := max(BoundedLoadFactor/(1+turnedWeight*b.turned), leastCap)
	return float64(len(s.out)) < math.Ceil(c*float64(b.inflight+1)*share) && b.hasRoom(s, r)
}

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit, also for that one: all agents validate it.
func (b *Balancer) hasRoom(s *server, r *request) bool {
	switch {
	case s.state >= UnhealthyPending && (len(s.out) == 0 || !b.stray(s)):
		if len(s.out) > 0 {
			return false
		}
	case !s.window.Admits(len(s.out), b.now-s.sentAt, s.rtt):
		return false
	}
	return b.ramp(s) == 1 || s.credit >= b.cost(r) || b.warmWeight() == 0 && b.wakes(s, r)
}

// wakes tells, where all servers are cold, whether one may get the request: as much of this agent as a
// warm one last got by its share, from the time before its start in which it could fall on, or, as one that
// has just started cannot know that, one at a time of all agents, by an answer's time and the server's share,
// each at a moment of its own. Without it such an agent refused all until the first server was warm.
func (b *Balancer) wakes(s *server, r *request) bool {
	share, cost := b.coldShare(s), b.cost(r)
	waited := b.now - max(s.sentAt, s.since-b.set.Contract.OverloadWindowMs)
	if max(s.credit, 0)+waited*b.flow*s.weight*share/b.set.Contract.SlowStartMs >= cost {
		return true
	}
	gap := float64(b.agents()) * max(b.expected(r), 1) / share
	return s.credit+(b.now-max(s.sentAt, s.since))/gap >= cost
}

// coldShare is the part of an even share that a server may be sent: of a cold one
// what keeps the contract, so that its keys move to it as it warms up, instead of
// waiting for it.
func (b *Balancer) coldShare(s *server) float64 {
	if k := b.ramp(s); k < 1 {
		return k * min(b.set.Contract.OverloadFactor/(coldMargin-(coldMargin-slimMargin)*b.few(s)), 1)
	}
	return 1
}

// few tells, from 0 to 1, how much this agent is one of many that send such a server few requests each.
// Who has sent nothing yet cannot tell.
func (b *Balancer) few(s *server) float64 {
	if b.flow <= 0 {
		return 0
	}
	return 1 / (1 + b.flow*s.weight/fewSends)
}

// ---- the two guards ----

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt to a cold server is charged in send.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.open > 0 || b.now >= r.deadline ||
		len(r.attempts) >= b.set.Limits.MaxAttempts || r.stream && r.risky > 0 {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.risky == 0 {
		return true
	}
	c := &b.set.Classes[r.class]
	switch c.Effect {
	case Idempotent:
		return true
	case IdempotentByKey:
		if b.now-r.ranAt > c.IdempotencyWindowMs-2*b.set.BatchIntervalMs {
			return false
		}
		return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && s.zone == r.ranOn.zone ||
			c.DedupScope == ScopeCell && s.cell == r.ranOn.cell
	}
	return false
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{r: r, s: s, index: len(r.attempts), alone: len(s.out) == 0, sentAt: b.now,
		cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky == 0 {
		r.ranAt, r.ranOn = b.now, s
	}
	r.risky++
	if a.writing = r.stream; !a.writing {
		s.out = append(s.out, a)
		b.inflight++
	}
	if s.sentAt > 0 {
		s.gap = mean(s.gap, b.now-s.sentAt, smooth)
	}
	if b.sentAt > 0 {
		b.gap = mean(b.gap, b.now-b.sentAt, slowSmooth)
	}
	s.sentAt, b.sentAt = b.now, b.now
	if b.ramp(s) < 1 {
		s.credit -= a.cost
	}
	b.warmed.Add(b.now, r.key)
	b.do(Action{Kind: ActionForward, Request: r.id, Server: s.id, DurationMs: r.deadline - b.now})
	return true
}

// onWritten begins a streamed request's time, and its attempt's: the backend has its last byte now.
func (b *Balancer) onWritten(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].writing {
		return
	}
	a := r.attempts[ev.Attempt]
	a.writing, a.sentAt, a.alone = false, b.now, len(a.s.out) == 0
	a.s.out = append(a.s.out, a)
	b.inflight++
	r.arrived, r.first = b.now, b.now
	r.deadline = b.now + ev.RemainingMs - min(b.set.BatchIntervalMs, ev.RemainingMs/4)
	r.aimAt = min(b.now+b.set.Classes[r.class].LatencyObjectiveMs, r.deadline)
	r.ranAt = b.now
}

// earn keeps each cold server's credit: for all that warm servers have served it may
// get its share by weight and ramp. Then the servers' shares of all agents together
// stay in proportion to what they can do, without any agreement. What was only sent
// does not count: in a crowd it is many times what gets done (ifa9784: 6 attempts a
// request, most turned away, and 4 times its capacity sent to a cold server).
func (b *Balancer) earn(s *server, cost float64) {
	warm := b.warmWeight()
	if b.ramp(s) < 1 || warm == 0 {
		return
	}
	b.flow = b.flow*math.Exp((b.flowAt-b.now)/b.set.Contract.SlowStartMs) + cost/warm
	b.flowAt = b.now
	for _, o := range b.servers {
		if b.ramp(o) < 1 {
			few := b.few(o)
			earned := (1 + (coldSpill-1)*few) * cost * b.coldShare(o) * o.weight / warm
			o.credit = min(o.credit+earned, coldBurst*(1+few))
		}
	}
}

// end is the guard of all final answers but served ones: a refusal where the
// class allows the claim that a retry is harmless, else a failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.remember(r)
	b.patience.RequestEnded(false)
	c := &b.set.Classes[r.class]
	// Past the window a repeat of a guarded request would run again.
	harmless := r.risky == 0 || c.Effect == Idempotent ||
		c.Effect == IdempotentByKey && c.DedupScope == ScopeAll && b.now-r.ranAt < c.IdempotencyWindowMs
	b.close(r)
	if harmless {
		b.do(Action{Kind: ActionReject, Request: r.id, DurationMs: b.set.Limits.MaxRetryAfterMs})
	} else {
		b.do(Action{Kind: ActionFail, Request: r.id})
	}
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.held, r); i >= 0 {
		b.held = slices.Delete(b.held, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancelling {
			b.do(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

// ---- outcomes and health ----

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.s
	a.done = true
	r.open--
	if !a.writing {
		b.inflight--
	}
	if i := slices.Index(s.out, a); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	if ev.Status.NeverRan() {
		r.risky--
	}
	r.wrote = r.wrote || ev.Status != ConnectFailed && ev.Status != NotStarted
	turned := 0.0
	if ev.Status == Rejected {
		turned = 1
	}
	b.turned += slowSmooth * (turned - b.turned)
	b.judge(a, ev)
	b.hangUp(s)
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.further(r, ev.Status)
	}
}

// hangUp closes the connections to a server that idle where, by its prices, keeping them
// until the next attempt costs more than opening one: of a thousand agents each would
// hold some to a third of the servers (i29baa9: 23 points of service).
func (b *Balancer) hangUp(s *server) {
	p, n := &b.set.Prices, float64(len(b.servers))
	gap := s.gap
	if gap == 0 {
		gap = b.gap * n
	}
	if len(s.out) == 0 && p.Connection*gap*float64(b.set.Replicas) > 100*n*b.gap*p.Handshake {
		b.do(Action{Kind: ActionCloseIdle, Server: s.id})
	}
}

// further holds an unanswered request for another server where its class and time
// allow, and ends it otherwise. Further attempts are earned by served requests: where few
// are served they would only multiply the load (ia9314f, ifa9784: two to six attempts a
// request, most turned away).
func (b *Balancer) further(r *request, why Status) {
	c := &b.set.Classes[r.class]
	able := r.risky == 0 || c.Effect == Idempotent || c.Effect == IdempotentByKey
	earned := b.again >= 1 || why == NotStarted // which reached no server, and costs none
	if !able || !earned || len(r.attempts) >= b.set.Limits.MaxAttempts || b.now >= r.deadline {
		if why == Rejected || why == Timeout {
			b.gain(0) // errors and lost connections tell nothing of crowds
		}
		b.end(r)
		return
	}
	if why != NotStarted {
		b.again--
	}
	b.held = append(b.held, r)
}

// judge takes what an attempt's end says about its server.
func (b *Balancer) judge(a *attempt, ev *Event) {
	s := a.s
	switch ev.Status {
	case OK:
		b.fails(s, 0)
		b.served(a, ev)
	case Error, Reset:
		b.fails(s, 1)
		s.heard = b.now
		b.demote(s, false)
	case ConnectFailed:
		// One that says no is there; one that lets the connect run out is not.
		b.fails(s, 1)
		b.demote(s, ev.LatencyMs >= b.set.Limits.ConnectTimeoutMs)
		if s.lostAt == 0 {
			s.lostAt = b.now
		}
	case Timeout:
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow.
		b.weighZone(s, true)
		b.rest(s)
		if s.heard > a.sentAt {
			b.learnHint(a.r, ev.LatencyMs)
			b.learn(s, b.partOfAim(a.r, ev.LatencyMs))
		} else {
			b.demote(s, true)
		}
	case Rejected:
		// What it holds it still answers in time. An agent that is soon back follows it by its
		// window: to let it rest would move its keys to where they are cold, and turn those away
		// that are at home there (colombo-main: 31 % of attempts turned away, 21 % without).
		s.heard = b.now
		s.window.Rejected(b.now)
		if b.weighZone(s, true); b.gap*float64(len(b.servers)) > b.aimMin {
			b.rest(s)
		}
	}
}

// weighZone moves the own zone's weight up while the part of what is sent there and not
// served in time is under the price of crossing, and down while it is above: one zone may
// have more traffic than its servers can carry.
func (b *Balancer) weighZone(s *server, missed bool) {
	if s.zone != b.set.Zone {
		return
	}
	part := 0.0
	if missed {
		part = 1
	}
	b.own = NextLocalityWeight(b.own, b.set.Prices.CrossZone, part)
}

// NextLocalityWeight is the next weight of the own zone after attempts there of which a part was
// not served in time, at this price of crossing.
func NextLocalityWeight(own, price, missed float64) float64 {
	return min(max(own*(1+ownStep*(price-missed)), MinLocalityWeight), MaxLocalityWeight)
}

// crowded tells whether a server reports well more requests than the mean of the others:
// the cap by what all agents have in flight there.
func (b *Balancer) crowded(s *server, report []float32) bool {
	x, told := b.fields.Inflight(report)
	if !told {
		return false
	}
	x /= s.weight
	b.load = mean(b.load, x, 4*slowSmooth)
	return x > loadFactor*b.load+1
}

// rest lets a crowded server miss about one turn of this agent. One that sees it twice a
// minute cannot follow its crowd by window; but all agents together send it less by the
// part of them that met it crowded.
func (b *Balancer) rest(s *server) {
	s.restUntil = b.now + min(b.gap*float64(len(b.servers)), b.set.Contract.SlowStartMs)*(0.5+b.rng.Float64())
}

func (b *Balancer) served(a *attempt, ev *Event) {
	s, r, rtt := a.s, a.r, ev.LatencyMs
	b.earn(s, a.cost)
	b.again = min(b.again+RetryTokensPerSuccess, againMost)
	b.learnHint(r, rtt)
	b.heardFrom(s)
	s.rtt = mean(s.rtt, rtt, smooth)
	c := &b.set.Classes[r.class]
	b.expect[r.class] = mean(b.expect[r.class], min(rtt, 2*c.LatencyObjectiveMs), 4*slowSmooth)
	gain := c.LateCredit
	if b.now <= r.aimAt {
		b.weighZone(s, false)
		b.won[r.class] += 1 - fade
		gain = 1
	}
	if !r.closed {
		b.gain(gain)
		b.portions.Served(r.flow, b.weights())
		b.patience.RequestEnded(true)
	}
	s.load.Update(b.now, b.fields, ev.Report)
	x := b.partOfAim(r, rtt)
	b.answers++
	b.fleetLat = mean(b.fleetLat, x, max(slowSmooth, 1/b.answers))
	switch {
	case b.answers <= learnFor:
		// One quick answer must not set the measure, nor a crowd at the start (id08146).
		b.calmLat = min(b.fleetLat, crowdShare/2)
	case b.fleetLat < b.calmLat:
		b.calmLat = mean(b.calmLat, b.fleetLat, slowSmooth)
	default:
		b.calmLat = mean(b.calmLat, b.fleetLat, b.calmRise(a))
	}
	b.learn(s, x)
	b.widen(x, rtt)
	if late := b.now > r.aimAt; b.crowded(s, ev.Report) || late {
		b.weighZone(s, true)
		b.rest(s)
	}
	limit := b.limit(s)
	if s.state == Unhealthy && a.sentAt < s.since && !s.silent {
		return // sent before the failure: says nothing about what came after
	}
	if s.state != Connected {
		b.enter(s, Connected)
	}
	s.forgive(1)
	switch {
	case s.lat > limit:
		least := 1.0
		if s.lat > tipFactor*limit {
			least = leastWindow
		}
		s.window.Decrease(b.now, rtt, 0.85, least)
	case s.lat < limit && float64(len(s.out)+2) > s.window.Size() && b.answers > learnFor:
		s.window.Increase(b.now)
	}
}

// widen moves how many requests without a key this agent may have out in all. They go
// wherever there is room, so that an agent with few requests to each of many servers learns
// by all of them together what it learns of none alone: in a crowd each of hundreds of
// agents would else have one out at every server, and none of these would ever rest.
func (b *Balancer) widen(x, rtt float64) {
	b.lately = mean(b.lately, x, smooth/4)
	switch limit := min(crowdShare, crowdFactor*b.calmLat); {
	case b.answers <= learnFor:
	case b.lately > limit && b.now-b.mostAt > rtt:
		b.most, b.mostAt = max(min(b.most, float64(b.inflight+1))*0.85, firstWindow), b.now
	case b.lately < limit && float64(b.inflight+2) > b.most:
		b.most += 1 / b.most
	}
}

// forgive takes back strikes for n served attempts, and one for silence that has ended.
func (s *server) forgive(n int) {
	if s.silent {
		s.silent, s.strikes = false, max(s.strikes-1, 0)
	}
	if s.good += n; s.good >= 16*s.strikes {
		s.good, s.strikes = 0, max(s.strikes-1, 0)
	}
}

// limit is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load, and need not fear to crowd a server that
// answers well within the aim; a calm taken too low would leave it idle. A cold server
// is slow before it is crowded (i5d0607: only cold ones were left). One that turns attempts away keeps its
// queue short by itself, and needs no bound but that.
func (b *Balancer) limit(s *server) float64 {
	if s.window.RecentlyRejected(b.now) {
		return crowdShare / b.ramp(s)
	}
	least, factor := 2*crowdShare/(2+float64(b.set.Replicas)), crowdFactor
	if b.scarce {
		factor = scarceFactor
	}
	return min(crowdShare, max(factor*b.calmLat, least)) / b.ramp(s)
}

// heardFrom notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed as such: it is ramped as if it had started now.
// Time-outs alone don't tell: crowded servers would be left to idle (i228a10).
// Quick answers do not clear it: a cold server is quick while it has little.
func (b *Balancer) heardFrom(s *server) {
	if s.lostAt > 0 && b.now-s.lostAt > b.set.Contract.OverloadWindowMs {
		s.startedAt, s.credit = b.now, 0
		s.window.Reset(1)
	}
	s.heard, s.lostAt = b.now, 0
}

// demote makes a server Unhealthy. Failures of one moment count as one strike.
func (b *Balancer) demote(s *server, silent bool) {
	if s.state != Unhealthy {
		b.enter(s, Unhealthy)
		if s.silent = silent; silent || !b.stray(s) {
			s.strikes = min(s.strikes+1, maxStrikes)
			s.good, s.lat, s.samples = 0, 0, 0
			s.window.Halve()
		}
	}
	b.refetch()
}

// holdFor is how long a server stays Unhealthy before it is validated again: one
// aim for a stray failure, doubled with each further strike. While the others have
// no room there is none: a server that fails some requests is better than refusing
// them all. One that answers nothing is not.
func (b *Balancer) holdFor(s *server) float64 {
	if (b.scarce || b.stray(s)) && !s.silent {
		return b.lapse
	}
	return max(b.aimMin, b.lapse) * float64(int(1)<<max(s.strikes-1, 0))
}

// watchSilence demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) watchSilence() {
	for _, s := range b.servers {
		if b.now >= b.silentSince(s) {
			b.demote(s, true)
		}
	}
}

// silentSince is when the server counts as silent, if it answers nothing until then.
func (b *Balancer) silentSince(s *server) float64 {
	if len(s.out) == 0 || s.state == Unhealthy {
		return math.Inf(1)
	}
	a := s.out[0]
	return max(s.heard, a.sentAt) + b.expected(a.r)*8/float64(min(len(s.out), 3))
}

// silentAt is when the first server does.
func (b *Balancer) silentAt() float64 {
	at := math.Inf(1)
	for _, s := range b.servers {
		at = min(at, b.silentSince(s))
	}
	return at
}

// revalidate is what each request triggers: servers that were Unhealthy long
// enough are refreshed to pending and validated in the background.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		// One attempt that hangs must not keep out a server that answers the others.
		free := len(s.out) == 0 || !s.silent && b.stray(s)
		if s.state == Unhealthy && s.usable && free && b.now-s.since >= b.holdFor(s) {
			b.enter(s, UnhealthyPending)
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.HealthChecks && !s.probing && b.mayProbe >= 1 && b.probes < probeCap {
			s.probing = true
			b.probes++
			b.mayProbe--
			b.do(Action{Kind: ActionHealthCheck, Server: s.id})
		}
	}
}

func (b *Balancer) onProbed(ev *Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probes--
	switch {
	case s.state != UnhealthyPending:
	case ev.Status == OK:
		b.heardFrom(s)
		b.enter(s, Connected)
	case ev.Status != Rejected && ev.Status != NotStarted:
		b.demote(s, true)
	}
}

// ---- the state machine on what others saw, without requests ----

// Observe takes what others saw of servers, each named once, and lets the states go on:
// demotion on failure, return through validation by what was served, or by lapse: an
// Unhealthy server is pending after lapseMs, doubled with each further strike, and a
// pending one of which nothing is heard ranks as Unknown after as long again.
func (b *Balancer) Observe(now, lapseMs float64, seen []Evidence) {
	b.now, b.lapse, b.out = now, lapseMs, b.out[:0]
	var all Evidence // first the whole, against which each is judged
	for i := range seen {
		all.Served += finite(seen[i].Served)
		all.Failed += finite(seen[i].Failed)
		all.Rejected += finite(seen[i].Rejected)
	}
	b.gainMany(all.Served+all.Rejected, all.Served)
	b.failing = partOf(b.failing, all.Failed, all.Served, slowSmooth)
	for i := range seen {
		e, s := &seen[i], b.byAddr[seen[i].Server]
		served, failed, turned := finite(e.Served), finite(e.Failed), finite(e.Rejected)
		if s == nil || served+failed+turned == 0 {
			continue
		}
		if served+turned > 0 {
			b.heardFrom(s)
		}
		s.failing = partOf(s.failing, failed, served, straySmooth)
		silent := e.Silent && served+turned == 0
		switch {
		case failed > 0 && (served == 0 || !b.stray(s)):
			if silent && s.lostAt == 0 {
				s.lostAt = now
			}
			b.demote(s, silent)
		case served > 0:
			if s.state != Connected {
				b.enter(s, Connected)
			}
			s.forgive(int(min(served, 1e6)))
		}
	}
	b.revalidate()
	for _, s := range b.servers {
		if s.state == UnhealthyPending && now-s.since >= b.holdFor(s) {
			b.enter(s, Unknown)
		}
	}
}

// View appends what the module holds of each listed server, in the order of addresses.
func (b *Balancer) View(now float64, out []View) []View {
	b.now = now
	for _, s := range b.servers {
		out = append(out, View{Server: s.id, State: s.state, StateSinceMs: s.since, StartedMs: s.startedAt,
			Usable: s.usable, Zone: s.zone, Cell: s.cell, Weight: s.weight, Capacity: b.ramp(s),
			LoadShare: b.coldShare(s), ConsecutiveFailures: s.strikes})
	}
	return out
}

// ShedFraction is the part of what comes that is to be refused at once.
func (b *Balancer) ShedFraction() float64 { return b.shed() }

// ---- the list ----

// askSpread is the time over which all agents make their first calls.
func (b *Balancer) askSpread() float64 {
	within := b.set.Contract.PollIntervalMs
	return min(max(askGapMs*float64(b.agents()), askLeast*within), askMost*within)
}

// askAgainMost bounds the pause before discovery is called again: what it had when a call failed counts as
// told updateTold later, and the next answer has to stand in its queue first. Fewer agents load it less,
// and come back sooner: behind a change of discovery there is less time.
func (b *Balancer) askAgainMost() float64 {
	return min(max(askGapMs*float64(b.agents()), askAgainLeast), updateTold-queueMs)
}

// agents is the number of agents, as far as told, and at least this one.
func (b *Balancer) agents() int { return max(b.set.Replicas, 1) }

// refetch asks for the whole list, seldom: the stream of changes is as fresh,
// and every call loads discovery, the more the more agents there are: failures that all
// see are no reason for all to ask (herd+vast: 100 lists kept the changes from coming).
func (b *Balancer) refetch() {
	least := max(b.set.Contract.PollIntervalMs, 1000)
	if b.now-b.lookedAt >= least*max(float64(b.agents())/refetchAgents, 1) {
		b.lookedAt = b.now
		b.do(Action{Kind: ActionFetchEndpoints})
	}
}

func (b *Balancer) onList(ev *Event) {
	if ev.Update == UpdateFailed {
		b.follows++
		if b.set.DiscoveryMode == "on_request" {
			wait := askAgain * b.askSpread() * math.Pow(2, float64(b.follows))
			wait = min(wait, b.set.Contract.PollIntervalMs, b.askAgainMost())
			wait *= 0.5 + 0.5*b.rng.Float64()
			b.do(Action{Kind: ActionTimer, DurationMs: wait, Token: followToken})
		}
		return
	}
	if ev.Update != UpdateOtherSource {
		b.follows = 0
	}
	b.epoch++
	named := map[Addr]bool{}
	for i := range ev.Endpoints {
		named[ev.Endpoints[i].Server] = true
		b.update(&ev.Endpoints[i])
	}
	if ev.Update == UpdateComplete || ev.Update == UpdateCached {
		for _, s := range b.servers {
			if !named[s.id] {
				s.ready, s.usable = false, false
			}
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.ready && len(s.out) == 0 && !s.probing // a ban may end before the list tells more
		if forget {
			delete(b.byAddr, s.id)
		}
		return forget
	})
	b.placeServers()
}

func (b *Balancer) update(e *Endpoint) {
	s, since := b.byAddr[e.Server], min(finite(e.StartedMs), b.now)
	if s == nil {
		s = &server{id: e.Server, hash: mix(hashAddr(e.Server)), state: Unknown, since: b.now,
			startedAt: since, listedAt: since}
		s.window.Reset(firstWindow)
		b.byAddr[s.id] = s
		s.credit = b.rng.Float64()
		i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
			return cmp.Compare(hashAddr(x.id), hashAddr(y.id))
		})
		b.servers = slices.Insert(b.servers, i, s)
	}
	if lifted := s.banned && !e.Cordoned; since > s.listedAt || lifted {
		// A new process: nothing known of the old one holds, and it is cold. Banned ones are restarted
		// meanwhile; whatever the list has told by then, they count as just started.
		if s.startedAt = since; lifted {
			s.startedAt = b.now
		}
		s.listedAt = since
		s.state, s.since, s.silent, s.lostAt = Unknown, b.now, false, 0
		s.strikes, s.good, s.lat, s.samples, s.load = 0, 0, 0, 0, concurrency.LoadReport{}
		s.window.Reset(1)
		// A part of a request by chance: of many agents that never earn a whole one, as
		// many send one as together earned one (ia9314f: new servers were left idle).
		s.credit = b.rng.Float64()
	}
	s.zone, s.cell, s.ready, s.banned = e.Zone, e.Cell, e.Health == Ready, e.Cordoned
	s.usable = s.ready && !s.banned
	if s.weight = finite(e.Weight); s.weight <= 0 {
		s.weight = 1
	}
}

// flowOf is the flow of portions that the request belongs to. Each class has a part of its tenant's portion,
// as it asks for: a portion spent on the class of most worth would leave the others with none.
func (b *Balancer) flowOf(r *request) int {
	if r.tenant < 0 || r.tenant >= len(b.set.Tenants) {
		return -1
	}
	return r.tenant*len(b.set.Classes) + r.class
}

// weights are the flows'.
func (b *Balancer) weights() []float64 {
	b.flows = b.flows[:0]
	for _, t := range b.set.Tenants {
		for _, asked := range b.asked {
			b.flows = append(b.flows, t.QuotaWeight*asked)
		}
	}
	return b.flows
}
