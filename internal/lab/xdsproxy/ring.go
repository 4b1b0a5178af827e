package xdsproxy

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// maxRingGrowth bounds the ring, as a multiple of its minimum size.
const maxRingGrowth = 8

// ringEntry is one of a server's entries on the ring.
type ringEntry struct {
	hash uint64
	addr string
}

// buildRing gives each server entries in proportion to its share, as ketama rings do: so many that the
// smallest share has at least one.
func (t *Table) buildRing(shares map[string]float64, smallest float64, minSize uint64) (ring []ringEntry) {
	if len(shares) == 0 {
		return nil
	}
	scale := math.Ceil(smallest*float64(minSize)) / smallest
	scale = min(scale, maxRingGrowth*float64(minSize))
	current, target := 0.0, 0.0
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		share, ok := shares[e.ID]
		if !ok {
			continue
		}
		target += share * scale
		for n := 0; current < target; n++ {
			ring = append(ring, ringEntry{hash(fmt.Sprintf("%s_%d", e.ID, n)), e.Addr})
			current++
		}
	}
	slices.SortFunc(ring, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// hash is FNV-1a with the finalizer of splitmix64.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Pick returns the address of the first server from the key's place on the ring that is within its bounded
// load; inFlight returns how many requests an address has, nil leaves the load unbounded. Addresses in avoid
// are selected only if there is no other. It returns "" if there is no server.
func (t *Table) Pick(key string, inFlight func(addr string) int, avoid map[string]bool) string {
	if t.ring == nil {
		return ""
	}
	ring := t.ring()
	keyHash := hash(key)
	start := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= keyHash })
	total := 0
	if t.boundedLoad > 0 && inFlight != nil {
		for addr := range t.shares {
			total += inFlight(addr)
		}
	}
	seen := map[string]bool{}
	fallback := ""
	for i := range ring {
		addr := ring[(start+i)%len(ring)].addr
		if seen[addr] {
			continue
		}
		seen[addr] = true
		if fallback == "" || !avoid[addr] {
			fallback = addr
		}
		bound := math.Ceil(t.boundedLoad * float64(total+1) * t.shares[addr])
		if !avoid[addr] && (t.boundedLoad == 0 || inFlight == nil || float64(inFlight(addr)) < bound) {
			return addr
		}
		if len(seen) == len(t.shares) {
			break
		}
	}
	return fallback
}
