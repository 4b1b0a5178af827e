package emulator

import (
	"testing"
)

// A cache that holds all keys raises goodput under overload, one of one key for each worker hardly. Keys
// expire, and the cache does not exceed its size.
func TestCachedKeysSaveWork(t *testing.T) {
	goodput := func(w KeyCache) float64 {
		s := overloadScenario()
		s.Tenants, s.Servers[0].KeyCache = nil, w
		return runProduct(t, s).Goodput
	}
	none, few, many := goodput(KeyCache{}), goodput(KeyCache{SavedFraction: 0.6, TTLMs: 3000, KeysPerWorker: 1}), goodput(KeyCache{SavedFraction: 0.6, TTLMs: 3000, KeysPerWorker: 100})
	if many < none+0.1 || few > (none+many)/2 {
		t.Errorf("goodput %.3f without a cache, %.3f with one key for each worker, %.3f with all keys", none, few, many)
	}
	m := recentKeys{}
	w := &KeyCache{SavedFraction: 0.5, TTLMs: 100, KeysPerWorker: 2}
	for i, c := range []struct {
		at   Time
		key  uint64
		left float64
	}{{0, 1, 1}, {50, 1, 0.5}, {149, 1, 0.5}, {249, 1, 1}, {250, 2, 1}, {251, 3, 1}, {252, 1, 1}, {253, 0, 1}} {
		if got := m.observe(w, 1, c.at*Millisecond, c.key); got != c.left {
			t.Errorf("step %d: fraction of the work %v, want %v", i, got, c.left)
		}
		if len(m.lastSeen) > 2 {
			t.Fatalf("step %d: %d keys cached, at most 2", i, len(m.lastSeen))
		}
	}
}
