package emulator

import (
	"math"
	"testing"
)

// A token bucket allows its rate, and at most a burst of one second's tokens.
func TestTokenBucketAllowsItsRate(t *testing.T) {
	m := tokenBucket{perS: 100, tokens: 100}
	for _, gap := range []Time{Millisecond, 5 * Millisecond, 50 * Millisecond} {
		now, allowed, events := m.refilledAt, 0, int(10*Second/gap)
		for range events {
			if now += gap; m.allow(now) {
				allowed++
			}
		}
		if want := min(float64(events), 1000); math.Abs(float64(allowed)-want) > 101 {
			t.Errorf("an event every %d ms: %d of %d allowed in 10 s at 100 per second", gap/Millisecond, allowed, events)
		}
	}
}

// Served requests of a tenant are measured against its quota, not against all its requests.
func TestTenantsAreMeasuredByTheirQuota(t *testing.T) {
	r := runProduct(t, overloadScenario())
	if len(r.Tenants) != 2 || r.Tenants[0] < 0.95 || r.Tenants[1] < 0.8 {
		t.Errorf("a requests its quota, b three times its own: served fractions %v", r.Tenants)
	}
	if r.WeightedGoodput < r.Goodput+0.1 {
		t.Errorf("weighted goodput %.3f, goodput %.3f: requests beyond the quota count in full", r.WeightedGoodput, r.Goodput)
	}
}
