package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxKeyShare is the fraction of a server's even share that one part of a split key may bring.
	maxKeyShare = 0.25
	// keyCountsPerPart is the number of requests counted per maxKeyShare of a server before all counts are
	// halved.
	keyCountsPerPart = 2.0
	// minKeyCount is the count below which a key is dropped.
	minKeyCount = 0.5
	// minUniform keeps the logarithm of a hash finite.
	minUniform = 1e-18
)

// keyPopularity counts the requests per key. It holds at most keyCountsPerPart/maxKeyShare keys per server.
type keyPopularity struct {
	counts map[uint64]float64
	total  float64
}

func newKeyPopularity() keyPopularity { return keyPopularity{counts: map[uint64]float64{}} }

// count counts a request of the key. If the total has reached maxTotal, all counts are halved first.
func (p *keyPopularity) count(key uint64, maxTotal float64) {
	if p.total >= maxTotal {
		p.total /= 2
		for k := range p.counts {
			p.counts[k] /= 2
			if p.counts[k] < minKeyCount {
				delete(p.counts, k)
			}
		}
	}
	p.total++
	p.counts[key]++
}

// hashKey returns the value that is hashed for a request of the key. A key with more than maxKeyShare of a
// server's share of this agent's requests is split at random into parts, each with its own order of servers:
// with many agents none has enough requests in flight for the bounded load to spread a popular key. While
// few requests have been counted each key has two parts.
func (b *Balancer) hashKey(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	maxParts := float64(len(b.servers)) / maxKeyShare
	b.keys.count(key, keyCountsPerPart*maxParts)
	parts := b.keys.counts[key] * maxParts / (b.keys.total + maxParts/2)
	if part := uint64(b.rng.Float64() * math.Ceil(parts)); part > 0 {
		return mix64(key + part)
	}
	return key
}

// score orders the servers for a request by weighted rendezvous hashing, lowest first: every agent of a zone
// finds the same order for a key, and a server's share of the keys is proportional to its weight. Without a
// key the order is that of ringOffset.
func (b *Balancer) score(r *request, s *server) float64 {
	weight := s.weight * b.loadShare(s)
	if s.zone == b.settings.Zone {
		weight *= b.locality.weight
	}
	if r.key == 0 {
		return s.ringOffset / weight
	}
	uniform := float64(mix64(r.hashKey^s.hash)>>11) / (1 << 53)
	return -math.Log(uniform+minUniform) / weight
}

// setRingOffsets sets the ringOffset of each server. Requests without a key go to the first server in that
// order that has capacity, so that an agent opens as many connections as it has requests in flight at once,
// instead of one to every server. Each agent starts at a different server, by its index.
func (b *Balancer) setRingOffsets() {
	ring := slices.Clone(b.servers)
	slices.SortFunc(ring, func(x, y *server) int { return cmp.Compare(x.hash, y.hash) })
	start := (float64(b.replicaSlot()) + 0.5) / float64(b.replicas())
	for i, s := range ring {
		s.ringOffset = (float64(i)+0.5)/float64(len(ring)) - start
		if s.ringOffset < 0 {
			s.ringOffset++
		}
	}
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
