package peers

import (
	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

// Random picks a server at random, and retries once.
func Random(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newBalancer(settings, seed)
	b.retry = retryPolicy{max: 1, budget: 0.2, minInFlight: 3}
	b.pick = func(*request) *server {
		s, _ := b.twoRandom()
		return s
	}
	return b, nil
}
