package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// slowdownSimulation simulates agents and servers that slow down under overload, in virtual time (ms). Each
// server shares its cores among its jobs and continues to work for clients that have disconnected. Once it
// has had too many jobs for too long it is slower, until it has been nearly empty for some time. Some agents
// have many times the traffic of others, and requests have no key.
type slowdownSimulation struct {
	*fleet
	rng       *rand.Rand
	set       Settings
	servers   []*slowingServer
	at        map[Addr]*slowingServer
	attempts  []map[RequestID]clientAttempt
	rejecting []rejectionPeriod
	requests  int
	inTime    int
}

// clientAttempt is one of a client's up to three attempts.
type clientAttempt struct {
	class, nth      int
	first, deadline float64
}

// rejectionPeriod counts the requests that an agent rejected since it last sent an attempt, and holds the
// longest time without an attempt in which it rejected at least 15.
type rejectionPeriod struct {
	since     float64
	rejected  int
	longestMs float64
}

func (period *rejectionPeriod) update(now float64) {
	if period.rejected >= 15 {
		period.longestMs = max(period.longestMs, now-period.since)
	}
}

type slowingServer struct {
	addr            Addr
	speed           float64
	jobs            []*slowingJob
	idleConnections map[int]int // by agent
	notOverloadedAt float64     // when it last had fewer than slowOverloadJobs, or last recovered
	loadedAt        float64     // when it last had more than slowRecoveryJobs
	slowSince       float64     // 0: not slow
	connections     int
}

type slowingJob struct {
	agent, attempt int
	id             RequestID
	work, io       float64 // remaining time
	sentAt, until  float64
	abandoned      bool
}

// Parameters of a slowingServer.
const (
	slowTickMs         = 5.0
	slowCores          = 4
	slowMaxConnections = 76
	slowWorkMs         = 144.0 // mean work of a request
	slowIOMs           = 170.0 // time of a request besides its work
	slowHandshakeMs    = 48.0  // work of a handshake
	slowOverloadJobs   = 16.0  // with at least this many for slowOverloadMs it slows down
	slowOverloadMs     = 2000.0
	slowFactor         = 3.1 // slowdown
	slowRecoveryJobs   = 5.0 // with at most this many for slowRecoveryMs it recovers
	slowRecoveryMs     = 4000.0
	slowMaxMs          = 25_000.0 // it recovers after this time in any case
)

func newSlowdownSimulation(t *testing.T, seed uint64, agents, servers int) *slowdownSimulation {
	t.Helper()
	sim := &slowdownSimulation{rng: rand.New(rand.NewPCG(seed, 7)), at: map[Addr]*slowingServer{}, set: testSettings()}
	sim.set.Classes = []Class{{Name: "free", LatencyObjectiveMs: 2400, ClientTimeoutMs: 12_000, Effect: Idempotent, PriorityWeight: 5},
		{Name: "once", LatencyObjectiveMs: 2000, ClientTimeoutMs: 8000, Effect: NonIdempotent, PriorityWeight: 2}}
	sim.set.Limits.MaxAttempts, sim.set.Limits.MaxRetryAfterMs = 6, 2000
	sim.set.Clients.MarksRetry = false
	sim.set.Objective = Objective{Total: 0.8, WorstWindow: 0.1, WorstClass: 0.1}
	sim.fleet = newFleet(t, sim.set, agents)
	sim.onAction, sim.now = sim.handleAction, 1e6
	var entries []Endpoint
	for i := range servers {
		s := &slowingServer{addr: addr(i), speed: []float64{1.3, 0.97, 0.7}[i%3], idleConnections: map[int]int{}, notOverloadedAt: sim.now, loadedAt: sim.now}
		sim.servers, sim.at[s.addr] = append(sim.servers, s), s
		entries = append(entries, Endpoint{Server: s.addr, Health: Ready, Weight: 1})
	}
	for i := range sim.agents {
		sim.attempts, sim.rejecting = append(sim.attempts, map[RequestID]clientAttempt{}), append(sim.rejecting, rejectionPeriod{since: sim.now})
		sim.start(i, entries)
	}
	return sim
}

func (sim *slowdownSimulation) send(agent int, client clientAttempt, after float64) {
	sim.sequence++
	sim.attempts[agent][RequestID(sim.sequence)] = client
	sim.schedule(after, agent, Event{Kind: EventRequest, Request: RequestID(sim.sequence), Class: client.class, RemainingMs: client.deadline - sim.now - after})
}

func (sim *slowdownSimulation) handleAction(agent int, a *Action) {
	period := &sim.rejecting[agent]
	switch a.Kind {
	case ActionReject, ActionFail:
		period.rejected++
		period.update(sim.now)
		client := sim.attempts[agent][a.Request]
		delete(sim.attempts[agent], a.Request)
		wait := 50 + 100*sim.rng.Float64()*math.Pow(2, float64(client.nth))
		if client.nth++; client.nth < 3 && sim.rng.Float64() < 0.6 && sim.now+wait < client.deadline {
			sim.send(agent, client, wait)
		}
	case ActionForward:
		period.update(sim.now)
		period.since, period.rejected = sim.now, 0
		s, r := sim.at[a.Server], sim.agents[agent].requests[a.Request]
		j := &slowingJob{agent: agent, attempt: len(r.attempts) - 1, id: a.Request, io: slowIOMs, sentAt: sim.now, until: sim.now + a.DurationMs,
			work: slowWorkMs * math.Exp(0.9*sim.rng.NormFloat64()-0.4)}
		if s.idleConnections[agent] > 0 {
			s.idleConnections[agent]--
		} else if j.work += slowHandshakeMs; s.connections >= slowMaxConnections {
			sim.endAttempt(s, j, ConnectFailed)
			return
		} else {
			s.connections++
		}
		s.jobs = append(s.jobs, j)
	}
}

// endAttempt ends an attempt with the given status.
func (sim *slowdownSimulation) endAttempt(s *slowingServer, j *slowingJob, status Status) {
	sim.schedule(0, j.agent, Event{Kind: EventAttemptEnded, Request: j.id, Attempt: j.attempt, Server: s.addr, Status: status,
		LatencyMs: sim.now - j.sentAt, Final: status == OK})
	if client := sim.attempts[j.agent][j.id]; status == OK {
		delete(sim.attempts[j.agent], j.id)
		if s.idleConnections[j.agent]++; sim.now <= client.first+sim.set.Classes[client.class].LatencyObjectiveMs {
			sim.inTime++
		}
	}
}

// work advances a server by one tick.
func (sim *slowdownSimulation) work(s *slowingServer) {
	busy, jobCount := 0, float64(len(s.jobs))
	for _, j := range s.jobs {
		if j.work > 0 {
			busy++
		}
	}
	share := slowTickMs * s.speed * min(1, slowCores/float64(max(busy, 1)))
	if s.slowSince > 0 {
		share /= slowFactor
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j *slowingJob) bool {
		if !j.abandoned && sim.now >= j.until {
			j.abandoned = true
			s.connections--
			sim.endAttempt(s, j, Timeout)
		}
		if j.work > 0 {
			j.work -= share
			return false
		}
		if j.io -= slowTickMs; j.io <= 0 && !j.abandoned {
			sim.endAttempt(s, j, OK)
		}
		return j.io <= 0
	})
	if jobCount < slowOverloadJobs {
		s.notOverloadedAt = sim.now
	}
	if jobCount > slowRecoveryJobs {
		s.loadedAt = sim.now
	}
	switch {
	case s.slowSince == 0 && sim.now-s.notOverloadedAt > slowOverloadMs:
		s.slowSince = sim.now
	case s.slowSince > 0 && (sim.now-s.loadedAt > slowRecoveryMs || sim.now-s.slowSince > slowMaxMs):
		s.slowSince, s.notOverloadedAt = 0, sim.now
	}
}

// load simulates requests for a time, at a load given as a fraction of the capacity of all servers.
func (sim *slowdownSimulation) load(ms, share float64) {
	perMs, all := 0.0, 0.0
	for _, s := range sim.servers {
		perMs += slowCores * s.speed / slowWorkMs
	}
	weights, spread := make([]float64, len(sim.agents)), rand.New(rand.NewPCG(5, 5))
	for i := range weights {
		weights[i] = math.Exp(spread.NormFloat64())
		all += weights[i]
	}
	for end := sim.now + ms; sim.now < end; {
		for i := range sim.agents {
			rate := perMs * share * weights[i] / all
			for at := sim.rng.ExpFloat64() / rate; at < slowTickMs; at += sim.rng.ExpFloat64() / rate {
				sim.requests++
				class := 0
				if sim.rng.IntN(5) == 0 {
					class = 1
				}
				sim.send(i, clientAttempt{class: class, first: sim.now + at, deadline: sim.now + at + sim.set.Classes[class].ClientTimeoutMs}, at)
			}
		}
		sim.runUntil(sim.now + slowTickMs)
		for _, s := range sim.servers {
			sim.work(s)
		}
	}
}

// During and after a burst that slows servers down, at most one agent in ten rejects all of its requests, at
// least 15, for 4 s without sending an attempt.
func TestFewAgentsRejectEverythingUnderOverload(t *testing.T) {
	t.Parallel() // virtual time alone
	for seed := range uint64(2) {
		sim := newSlowdownSimulation(t, seed, 30, 17)
		sim.load(4000, 0.7)
		sim.load(9000, 2)
		slow := 0
		for _, s := range sim.servers {
			if s.slowSince > 0 {
				slow++
			}
		}
		sim.load(8000, 0.7)
		rejecting := 0
		for i := range sim.rejecting {
			if sim.rejecting[i].update(sim.now); sim.rejecting[i].longestMs >= 4000 {
				rejecting++
			}
		}
		t.Logf("seed %d: %d of %d servers slowed down; %.3f served; %d of %d agents rejected everything",
			seed, slow, len(sim.servers), float64(sim.inTime)/float64(sim.requests), rejecting, len(sim.agents))
		if slow < len(sim.servers)/4 {
			t.Errorf("seed %d: %d of %d servers slowed down: no overload", seed, slow, len(sim.servers))
		}
		if 10*rejecting > len(sim.agents) {
			t.Errorf("seed %d: %d of %d agents rejected everything for 4 s", seed, rejecting, len(sim.agents))
		}
	}
}
