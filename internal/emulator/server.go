package emulator

import (
	"math"
	"math/rand/v2"

	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

// server is one order server: workers, a bounded queue before them, and a process that starts cold. It is a
// G/G/k queue with turning away, after Kleinrock, "Queueing Systems" I; the ramp and the fall are those of
// the protocol page.
type server struct {
	w     *World
	index int
	addr  policy.Addr
	zone  int
	// Of a graph: its service, its rack, and the modules of its agent, one a service that it calls.
	service, rack int
	calls         []*agent
	group         *ServerGroup
	rng           *rand.Rand
	acct          invariant.Server

	stopped, dark, draining bool
	life                    uint32 // counts its processes: what an older one held is lost
	started                 Time   // of this process
	cold                    bool   // it started during the run
	busy                    int
	queue                   []*attempt
	head                    int
	arrivals                [10]int // of the last second, by tenths
	tenth                   int64

	slow     float64 // times slower; 0: not
	slowPart float64 // of requests, slowTimes slower
	slowTime float64
	errPart  float64
	errClass int // -1: all
	turnPart float64
	memory   memory
	stalls   stalls
	work     Time // done for all, and for nobody
	lost     Time

	report        [3]float32
	reportAt      Time
	done, failed  int
	busyArea      float64 // of workers and ns, since reportAt
	areaAt        Time
	served, falls int
}

// ramp is the part of its speed that the process has now.
func (s *server) ramp() float64 {
	if !s.cold || s.group.ColdMs <= 0 {
		return 1
	}
	age := float64(s.w.now-s.started) / float64(Millisecond)
	if age >= s.group.ColdMs {
		s.cold = false
		return 1
	}
	return s.group.ColdFrom + (1-s.group.ColdFrom)*age/s.group.ColdMs
}

// capacity is what it can do when warm, requests a second.
func (s *server) capacity() float64 {
	if s.group.Service.MeanMs <= 0 {
		return 0
	}
	return float64(s.group.Workers) * 1000 / (s.group.Service.MeanMs + s.group.holdMs)
}

// arrive takes an attempt's last byte.
func (s *server) arrive(a *attempt) {
	if s.dark {
		return
	}
	if s.stopped || a.life != s.life {
		s.reply(a, policy.Reset)
		return
	}
	s.w.book.RequestReceived(&s.acct, s.w.time())
	if s.pushedOver() {
		return
	}
	if s.turnPart > 0 && s.rng.Float64() < s.turnPart {
		s.reply(a, policy.Rejected)
		return
	}
	switch {
	case s.busy < s.group.Workers:
		s.start(a)
	case len(s.queue)-s.head < s.group.Queue:
		s.queue = append(s.queue, a)
	default:
		s.reply(a, policy.Rejected)
	}
}

// pushedOver notes an arrival, and tells whether it was one too many for a cold process.
func (s *server) pushedOver() bool {
	tenth := s.w.now / (Second / 10)
	for ; s.tenth < tenth; s.tenth++ {
		if tenth-s.tenth > int64(len(s.arrivals)) {
			s.tenth = tenth - int64(len(s.arrivals))
		}
		s.arrivals[(s.tenth+1)%int64(len(s.arrivals))] = 0
	}
	s.arrivals[tenth%int64(len(s.arrivals))]++
	k := s.ramp()
	if s.group.FallMultiple <= 0 || k >= 1 {
		return false
	}
	n := 0
	for _, x := range s.arrivals {
		n += x
	}
	if float64(n) <= 4+s.group.FallMultiple*k*s.capacity() {
		return false
	}
	s.falls++
	s.restart()
	return true
}

// begin is the start of a process; what the last one held is lost.
func (s *server) begin() {
	s.life++
	s.busy, s.queue, s.head = 0, nil, 0
	s.arrivals = [10]int{}
}

// restart starts the process anew at once, cold, and has the roster tell it.
func (s *server) restart() {
	s.begin()
	s.stopped, s.dark, s.cold, s.started = false, false, true, s.w.now
	s.w.book.Started(&s.acct, s.w.time(), s.capacity())
	s.w.tell(s)
}

// start runs an attempt.
func (s *server) start(a *attempt) {
	s.area()
	s.busy++
	t := s.group.Service.draw(s.rng) * s.w.sc.Classes[a.r.op.class].Work / s.ramp()
	if a.r.op.runs && a.r.op.effect == invariant.IdempotentByKey {
		t /= 10 // a repeat is found among the keys, and answered as it was
	}
	if s.slow > 0 {
		t *= s.slow
	}
	if s.slowPart > 0 && s.rng.Float64() < s.slowPart {
		t *= s.slowTime
	}
	t *= s.memory.met(&s.group.Warm, s.group.Workers, s.w.now, a.r.op.key)
	a.work = ns(t)
	s.w.after(s.stalls.after(s.w.now, a.work), a, attemptDone)
}

// finish ends a server's own work on an attempt; what it has to ask of other services keeps the worker.
func (s *server) finish(a *attempt) {
	if a.life != s.life {
		return
	}
	if len(s.calls) > 0 && !(a.r.op.whole && a.r.op.effect == invariant.IdempotentByKey) {
		(&hold{s: s, a: a}).next()
		return
	}
	s.answer(a, false)
}

// answer ends an attempt that ran, and begins the next. broken: a call that it needed has failed.
func (s *server) answer(a *attempt, broken bool) {
	s.area()
	s.busy--
	s.done++
	s.served++
	if s.work += a.work; a.r.answered || s.w.now > a.r.op.began+ns(s.w.sc.Classes[a.r.op.class].AimMs) {
		s.lost += a.work
	}
	a.r.op.runs = true
	a.r.op.whole = a.r.op.whole || !broken
	s.w.book.Executed(&s.acct, &a.r.op.Operation, s.w.time())
	status := policy.OK
	switch {
	case broken:
		status = policy.Error
		s.failed++
	case s.errPart > 0 && (s.errClass < 0 || s.errClass == a.r.op.class) && s.rng.Float64() < s.errPart:
		status = policy.Error
		s.failed++
	case s.w.sc.Net.Resets > 0 && s.rng.Float64() < s.w.sc.Net.Resets:
		status = policy.Reset
	}
	if !s.dark {
		s.reply(a, status)
	}
	if waiting := len(s.queue) - s.head; waiting > 0 && s.busy < s.group.Workers {
		var next *attempt
		if s.group.LIFO && waiting > s.group.Queue/2 {
			last := len(s.queue) - 1
			next, s.queue = s.queue[last], s.queue[:last]
		} else {
			next = s.queue[s.head]
			s.queue[s.head] = nil
			if s.head++; s.head > 64 && s.head > len(s.queue)/2 {
				s.queue = append(s.queue[:0], s.queue[s.head:]...)
				s.head = 0
			}
		}
		s.start(next)
	}
}

func (s *server) area() {
	s.busyArea += float64(s.busy) * float64(s.w.now-s.areaAt)
	s.areaAt = s.w.now
}

// reply sends an answer back; what it reports of load is up to a tenth of a second old.
func (s *server) reply(a *attempt, status policy.Status) {
	if since := s.w.now - s.reportAt; since >= s.reportEvery() {
		s.area()
		sec := float64(since) / float64(Second)
		s.report = [3]float32{float32(float64(s.done) / sec), float32(s.busyArea / float64(since) / float64(s.group.Workers)), float32(float64(s.failed) / sec)}
		s.reportAt, s.done, s.failed, s.busyArea = s.w.now, 0, 0, 0
	}
	a.status, a.report = status, s.report
	switch s.group.Report {
	case "none":
		a.silent = true
	case "some":
		a.silent = s.index%2 == 0
	case "idle":
		a.report[1] = 0
	case "busy":
		a.report[1] = 1
	case "nan":
		a.report[1] = float32(math.NaN())
	}
	if d, ok := s.w.delay(s.zone, a.r.agent.zone, true); ok {
		s.w.after(d, a, attemptAnswered)
	}
}

// reportEvery is the time between two reports.
func (s *server) reportEvery() Time {
	switch {
	case s.group.Report == "late":
		return 1400 * Millisecond
	case s.group.Report == "frozen" && s.w.now > Second:
		return math.MaxInt64
	}
	return Second / 10
}
