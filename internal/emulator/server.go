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
	world *World
	index int
	addr  policy.Addr
	zone  int
	// Of a graph: its service, its rack, and the modules of its agent, one a service that it calls.
	service, rack int
	downstream    []*agent
	group         *ServerGroup
	rng           *rand.Rand
	record        invariant.Server

	stopped, unresponsive, draining bool
	incarnation                     uint32 // counts its processes: what an older one held is lost
	started                         Time   // of this process
	slowStarting                    bool   // it started during the run
	busy                            int
	queue                           []*attempt
	head                            int
	arrivals                        [10]int // of the last second, by tenths
	arrivalSlot                     int64

	slowFactor         float64 // times slower; 0: not
	slowFraction       float64 // of requests, slowTimes slower
	slowFractionFactor float64
	errorFraction      float64
	errorClass         int // -1: all
	rejectFraction     float64
	recentKeys         recentKeys
	stalls             stalls
	work               Time // done for all, and for nobody
	wastedWork         Time

	report                                 [3]float32
	reportAt                               Time
	answeredSinceReport, failedSinceReport int
	busyIntegral                           float64 // of workers and ns, since reportAt
	busyIntegralAt                         Time
	served, overloads                      int
}

// speed is the part of its speed that the process has now.
func (s *server) speed() float64 {
	if !s.slowStarting || s.group.SlowStartMs <= 0 {
		return 1
	}
	age := float64(s.world.now-s.started) / float64(Millisecond)
	if age >= s.group.SlowStartMs {
		s.slowStarting = false
		return 1
	}
	return s.group.SlowStartMinCapacity + (1-s.group.SlowStartMinCapacity)*age/s.group.SlowStartMs
}

// capacity is what it can do when warm, requests a second.
func (s *server) capacity() float64 {
	if s.group.Service.MeanMs <= 0 {
		return 0
	}
	return float64(s.group.Workers) * 1000 / (s.group.Service.MeanMs + s.group.nestedCallsMs)
}

// arrive takes an attempt's last byte.
func (s *server) arrive(a *attempt) {
	if s.unresponsive {
		return
	}
	if s.stopped || a.incarnation != s.incarnation {
		s.reply(a, policy.Reset)
		return
	}
	s.world.checker.RequestReceived(&s.record, s.world.time())
	if s.overloadedBy() {
		return
	}
	if s.rejectFraction > 0 && s.rng.Float64() < s.rejectFraction {
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

// overloadedBy notes an arrival, and tells whether it was one too many for a cold process.
func (s *server) overloadedBy() bool {
	tenth := s.world.now / (Second / 10)
	for ; s.arrivalSlot < tenth; s.arrivalSlot++ {
		if tenth-s.arrivalSlot > int64(len(s.arrivals)) {
			s.arrivalSlot = tenth - int64(len(s.arrivals))
		}
		s.arrivals[(s.arrivalSlot+1)%int64(len(s.arrivals))] = 0
	}
	s.arrivals[tenth%int64(len(s.arrivals))]++
	k := s.speed()
	if s.group.OverloadFactor <= 0 || k >= 1 {
		return false
	}
	n := 0
	for _, x := range s.arrivals {
		n += x
	}
	if float64(n) <= 4+s.group.OverloadFactor*k*s.capacity() {
		return false
	}
	s.overloads++
	s.restart()
	return true
}

// startProcess is the start of a process; what the last one held is lost.
func (s *server) startProcess() {
	s.incarnation++
	s.busy, s.queue, s.head = 0, nil, 0
	s.arrivals = [10]int{}
}

// restart starts the process anew at once, cold, and has the roster tell it.
func (s *server) restart() {
	s.startProcess()
	s.stopped, s.unresponsive, s.slowStarting, s.started = false, false, true, s.world.now
	s.world.checker.Started(&s.record, s.world.time(), s.capacity())
	s.world.notify(s)
}

// start runs an attempt.
func (s *server) start(a *attempt) {
	s.integrateBusy()
	s.busy++
	t := s.group.Service.draw(s.rng) * s.world.scenario.Classes[a.request.operation.class].Work / s.speed()
	if a.request.operation.executed && a.request.operation.effect == invariant.IdempotentByKey {
		t /= 10 // a repeat is found among the keys, and answered as it was
	}
	if s.slowFactor > 0 {
		t *= s.slowFactor
	}
	if s.slowFraction > 0 && s.rng.Float64() < s.slowFraction {
		t *= s.slowFractionFactor
	}
	t *= s.recentKeys.observe(&s.group.KeyCache, s.group.Workers, s.world.now, a.request.operation.key)
	a.work = fromMs(t)
	s.world.after(s.stalls.after(s.world.now, a.work), a, attemptServiceEnded)
}

// serviceEnded ends a server's own work on an attempt; what it has to ask of other services keeps the worker.
func (s *server) serviceEnded(a *attempt) {
	if a.incarnation != s.incarnation {
		return
	}
	if len(s.downstream) > 0 && !(a.request.operation.completed && a.request.operation.effect == invariant.IdempotentByKey) {
		(&nestedCalls{server: s, attempt: a}).next()
		return
	}
	s.complete(a, false)
}

// complete ends an attempt that ran, and begins the next. broken: a call that it needed has failed.
func (s *server) complete(a *attempt, broken bool) {
	s.integrateBusy()
	s.busy--
	s.answeredSinceReport++
	s.served++
	if s.work += a.work; a.request.answered || s.world.now > a.request.operation.startedAt+fromMs(s.world.scenario.Classes[a.request.operation.class].LatencyObjectiveMs) {
		s.wastedWork += a.work
	}
	a.request.operation.executed = true
	a.request.operation.completed = a.request.operation.completed || !broken
	s.world.checker.Executed(&s.record, &a.request.operation.Operation, s.world.time())
	status := policy.OK
	switch {
	case broken:
		status = policy.Error
		s.failedSinceReport++
	case s.errorFraction > 0 && (s.errorClass < 0 || s.errorClass == a.request.operation.class) && s.rng.Float64() < s.errorFraction:
		status = policy.Error
		s.failedSinceReport++
	case s.world.scenario.Network.Resets > 0 && s.rng.Float64() < s.world.scenario.Network.Resets:
		status = policy.Reset
	}
	if !s.unresponsive {
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

func (s *server) integrateBusy() {
	s.busyIntegral += float64(s.busy) * float64(s.world.now-s.busyIntegralAt)
	s.busyIntegralAt = s.world.now
}

// reply sends an answer back; what it reports of load is up to a tenth of a second old.
func (s *server) reply(a *attempt, status policy.Status) {
	if since := s.world.now - s.reportAt; since >= s.reportInterval() {
		s.integrateBusy()
		sec := float64(since) / float64(Second)
		s.report = [3]float32{float32(float64(s.answeredSinceReport) / sec), float32(s.busyIntegral / float64(since) / float64(s.group.Workers)), float32(float64(s.failedSinceReport) / sec)}
		s.reportAt, s.answeredSinceReport, s.failedSinceReport, s.busyIntegral = s.world.now, 0, 0, 0
	}
	a.status, a.report = status, s.report
	switch s.group.Report {
	case "none":
		a.noReport = true
	case "some":
		a.noReport = s.index%2 == 0
	case "idle":
		a.report[1] = 0
	case "busy":
		a.report[1] = 1
	case "nan":
		a.report[1] = float32(math.NaN())
	}
	if d, ok := s.world.delay(s.zone, a.request.agent.zone, true); ok {
		s.world.after(d, a, attemptAnswered)
	}
}

// reportInterval is the time between two reports.
func (s *server) reportInterval() Time {
	switch {
	case s.group.Report == "late":
		return 1400 * Millisecond
	case s.group.Report == "frozen" && s.world.now > Second:
		return math.MaxInt64
	}
	return Second / 10
}
