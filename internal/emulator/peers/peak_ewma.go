package peers

import (
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

const (
	// ewmaDecayMs is the time constant of the moving average.
	ewmaDecayMs = 10_000
	// unknownLatencyCost is the base cost of a server with active requests and no answer yet.
	unknownLatencyCost = 1e9
	// accrualFailures is the number of consecutive failures after which failure accrual ejects a server.
	accrualFailures     = 5
	minAccrualBackoffMs = 5000
	maxAccrualBackoffMs = 300_000
)

// ewmaState is PeakEWMA's state of a server.
type ewmaState struct {
	latencyMs float64 // moving average
	updatedAt float64 // ms
	backoffMs float64 // last ejection time of failure accrual, before jitter
}

// PeakEWMA is Finagle's power of two choices with peak EWMA: it draws two random servers and picks the one
// with the lower cost, which is the peak-sensitive moving average of the latency times the number of active
// requests plus one. Failure accrual ejects a server after 5 consecutive failures for 5 to 300 s with equal
// jitter. The retry budget is 20 %, at least 10. Finagle's aperture is left out: the rate of an agent is so
// low here that it would use only a few servers.
func PeakEWMA(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newBalancer(settings, seed)
	b.retry = retryPolicy{max: 2, budget: 0.2, minInFlight: 10}
	b.observe = func(s *server, ev *policy.Event) {
		s.ewma.observe(b.now, ev.LatencyMs)
		b.accrueFailure(s, ev.Status)
	}
	b.pick = func(r *request) *server {
		first, second := b.twoRandom()
		if first != nil && (b.ewmaCost(second) < b.ewmaCost(first) || slices.Contains(r.tried, first)) {
			return second
		}
		return first
	}
	return b, nil
}

// observe raises the average to a higher latency at once, and lets it decay towards a lower one with the time
// since the last update.
func (e *ewmaState) observe(now, latencyMs float64) {
	if latencyMs > e.latencyMs {
		e.latencyMs = latencyMs
	} else {
		weight := math.Exp(-(now - e.updatedAt) / ewmaDecayMs)
		e.latencyMs = e.latencyMs*weight + latencyMs*(1-weight)
	}
	e.updatedAt = now
}

func (b *balancer) ewmaCost(s *server) float64 {
	latencyMs := s.ewma.latencyMs * math.Exp(-(b.now-s.ewma.updatedAt)/ewmaDecayMs)
	if s.ewma.latencyMs == 0 && s.active > 0 {
		return unknownLatencyCost + float64(s.active)
	}
	return latencyMs * float64(s.active+1)
}

// accrueFailure ejects a server after consecutive failures; the ejection time doubles each time.
func (b *balancer) accrueFailure(s *server, status policy.Status) {
	if status == policy.OK {
		s.consecutiveFailures = 0
		s.ewma.backoffMs = 0
		return
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < accrualFailures {
		return
	}
	backoffMs := min(max(2*s.ewma.backoffMs, minAccrualBackoffMs), maxAccrualBackoffMs)
	s.ewma.backoffMs = backoffMs
	s.ejectedUntil = b.now + backoffMs/2 + b.rng.Float64()*backoffMs/2
	s.consecutiveFailures = 0
}
