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
	rejecting []rejectionSpell
	requests  int
	inTime    int
}

// clientAttempt is one of a client's up to three attempts.
type clientAttempt struct {
	class, nth      int
	first, deadline float64
}

// rejectionSpell counts the requests that an agent rejected since it last sent an attempt, and holds the
// longest time without an attempt in which it rejected at least 15.
type rejectionSpell struct {
	since     float64
	rejected  int
	longestMs float64
}

func (q *rejectionSpell) update(now float64) {
	if q.rejected >= 15 {
		q.longestMs = max(q.longestMs, now-q.since)
	}
}

type slowingServer struct {
	addr            Addr
	speed           float64
	jobs            []*slowingJob
	idleConnections map[int]int // by agent
	calmAt          float64     // when it last had fewer than slowOverloadJobs, or last recovered
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
	y := &slowdownSimulation{rng: rand.New(rand.NewPCG(seed, 7)), at: map[Addr]*slowingServer{}, set: testSettings()}
	y.set.Classes = []Class{{Name: "free", LatencyObjectiveMs: 2400, ClientTimeoutMs: 12_000, Effect: Idempotent, PriorityWeight: 5},
		{Name: "once", LatencyObjectiveMs: 2000, ClientTimeoutMs: 8000, Effect: NonIdempotent, PriorityWeight: 2}}
	y.set.Limits.MaxAttempts, y.set.Limits.MaxRetryAfterMs = 6, 2000
	y.set.Clients.MarksRetry = false
	y.set.Objective = Objective{Total: 0.8, WorstWindow: 0.1, WorstClass: 0.1}
	y.fleet = newFleet(t, y.set, agents)
	y.onAction, y.now = y.handleAction, 1e6
	var entries []Endpoint
	for i := range servers {
		s := &slowingServer{addr: addr(i), speed: []float64{1.3, 0.97, 0.7}[i%3], idleConnections: map[int]int{}, calmAt: y.now, loadedAt: y.now}
		y.servers, y.at[s.addr] = append(y.servers, s), s
		entries = append(entries, Endpoint{Server: s.addr, Health: Ready, Weight: 1})
	}
	for i := range y.agents {
		y.attempts, y.rejecting = append(y.attempts, map[RequestID]clientAttempt{}), append(y.rejecting, rejectionSpell{since: y.now})
		y.start(i, entries)
	}
	return y
}

func (y *slowdownSimulation) send(agent int, try clientAttempt, after float64) {
	y.sequence++
	y.attempts[agent][RequestID(y.sequence)] = try
	y.schedule(after, agent, Event{Kind: EventRequest, Request: RequestID(y.sequence), Class: try.class, RemainingMs: try.deadline - y.now - after})
}

func (y *slowdownSimulation) handleAction(agent int, a *Action) {
	q := &y.rejecting[agent]
	switch a.Kind {
	case ActionReject, ActionFail:
		q.rejected++
		q.update(y.now)
		try := y.attempts[agent][a.Request]
		delete(y.attempts[agent], a.Request)
		wait := 50 + 100*y.rng.Float64()*math.Pow(2, float64(try.nth))
		if try.nth++; try.nth < 3 && y.rng.Float64() < 0.6 && y.now+wait < try.deadline {
			y.send(agent, try, wait)
		}
	case ActionForward:
		q.update(y.now)
		q.since, q.rejected = y.now, 0
		s, r := y.at[a.Server], y.agents[agent].requests[a.Request]
		j := &slowingJob{agent: agent, attempt: len(r.attempts) - 1, id: a.Request, io: slowIOMs, sentAt: y.now, until: y.now + a.DurationMs,
			work: slowWorkMs * math.Exp(0.9*y.rng.NormFloat64()-0.4)}
		if s.idleConnections[agent] > 0 {
			s.idleConnections[agent]--
		} else if j.work += slowHandshakeMs; s.connections >= slowMaxConnections {
			y.endAttempt(s, j, ConnectFailed)
			return
		} else {
			s.connections++
		}
		s.jobs = append(s.jobs, j)
	}
}

// endAttempt ends an attempt with the given status.
func (y *slowdownSimulation) endAttempt(s *slowingServer, j *slowingJob, status Status) {
	y.schedule(0, j.agent, Event{Kind: EventAttemptEnded, Request: j.id, Attempt: j.attempt, Server: s.addr, Status: status,
		LatencyMs: y.now - j.sentAt, Final: status == OK})
	if try := y.attempts[j.agent][j.id]; status == OK {
		delete(y.attempts[j.agent], j.id)
		if s.idleConnections[j.agent]++; y.now <= try.first+y.set.Classes[try.class].LatencyObjectiveMs {
			y.inTime++
		}
	}
}

// work advances a server by one tick.
func (y *slowdownSimulation) work(s *slowingServer) {
	busy, held := 0, float64(len(s.jobs))
	for _, j := range s.jobs {
		if j.work > 0 {
			busy++
		}
	}
	part := slowTickMs * s.speed * min(1, slowCores/float64(max(busy, 1)))
	if s.slowSince > 0 {
		part /= slowFactor
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j *slowingJob) bool {
		if !j.abandoned && y.now >= j.until {
			j.abandoned = true
			s.connections--
			y.endAttempt(s, j, Timeout)
		}
		if j.work > 0 {
			j.work -= part
			return false
		}
		if j.io -= slowTickMs; j.io <= 0 && !j.abandoned {
			y.endAttempt(s, j, OK)
		}
		return j.io <= 0
	})
	if held < slowOverloadJobs {
		s.calmAt = y.now
	}
	if held > slowRecoveryJobs {
		s.loadedAt = y.now
	}
	switch {
	case s.slowSince == 0 && y.now-s.calmAt > slowOverloadMs:
		s.slowSince = y.now
	case s.slowSince > 0 && (y.now-s.loadedAt > slowRecoveryMs || y.now-s.slowSince > slowMaxMs):
		s.slowSince, s.calmAt = 0, y.now
	}
}

// load simulates requests for a time, at a load given as a fraction of the capacity of all servers.
func (y *slowdownSimulation) load(ms, part float64) {
	perMs, all := 0.0, 0.0
	for _, s := range y.servers {
		perMs += slowCores * s.speed / slowWorkMs
	}
	weights, spread := make([]float64, len(y.agents)), rand.New(rand.NewPCG(5, 5))
	for i := range weights {
		weights[i] = math.Exp(spread.NormFloat64())
		all += weights[i]
	}
	for end := y.now + ms; y.now < end; {
		for i := range y.agents {
			rate := perMs * part * weights[i] / all
			for at := y.rng.ExpFloat64() / rate; at < slowTickMs; at += y.rng.ExpFloat64() / rate {
				y.requests++
				class := 0
				if y.rng.IntN(5) == 0 {
					class = 1
				}
				y.send(i, clientAttempt{class: class, first: y.now + at, deadline: y.now + at + y.set.Classes[class].ClientTimeoutMs}, at)
			}
		}
		y.runUntil(y.now + slowTickMs)
		for _, s := range y.servers {
			y.work(s)
		}
	}
}

// During and after a burst that slows servers down, at most one agent in ten rejects all of its requests, at
// least 15, for 4 s without sending an attempt.
func TestFewAgentsRejectEverythingUnderOverload(t *testing.T) {
	t.Parallel() // virtual time alone
	for seed := range uint64(2) {
		y := newSlowdownSimulation(t, seed, 30, 17)
		y.load(4000, 0.7)
		y.load(9000, 2)
		slow := 0
		for _, s := range y.servers {
			if s.slowSince > 0 {
				slow++
			}
		}
		y.load(8000, 0.7)
		rejecting := 0
		for i := range y.rejecting {
			if y.rejecting[i].update(y.now); y.rejecting[i].longestMs >= 4000 {
				rejecting++
			}
		}
		t.Logf("seed %d: %d of %d servers slowed down; %.3f served; %d of %d agents rejected everything",
			seed, slow, len(y.servers), float64(y.inTime)/float64(y.requests), rejecting, len(y.agents))
		if slow < len(y.servers)/4 {
			t.Errorf("seed %d: %d of %d servers slowed down: no overload", seed, slow, len(y.servers))
		}
		if 10*rejecting > len(y.agents) {
			t.Errorf("seed %d: %d of %d agents rejected everything for 4 s", seed, rejecting, len(y.agents))
		}
	}
}
