package peers

import (
	"slices"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

// LeastRequest is Envoy's LEAST_REQUEST with equal weights: it draws two random servers and picks the one
// with fewer active requests (Envoy's pages "Supported load balancers", "Outlier detection", "Panic
// threshold", "Circuit breaking").
func LeastRequest(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newEnvoyBalancer(settings, seed)
	b.pick = func(r *request) *server {
		first, second := b.twoRandom()
		if first != nil && (second.active < first.active || slices.Contains(r.tried, first)) {
			return second
		}
		return first
	}
	return b, nil
}
