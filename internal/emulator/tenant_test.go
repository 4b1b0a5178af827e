package emulator

import (
	"math"
	"testing"
)

// A token bucket allows its rate, and a burst of one second at most.
func TestTokenBucketAllowsItsRate(t *testing.T) {
	m := tokenBucket{perS: 100, tokens: 100}
	for _, gap := range []Time{Millisecond, 5 * Millisecond, 50 * Millisecond} {
		now, n, all := m.refilledAt, 0, int(10*Second/gap)
		for range all {
			if now += gap; m.allow(now) {
				n++
			}
		}
		if want := min(float64(all), 1000); math.Abs(float64(n)-want) > 101 {
			t.Errorf("every %d ms: %d of %d in 10 s at 100 a second", gap/Millisecond, n, all)
		}
	}
}

// What a tenant is served counts against its quota, not against all that it requests.
func TestTenantsAreMeasuredByTheirQuota(t *testing.T) {
	r := play(t, overloadScenario())
	if len(r.Tenants) != 2 || r.Tenants[0] < 0.95 || r.Tenants[1] < 0.8 {
		t.Errorf("a requests its quota, b three times its own: served fractions %v", r.Tenants)
	}
	if r.WeightedGoodput < r.Goodput+0.1 {
		t.Errorf("weighted goodput %.3f, goodput %.3f: requests beyond the quota count in full", r.WeightedGoodput, r.Goodput)
	}
}
