package policy

import "math"

const (
	// serverAverageWeight is the weight of one value in the moving average of a server.
	serverAverageWeight = 0.2
	// fleetAverageWeight is the weight of one value in a moving average over all servers.
	fleetAverageWeight = 0.005
	// classLatencyWeight is the weight of one answer in the mean answer time of its class.
	classLatencyWeight = 4 * fleetAverageWeight
	// shareDecay is the decay per request of moving shares of requests, which thus cover about 500 requests.
	shareDecay = 0.998
	// minHintAnswers is the number of answers to hinted requests required for a prediction.
	minHintAnswers = 1 / (4 * fleetAverageWeight)
	// baselineAnswers is the number of answers that set the baseline latency. No concurrency limit is
	// increased before.
	baselineAnswers = 50
)

// fleetStats holds moving averages over all servers. Latencies are fractions of the latency objective.
type fleetStats struct {
	answers         float64 // served attempts
	latency         float64 // mean latency
	baselineLatency float64 // mean latency while no server is overloaded
	failureRate     float64 // fraction of the attempts that failed
	rejectionRate   float64 // fraction of the attempts that servers rejected
	reportedLoad    float64 // mean of the reported requests in flight, per server weight
	sentAt          float64 // last attempt
	sendInterval    float64 // mean time between attempts, in ms
}

// recordSend records an attempt that is sent at now.
func (f *fleetStats) recordSend(now float64) {
	if f.sentAt > 0 {
		f.sendInterval = movingAverage(f.sendInterval, now-f.sentAt, fleetAverageWeight)
	}
	f.sentAt = now
}

// recordLatency records the latency of a served attempt. The baseline follows shorter latencies quickly and
// longer ones with riseWeight. The first baselineAnswers answers set it, up to a bound: neither a single fast
// answer nor an overload at the start may become the baseline.
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

// hintRegression is a linear regression of answer time on hinted work, both in milliseconds. The line has an
// intercept because the network's part of an answer time does not grow with the work.
type hintRegression struct {
	meanArriving float64 // mean hint of the requests that arrived
	count        float64 // answers to hinted requests
	meanWork     float64
	meanLatency  float64
	variance     float64 // of the work
	covariance   float64 // of work and answer time
}

// recordArrival records the hint of an arriving request.
func (h *hintRegression) recordArrival(workMs float64) {
	h.meanArriving = movingAverage(h.meanArriving, workMs, fleetAverageWeight)
}

// record adds the answer time of a request; without a hint it does nothing.
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

// predict returns the expected answer time for the hinted work, or 0 without a hint or with too few answers.
func (h *hintRegression) predict(workMs float64) float64 {
	if workMs <= 0 || h.count < minHintAnswers || h.variance <= 0 {
		return 0
	}
	return max(h.meanLatency+h.covariance/h.variance*(workMs-h.meanWork), 0)
}

// movingAverage returns the exponentially weighted moving average after x; the first value becomes the
// average.
func movingAverage(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// movingRate returns a moving failure rate after the failed and served attempts, as if each had been recorded
// individually.
func movingRate(old, failed, served, weight float64) float64 {
	if n := failed + served; n > 0 {
		old += (1 - math.Pow(1-weight, n)) * (failed/n - old)
	}
	return old
}

// nonNegative returns x, or 0 if it is negative, infinite or NaN.
func nonNegative(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}
