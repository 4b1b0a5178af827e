package concurrency

import (
	"math/rand/v2"
	"testing"
)

func TestRecentKeysAreBoundedInTimeAndNumber(t *testing.T) {
	r := NewRecentKeys(3000, 100)
	r.Add(0, 0)
	if r.Contains(0, 0) || r.Contains(0, 5) {
		t.Error("recent without having been sent")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	sent := map[uint64]float64{}
	for now := 0.0; now < 60_000; now += 20 { // below 100 keys in each generation, so none may be lost
		key := rng.Uint64N(80) + 1
		r.Add(now, key)
		sent[key] = now
		for k, at := range sent {
			if got, want := r.Contains(now, k), now-at < 3000; got != want {
				t.Fatalf("at %v key %d, sent at %v: recent %v", now, k, at, got)
			}
		}
	}
	for now := 60_000.0; now < 61_000; now++ {
		r.Add(now, rng.Uint64())
		if n := len(r.current) + len(r.previous); n > 200 {
			t.Fatalf("%d keys remembered, at most 200", n)
		}
	}
}
