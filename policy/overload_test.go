package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// crowd is a day of overload in virtual time: agents that don't talk, servers of few places that turn away what
// finds none, and clients that come back at once, whatever they are told.
type crowd struct {
	agents, servers int
	slots, queue    int     // of each server: requests in work, and waiting
	workMs          float64 // mean, exponential
	load            float64 // asked for, as a part of what the servers can do
	weights         []float64
	asks            []float64 // tenants' parts of the load; all of it where nil
	comeBack        int       // how often a client comes back
	seconds         float64
	keys            int
	skew            float64                                            // part of all traffic that one key draws
	one             bool                                               // one agent has nine tenths of the traffic
	surge           func(at float64) float64                           // times the load, at a part of the day
	speed           func(server int, at float64) float64               // of a server
	report          func(server int, util, inflight float64) []float32 // nil: both, as they are
	cold            int                                                // servers that start with the day
	seed            uint64
}

// figures are what became of it, each a part.
type figures struct {
	served  float64    // first tries answered within the aim
	tenants []float64  // the same by tenant
	classes [2]float64 // and by class, the second of which is worth five times the first
	turned  float64    // attempts turned away
	busy    float64    // of the servers' time, from the first second on
	second  []float64  // served, by the second in which the first try came
	slowest float64    // answer to a refusal, ms
	most    float64    // most that a cold server was sent in a second, in parts of what it can do in it
	sends   float64    // attempts for each first try
}

type crowdServer struct {
	free  []float64 // when each slot is free
	ends  []float64 // when what is in it ends
	work  float64
	util  float64
	since float64
	cold  []float64 // when the cold one was sent something
}

type crowdTry struct {
	tenant  int
	key     uint64
	first   float64
	came    float64
	tries   int
	ended   bool
	attempt int
}

const crowdAim = 600.0

func (c crowd) play(t *testing.T) figures {
	t.Helper()
	set := testSettings()
	set.Classes = []Class{{Name: "read", LatencyObjectiveMs: crowdAim, ClientTimeoutMs: 4 * crowdAim, Effect: Idempotent, PriorityWeight: 1},
		{Name: "book", LatencyObjectiveMs: crowdAim, ClientTimeoutMs: 4 * crowdAim, Effect: Idempotent, PriorityWeight: 5}}
	set.Limits.Cancelling = false
	set.Clients.MarksRetry = false
	set.FamilyInfo.WarmKeys = true
	set.Report.Names = []string{"util", "inflight"}
	set.Objective = Objective{Total: 0.4, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.25}
	set.OverQuotaWeight = 0.1
	for _, w := range c.weights {
		set.Tenants = append(set.Tenants, Tenant{QuotaWeight: w})
	}
	if c.weights == nil {
		c.weights = []float64{1} // all requests are of one that the settings don't know
	}
	if c.asks == nil {
		c.asks = c.weights
	}
	rng := rand.New(rand.NewPCG(c.seed, 5))
	f := newFleet(t, set, c.agents)
	f.now = 1e6
	start := f.now
	servers := make([]crowdServer, c.servers)
	index := map[Addr]int{}
	entries := ready(c.servers)
	for i := range servers {
		servers[i].free = make([]float64, c.slots)
		index[entries[i].Server] = i
		if i < c.cold {
			entries[i].StartedMs = start
		}
	}
	tries := make([]map[RequestID]*crowdTry, c.agents)
	ids := make([]RequestID, c.agents)
	for i := range tries {
		tries[i] = map[RequestID]*crowdTry{}
	}
	seconds := int(math.Ceil(c.seconds))
	var fig figures
	fig.tenants, fig.second = make([]float64, len(c.weights)), make([]float64, seconds)
	askedBy, askedIn := make([]float64, len(c.weights)), make([]float64, seconds)
	asked, attempts, away := 0.0, 0.0, 0.0
	askedFor := [2]float64{}
	ask := func(agent int, delay float64, try crowdTry) {
		ids[agent]++
		tr := try
		tr.came, tr.tries, tr.attempt, tr.ended = f.now+delay, try.tries+1, 0, false
		tries[agent][ids[agent]] = &tr
		class := 0
		if try.key%2 == 1 {
			class = 1
		}
		f.later(delay, agent, Event{Kind: EventRequest, Request: ids[agent], Class: class, Tenant: try.tenant, Key: try.key,
			RemainingMs: 4 * crowdAim})
	}
	f.did = func(agent int, a *Action) {
		tr := tries[agent][a.Request]
		switch a.Kind {
		case ActionForward:
			i := index[a.Server]
			s := &servers[i]
			attempts++
			n := tr.attempt
			tr.attempt++
			ev := Event{Kind: EventAttemptEnded, Request: a.Request, Attempt: n, Server: a.Server}
			speed := 1.0
			if c.speed != nil {
				speed = c.speed(i, (f.now-start)/1000/c.seconds)
			}
			if i < c.cold {
				age := f.now - start
				s.cold = append(s.cold, f.now)
				k := min(set.Contract.SlowStartMinCapacity+(1-set.Contract.SlowStartMinCapacity)*age/set.Contract.SlowStartMs, 1)
				speed *= k
				sent := 0.0
				for j := len(s.cold) - 1; j >= 0 && s.cold[j] > f.now-1000; j-- {
					sent++
				}
				if age > 1000 && age < set.Contract.SlowStartMs {
					fig.most = max(fig.most, sent/(k*1000*float64(c.slots)/c.workMs))
				}
			}
			in := 0
			for _, end := range s.ends {
				if end > f.now {
					s.ends[in] = end
					in++
				}
			}
			s.ends = s.ends[:in]
			if dt := f.now - s.since; dt > 500 { // the report is made anew twice a second
				s.util, s.work, s.since = min(s.work/(dt*float64(c.slots)), 1), 0, f.now
			}
			if in >= c.slots+c.queue {
				away++
				ev.Status, ev.LatencyMs = Rejected, 2
				f.later(2, agent, ev)
				return
			}
			k := 0
			for j := range s.free {
				if s.free[j] < s.free[k] {
					k = j
				}
			}
			work := c.workMs * rng.ExpFloat64() / speed
			end := max(f.now, s.free[k]) + work
			s.free[k] = end
			s.ends = append(s.ends, end)
			s.work += work
			if f.now > start+1000 {
				fig.busy += min(work, max(start+c.seconds*1000-end+work, 0))
			}
			ev.Status, ev.LatencyMs, ev.Final = OK, end-f.now+2, true
			ev.Report = []float32{float32(s.util), float32(in + 1)}
			if c.report != nil {
				ev.Report = c.report(i, s.util, float64(in+1))
			}
			f.later(ev.LatencyMs, agent, ev)
			tr2 := tr
			// The answer ends the request when it comes; nobody else can end it then.
			f.later(ev.LatencyMs, agent, Event{Kind: EventClientDisconnected, Request: a.Request})
			if f.now+ev.LatencyMs <= tr2.first+crowdAim && !tr2.ended {
				fig.served++
				fig.tenants[tr2.tenant]++
				fig.classes[tr2.key%2]++
				if sec := int((tr2.first - start) / 1000); sec < seconds {
					fig.second[sec]++
				}
			}
			tr2.ended = true
		case ActionReject, ActionFail:
			if tr == nil || tr.ended {
				return
			}
			tr.ended = true
			fig.slowest = max(fig.slowest, f.now-tr.came)
			if tr.tries <= c.comeBack && f.now < start+c.seconds*1000 {
				ask(agent, 1, *tr)
			}
		}
	}
	for i := range c.agents {
		f.start(i, entries)
	}
	perMs := c.load * float64(c.servers*c.slots) / c.workMs
	total := 0.0
	for _, a := range c.asks {
		total += a
	}
	for at := 0.0; ; {
		rate := perMs
		if c.surge != nil {
			rate *= c.surge(at / 1000 / c.seconds)
		}
		if at += rng.ExpFloat64() / rate; at >= c.seconds*1000 {
			break
		}
		tenant, x := 0, rng.Float64()*total
		for tenant = 0; tenant < len(c.asks)-1 && x >= c.asks[tenant]; tenant++ {
			x -= c.asks[tenant]
		}
		agent := rng.IntN(c.agents)
		if c.one && rng.Float64() < 0.9 {
			agent = 0
		}
		key := uint64(0)
		if c.keys > 0 {
			key = 1 + uint64(math.Pow(rng.Float64(), 2)*float64(c.keys))
			if rng.Float64() < c.skew {
				key = 1
			}
		}
		asked++
		askedBy[tenant]++
		askedFor[key%2]++
		askedIn[int(at/1000)]++
		ask(agent, at, crowdTry{tenant: tenant, key: key, first: start + at})
	}
	f.until(start + c.seconds*1000 + 5000)
	fig.served /= asked
	for i := range fig.tenants {
		fig.tenants[i] /= max(askedBy[i], 1)
	}
	for i := range fig.second {
		fig.second[i] /= max(askedIn[i], 1)
	}
	fig.turned = away / max(attempts, 1)
	for i := range fig.classes {
		fig.classes[i] /= max(askedFor[i], 1)
	}
	fig.busy /= (c.seconds - 1) * 1000 * float64(c.servers*c.slots)
	fig.sends = attempts / asked
	return fig
}

func usual(seed uint64) crowd {
	return crowd{agents: 4, servers: 8, slots: 2, queue: 4, workMs: 40, load: 1.4, comeBack: 2, seconds: 10, keys: 800, seed: seed}
}

// Under overload servers are kept busy without turning much away, whoever has the traffic.
func TestOverloadKeepsServersBusy(t *testing.T) {
	t.Parallel() // virtual time alone
	for name, change := range map[string]func(*crowd){
		"as usual":                    func(*crowd) {},
		"one agent with the traffic":  func(c *crowd) { c.one = true },
		"a key with a fifth of it":    func(c *crowd) { c.skew = 0.21 },
		"four in step":                func(c *crowd) { c.surge = func(at float64) float64 { return 0.4 + 1.2*float64(int(at*40)%2) } },
		"80 agents with few requests": func(c *crowd) { c.agents, c.servers = 80, 16 },
		"clients that never return":   func(c *crowd) { c.comeBack = 0 },
	} {
		c := usual(1)
		change(&c)
		f := c.play(t)
		t.Logf("%s: served %.3f, turned away %.3f, busy %.3f, %.2f attempts a request, longest refusal %.0f ms", name, f.served, f.turned,
			f.busy, f.sends, f.slowest)
		most := 0.25
		if c.agents > 8 { // each sees a server once a second: no window can follow it
			most = 0.55
		}
		if f.busy < 0.9 || f.turned > most || f.served < 0.6 {
			t.Errorf("%s: servers busy for %.2f, %.2f turned away, %.2f served", name, f.busy, f.turned, f.served)
		}
		if f.slowest > 0.5*4*crowdAim {
			t.Errorf("%s: a refusal took %.0f ms: held back until the client's time ran out", name, f.slowest)
		}
	}
}

// Others are served as without the greedy tenant, at 2, 5 and 20 times its portion.
func TestOverloadGreedyTenant(t *testing.T) {
	t.Parallel() // virtual time alone
	weights := []float64{0.44, 0.32, 0.13, 0.11}
	for _, times := range []float64{2, 5, 20} {
		c := usual(2)
		c.seconds = 20
		c.weights, c.asks = weights, []float64{0.44, 0.32, 0.13, 0.11 * times}
		c.load = 0.75 * (0.89 + 0.11*times)
		f := c.play(t)
		t.Logf("%v times: served %.3f of all, by tenant %.3f", times, f.served, f.tenants)
		for i, s := range f.tenants[:3] {
			if s < 0.96 {
				t.Errorf("at %v times its portion of another tenant %d is served %.3f", times, i, s)
			}
		}
		if own := f.tenants[3] * times; own < 0.96 {
			t.Errorf("at %v times its portion a tenant is served %.3f of it", times, own)
		}
	}
}

// After a surge the fleet comes back by itself, though clients come back at once.
func TestOverloadEnds(t *testing.T) {
	t.Parallel() // virtual time alone
	for seed := range uint64(3) {
		c := usual(seed)
		c.load, c.comeBack, c.seconds = 0.8, 3, 24
		c.surge = func(at float64) float64 {
			if at > 0.25 && at < 0.5 {
				return 3
			}
			return 1
		}
		f := c.play(t)
		back := 0
		for i := 12; i < 24 && f.second[i] < 0.95; i++ {
			back++
		}
		t.Logf("seed %d: served by second %.2f; back after %d s", seed, f.second, back)
		if back > 2 {
			t.Errorf("seed %d: %d s after the surge goodput is still under 0.95: %.2f", seed, back, f.second[12:])
		}
	}
}

// Reports that are absent, frozen or lies cost little: what turns away and how long answers take is seen anyhow.
func TestOverloadWithoutTrueReports(t *testing.T) {
	t.Parallel() // virtual time alone
	truth := usual(4).play(t)
	nan := float32(math.NaN())
	for name, report := range map[string]func(int, float64, float64) []float32{
		"absent":                  func(int, float64, float64) []float32 { return nil },
		"from some servers only":  func(i int, u, n float64) []float32 { return []float32{float32(u), float32(n)}[:2*(i%2)] },
		"idle with a full queue":  func(int, float64, float64) []float32 { return []float32{0, 0} },
		"busy on an idle machine": func(int, float64, float64) []float32 { return []float32{1, 1} },
		"no numbers":              func(int, float64, float64) []float32 { return []float32{nan, nan} },
		"negative":                func(int, float64, float64) []float32 { return []float32{-3, -1} },
	} {
		for _, load := range []float64{1.4, 0.7} {
			c := usual(4)
			c.report, c.load = report, load
			want := truth.served
			if load < 1 {
				want = 0.99
			}
			if f := c.play(t); f.served < want-0.04 {
				t.Errorf("%s, load %v: served %.3f, want %.3f as with true reports", name, load, f.served, want)
			}
		}
	}
}

// Machines that lose most of their speed for a time, on and off, or for long.
func TestOverloadOfSlowedMachines(t *testing.T) {
	for name, speed := range map[string]func(int, float64) float64{
		"a quarter at a fifth, then back": func(i int, at float64) float64 {
			if i < 2 && at > 0.3 && at < 0.6 {
				return 0.2
			}
			return 1
		},
		"another program takes 70 % of half, on and off": func(i int, at float64) float64 {
			if i < 4 && int(at*10)%2 == 0 {
				return 0.3
			}
			return 1
		},
	} {
		c := usual(5)
		c.load, c.speed = 0.75, speed
		f := c.play(t)
		t.Logf("%s: served %.3f", name, f.served)
		if f.served < 0.9 {
			t.Errorf("%s: served %.3f", name, f.served)
		}
	}
}

// A cold server beside overloaded ones is not pushed over by all agents together.
func TestOverloadBesideACold(t *testing.T) {
	for _, agents := range []int{4, 40} {
		c := usual(6)
		c.agents, c.cold = agents, 1
		f := c.play(t)
		t.Logf("%d agents: at most %.2f times what it could do in a second", agents, f.most)
		if f.most > testSettings().Contract.OverloadFactor {
			t.Errorf("%d agents sent a cold server %.2f times what it could do", agents, f.most)
		}
	}
}

// Before a request is given up any server with idle cores may have it, though its key is at home elsewhere; one
// that says that it is busy may not.
func TestIdleServerTakesWhatItsKeysServersCannot(t *testing.T) {
	for _, util := range []float32{0.3, 0.99} {
		set := testSettings()
		set.Report.Names = []string{"util"}
		r := newRig(t, set, 6)
		_, home := r.sent(0, 7)
		r.b.byAddr[home].limit.Reset(1) // the two nearest have no room
		r.sent(0, 7)
		for _, s := range r.b.servers {
			s.loadReport.Update(r.now, r.b.reportFields, []float32{util})
			if len(s.inflight) > 0 {
				s.limit.Reset(1)
			}
		}
		id, actions := r.ask(0, 7)
		if find(actions, ActionForward) != nil {
			t.Fatal("the rig is off: there was room")
		}
		var to *Action
		ended := false
		for i := 0; i < 60 && to == nil && !ended; i++ {
			for _, a := range r.tick(5) {
				if a.Request == id && a.Kind == ActionForward {
					to = &a
				}
				ended = ended || a.Request == id && a.Kind == ActionReject
			}
			r.b.queueTimeout.QueueLength(r.now-1e6, 0) // the queue has stood for long
			for range 3000 {
				r.b.queueTimeout.RequestEnded(false)
			}
			r.b.fleet.baselineLatency = 0.02
		}
		if util < 0.9 && to == nil {
			t.Error("given up beside idle servers")
		}
		if util > 0.9 && to != nil {
			t.Error("moved its key to a server that says it is busy")
		}
	}
}

// Of two requests of like worth the one whose key was lately sent comes first.
func TestWarmKeysFirst(t *testing.T) {
	set := testSettings()
	set.FamilyInfo.WarmKeys, set.Objective.Total = true, 1
	r := newRig(t, set, 1)
	s := r.b.servers[0]
	s.limit.Reset(1)
	_, to := r.sent(0, 5)
	cold, _ := r.ask(0, 6)
	r.now++
	warm, _ := r.ask(0, 5)
	r.now++
	newest, _ := r.ask(0, 8)
	r.now += 20
	out := r.outcome(1, 0, to, OK, 20)
	if a := find(out, ActionForward); a == nil || a.Request != warm {
		t.Errorf("sent %+v, want %d, not %d or %d", a, warm, cold, newest)
	}
}

// Of many agents with few requests none has a queue to choose from, and no window can follow a server: what is shed
// there is what is worth least, not anybody.
func TestShedIsWhatIsWorthLeast(t *testing.T) {
	c := usual(7)
	c.seconds = 20
	c.agents, c.servers, c.slots, c.queue, c.load = 80, 16, 1, 20, 1.5
	f := c.play(t)
	t.Logf("served %.3f of what is worth 1, %.3f of what is worth 5, %.3f of all", f.classes[0], f.classes[1], f.served)
	if f.classes[1] < 0.6 || f.classes[1] < f.classes[0]+0.3 {
		t.Errorf("served %.3f of what is worth 1 and %.3f of what is worth 5", f.classes[0], f.classes[1])
	}
}
