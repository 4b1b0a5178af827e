package peers

import "ringtrack.example/ringtrack/policy"

// maxEjectionMs is Envoy's max_ejection_time.
const maxEjectionMs = 300_000

// outlierDetection is Envoy's: consecutive_5xx, base_ejection_time and max_ejection_percent. One server may
// be ejected whatever the percentage.
type outlierDetection struct {
	consecutiveFailures int
	baseEjectionMs      float64
	maxEjectionFraction float64
}

// detectOutlier counts consecutive failures and ejects the server when they reach the threshold.
func (b *balancer) detectOutlier(s *server, status policy.Status) {
	if status == policy.OK {
		s.consecutiveFailures = 0
		return
	}
	s.consecutiveFailures++
	if b.outlier == nil || s.consecutiveFailures < b.outlier.consecutiveFailures || s.ejectedUntil > b.now {
		return
	}
	ejected := b.ejectedServers()
	if ejected > 0 && float64(ejected+1) > b.outlier.maxEjectionFraction*float64(len(b.servers)) {
		return
	}
	s.consecutiveFailures = 0
	s.ejections++
	s.ejectedUntil = b.now + min(b.outlier.baseEjectionMs*float64(s.ejections), maxEjectionMs)
}

func (b *balancer) ejectedServers() int {
	n := 0
	for _, s := range b.servers {
		if s.ejectedUntil > b.now {
			n++
		}
	}
	return n
}
