package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// overloadScenario is an overload in virtual time: agents that do not communicate, servers with few slots
// that reject requests while all are in use, and clients that retry at once, whatever Retry-After says.
type overloadScenario struct {
	agents, servers int
	slots, queue    int     // per server: running requests, and queued ones
	workMs          float64 // mean of an exponential distribution
	load            float64 // as a fraction of the servers' capacity
	weights         []float64
	tenantLoads     []float64 // tenants' shares of the load; nil: their quotas
	clientRetries   int       // maximum retries of a client
	seconds         float64
	keys            int
	hotKeyShare     float64                                            // share of one key in the traffic
	oneBusyAgent    bool                                               // one agent gets 90% of the traffic
	surge           func(at float64) float64                           // load factor, by fraction of the run
	speed           func(server int, at float64) float64               // speed factor of a server
	report          func(server int, util, inflight float64) []float32 // nil: the true values of both
	slowStarting    int                                                // servers in slow start at first
	seed            uint64
}

// overloadResult holds the outcomes of the requests, as fractions of all.
type overloadResult struct {
	served             float64    // fraction of the requests answered within the objective
	tenants            []float64  // served, by tenant
	classes            [2]float64 // served, by class; the second has five times the priority
	rejected           float64    // fraction of the attempts that servers rejected
	busy               float64    // utilization of the servers after the first second
	second             []float64  // served, by the second in which the client's first attempt arrived
	slowestRejectionMs float64    // longest time until a rejection
	slowStartOverload  float64    // largest load of a server in slow start in any second, by its capacity
	attemptsPerRequest float64    // not counting the client's retries as requests
}

type overloadServer struct {
	free              []float64 // when each slot becomes free
	ends              []float64 // when each accepted request ends
	work              float64   // since reportedAt
	utilization       float64   // as reported
	reportedAt        float64
	slowStartArrivals []float64 // arrivals of attempts in slow start
}

// overloadRequest is a request of a client or its retry.
type overloadRequest struct {
	tenant         int
	key            uint64
	firstArrival   float64 // of the client's first attempt
	arrived        float64
	clientAttempts int
	ended          bool
	attempts       int // by the agent
}

const overloadObjectiveMs = 600.0

// overloadRun is a run of a scenario.
type overloadRun struct {
	scenario  overloadScenario
	set       Settings
	rng       *rand.Rand
	fleet     *fleet
	startedAt float64
	endpoints []Endpoint
	servers   []overloadServer
	index     map[Addr]int                     // of servers
	requests  []map[RequestID]*overloadRequest // by agent
	ids       []RequestID                      // last id, by agent
	result    overloadResult

	// Counts.
	arrived          float64 // first attempts of clients
	arrivedByTenant  []float64
	arrivedByClass   [2]float64
	arrivedBySecond  []float64
	attempts         float64
	attemptsRejected float64
}

// run simulates the scenario.
func (c overloadScenario) run(t *testing.T) overloadResult {
	t.Helper()
	r := newOverloadRun(t, c)
	for i := range c.agents {
		r.fleet.start(i, r.endpoints)
	}
	r.scheduleRequests()
	r.fleet.runUntil(r.startedAt + c.seconds*1000 + 5000)
	return r.finish()
}

// overloadSettings returns the settings of a run with tenants of the given weights.
func overloadSettings(weights []float64) Settings {
	set := testSettings()
	class := Class{LatencyObjectiveMs: overloadObjectiveMs, ClientTimeoutMs: 4 * overloadObjectiveMs, Effect: Idempotent}
	read, write := class, class
	read.Name, read.PriorityWeight = "read", 1
	write.Name, write.PriorityWeight = "write", 5
	set.Classes = []Class{read, write}
	set.Limits.Cancelling = false
	set.Clients.MarksRetry = false
	set.ServerInfo.CacheKeys = true
	set.Report.Names = []string{"util", "inflight"}
	set.Objective = Objective{Total: 0.4, WorstWindow: 0.15, WorstClass: 0.2, WorstTenant: 0.25}
	set.OverQuotaWeight = 0.1
	for _, w := range weights {
		set.Tenants = append(set.Tenants, Tenant{QuotaWeight: w})
	}
	return set
}

func newOverloadRun(t *testing.T, c overloadScenario) *overloadRun {
	t.Helper()
	r := &overloadRun{set: overloadSettings(c.weights), rng: rand.New(rand.NewPCG(c.seed, 5)), index: map[Addr]int{}}
	if c.weights == nil {
		c.weights = []float64{1} // all requests are of a tenant that is not in the settings
	}
	if c.tenantLoads == nil {
		c.tenantLoads = c.weights
	}
	r.scenario = c
	r.fleet = newFleet(t, r.set, c.agents)
	r.fleet.now = 1e6
	r.fleet.onAction = r.handleAction
	r.startedAt = r.fleet.now
	r.servers = make([]overloadServer, c.servers)
	r.endpoints = readyEndpoints(c.servers)
	for i := range r.servers {
		r.servers[i].free = make([]float64, c.slots)
		r.index[r.endpoints[i].Server] = i
		if i < c.slowStarting {
			r.endpoints[i].StartedMs = r.startedAt
		}
	}
	r.requests = make([]map[RequestID]*overloadRequest, c.agents)
	r.ids = make([]RequestID, c.agents)
	for i := range r.requests {
		r.requests[i] = map[RequestID]*overloadRequest{}
	}
	seconds := int(math.Ceil(c.seconds))
	r.result.tenants = make([]float64, len(c.weights))
	r.result.second = make([]float64, seconds)
	r.arrivedByTenant = make([]float64, len(c.weights))
	r.arrivedBySecond = make([]float64, seconds)
	return r
}

// scheduleRequests schedules the first attempts of all clients.
func (r *overloadRun) scheduleRequests() {
	c := &r.scenario
	perMs := c.load * float64(c.servers*c.slots) / c.workMs
	for at := 0.0; ; {
		rate := perMs
		if c.surge != nil {
			rate *= c.surge(at / 1000 / c.seconds)
		}
		if at += r.rng.ExpFloat64() / rate; at >= c.seconds*1000 {
			break
		}
		tenant := r.drawTenant()
		agent := r.rng.IntN(c.agents)
		if c.oneBusyAgent && r.rng.Float64() < 0.9 {
			agent = 0
		}
		key := r.drawKey()
		r.arrived++
		r.arrivedByTenant[tenant]++
		r.arrivedByClass[key%2]++
		r.arrivedBySecond[int(at/1000)]++
		r.send(agent, at, overloadRequest{tenant: tenant, key: key, firstArrival: r.startedAt + at})
	}
}

// drawTenant draws the tenant of a request in proportion to the loads.
func (r *overloadRun) drawTenant() int {
	loads := r.scenario.tenantLoads
	total := 0.0
	for _, load := range loads {
		total += load
	}
	x := r.rng.Float64() * total
	tenant := 0
	for ; tenant < len(loads)-1 && x >= loads[tenant]; tenant++ {
		x -= loads[tenant]
	}
	return tenant
}

// drawKey draws the key of a request.
func (r *overloadRun) drawKey() uint64 {
	if r.scenario.keys == 0 {
		return 0
	}
	key := 1 + uint64(math.Pow(r.rng.Float64(), 2)*float64(r.scenario.keys))
	if r.rng.Float64() < r.scenario.hotKeyShare {
		return 1
	}
	return key
}

// send schedules the next attempt of a client.
func (r *overloadRun) send(agent int, delayMs float64, request overloadRequest) {
	r.ids[agent]++
	request.arrived = r.fleet.now + delayMs
	request.clientAttempts++
	request.attempts = 0
	request.ended = false
	r.requests[agent][r.ids[agent]] = &request
	r.fleet.schedule(delayMs, agent, Event{Kind: EventRequest, Request: r.ids[agent], Class: int(request.key % 2),
		Tenant: request.tenant, Key: request.key, RemainingMs: 4 * overloadObjectiveMs})
}

func (r *overloadRun) handleAction(agent int, a *Action) {
	request := r.requests[agent][a.Request]
	switch a.Kind {
	case ActionForward:
		r.forward(agent, a, request)
	case ActionReject, ActionFail:
		if request == nil || request.ended {
			return
		}
		request.ended = true
		r.result.slowestRejectionMs = max(r.result.slowestRejectionMs, r.fleet.now-request.arrived)
		running := r.fleet.now < r.startedAt+r.scenario.seconds*1000
		if request.clientAttempts <= r.scenario.clientRetries && running {
			r.send(agent, 1, *request)
		}
	}
}

// forward has a server answer or reject an attempt.
func (r *overloadRun) forward(agent int, a *Action, request *overloadRequest) {
	c, now := &r.scenario, r.fleet.now
	i := r.index[a.Server]
	s := &r.servers[i]
	r.attempts++
	ev := Event{Kind: EventAttemptEnded, Request: a.Request, Attempt: request.attempts, Server: a.Server}
	request.attempts++
	speed := 1.0
	if c.speed != nil {
		speed = c.speed(i, (now-r.startedAt)/1000/c.seconds)
	}
	if i < c.slowStarting {
		speed *= r.arriveInSlowStart(s)
	}
	inServer := s.update(now)
	if inServer >= c.slots+c.queue {
		r.attemptsRejected++
		ev.Status, ev.LatencyMs = Rejected, 2
		r.fleet.schedule(2, agent, ev)
		return
	}
	work := c.workMs * r.rng.ExpFloat64() / speed
	end := s.begin(now, work)
	if now > r.startedAt+1000 {
		r.result.busy += min(work, max(r.startedAt+c.seconds*1000-end+work, 0))
	}
	ev.Status, ev.LatencyMs, ev.Final = OK, end-now+2, true
	ev.Report = []float32{float32(s.utilization), float32(inServer + 1)}
	if c.report != nil {
		ev.Report = c.report(i, s.utilization, float64(inServer+1))
	}
	r.fleet.schedule(ev.LatencyMs, agent, ev)
	// The answer ends the request when it arrives.
	r.fleet.schedule(ev.LatencyMs, agent, Event{Kind: EventClientDisconnected, Request: a.Request})
	if now+ev.LatencyMs <= request.firstArrival+overloadObjectiveMs && !request.ended {
		r.countServed(request)
	}
	request.ended = true
}

// arriveInSlowStart records an attempt on a server that started with the run, and returns the server's
// capacity.
func (r *overloadRun) arriveInSlowStart(s *overloadServer) float64 {
	contract, now := &r.set.Contract, r.fleet.now
	age := now - r.startedAt
	s.slowStartArrivals = append(s.slowStartArrivals, now)
	capacity := min(contract.SlowStartMinCapacity+(1-contract.SlowStartMinCapacity)*age/contract.SlowStartMs, 1)
	sent := 0.0
	for j := len(s.slowStartArrivals) - 1; j >= 0 && s.slowStartArrivals[j] > now-1000; j-- {
		sent++
	}
	if age > 1000 && age < contract.SlowStartMs {
		perS := capacity * 1000 * float64(r.scenario.slots) / r.scenario.workMs
		r.result.slowStartOverload = max(r.result.slowStartOverload, sent/perS)
	}
	return capacity
}

// update removes the requests that have ended, updates the report twice a second, and returns the number of
// requests in the server.
func (s *overloadServer) update(now float64) int {
	in := 0
	for _, end := range s.ends {
		if end > now {
			s.ends[in] = end
			in++
		}
	}
	s.ends = s.ends[:in]
	if dt := now - s.reportedAt; dt > 500 {
		s.utilization = min(s.work/(dt*float64(len(s.free))), 1)
		s.work = 0
		s.reportedAt = now
	}
	return in
}

// begin assigns work to the slot that becomes free first, and returns when it ends.
func (s *overloadServer) begin(now, work float64) (end float64) {
	slot := 0
	for j := range s.free {
		if s.free[j] < s.free[slot] {
			slot = j
		}
	}
	end = max(now, s.free[slot]) + work
	s.free[slot] = end
	s.ends = append(s.ends, end)
	s.work += work
	return end
}

// countServed counts a request that was served within its objective.
func (r *overloadRun) countServed(request *overloadRequest) {
	r.result.served++
	r.result.tenants[request.tenant]++
	r.result.classes[request.key%2]++
	if second := int((request.firstArrival - r.startedAt) / 1000); second < len(r.result.second) {
		r.result.second[second]++
	}
}

// finish returns the result, with counts converted to fractions.
func (r *overloadRun) finish() overloadResult {
	result, c := r.result, &r.scenario
	result.served /= r.arrived
	for i := range result.tenants {
		result.tenants[i] /= max(r.arrivedByTenant[i], 1)
	}
	for i := range result.second {
		result.second[i] /= max(r.arrivedBySecond[i], 1)
	}
	result.rejected = r.attemptsRejected / max(r.attempts, 1)
	for i := range result.classes {
		result.classes[i] /= max(r.arrivedByClass[i], 1)
	}
	result.busy /= (c.seconds - 1) * 1000 * float64(c.servers*c.slots)
	result.attemptsPerRequest = r.attempts / r.arrived
	return result
}

func defaultOverload(seed uint64) overloadScenario {
	return overloadScenario{agents: 4, servers: 8, slots: 2, queue: 4, workMs: 40, load: 1.4, clientRetries: 2, seconds: 10, keys: 800, seed: seed}
}
