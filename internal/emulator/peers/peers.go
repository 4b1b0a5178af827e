// Package peers are the decisions that others would make, each written from its public description with the
// defaults that are documented there, against the same events as the product's module. They are for
// experiments only and never part of the product. What a peer does in life and cannot here is said at it;
// none probes here.
package peers

import (
	"math"
	"math/rand/v2"
	"slices"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

// server is what a peer knows of one.
type server struct {
	addr    policy.Addr
	zone    int
	ready   bool
	weight  float64
	active  int
	ejected float64 // until then, ms
	ejects  int
	row     int // failures in a row
	ewma    float64
	ewmaAt  float64
	qps     float64 // by its reports
	util    float64
	eps     float64
	seenAt  float64 // first report
	current float64 // of smooth weighted round robin
	backoff float64 // failure accrual's
	limit   float64 // of active requests, and the answer time that it goes by
	calm    float64
}

// request is one in flight.
type request struct {
	class  int
	key    uint64
	until  float64
	tries  int
	on     *server
	mayRun bool
	tried  []*server
}

// peer is what all have in common: it follows the list, picks, tries again by its budget, and fails what has
// found no end. It never holds a request.
type peer struct {
	set      policy.Settings
	rng      *rand.Rand
	now      float64
	servers  []*server
	byAddr   map[policy.Addr]*server
	requests map[policy.RequestID]*request
	out      []policy.Action

	pick    func(*request) *server
	seen    func(s *server, ev *policy.Event) // an attempt's end
	changed func()

	// retries is how often a request goes again at the most; budget the part of active requests that may be
	// retries, least how many always may (Envoy's retry budget, 20 % and 3; Finagle's, 20 % and 10 a second).
	retries  int
	budget   float64
	least    int
	retrying int
	outlier  *outlier
	panicAt  float64 // with less than that part of servers usable, all are used
}

// outlier is Envoy's outlier detection: consecutive_5xx 5, base_ejection_time 30 s, max_ejection_percent 10
// (at least one), max_ejection_time 300 s.
type outlier struct {
	consecutive int
	baseMs      float64
	most        float64
}

func newPeer(set policy.Settings, seed uint64) *peer {
	return &peer{set: set, rng: rand.New(rand.NewPCG(seed, 77)), byAddr: map[policy.Addr]*server{}, requests: map[policy.RequestID]*request{}}
}

// Start follows the list.
func (p *peer) Start(now float64, out []policy.Action) []policy.Action {
	return append(out, policy.Action{Kind: policy.ActionWatchEndpoints})
}

// Handle takes an event.
func (p *peer) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	p.now, p.out = now, out
	switch ev.Kind {
	case policy.EventEndpointUpdate:
		p.list(ev)
	case policy.EventRequest:
		r := &request{class: ev.Class, key: ev.Key, until: now + ev.RemainingMs}
		p.requests[ev.Request] = r
		p.send(ev.Request, r)
	case policy.EventAttemptEnded:
		p.outcome(ev)
	case policy.EventClientDisconnected:
		delete(p.requests, ev.Request)
	case policy.EventTimer:
		p.do(policy.Action{Kind: policy.ActionWatchEndpoints})
	}
	return p.out
}

func (p *peer) do(a policy.Action) { p.out = append(p.out, a) }

func (p *peer) list(ev *policy.Event) {
	if ev.Update == policy.UpdateFailed {
		p.do(policy.Action{Kind: policy.ActionTimer, DurationMs: 1000})
		return
	}
	for i := range ev.Endpoints {
		e := &ev.Endpoints[i]
		s := p.byAddr[e.Server]
		if s == nil {
			s = &server{addr: e.Server}
			p.byAddr[e.Server] = s
			p.servers = append(p.servers, s)
		}
		s.zone, s.ready, s.weight = e.Zone, e.Health == policy.Ready, max(e.Weight, 1e-9)
	}
	slices.SortFunc(p.servers, func(a, b *server) int { return slices.Compare(a.addr[:], b.addr[:]) })
	if p.changed != nil {
		p.changed()
	}
}

// usable are the servers that may be picked: those in service and not ejected, or all in service where the
// panic threshold says so.
func (p *peer) usable(not []*server) []*server {
	var ready, good []*server
	for _, s := range p.servers {
		if !s.ready {
			continue
		}
		ready = append(ready, s)
		if s.ejected <= p.now {
			good = append(good, s)
		}
	}
	if len(good) == 0 || float64(len(good)) < p.panicAt*float64(len(ready)) {
		good = ready
	}
	if len(not) > 0 {
		if other := slices.DeleteFunc(slices.Clone(good), func(s *server) bool { return slices.Contains(not, s) }); len(other) > 0 {
			return other
		}
	}
	return good
}

func (p *peer) send(id policy.RequestID, r *request) {
	s := p.pick(r)
	if s == nil {
		delete(p.requests, id)
		p.do(policy.Action{Kind: policy.ActionReject, Request: id, DurationMs: 100})
		return
	}
	r.on, r.tries = s, r.tries+1
	r.tried = append(r.tried, s)
	s.active++
	p.do(policy.Action{Kind: policy.ActionForward, Request: id, Server: s.addr, DurationMs: max(r.until-p.now, 1)})
}

func (p *peer) outcome(ev *policy.Event) {
	s, r := p.byAddr[ev.Server], p.requests[ev.Request]
	if s != nil && s.active > 0 {
		s.active--
	}
	if s != nil && ev.Status != policy.NotStarted && ev.Status != policy.Cancelled {
		if p.seen != nil {
			p.seen(s, ev)
		}
		p.judge(s, ev.Status)
	}
	if r == nil {
		return
	}
	if r.tries > 1 {
		p.retrying--
	}
	if ev.Final || ev.Status == policy.OK {
		delete(p.requests, ev.Request)
		return
	}
	r.mayRun = r.mayRun || !ev.Status.NeverRan()
	// Proxies know no effects: they go again on connect failures, resets and gateway errors where their
	// routes say so, as operators commonly write ("connect-failure,refused-stream,gateway-error").
	again := ev.Status == policy.ConnectFailed || ev.Status == policy.Rejected || ev.Status == policy.NotStarted ||
		p.set.Classes[r.class].Effect != policy.NonIdempotent && (ev.Status == policy.Error || ev.Status == policy.Reset)
	if again && r.tries <= p.retries && r.until-p.now > 5 && float64(p.retrying) < max(p.budget*float64(len(p.requests)), float64(p.least)) {
		p.retrying++
		p.send(ev.Request, r)
		return
	}
	delete(p.requests, ev.Request)
	if r.mayRun {
		p.do(policy.Action{Kind: policy.ActionFail, Request: ev.Request})
	} else {
		p.do(policy.Action{Kind: policy.ActionReject, Request: ev.Request, DurationMs: 100})
	}
}

// judge ejects a server that failed too often in a row.
func (p *peer) judge(s *server, status policy.Status) {
	if status == policy.OK {
		s.row = 0
		return
	}
	s.row++
	if p.outlier == nil || s.row < p.outlier.consecutive || s.ejected > p.now {
		return
	}
	out := 0
	for _, x := range p.servers {
		if x.ejected > p.now {
			out++
		}
	}
	if out > 0 && float64(out+1) > p.outlier.most*float64(len(p.servers)) {
		return
	}
	s.row = 0
	s.ejects++
	s.ejected = p.now + min(p.outlier.baseMs*float64(s.ejects), 300_000)
}

func envoy(p *peer) *peer {
	p.outlier = &outlier{consecutive: 5, baseMs: 30_000, most: 0.1}
	p.retries, p.budget, p.least, p.panicAt = 1, 0.2, 3, 0.5
	return p
}

func some(p *peer, r *request) (a, b *server) {
	list := p.usable(nil)
	if len(list) == 0 {
		return nil, nil
	}
	return list[p.rng.IntN(len(list))], list[p.rng.IntN(len(list))]
}

// Random picks evenly at random; one retry elsewhere.
func Random(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	p := newPeer(set, seed)
	p.retries, p.budget, p.least = 1, 0.2, 3
	p.pick = func(r *request) *server { a, _ := some(p, r); return a }
	return p, nil
}

// RoundRobin takes one after the other.
func RoundRobin(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	p := envoy(newPeer(set, seed))
	next := p.rng.IntN(1 << 20)
	p.pick = func(r *request) *server {
		list := p.usable(r.tried)
		if len(list) == 0 {
			return nil
		}
		next++
		return list[next%len(list)]
	}
	return p, nil
}

// LeastRequest is Envoy's LEAST_REQUEST of equal weights: two choices at random, the one with fewer active
// requests; outlier detection, panic threshold 50 %, a retry budget of 20 % (Envoy's pages "Supported load
// balancers", "Outlier detection", "Panic threshold", "Circuit breaking").
func LeastRequest(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	p := envoy(newPeer(set, seed))
	p.pick = func(r *request) *server {
		a, b := some(p, r)
		if a != nil && (b.active < a.active || slices.Contains(r.tried, a)) {
			return b
		}
		return a
	}
	return p, nil
}

// RingHash is Envoy's RING_HASH with bounded loads (hash_balance_factor 150): the key's point on a ring of
// 100 points a server, on to the next where a server has more than 1.5 times the mean of active requests
// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads").
func RingHash(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	p := envoy(newPeer(set, seed))
	type point struct {
		at uint64
		s  *server
	}
	var ring []point
	p.changed = func() {
		ring = ring[:0]
		for _, s := range p.servers {
			h := uint64(1469598103934665603)
			for _, b := range s.addr {
				h = (h ^ uint64(b)) * 1099511628211
			}
			for i := range uint64(100) {
				ring = append(ring, point{mix(h + i*0x9e3779b97f4a7c15), s})
			}
		}
		slices.SortFunc(ring, func(a, b point) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
	}
	p.pick = func(r *request) *server {
		if r.key == 0 {
			a, _ := some(p, r)
			return a
		}
		list := p.usable(r.tried)
		if len(list) == 0 {
			return nil
		}
		total := 1
		for _, s := range list {
			total += s.active
		}
		most := math.Ceil(1.5 * float64(total) / float64(len(list)))
		at := mix(r.key)
		i, _ := slices.BinarySearchFunc(ring, at, func(x point, at uint64) int {
			if x.at < at {
				return -1
			}
			return 1
		})
		for k := range ring {
			if s := ring[(i+k)%len(ring)].s; slices.Contains(list, s) && float64(s.active+1) <= most {
				return s
			}
		}
		return list[0]
	}
	return p, nil
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// WeightedRoundRobin is gRPC's client-side weighted round robin (A58): the weight is qps by utilisation, with
// errors added as eps by qps times the penalty 1.0; a weight counts after a blackout of 10 s, a server
// without one gets the mean's; with outlier detection by A50 as Envoy's consecutive failures. Weights are
// updated each second there and with each report here.
func WeightedRoundRobin(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	p := envoy(newPeer(set, seed))
	weight := func(s *server) float64 {
		if s.seenAt == 0 || p.now-s.seenAt < 10_000 || s.util <= 0 || s.qps <= 0 {
			return 0
		}
		return s.qps / (s.util + s.eps/s.qps)
	}
	p.seen = func(s *server, ev *policy.Event) {
		if len(ev.Report) == 3 {
			s.qps, s.util, s.eps = float64(ev.Report[0]), float64(ev.Report[1]), float64(ev.Report[2])
			if s.seenAt == 0 && s.util > 0 {
				s.seenAt = p.now
			}
		}
	}
	p.pick = func(r *request) *server {
		list := p.usable(r.tried)
		if len(list) == 0 {
			return nil
		}
		sum, n := 0.0, 0
		for _, s := range list {
			if v := weight(s); v > 0 {
				sum, n = sum+v, n+1
			}
		}
		mean := 1.0
		if n > 1 { // fewer than two weights: plain round robin
			mean = sum / float64(n)
		}
		total := 0.0
		var best *server
		for _, s := range list {
			v := weight(s)
			if v <= 0 || n < 2 {
				v = mean
			}
			s.current += v
			total += v
			if best == nil || s.current > best.current {
				best = s
			}
		}
		best.current -= total
		return best
	}
	return p, nil
}

// PeakEWMA is Finagle's p2c with peak EWMA: of two at random the one of the lower cost, its peak-sensitive
// moving average of the round trip (decay 10 s) times what is out there and one more; failure accrual after 5
// failures in a row, away for 5 to 300 s, equal jittered; a retry budget of 20 % and 10 a second. Its
// aperture is left out: each agent here sends little and would use a few servers only.
func PeakEWMA(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	const decay = 10_000
	p := newPeer(set, seed)
	p.retries, p.budget, p.least = 2, 0.2, 10
	cost := func(s *server) float64 {
		v := s.ewma * math.Exp(-(p.now-s.ewmaAt)/decay)
		if s.ewma == 0 && s.active > 0 {
			return 1e9 + float64(s.active) // the penalty of what is not known
		}
		return v * float64(s.active+1)
	}
	p.seen = func(s *server, ev *policy.Event) {
		if v := ev.LatencyMs; v > s.ewma {
			s.ewma = v
		} else {
			w := math.Exp(-(p.now - s.ewmaAt) / decay)
			s.ewma = s.ewma*w + v*(1-w)
		}
		s.ewmaAt = p.now
		if ev.Status == policy.OK {
			s.row, s.backoff = 0, 0
		} else if s.row++; s.row >= 5 {
			s.backoff = min(max(2*s.backoff, 5000), 300_000)
			s.ejected, s.row = p.now+s.backoff/2+p.rng.Float64()*s.backoff/2, 0
		}
	}
	p.pick = func(r *request) *server {
		a, b := some(p, r)
		if a != nil && (cost(b) < cost(a) || slices.Contains(r.tried, a)) {
			return b
		}
		return a
	}
	return p, nil
}

// Gradient is least request under a limit for each server by the gradient of its answer times (Netflix,
// "concurrency-limits", Gradient2Limit with its defaults: initial limit 20, smoothing 0.2, tolerance 1.5, queue size
// 4, long window 600): what finds no server under its limit is refused at once.
func Gradient(set policy.Settings, seed uint64) (emulator.Balancer, error) {
	p := envoy(newPeer(set, seed))
	limit := func(s *server) float64 {
		if s.limit == 0 {
			s.limit = 20
		}
		return s.limit
	}
	p.seen = func(s *server, ev *policy.Event) {
		switch ev.Status {
		case policy.OK:
			if s.calm == 0 {
				s.calm = ev.LatencyMs
			}
			if s.calm += 2.0 / 601 * (ev.LatencyMs - s.calm); s.calm > 2*ev.LatencyMs {
				s.calm *= 0.95
			}
			if float64(s.active) < limit(s)/2 {
				return // it is not what limits
			}
			gradient := max(0.5, min(1, 1.5*s.calm/max(ev.LatencyMs, 1e-3)))
			s.limit = max(0.8*s.limit+0.2*(s.limit*gradient+4), 1)
			s.limit = min(s.limit, 200)
		case policy.Rejected, policy.Timeout:
			s.limit = max(limit(s)*0.9, 1)
		}
	}
	p.pick = func(r *request) *server {
		list := slices.DeleteFunc(slices.Clone(p.usable(r.tried)), func(s *server) bool { return float64(s.active) >= limit(s) })
		if len(list) == 0 {
			return nil
		}
		a, b := list[p.rng.IntN(len(list))], list[p.rng.IntN(len(list))]
		if b.active < a.active {
			return b
		}
		return a
	}
	return p, nil
}

// All are the peers, by name. None is held to the contract: the book says what each breaks.
var All = []emulator.Policy{
	{Name: "random", Unguarded: true, New: Random},
	{Name: "round_robin", Unguarded: true, New: RoundRobin},
	{Name: "least_request", Unguarded: true, New: LeastRequest},
	{Name: "ring_hash", Unguarded: true, New: RingHash},
	{Name: "weighted_rr", Unguarded: true, New: WeightedRoundRobin},
	{Name: "peak_ewma", Unguarded: true, New: PeakEWMA},
	{Name: "gradient", Unguarded: true, New: Gradient},
}
