package policy

import "math"

const (
	// serverAverageWeight is the weight of one value in the moving average of a server.
	serverAverageWeight = 0.2
	// fleetAverageWeight is the weight of one value in a moving average over all servers.
	fleetAverageWeight = 0.005
	// classLatencyWeight is the weight of one answer in the mean answer time of its class.
	classLatencyWeight = 4 * fleetAverageWeight
	// shareDecay is the decay of shares of requests by one request: about the last 500 count.
	shareDecay = 0.998
	// minHintAnswers is the number of answers to hinted requests from which a prediction is made.
	minHintAnswers = 1 / (4 * fleetAverageWeight)
	// baselineAnswers is the number of answers that set the baseline latency. No concurrency limit grows
	// before.
	baselineAnswers = 50
)

// fleetStats holds moving averages over all servers. Latencies are fractions of the latency objective.
type fleetStats struct {
	answers         float64 // served attempts
	latency         float64 // mean latency
	baselineLatency float64 // mean latency while no server is overloaded
	failureRate     float64 // part of the attempts that failed
	rejectionRate   float64 // part of the attempts that servers rejected
	reportedLoad    float64 // mean reported requests in flight for a server of weight one
	sentAt          float64 // last attempt
	sendInterval    float64 // mean time between attempts, in ms
}

// recordSend notes an attempt that is sent at now.
func (f *fleetStats) recordSend(now float64) {
	if f.sentAt > 0 {
		f.sendInterval = movingAverage(f.sendInterval, now-f.sentAt, fleetAverageWeight)
	}
	f.sentAt = now
}

// recordLatency notes the latency of a served attempt. The baseline follows shorter latencies at once and
// longer ones by riseWeight. The first answers set it, within a bound: neither one quick answer nor an
// overload at the start must become the baseline.
func (f *fleetStats) recordLatency(latency, riseWeight float64) {
	f.answers++
	f.latency = movingAverage(f.latency, latency, max(fleetAverageWeight, 1/f.answers))
	switch {
	case f.answers <= baselineAnswers:
		f.baselineLatency = min(f.latency, maxLatencyFraction/2)
	case f.latency < f.baselineLatency:
		f.baselineLatency = movingAverage(f.baselineLatency, f.latency, fleetAverageWeight)
	default:
		f.baselineLatency = movingAverage(f.baselineLatency, f.latency, riseWeight)
	}
}

// hintRegression fits a straight line of answer time over hinted work. Both are in milliseconds. The line
// has an offset because the network's part of an answer time does not grow with the work.
type hintRegression struct {
	meanArriving float64 // mean hint of the requests that arrived
	count        float64 // answers to hinted requests
	meanWork     float64
	meanLatency  float64
	variance     float64 // of the work
	covariance   float64 // of work and answer time
}

// recordArrival notes the hint of a request that arrived.
func (h *hintRegression) recordArrival(workMs float64) {
	h.meanArriving = movingAverage(h.meanArriving, workMs, fleetAverageWeight)
}

// record notes the answer time of a request; without a hint it does nothing.
func (h *hintRegression) record(workMs, latencyMs float64) {
	if workMs <= 0 {
		return
	}
	h.count++
	weight := max(fleetAverageWeight, 1/h.count)
	workDelta := workMs - h.meanWork
	latencyDelta := latencyMs - h.meanLatency
	h.meanWork += weight * workDelta
	h.meanLatency += weight * latencyDelta
	h.variance += weight * (workDelta*workDelta*(1-weight) - h.variance)
	h.covariance += weight * (workDelta*latencyDelta*(1-weight) - h.covariance)
}

// predict returns the answer time expected for the hinted work, or 0 without a hint or while too few
// answers are known.
func (h *hintRegression) predict(workMs float64) float64 {
	if workMs <= 0 || h.count < minHintAnswers || h.variance <= 0 {
		return 0
	}
	return max(h.meanLatency+h.covariance/h.variance*(workMs-h.meanWork), 0)
}

// movingAverage moves an average towards x; the first value is taken as it is.
func movingAverage(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// movingRate moves a failure rate as if each of the failed and served attempts had been recorded on its
// own.
func movingRate(old, failed, served, weight float64) float64 {
	if n := failed + served; n > 0 {
		old += (1 - math.Pow(1-weight, n)) * (failed/n - old)
	}
	return old
}

// nonNegative returns x, or 0 where it is negative, infinite or no number.
func nonNegative(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}
