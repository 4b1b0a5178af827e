package emulator

import (
	"math"
	"math/rand/v2"

	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/policy"
)

const (
	// arrivalSlots is the number of slots of the sliding window of one second in which arrivals are counted
	// to detect an overload.
	arrivalSlots = 10
	arrivalSlot  = Second / arrivalSlots
	// overloadAllowance is a number of arrivals in a second that never overload a server.
	overloadAllowance = 4
	// deduplicatedSpeedup is the factor by which a repeated request is faster that the server recognizes by
	// its idempotency key.
	deduplicatedSpeedup = 10
	// allClasses as server.errorClass: errors affect all classes.
	allClasses = -1
	// minQueueCompaction is the number of dequeued entries at the head of a queue above which it is
	// compacted.
	minQueueCompaction = 64

	reportEvery     = Second / 10
	lateReportEvery = 1400 * Millisecond
)

// Indexes in a load report, in the order of reportNames.
const (
	reportQPS = iota
	reportUtilization
	reportErrorsPerS
)

// server is a server with workers, a bounded queue and slow start of its process. It is a G/G/k queue with
// rejection (Kleinrock, "Queueing Systems" I); slow start and overload follow the contract.
type server struct {
	world  *World
	index  int
	addr   policy.Addr
	zone   int
	group  *ServerGroup
	rng    *rand.Rand
	record invariant.Server

	// Only in a graph of services; otherwise service is the index of the server group.
	service    int
	rack       int
	downstream []*agent // on the server's host, one for each call that the service makes

	stopped      bool // refuses connections
	unresponsive bool
	draining     bool
	incarnation  uint32 // number of the process; requests of earlier processes are lost
	startedAt    Time   // start of the current process
	slowStarting bool   // the current process is in slow start
	busy         int    // occupied workers
	queue        []*attempt
	queueHead    int               // index of the first waiting entry
	arrivals     [arrivalSlots]int // of the last second, as a ring
	arrivalSlot  int64             // current slot, counted from the start of the run

	slowFactor         float64 // on the service time of all requests; 0: none
	slowFraction       float64 // fraction of requests that take slowFractionFactor times longer
	slowFractionFactor float64
	errorFraction      float64 // fraction of requests of errorClass that fail
	errorClass         int     // class index or allClasses
	rejectFraction     float64 // fraction of requests that are rejected
	recentKeys         recentKeys
	stalls             stalls

	work       Time // total service time
	wastedWork Time // part of work on requests that had been answered or had missed their latency objective
	served     int
	overloads  int

	report              [len(reportNames)]float32
	reportAt            Time
	answeredSinceReport int
	failedSinceReport   int
	busyIntegral        float64 // integral of busy over time in ns, since reportAt
	busyIntegralAt      Time
}

// endpoint is the server as the discovery service lists it.
func (s *server) endpoint() policy.Endpoint {
	e := policy.Endpoint{Server: s.addr, Zone: s.zone, Weight: s.group.Weight, Health: policy.Ready}
	if s.incarnation > 0 {
		e.StartedMs = epochMs + float64(s.startedAt)/float64(Millisecond)
	}
	if s.draining {
		e.Health = policy.Draining
	}
	return e
}

// speed is the current speed of the process as a fraction of its speed after slow start.
func (s *server) speed() float64 {
	if !s.slowStarting || s.group.SlowStartMs <= 0 {
		return 1
	}
	ageMs := float64(s.world.now-s.startedAt) / float64(Millisecond)
	if ageMs >= s.group.SlowStartMs {
		s.slowStarting = false
		return 1
	}
	return s.group.SlowStartMinCapacity + (1-s.group.SlowStartMinCapacity)*ageMs/s.group.SlowStartMs
}

// capacity is the requests per second that the server can handle after slow start.
func (s *server) capacity() float64 {
	if s.group.Service.MeanMs <= 0 {
		return 0
	}
	return float64(s.group.Workers) * 1000 / (s.group.Service.MeanMs + s.group.nestedCallsMs)
}

func (s *server) queueLength() int { return len(s.queue) - s.queueHead }

// arrive handles a request that the server has received completely.
func (s *server) arrive(a *attempt) {
	if s.unresponsive {
		return
	}
	if s.stopped || a.incarnation != s.incarnation {
		s.reply(a, policy.Reset)
		return
	}
	s.world.checker.RequestReceived(&s.record, s.world.time())
	s.countArrival()
	if s.overloaded() {
		s.overloads++
		s.restart()
		return
	}
	if s.rejectFraction > 0 && s.rng.Float64() < s.rejectFraction {
		s.reply(a, policy.Rejected)
		return
	}
	switch {
	case s.busy < s.group.Workers:
		s.start(a)
	case s.queueLength() < s.group.Queue:
		s.queue = append(s.queue, a)
	default:
		s.reply(a, policy.Rejected)
	}
}

func (s *server) countArrival() {
	now := s.world.now / arrivalSlot
	for ; s.arrivalSlot < now; s.arrivalSlot++ {
		s.arrivalSlot = max(s.arrivalSlot, now-arrivalSlots)
		s.arrivals[(s.arrivalSlot+1)%arrivalSlots] = 0
	}
	s.arrivals[now%arrivalSlots]++
}

// overloaded reports whether the arrivals of the last second overload a process in slow start.
func (s *server) overloaded() bool {
	speed := s.speed()
	if s.group.OverloadFactor <= 0 || speed >= 1 {
		return false
	}
	arrivals := 0
	for _, n := range s.arrivals {
		arrivals += n
	}
	return float64(arrivals) > overloadAllowance+s.group.OverloadFactor*speed*s.capacity()
}

// resetProcess begins a new incarnation; the requests of the previous one are lost.
func (s *server) resetProcess() {
	s.incarnation++
	s.busy = 0
	s.queue = nil
	s.queueHead = 0
	s.arrivals = [arrivalSlots]int{}
}

// restart starts a new process at once, with slow start, and notifies the agents.
func (s *server) restart() {
	s.resetProcess()
	s.stopped = false
	s.unresponsive = false
	s.slowStarting = true
	s.startedAt = s.world.now
	s.world.checker.Started(&s.record, s.world.time(), s.capacity())
	s.world.notify(s)
}

// start begins the service of an attempt on a free worker.
func (s *server) start(a *attempt) {
	s.integrateBusy()
	s.busy++
	o := a.request.operation
	ms := s.group.Service.draw(s.rng) * s.world.scenario.Classes[o.class].Work / s.speed()
	if o.executed && o.effect == invariant.IdempotentByKey {
		ms /= deduplicatedSpeedup
	}
	if s.slowFactor > 0 {
		ms *= s.slowFactor
	}
	if s.slowFraction > 0 && s.rng.Float64() < s.slowFraction {
		ms *= s.slowFractionFactor
	}
	ms *= s.recentKeys.observe(&s.group.KeyCache, s.group.Workers, s.world.now, o.key)
	a.work = fromMs(ms)
	s.world.after(s.stalls.duration(s.world.now, a.work), a, attemptServiceEnded)
}

// serviceEnded ends the server's own work on an attempt. Nested calls keep its worker occupied.
func (s *server) serviceEnded(a *attempt) {
	if a.incarnation != s.incarnation {
		return
	}
	o := a.request.operation
	deduplicated := o.completed && o.effect == invariant.IdempotentByKey
	if len(s.downstream) > 0 && !deduplicated {
		calls := &nestedCalls{server: s, attempt: a}
		calls.next()
		return
	}
	s.complete(a, false)
}

// complete answers an attempt that ran, and starts the next one. nestedFailed: one of its nested calls
// failed.
func (s *server) complete(a *attempt, nestedFailed bool) {
	s.integrateBusy()
	s.busy--
	s.answeredSinceReport++
	s.served++
	s.recordWork(a)
	o := a.request.operation
	o.executed = true
	o.completed = o.completed || !nestedFailed
	s.world.checker.Executed(&s.record, &o.Operation, s.world.time())
	status := s.drawStatus(o.class, nestedFailed)
	if status == policy.Error {
		s.failedSinceReport++
	}
	if !s.unresponsive {
		s.reply(a, status)
	}
	if s.queueLength() > 0 && s.busy < s.group.Workers {
		s.start(s.dequeue())
	}
}

func (s *server) recordWork(a *attempt) {
	o := a.request.operation
	objective := fromMs(s.world.scenario.Classes[o.class].LatencyObjectiveMs)
	s.work += a.work
	if a.request.answered || s.world.now > o.startedAt+objective {
		s.wastedWork += a.work
	}
}

// drawStatus draws the status of an attempt that ran.
func (s *server) drawStatus(class int, nestedFailed bool) policy.Status {
	if nestedFailed {
		return policy.Error
	}
	affected := s.errorClass == allClasses || s.errorClass == class
	if s.errorFraction > 0 && affected && s.rng.Float64() < s.errorFraction {
		return policy.Error
	}
	if resets := s.world.scenario.Network.Resets; resets > 0 && s.rng.Float64() < resets {
		return policy.Reset
	}
	return policy.OK
}

// dequeue removes and returns the attempt to run next: the newest with LIFO in a queue more than half full,
// otherwise the oldest.
func (s *server) dequeue() *attempt {
	if s.group.LIFO && s.queueLength() > s.group.Queue/2 {
		last := len(s.queue) - 1
		next := s.queue[last]
		s.queue = s.queue[:last]
		return next
	}
	next := s.queue[s.queueHead]
	s.queue[s.queueHead] = nil
	s.queueHead++
	if s.queueHead > minQueueCompaction && s.queueHead > len(s.queue)/2 {
		s.queue = append(s.queue[:0], s.queue[s.queueHead:]...)
		s.queueHead = 0
	}
	return next
}

// integrateBusy advances the integral of busy workers to the current time. It must be called before busy
// changes.
func (s *server) integrateBusy() {
	s.busyIntegral += float64(s.busy) * float64(s.world.now-s.busyIntegralAt)
	s.busyIntegralAt = s.world.now
}

// reply sends an answer with the current load report.
func (s *server) reply(a *attempt, status policy.Status) {
	if s.world.now-s.reportAt >= s.reportInterval() {
		s.updateReport()
	}
	a.status = status
	a.report = s.report
	switch s.group.Report {
	case reportNone:
		a.noReport = true
	case reportSome:
		a.noReport = s.index%2 == 0
	case reportIdle:
		a.report[reportUtilization] = 0
	case reportBusy:
		a.report[reportUtilization] = 1
	case reportNaN:
		a.report[reportUtilization] = float32(math.NaN())
	}
	if delay, ok := s.world.delay(s.zone, a.request.agent.zone, true); ok {
		s.world.after(delay, a, attemptAnswered)
	}
}

// updateReport replaces the load report by one of the time since the last update.
func (s *server) updateReport() {
	s.integrateBusy()
	elapsed := s.world.now - s.reportAt
	seconds := float64(elapsed) / float64(Second)
	s.report[reportQPS] = float32(float64(s.answeredSinceReport) / seconds)
	s.report[reportUtilization] = float32(s.busyIntegral / float64(elapsed) / float64(s.group.Workers))
	s.report[reportErrorsPerS] = float32(float64(s.failedSinceReport) / seconds)
	s.reportAt = s.world.now
	s.answeredSinceReport = 0
	s.failedSinceReport = 0
	s.busyIntegral = 0
}

// reportInterval is the minimum time between updates of the load report.
func (s *server) reportInterval() Time {
	switch {
	case s.group.Report == reportLate:
		return lateReportEvery
	case s.group.Report == reportFrozen && s.world.now > Second:
		return math.MaxInt64
	}
	return reportEvery
}
