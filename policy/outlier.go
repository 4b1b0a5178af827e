package policy

import "math"

const (
	// maxEjections bounds the doubling of the ejection time.
	maxEjections = 5
	// baselineFailureRate is the failure rate that any server may have in addition to that of all servers:
	// connections break and answers are corrupted without a fault of the server.
	baselineFailureRate = 0.2
	// baselineFailureFactor is the factor of the failure rate of all servers.
	baselineFailureFactor = 1.5
	// failureRateWeight is the weight of one attempt in the failure rate of a server.
	failureRateWeight = 0.15
	// silentAnswerTimes is the number of expected answer times without an answer after which a server counts
	// as silent. It is divided by the attempts in flight, up to silentMaxAttempts.
	silentAnswerTimes = 8
	// silentMaxAttempts bounds that divisor.
	silentMaxAttempts = 3
	// successesPerEjection is the number of served attempts per counted ejection that decrements the count.
	successesPerEjection = 16
)

// eject makes a server Unhealthy and fetches the endpoint list, as it may be out of date. A server that is
// already Unhealthy is not counted again. silent says that the server gave no answer at all, as opposed to
// an error.
func (b *Balancer) eject(s *server, silent bool) {
	if s.state != Unhealthy {
		b.setState(s, Unhealthy)
		s.silent = silent
		if silent || !b.failureRateWithinBaseline(s) {
			s.ejections = min(s.ejections+1, maxEjections)
			s.successes = 0
			s.latency = 0
			s.samples = 0
			s.limit.Halve()
		}
	}
	b.fetchEndpoints()
}

// ejectionTime returns for how many milliseconds a server stays Unhealthy before it is validated again: the
// lowest latency objective, doubled with each further ejection, up to maxEjections. It is only minEjectionMs
// for a failure within the baseline, and while the other servers have no capacity: a server that fails some
// requests is better than rejecting all of them. Neither applies to a silent server.
func (b *Balancer) ejectionTime(s *server) float64 {
	if (b.capacityScarce || b.failureRateWithinBaseline(s)) && !s.silent {
		return b.minEjectionMs
	}
	return max(b.minObjectiveMs, b.minEjectionMs) * float64(int(1)<<max(s.ejections-1, 0))
}

// recordFailure records the outcome of an attempt in the failure rates of its server and of all servers: 1
// for a failure, 0 for a success.
func (b *Balancer) recordFailure(s *server, failure float64) {
	s.failureRate += failureRateWeight * (failure - s.failureRate)
	b.fleet.failureRate += fleetAverageWeight * (failure - b.fleet.failureRate)
}

// failureRateWithinBaseline reports whether the server's failure rate is within what any server may have.
func (b *Balancer) failureRateWithinBaseline(s *server) bool {
	return s.failureRate < baselineFailureRate+baselineFailureFactor*b.fleet.failureRate
}

// recordSuccesses reduces the counted ejections for n served attempts, and by one if the server was silent.
func (s *server) recordSuccesses(n int) {
	if s.silent {
		s.silent = false
		s.ejections = max(s.ejections-1, 0)
	}
	s.successes += n
	if s.successes >= successesPerEjection*s.ejections {
		s.successes = 0
		s.ejections = max(s.ejections-1, 0)
	}
}

// ejectSilent ejects the servers with attempts in flight that have not answered for several answer times.
// The tick timer calls it.
func (b *Balancer) ejectSilent() {
	for _, s := range b.servers {
		if b.now >= b.silentAt(s) {
			b.eject(s, true)
		}
	}
}

// silentAt returns the time at which the server counts as silent unless it answers before.
func (b *Balancer) silentAt(s *server) float64 {
	if len(s.inflight) == 0 || s.state == Unhealthy {
		return math.Inf(1)
	}
	oldest := s.inflight[0]
	attempts := float64(min(len(s.inflight), silentMaxAttempts))
	return max(s.respondedAt, oldest.sentAt) + b.expectedLatency(oldest.request)*silentAnswerTimes/attempts
}

// nextSilenceAt returns the time at which the first server counts as silent.
func (b *Balancer) nextSilenceAt() float64 {
	at := math.Inf(1)
	for _, s := range b.servers {
		at = min(at, b.silentAt(s))
	}
	return at
}

// revalidateEjected makes servers whose ejection time is over UnhealthyPending and starts their health
// checks. It is called for each arriving request and by Observe, not by a timer, so that an agent without
// requests readmits no server.
func (b *Balancer) revalidateEjected() {
	for _, s := range b.servers {
		// One hanging attempt must not keep a server ejected that answers the others.
		free := len(s.inflight) == 0 || !s.silent && b.failureRateWithinBaseline(s)
		if s.state == Unhealthy && s.usable && free && b.now-s.stateSince >= b.ejectionTime(s) {
			b.setState(s, UnhealthyPending)
			b.fetchEndpoints()
		}
		b.checkHealth(s)
	}
}
