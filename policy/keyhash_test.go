package policy

import "testing"

// A key with a large share of the traffic must not go to a single server, even if no agent has more than one
// of its requests in flight. Other keys stay on few servers.
func TestPopularKeyIsSplit(t *testing.T) {
	r := newHarness(t, testSettings(), 20)
	r.splitKeys = true
	popular, rare := map[Addr]bool{}, map[Addr]bool{}
	for i := range 4000 {
		r.now += 20
		key := 1000 + r.b.rng.Uint64N(1000)
		if i%5 == 0 {
			key = 7
		} else if i%100 == 1 {
			key = 8
		}
		id, s := r.mustForward(0, key)
		r.endAttempt(id, 0, s, OK, 10)
		switch key {
		case 7:
			popular[s] = true
		case 8:
			rare[s] = true
		}
	}
	if len(popular) < 8 || len(rare) > 5 {
		t.Errorf("a fifth of all requests went to %d servers, a hundredth to %d", len(popular), len(rare))
	}
}
