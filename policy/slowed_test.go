package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// yard is agents before servers that slow down while they are crowded, in virtual time (ms): each shares its cores among
// what it holds, works on for who has left, and once it has held too much for too long is slower until it has been nearly
// empty for a time. Some agents see many times what others do, and requests have no key.
type yard struct {
	*fleet
	rng     *rand.Rand
	set     Settings
	servers []*slowed
	at      map[Addr]*slowed
	tries   []map[RequestID]yardTry
	quiet   []quiet
	asked   int
	inTime  int
}

// yardTry is one of a client's up to three tries.
type yardTry struct {
	class, nth      int
	first, deadline float64
}

// quiet is what an agent turned away since its last attempt, and the longest time in which it turned away 15 and more.
type quiet struct {
	since   float64
	refused int
	longest float64
}

func (q *quiet) look(now float64) {
	if q.refused >= 15 {
		q.longest = max(q.longest, now-q.since)
	}
}

type slowed struct {
	addr   Addr
	speed  float64
	jobs   []*job
	open   map[int]int // idle connections of each agent
	overAt float64     // when it last held little enough, or was last crowded for too long
	fullAt float64     // when it last held more than what it rests with
	slowAt float64     // when it became slow; 0: it is not
	conns  int
}

type job struct {
	agent, attempt int
	id             RequestID
	work, io       float64 // left
	sentAt, until  float64
	gone           bool
}

const ( // of a server: what a tick and a request take, when it slows down, when it rests, and for how long at the most
	yardTick, yardCores, yardConns       = 5.0, 4, 76
	yardWork, yardIO, yardHandshake      = 144.0, 170.0, 48.0
	yardCrowd, yardRest, yardSlower      = 16.0, 5.0, 3.1
	yardCrowdMs, yardRestMs, yardLongest = 2000.0, 4000.0, 25_000.0
)

func newYard(t *testing.T, seed uint64, agents, servers int) *yard {
	t.Helper()
	y := &yard{rng: rand.New(rand.NewPCG(seed, 7)), at: map[Addr]*slowed{}, set: testSettings()}
	y.set.Classes = []Class{{Name: "free", LatencyObjectiveMs: 2400, ClientTimeoutMs: 12_000, Effect: Idempotent, PriorityWeight: 5},
		{Name: "once", LatencyObjectiveMs: 2000, ClientTimeoutMs: 8000, Effect: NonIdempotent, PriorityWeight: 2}}
	y.set.Limits.MaxAttempts, y.set.Limits.MaxRetryAfterMs = 6, 2000
	y.set.Clients.MarksRetry = false
	y.set.Objective = Objective{Total: 0.8, WorstWindow: 0.1, WorstClass: 0.1}
	y.fleet = newFleet(t, y.set, agents)
	y.did, y.now = y.does, 1e6
	var entries []Endpoint
	for i := range servers {
		s := &slowed{addr: addr(i), speed: []float64{1.3, 0.97, 0.7}[i%3], open: map[int]int{}, overAt: y.now, fullAt: y.now}
		y.servers, y.at[s.addr] = append(y.servers, s), s
		entries = append(entries, Endpoint{Server: s.addr, Health: Ready, Weight: 1})
	}
	for i := range y.agents {
		y.tries, y.quiet = append(y.tries, map[RequestID]yardTry{}), append(y.quiet, quiet{since: y.now})
		y.start(i, entries)
	}
	return y
}

func (y *yard) ask(agent int, try yardTry, after float64) {
	y.made++
	y.tries[agent][RequestID(y.made)] = try
	y.later(after, agent, Event{Kind: EventRequest, Request: RequestID(y.made), Class: try.class, RemainingMs: try.deadline - y.now - after})
}

func (y *yard) does(agent int, a *Action) {
	q := &y.quiet[agent]
	switch a.Kind {
	case ActionReject, ActionFail:
		q.refused++
		q.look(y.now)
		try := y.tries[agent][a.Request]
		delete(y.tries[agent], a.Request)
		wait := 50 + 100*y.rng.Float64()*math.Pow(2, float64(try.nth))
		if try.nth++; try.nth < 3 && y.rng.Float64() < 0.6 && y.now+wait < try.deadline {
			y.ask(agent, try, wait)
		}
	case ActionForward:
		q.look(y.now)
		q.since, q.refused = y.now, 0
		s, r := y.at[a.Server], y.agents[agent].requests[a.Request]
		j := &job{agent: agent, attempt: len(r.attempts) - 1, id: a.Request, io: yardIO, sentAt: y.now, until: y.now + a.DurationMs,
			work: yardWork * math.Exp(0.9*y.rng.NormFloat64()-0.4)}
		if s.open[agent] > 0 {
			s.open[agent]--
		} else if j.work += yardHandshake; s.conns >= yardConns {
			y.over(s, j, ConnectFailed)
			return
		} else {
			s.conns++
		}
		s.jobs = append(s.jobs, j)
	}
}

// over ends an attempt.
func (y *yard) over(s *slowed, j *job, status Status) {
	y.later(0, j.agent, Event{Kind: EventAttemptEnded, Request: j.id, Attempt: j.attempt, Server: s.addr, Status: status,
		LatencyMs: y.now - j.sentAt, Final: status == OK})
	if try := y.tries[j.agent][j.id]; status == OK {
		delete(y.tries[j.agent], j.id)
		if s.open[j.agent]++; y.now <= try.first+y.set.Classes[try.class].LatencyObjectiveMs {
			y.inTime++
		}
	}
}

// work lets a server work for a tick.
func (y *yard) work(s *slowed) {
	busy, held := 0, float64(len(s.jobs))
	for _, j := range s.jobs {
		if j.work > 0 {
			busy++
		}
	}
	part := yardTick * s.speed * min(1, yardCores/float64(max(busy, 1)))
	if s.slowAt > 0 {
		part /= yardSlower
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool {
		if !j.gone && y.now >= j.until {
			j.gone = true
			s.conns--
			y.over(s, j, Timeout)
		}
		if j.work > 0 {
			j.work -= part
			return false
		}
		if j.io -= yardTick; j.io <= 0 && !j.gone {
			y.over(s, j, OK)
		}
		return j.io <= 0
	})
	if held < yardCrowd {
		s.overAt = y.now
	}
	if held > yardRest {
		s.fullAt = y.now
	}
	switch {
	case s.slowAt == 0 && y.now-s.overAt > yardCrowdMs:
		s.slowAt = y.now
	case s.slowAt > 0 && (y.now-s.fullAt > yardRestMs || y.now-s.slowAt > yardLongest):
		s.slowAt, s.overAt = 0, y.now
	}
}

// load has requests come for a time, at part of what all servers can do.
func (y *yard) load(ms, part float64) {
	perMs, all := 0.0, 0.0
	for _, s := range y.servers {
		perMs += yardCores * s.speed / yardWork
	}
	weights, spread := make([]float64, len(y.agents)), rand.New(rand.NewPCG(5, 5))
	for i := range weights {
		weights[i] = math.Exp(spread.NormFloat64())
		all += weights[i]
	}
	for end := y.now + ms; y.now < end; {
		for i := range y.agents {
			rate := perMs * part * weights[i] / all
			for at := y.rng.ExpFloat64() / rate; at < yardTick; at += y.rng.ExpFloat64() / rate {
				y.asked++
				class := 0
				if y.rng.IntN(5) == 0 {
					class = 1
				}
				y.ask(i, yardTry{class: class, first: y.now + at, deadline: y.now + at + y.set.Classes[class].ClientTimeoutMs}, at)
			}
		}
		y.until(y.now + yardTick)
		for _, s := range y.servers {
			y.work(s)
		}
	}
}

// In a burst that slows servers down, and after it, at most one agent in ten turns away all that it gets, 15 and more, for
// 4 s on end with no attempt in between (Bergen calm+mass: 198 of 294).
func TestFewAgentsShutThemselvesInACrowd(t *testing.T) {
	t.Parallel() // virtual time alone
	for seed := range uint64(2) {
		y := newYard(t, seed, 30, 17)
		y.load(4000, 0.7)
		y.load(9000, 2)
		slow := 0
		for _, s := range y.servers {
			if s.slowAt > 0 {
				slow++
			}
		}
		y.load(8000, 0.7)
		shut := 0
		for i := range y.quiet {
			if y.quiet[i].look(y.now); y.quiet[i].longest >= 4000 {
				shut++
			}
		}
		t.Logf("seed %d: %d of %d servers slowed down; %.3f served; %d of %d agents shut", seed, slow, len(y.servers), float64(y.inTime)/float64(y.asked), shut, len(y.agents))
		if slow < len(y.servers)/4 {
			t.Errorf("seed %d: %d of %d servers slowed down: no crowd", seed, slow, len(y.servers))
		}
		if 10*shut > len(y.agents) {
			t.Errorf("seed %d: %d of %d agents shut for 4 s", seed, shut, len(y.agents))
		}
	}
}
