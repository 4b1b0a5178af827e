package policy

import "math"

const (
	// initialLimit is the concurrency limit of a server that has not been observed yet.
	initialLimit = 2.0
	// minLimit is the lower bound of a limit: enough to detect that the server has recovered.
	minLimit = 0.1
	// severeOverloadFactor is the multiple of the latency limit above which an overload is severe: only then
	// may a limit fall below one attempt.
	severeOverloadFactor = 2.5
	// limitDecrease is the factor by which a limit is decreased.
	limitDecrease = 0.85
	// maxLatencyFraction is the fraction of the latency objective that the mean answer time of a server may
	// take. The rest allows for the variance around the mean.
	maxLatencyFraction = 0.5
	// overloadLatencyFactor is the multiple of the baseline latency above which a server is overloaded.
	overloadLatencyFactor = 1.5
	// scarceLatencyFactor replaces overloadLatencyFactor while requests find no capacity: queueing then
	// costs less than a rejection.
	scarceLatencyFactor = 2.25
	// reportedLoadWeight is the weight of one report in the mean of the reported requests in flight.
	reportedLoadWeight = 4 * fleetAverageWeight
	// overloadedReportFactor is the multiple of the mean reported requests in flight above which a server is
	// overloaded.
	overloadedReportFactor = 1.5
	// maxKeylessProbeRate bounds the requests without a key that all agents together send to a server per
	// latency objective while their limits are reached.
	maxKeylessProbeRate = 2.0
	// keylessLatencyWeight is the weight of one answer in the mean latency that adjusts the keyless limit.
	keylessLatencyWeight = serverAverageWeight / 4
	// maxBaselineRiseDivisor is the largest divisor of the weight with which the baseline latency follows
	// longer answer times.
	maxBaselineRiseDivisor = 250
)

// keylessLimit bounds the requests without a key that one agent has in flight on all servers. They go to any
// server with capacity, so an agent that sends few requests to each of many servers can detect an overload
// only from all of them together. Without this limit each of hundreds of agents would have one request in
// flight on every overloaded server.
type keylessLimit struct {
	max         float64
	decreasedAt float64
	latency     float64 // mean latency of the last answers, as a fraction of the latency objective
}

func newKeylessLimit() keylessLimit { return keylessLimit{max: math.Inf(1)} }

// recordLatency records the latency of an answer.
func (k *keylessLimit) recordLatency(latency float64) {
	k.latency = movingAverage(k.latency, latency, keylessLatencyWeight)
}

// adjust decreases the limit while the mean latency is over latencyLimit, at most once per answer time, and
// increases it while the latency is below and the limit is nearly used up.
func (k *keylessLimit) adjust(now, rttMs, latencyLimit float64, inflight int) {
	switch {
	case k.latency > latencyLimit && now-k.decreasedAt > rttMs:
		k.max = max(min(k.max, float64(inflight+1))*limitDecrease, initialLimit)
		k.decreasedAt = now
	case k.latency < latencyLimit && float64(inflight+2) > k.max:
		k.max += 1 / k.max
	}
}

// keylessProbeMs returns the interval at which a request without a key is sent even though the
// keyless limit is reached: requests that hang in overloaded servers until their deadline do not show when
// these recover. All agents together send each server at most maxKeylessProbeRate of them per lowest latency
// objective.
func (b *Balancer) keylessProbeMs() float64 {
	servers := float64(max(len(b.servers), 1))
	return b.minObjectiveMs * max(float64(b.replicas())/(maxKeylessProbeRate*servers), 1)
}

// latencyLimit returns the mean answer time, as a fraction of the latency objective, above which a server is
// overloaded. With few agents each sees most of a server's load and may send more to a server that answers
// well within the objective; a baseline that is too low would leave the server idle. The limit is higher for
// a server in slow start, which is slow before it is overloaded, and for one that rejects attempts, which
// bounds its queue itself.
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

// adjustLimit adjusts the server's concurrency limit after an answer that took rttMs.
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

// adjustKeylessLimit records the latency of an answer that took rttMs, and adjusts the keyless limit once
// the baseline is known.
func (b *Balancer) adjustKeylessLimit(latency, rttMs float64) {
	b.keyless.recordLatency(latency)
	if b.fleet.answers > baselineAnswers {
		limit := min(maxLatencyFraction, overloadLatencyFactor*b.fleet.baselineLatency)
		b.keyless.adjust(b.now, rttMs, limit, b.inflight)
	}
}

// overloaded records a load report and reports whether the server has far more requests in flight, from all
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

// deprioritize puts an overloaded server last in its tier for about the time in which this agent sends as
// many requests as there are servers. An agent that sends it two requests a minute cannot adjust a limit from
// its answers; but all agents together reduce its load by the fraction of them that saw the overload.
func (b *Balancer) deprioritize(s *server) {
	round := b.fleet.sendInterval * float64(len(b.servers))
	jitter := 0.5 + b.rng.Float64()
	s.deprioritizedUntil = b.now + min(round, b.settings.Contract.SlowStartMs)*jitter
}

// baselineRiseWeight returns the weight with which the baseline latency follows longer answer times. It is
// small, or an overload would become the baseline. An attempt that was its agent's only one on the server
// counts more the fewer agents there are: a single agent whose baseline was set by a few fast answers would
// otherwise underuse its servers permanently.
func (b *Balancer) baselineRiseWeight(a *attempt) float64 {
	if a.onlyInflight {
		return fleetAverageWeight / min(2*math.Pow(float64(b.replicas()), 3), maxBaselineRiseDivisor)
	}
	return fleetAverageWeight / maxBaselineRiseDivisor
}
