package policy

import "testing"

// Crossing zones takes time and has a price: the own zone gets a larger share of the keys than its share of
// the servers, but servers of the other zone are used too.
func TestOwnZoneIsPreferredForKeys(t *testing.T) {
	r := newHarness(t, testSettings(), 6) // alternating in zones 0 and 1; this agent is in 0
	own, used, all := 0, map[Addr]bool{}, 600
	for key := range uint64(all) {
		id, s := r.mustForward(0, mix64(key+1))
		r.endAttempt(id, 0, s, OK, 20)
		used[s] = true
		if r.b.byAddr[s].zone == 0 {
			own++
		}
	}
	if share := float64(own) / float64(all); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("own zone got %.2f of the keys over %d servers, want about 0.6 over 6", share, len(used))
	}
}

// Crossing zones has a price, but one zone may have more traffic than its servers can handle.
func TestLocalityWeightFollowsServiceInTime(t *testing.T) {
	weight := func(price, rtt float64) float64 {
		set := testSettings()
		set.Prices.CrossZone = price
		r := newHarness(t, set, 6)
		for range 400 {
			r.now += 500
			id, actions := r.request(0, r.b.rng.Uint64())
			if a := findAction(actions, ActionForward); a != nil {
				r.now += rtt
				r.endAttempt(id, 0, a.Server, OK, rtt)
			}
		}
		return r.b.locality.weight
	}
	if w := weight(0.1, 20); w < 4 {
		t.Errorf("own zone in time: weight %.1f, want at least 4", w)
	}
	for _, w := range []float64{weight(0.1, 500), weight(0, 20)} {
		if w != MinLocalityWeight {
			t.Errorf("own zone late, or crossing without a price: weight %.1f, want the lower bound", w)
		}
	}
}
