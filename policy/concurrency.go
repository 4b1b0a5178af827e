package policy

import "math"

const (
	// initialLimit is the concurrency limit of a server of which nothing is known.
	initialLimit = 2.0
	// minLimit is the lower bound of a limit: enough to see when the server recovers.
	minLimit = 0.1
	// severeOverloadFactor is how many times the latency limit makes an overload severe: only then a limit
	// may fall below one attempt.
	severeOverloadFactor = 2.5
	// limitDecrease is the part of a limit that a decrease leaves.
	limitDecrease = 0.85
	// maxLatencyFraction is the part of the latency objective that the mean answer time of a server may
	// take. The rest is left for the spread around the mean.
	maxLatencyFraction = 0.5
	// overloadLatencyFactor is how many times the baseline latency makes a server overloaded.
	overloadLatencyFactor = 1.5
	// scarceLatencyFactor replaces it while requests find no capacity: then a queue costs less than a
	// rejection.
	scarceLatencyFactor = 2.25
	// reportedLoadWeight is the weight of one report in the mean of the reported requests in flight.
	reportedLoadWeight = 4 * fleetAverageWeight
	// overloadedReportFactor is how many times the mean of the reported requests in flight makes a server
	// overloaded.
	overloadedReportFactor = 1.5
	// maxTrickleRate bounds the requests without a key that all agents together send to a server in one
	// latency objective while their limits are full.
	maxTrickleRate = 2.0
	// keylessLatencyWeight is the weight of one answer in the mean latency that adjusts the keyless limit.
	keylessLatencyWeight = serverAverageWeight / 4
	// maxBaselineRiseDivisor divides the weight by which the baseline latency follows longer answer times.
	maxBaselineRiseDivisor = 250
)

// keylessLimit bounds the requests without a key that one agent has in flight on all servers. They go to
// any server with capacity, so an agent with few requests to each of many servers learns from all of them
// together what it learns from none alone. Without the limit each of hundreds of agents would have one in
// flight at every overloaded server.
type keylessLimit struct {
	max         float64
	decreasedAt float64
	latency     float64 // mean latency of the last answers, as a fraction of the latency objective
}

func newKeylessLimit() keylessLimit { return keylessLimit{max: math.Inf(1)} }

// recordLatency notes an answer.
func (k *keylessLimit) recordLatency(latency float64) {
	k.latency = movingAverage(k.latency, latency, keylessLatencyWeight)
}

// adjust decreases the limit while the mean latency is over latencyLimit, at most once in an answer time,
// and increases it below that while it is in use.
func (k *keylessLimit) adjust(now, rttMs, latencyLimit float64, inflight int) {
	switch {
	case k.latency > latencyLimit && now-k.decreasedAt > rttMs:
		k.max = max(min(k.max, float64(inflight+1))*limitDecrease, initialLimit)
		k.decreasedAt = now
	case k.latency < latencyLimit && float64(inflight+2) > k.max:
		k.max += 1 / k.max
	}
}

// keylessTrickleMs returns the time after which one more request without a key is sent though their limit
// is reached: requests that hang in overloaded servers up to their deadline do not tell when these recover.
// All agents together send each server at most maxTrickleRate of them in the least latency objective.
func (b *Balancer) keylessTrickleMs() float64 {
	servers := float64(max(len(b.servers), 1))
	return b.minObjectiveMs * max(float64(b.replicas())/(maxTrickleRate*servers), 1)
}

// latencyLimit returns the mean answer time, as a fraction of the latency objective, from which a server is
// overloaded. Few agents see most of the load of a server, and may load one more that answers well within
// the objective; a baseline taken too low would leave it idle. A server in slow start is slow before it is
// overloaded. One that rejects attempts bounds its queue itself.
func (b *Balancer) latencyLimit(s *server) float64 {
	if s.limit.RecentlyRejected(b.now) {
		return maxLatencyFraction / b.warmUpFraction(s)
	}
	floor := 2 * maxLatencyFraction / (2 + float64(b.settings.Replicas))
	factor := overloadLatencyFactor
	if b.capacityScarce {
		factor = scarceLatencyFactor
	}
	return min(maxLatencyFraction, max(factor*b.fleet.baselineLatency, floor)) / b.warmUpFraction(s)
}

// adjustLimit moves the server's concurrency limit after an answer that took rttMs.
func (b *Balancer) adjustLimit(s *server, rttMs, latencyLimit float64) {
	switch {
	case s.latency > latencyLimit:
		floor := 1.0
		if s.latency > severeOverloadFactor*latencyLimit {
			floor = minLimit
		}
		s.limit.Decrease(b.now, rttMs, limitDecrease, floor)
	case s.latency < latencyLimit && float64(len(s.inflight)+2) > s.limit.Size() &&
		b.fleet.answers > baselineAnswers:
		s.limit.Increase(b.now)
	}
}

// adjustKeylessLimit notes the latency of an answer that took rttMs, and adjusts the limit once the
// baseline is known.
func (b *Balancer) adjustKeylessLimit(latency, rttMs float64) {
	b.keyless.recordLatency(latency)
	if b.fleet.answers > baselineAnswers {
		limit := min(maxLatencyFraction, overloadLatencyFactor*b.fleet.baselineLatency)
		b.keyless.adjust(b.now, rttMs, limit, b.inflight)
	}
}

// overloaded notes a load report and says whether the server has well more requests in flight, of all
// agents, than the mean server.
func (b *Balancer) overloaded(s *server, report []float32) bool {
	inflight, reported := b.reportFields.Inflight(report)
	if !reported {
		return false
	}
	inflight /= s.weight
	b.fleet.reportedLoad = movingAverage(b.fleet.reportedLoad, inflight, reportedLoadWeight)
	return inflight > overloadedReportFactor*b.fleet.reportedLoad+1
}

// deprioritize puts an overloaded server last in its tier for about as long as this agent takes to send a
// request to every server. An agent that sends it two requests a minute cannot adjust a limit by its
// answers; but all agents together send it less, by the part of them that saw the overload.
func (b *Balancer) deprioritize(s *server) {
	round := b.fleet.sendInterval * float64(len(b.servers))
	jitter := 0.5 + b.rng.Float64()
	s.deprioritizedUntil = b.now + min(round, b.settings.Contract.SlowStartMs)*jitter
}

// baselineRiseWeight returns the weight by which the baseline latency follows longer answer times. It is
// small, or an overload would become the baseline. An attempt that was the only one of its agent counts
// more the fewer agents there are: a lone agent whose baseline came from a few fast answers would leave its
// servers idle for good.
func (b *Balancer) baselineRiseWeight(a *attempt) float64 {
	if a.alone {
		return fleetAverageWeight / min(2*math.Pow(float64(b.replicas()), 3), maxBaselineRiseDivisor)
	}
	return fleetAverageWeight / maxBaselineRiseDivisor
}
