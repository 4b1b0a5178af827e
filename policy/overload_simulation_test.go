package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// overloadScenario is a time of overload in virtual time: agents that do not communicate, servers with few
// places that reject what finds none, and clients that retry at once, whatever Retry-After says.
type overloadScenario struct {
	agents, servers int
	slots, queue    int     // of each server: requests in work, and waiting
	workMs          float64 // mean; exponential
	load            float64 // as a part of what the servers can do
	weights         []float64
	tenantLoads     []float64 // tenants' parts of the load; their quotas where nil
	clientRetries   int       // retries of a client
	seconds         float64
	keys            int
	hotKeyPart      float64                                            // part of the traffic of one key
	oneBusyAgent    bool                                               // one agent has nine tenths of the traffic
	surge           func(at float64) float64                           // factor of the load, at a part of the time
	speed           func(server int, at float64) float64               // of a server
	report          func(server int, util, inflight float64) []float32 // nil: both, as they are
	slowStarting    int                                                // servers that are in slow start at first
	seed            uint64
}

// overloadResult is what became of the requests, in parts of all.
type overloadResult struct {
	served             float64    // part of the first attempts answered within the objective
	tenants            []float64  // the same by tenant
	classes            [2]float64 // by class; the second has five times the priority
	rejected           float64    // attempts rejected by servers
	busy               float64    // of the servers' time, from the first second on
	second             []float64  // served, by the second in which the first attempt arrived
	slowestRejectionMs float64    // longest time until a rejection, ms
	slowStartOverload  float64    // most that a server in slow start was sent in a second, in parts of what it can do
	attemptsPerRequest float64    // by the requests, without retries of the client
}

type overloadServer struct {
	free              []float64 // when each slot is free
	ends              []float64 // when what is in it ends
	work              float64
	util              float64
	since             float64
	slowStartArrivals []float64 // when an attempt arrived in slow start
}

type overloadRequest struct {
	tenant  int
	key     uint64
	first   float64
	arrived float64
	tries   int
	ended   bool
	attempt int
}

const overloadObjectiveMs = 600.0

func (c overloadScenario) run(t *testing.T) overloadResult {
	t.Helper()
	set := testSettings()
	set.Classes = []Class{{Name: "read", LatencyObjectiveMs: overloadObjectiveMs, ClientTimeoutMs: 4 * overloadObjectiveMs, Effect: Idempotent, PriorityWeight: 1},
		{Name: "book", LatencyObjectiveMs: overloadObjectiveMs, ClientTimeoutMs: 4 * overloadObjectiveMs, Effect: Idempotent, PriorityWeight: 5}}
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
		c.weights = []float64{1} // all requests are of a tenant that the settings do not have
	}
	if c.tenantLoads == nil {
		c.tenantLoads = c.weights
	}
	rng := rand.New(rand.NewPCG(c.seed, 5))
	f := newFleet(t, set, c.agents)
	f.now = 1e6
	start := f.now
	servers := make([]overloadServer, c.servers)
	index := map[Addr]int{}
	entries := readyEndpoints(c.servers)
	for i := range servers {
		servers[i].free = make([]float64, c.slots)
		index[entries[i].Server] = i
		if i < c.slowStarting {
			entries[i].StartedMs = start
		}
	}
	tries := make([]map[RequestID]*overloadRequest, c.agents)
	ids := make([]RequestID, c.agents)
	for i := range tries {
		tries[i] = map[RequestID]*overloadRequest{}
	}
	seconds := int(math.Ceil(c.seconds))
	var fig overloadResult
	fig.tenants, fig.second = make([]float64, len(c.weights)), make([]float64, seconds)
	askedBy, askedIn := make([]float64, len(c.weights)), make([]float64, seconds)
	asked, attempts, away := 0.0, 0.0, 0.0
	askedFor := [2]float64{}
	ask := func(agent int, delay float64, try overloadRequest) {
		ids[agent]++
		tr := try
		tr.arrived, tr.tries, tr.attempt, tr.ended = f.now+delay, try.tries+1, 0, false
		tries[agent][ids[agent]] = &tr
		class := 0
		if try.key%2 == 1 {
			class = 1
		}
		f.schedule(delay, agent, Event{Kind: EventRequest, Request: ids[agent], Class: class, Tenant: try.tenant, Key: try.key,
			RemainingMs: 4 * overloadObjectiveMs})
	}
	f.onAction = func(agent int, a *Action) {
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
			if i < c.slowStarting {
				age := f.now - start
				s.slowStartArrivals = append(s.slowStartArrivals, f.now)
				k := min(set.Contract.SlowStartMinCapacity+(1-set.Contract.SlowStartMinCapacity)*age/set.Contract.SlowStartMs, 1)
				speed *= k
				sent := 0.0
				for j := len(s.slowStartArrivals) - 1; j >= 0 && s.slowStartArrivals[j] > f.now-1000; j-- {
					sent++
				}
				if age > 1000 && age < set.Contract.SlowStartMs {
					fig.slowStartOverload = max(fig.slowStartOverload, sent/(k*1000*float64(c.slots)/c.workMs))
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
			if dt := f.now - s.since; dt > 500 { // the report is updated twice a second
				s.util, s.work, s.since = min(s.work/(dt*float64(c.slots)), 1), 0, f.now
			}
			if in >= c.slots+c.queue {
				away++
				ev.Status, ev.LatencyMs = Rejected, 2
				f.schedule(2, agent, ev)
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
			f.schedule(ev.LatencyMs, agent, ev)
			tr2 := tr
			// The answer finishes the request when it arrives.
			f.schedule(ev.LatencyMs, agent, Event{Kind: EventClientDisconnected, Request: a.Request})
			if f.now+ev.LatencyMs <= tr2.first+overloadObjectiveMs && !tr2.ended {
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
			fig.slowestRejectionMs = max(fig.slowestRejectionMs, f.now-tr.arrived)
			if tr.tries <= c.clientRetries && f.now < start+c.seconds*1000 {
				ask(agent, 1, *tr)
			}
		}
	}
	for i := range c.agents {
		f.start(i, entries)
	}
	perMs := c.load * float64(c.servers*c.slots) / c.workMs
	total := 0.0
	for _, a := range c.tenantLoads {
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
		for tenant = 0; tenant < len(c.tenantLoads)-1 && x >= c.tenantLoads[tenant]; tenant++ {
			x -= c.tenantLoads[tenant]
		}
		agent := rng.IntN(c.agents)
		if c.oneBusyAgent && rng.Float64() < 0.9 {
			agent = 0
		}
		key := uint64(0)
		if c.keys > 0 {
			key = 1 + uint64(math.Pow(rng.Float64(), 2)*float64(c.keys))
			if rng.Float64() < c.hotKeyPart {
				key = 1
			}
		}
		asked++
		askedBy[tenant]++
		askedFor[key%2]++
		askedIn[int(at/1000)]++
		ask(agent, at, overloadRequest{tenant: tenant, key: key, first: start + at})
	}
	f.runUntil(start + c.seconds*1000 + 5000)
	fig.served /= asked
	for i := range fig.tenants {
		fig.tenants[i] /= max(askedBy[i], 1)
	}
	for i := range fig.second {
		fig.second[i] /= max(askedIn[i], 1)
	}
	fig.rejected = away / max(attempts, 1)
	for i := range fig.classes {
		fig.classes[i] /= max(askedFor[i], 1)
	}
	fig.busy /= (c.seconds - 1) * 1000 * float64(c.servers*c.slots)
	fig.attemptsPerRequest = attempts / asked
	return fig
}

func defaultOverload(seed uint64) overloadScenario {
	return overloadScenario{agents: 4, servers: 8, slots: 2, queue: 4, workMs: 40, load: 1.4, clientRetries: 2, seconds: 10, keys: 800, seed: seed}
}
