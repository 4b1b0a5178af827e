package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// keyPart is the part of a server's even share that one part of a split key may bring.
	keyPart = 0.25
	// keyMemory is the number of requests counted for each such part before all counts are halved.
	keyMemory = 2.0
)

// spot is where a key's hash starts. A key with more than keyPart of a server's share of
// this agent's requests is split at random into parts, each with an order of its own: of
// many agents none has enough in flight for the cap to move a popular key on (ia9314f:
// one server got 18 times the mean). While little is known each key has two parts.
func (b *Balancer) spot(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	all := float64(len(b.servers)) / keyPart
	b.countKey(key, keyMemory*all)
	parts := b.keys[key] * all / (b.keyed + all/2)
	if i := uint64(b.rng.Float64() * math.Ceil(parts)); i > 0 {
		return mix(key + i)
	}
	return key
}

// countKey counts a request of the key; counts are halved when there are too many.
func (b *Balancer) countKey(key uint64, most float64) {
	if b.keyed >= most {
		b.keyed /= 2
		for k := range b.keys {
			if b.keys[k] /= 2; b.keys[k] < 0.5 {
				delete(b.keys, k)
			}
		}
	}
	b.keyed++
	b.keys[key]++
}

// score orders servers by weighted rendezvous hashing: every agent of a zone
// finds the same order for a key, and a server's share of keys is that of its weight.
func (b *Balancer) score(r *request, s *server) float64 {
	x := mix(r.spot ^ s.hash)
	w := s.weight * b.coldShare(s)
	if s.zone == b.set.Zone {
		w *= b.own
	}
	if r.key == 0 {
		return s.ahead / w
	}
	u := float64(x>>11) / (1 << 53)
	return -math.Log(u+1e-18) / w
}

// placeServers gives each server its place in the agent's walk round all of them: requests
// without a key go to the first on it that has room, so that an agent opens as many
// connections as it has requests out at once, and not one to every server, each for a
// handshake. The agents begin their walks one after the other.
func (b *Balancer) placeServers() {
	round := slices.Clone(b.servers)
	slices.SortFunc(round, func(x, y *server) int { return cmp.Compare(x.hash, y.hash) })
	from := (float64(max(b.set.ReplicaIndex, 0)%b.agents()) + 0.5) / float64(b.agents())
	for i, s := range round {
		s.ahead = (float64(i)+0.5)/float64(len(round)) - from
		if s.ahead < 0 {
			s.ahead++
		}
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
