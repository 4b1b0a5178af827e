package emulator

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Drawn times have the configured mean, and with exponent 1 the first key is about 10 times as frequent as
// the tenth.
func TestDistributionMeanAndZipfRatio(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, d := range []Distribution{{Kind: "exponential", MeanMs: 3}, {Kind: "lognormal", MeanMs: 3, Shape: 1}, {Kind: "pareto", MeanMs: 3, Shape: 3},
		{Kind: "bimodal", MeanMs: 3, Shape: 0.05, SlowFactor: 20}, {Kind: "fixed", MeanMs: 3}, {MeanMs: 3}} {
		if err := d.Check("service"); err != nil {
			t.Error(err)
		}
		sum := 0.0
		for range 400_000 {
			sum += d.draw(rng)
		}
		if got := sum / 400_000; math.Abs(got/3-1) > 0.02 {
			t.Errorf("%+v has a mean of %v, want 3 within 2 %%", d, got)
		}
	}
	z, count := newZipf(1000, 1), make([]int, 1000)
	for range 100_000 {
		count[z.draw(rng)]++
	}
	if r := float64(count[0]) / float64(count[9]); r < 8 || r > 12 {
		t.Errorf("the first key is %v times as frequent as the tenth", r)
	}
}
