package peers

import (
	"slices"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

// The defaults of Gradient2Limit.
const (
	initialLimit       = 20
	minLimit           = 1
	maxLimit           = 200
	limitSmoothing     = 0.2
	latencyTolerance   = 1.5
	limitQueueSize     = 4
	longWindow         = 600  // answers in the long-term average
	longLatencyDrift   = 0.95 // while the long-term latency is above twice the current one
	minGradient        = 0.5
	rejectionDecrease  = 0.9
	minGradientLatency = 1e-3 // ms
)

// gradientState is Gradient's state of a server.
type gradientState struct {
	limit         float64 // of concurrent requests; 0: initialLimit
	longLatencyMs float64 // long-term moving average; 0: no answer yet
}

// Gradient is least request with a concurrency limit for each server, which follows the gradient of the
// server's latency (Netflix, "concurrency-limits", Gradient2Limit with its defaults). A request is rejected
// if all servers are at their limits.
func Gradient(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newEnvoyBalancer(settings, seed)
	b.observe = func(s *server, ev *policy.Event) {
		switch ev.Status {
		case policy.OK:
			s.gradient.observe(ev.LatencyMs, s.active)
		case policy.Rejected, policy.Timeout:
			s.gradient.limit = max(s.gradient.currentLimit()*rejectionDecrease, minLimit)
		}
	}
	b.pick = func(r *request) *server { return b.pickUnderLimit(b.usable(r.tried)) }
	return b, nil
}

func (g *gradientState) currentLimit() float64 {
	if g.limit == 0 {
		g.limit = initialLimit
	}
	return g.limit
}

// observe updates the limit with the latency of an answer.
func (g *gradientState) observe(latencyMs float64, active int) {
	if g.longLatencyMs == 0 {
		g.longLatencyMs = latencyMs
	}
	g.longLatencyMs += 2.0 / (longWindow + 1) * (latencyMs - g.longLatencyMs)
	if g.longLatencyMs > 2*latencyMs {
		g.longLatencyMs *= longLatencyDrift
	}
	if float64(active) < g.currentLimit()/2 {
		return // concurrency is far below the limit: the latency tells nothing about it
	}
	gradient := max(minGradient, min(1, latencyTolerance*g.longLatencyMs/max(latencyMs, minGradientLatency)))
	target := g.limit*gradient + limitQueueSize
	g.limit = max((1-limitSmoothing)*g.limit+limitSmoothing*target, minLimit)
	g.limit = min(g.limit, maxLimit)
}

// pickUnderLimit draws two random servers below their limits and returns the one with fewer active requests,
// or nil if all are at their limits.
func (b *balancer) pickUnderLimit(servers []*server) *server {
	atLimit := func(s *server) bool { return float64(s.active) >= s.gradient.currentLimit() }
	candidates := slices.DeleteFunc(slices.Clone(servers), atLimit)
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[b.rng.IntN(len(candidates))]
	second := candidates[b.rng.IntN(len(candidates))]
	if second.active < first.active {
		return second
	}
	return first
}
