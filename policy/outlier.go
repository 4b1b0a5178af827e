package policy

import "math"

const (
	// maxEjections bounds the doubling of the ejection time.
	maxEjections = 5
	// baselineFailureRate is the failure rate that any server may have, beyond that of all servers:
	// connections break and answers arrive damaged without a fault of the server.
	baselineFailureRate = 0.2
	// baselineFailureFactor weighs the failure rate of all servers.
	baselineFailureFactor = 1.5
	// failureRateWeight is the weight of one attempt in the failure rate of a server.
	failureRateWeight = 0.15
	// silentAnswerTimes is the number of expected answer times after which a server without an answer is
	// silent; it is divided by its attempts in flight, up to silentMaxAttempts.
	silentAnswerTimes = 8
	// silentMaxAttempts bounds that divisor.
	silentMaxAttempts = 3
	// successesPerEjection is the number of served attempts, for each counted ejection, that takes one
	// back.
	successesPerEjection = 16
)

// eject makes a server Unhealthy and has the endpoint list fetched, as it may be out of date. A server that
// is Unhealthy already is not counted again. silent says that the server gave no answer at all, instead of
// a bad one.
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
// least latency objective, doubled with each further ejection, up to maxEjections. There is none for a
// failure within the baseline, nor while the other servers have no capacity: a server that fails some
// requests is better than rejecting them all. One that answers nothing is not.
func (b *Balancer) ejectionTime(s *server) float64 {
	if (b.capacityScarce || b.failureRateWithinBaseline(s)) && !s.silent {
		return b.minEjectionMs
	}
	return max(b.minObjectiveMs, b.minEjectionMs) * float64(int(1)<<max(s.ejections-1, 0))
}

// recordFailure notes the end of an attempt in the failure rates of its server and of all servers: 1 for a
// failure, 0 for none.
func (b *Balancer) recordFailure(s *server, failure float64) {
	s.failureRate += failureRateWeight * (failure - s.failureRate)
	b.fleet.failureRate += fleetAverageWeight * (failure - b.fleet.failureRate)
}

// failureRateWithinBaseline reports whether the server fails no more of its attempts than any server may.
func (b *Balancer) failureRateWithinBaseline(s *server) bool {
	return s.failureRate < baselineFailureRate+baselineFailureFactor*b.fleet.failureRate
}

// recordSuccesses takes back counted ejections for n served attempts, and one for silence that has
// ended.
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

// ejectSilent ejects the servers that took attempts and have answered nothing for several answer times. The
// tick timer calls it.
func (b *Balancer) ejectSilent() {
	for _, s := range b.servers {
		if b.now >= b.silentAt(s) {
			b.eject(s, true)
		}
	}
}

// silentAt returns the time at which the server counts as silent if it answers nothing until then.
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

// revalidateEjected makes servers whose ejection time is over UnhealthyPending and has them checked in the
// background. No timer does so: each arriving request calls it, and Observe, so that an agent without
// requests readmits no server.
func (b *Balancer) revalidateEjected() {
	for _, s := range b.servers {
		// One attempt that hangs must not keep out a server that answers the others.
		free := len(s.inflight) == 0 || !s.silent && b.failureRateWithinBaseline(s)
		if s.state == Unhealthy && s.usable && free && b.now-s.stateSince >= b.ejectionTime(s) {
			b.setState(s, UnhealthyPending)
			b.fetchEndpoints()
		}
		b.checkHealth(s)
	}
}
