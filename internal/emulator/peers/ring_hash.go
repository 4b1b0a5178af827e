package peers

import (
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

const (
	// pointsPerServer is the number of points of a server on the ring.
	pointsPerServer = 100
	// balanceFactor is Envoy's hash_balance_factor of 150.
	balanceFactor = 1.5
	// pointSpacing is 2^64 divided by the golden ratio; it separates the hash inputs of a server's points.
	pointSpacing = 0x9e3779b97f4a7c15

	fnvOffset = 1469598103934665603
	fnvPrime  = 1099511628211
)

// ringPoint is one of a server's points on the ring.
type ringPoint struct {
	hash   uint64
	server *server
}

// RingHash is Envoy's RING_HASH with bounded loads: the first server on the ring from the hash of the key on
// that has at most 1.5 times the mean of active requests (Mirrokni, Thorup and Zadimoghaddam, "Consistent
// Hashing with Bounded Loads").
func RingHash(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newEnvoyBalancer(settings, seed)
	var ring []ringPoint
	b.endpointsChanged = func() { ring = buildRing(ring[:0], b.servers) }
	b.pick = func(r *request) *server {
		if r.key == 0 {
			s, _ := b.twoRandom()
			return s
		}
		servers := b.usable(r.tried)
		if len(servers) == 0 {
			return nil
		}
		return pickFromRing(ring, servers, mix(r.key))
	}
	return b, nil
}

// buildRing appends the points of all servers to ring and sorts it by hash.
func buildRing(ring []ringPoint, servers []*server) []ringPoint {
	for _, s := range servers {
		hash := uint64(fnvOffset)
		for _, octet := range s.addr {
			hash = (hash ^ uint64(octet)) * fnvPrime
		}
		for i := range uint64(pointsPerServer) {
			ring = append(ring, ringPoint{mix(hash + i*pointSpacing), s})
		}
	}
	slices.SortFunc(ring, func(x, y ringPoint) int {
		if x.hash < y.hash {
			return -1
		}
		return 1
	})
	return ring
}

// pickFromRing returns the first of the servers on the ring from a hash on that is within the bound of active
// requests.
func pickFromRing(ring []ringPoint, servers []*server, hash uint64) *server {
	total := 1
	for _, s := range servers {
		total += s.active
	}
	bound := math.Ceil(balanceFactor * float64(total) / float64(len(servers)))
	first, _ := slices.BinarySearchFunc(ring, hash, func(p ringPoint, hash uint64) int {
		if p.hash < hash {
			return -1
		}
		return 1
	})
	for i := range ring {
		s := ring[(first+i)%len(ring)].server
		if slices.Contains(servers, s) && float64(s.active+1) <= bound {
			return s
		}
	}
	return servers[0]
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
