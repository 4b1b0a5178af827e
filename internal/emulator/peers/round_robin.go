package peers

import (
	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

// maxFirstIndex bounds the random start index of a balancer.
const maxFirstIndex = 1 << 20

// RoundRobin picks the usable servers in turn.
func RoundRobin(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newEnvoyBalancer(settings, seed)
	next := b.rng.IntN(maxFirstIndex)
	b.pick = func(r *request) *server {
		servers := b.usable(r.tried)
		if len(servers) == 0 {
			return nil
		}
		next++
		return servers[next%len(servers)]
	}
	return b, nil
}
