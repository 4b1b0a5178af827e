package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// maxTimeMs bounds drawn times and configured means: one day.
const maxTimeMs = 86_400_000

// Distribution is a distribution of times, given by its mean and shape.
type Distribution struct {
	// Kind is "fixed" (the default), "exponential", "lognormal" (Shape: standard deviation of the logarithm),
	// "pareto" (Shape: the tail index, above 1) or "bimodal" (Shape: the fraction of slow values; SlowFactor:
	// the ratio of slow to fast values).
	Kind       string  `toml:"kind"`
	MeanMs     float64 `toml:"mean_ms"`
	Shape      float64 `toml:"shape"`
	SlowFactor float64 `toml:"times"`
}

// Check returns an error that names the first invalid key; key is the key of the distribution.
func (d *Distribution) Check(key string) error {
	if !(d.MeanMs >= 0 && d.MeanMs <= maxTimeMs) {
		return fmt.Errorf("%s.mean_ms: must be from 0 to %d, is %v", key, maxTimeMs, d.MeanMs)
	}
	ok := false
	switch d.Kind {
	case "", "fixed", "exponential":
		ok = true
	case "lognormal":
		ok = d.Shape >= 0 && d.Shape <= 5
	case "pareto":
		ok = d.Shape > 1 && d.Shape <= 100
	case "bimodal":
		ok = d.Shape >= 0 && d.Shape <= 1 && d.SlowFactor >= 1 && d.SlowFactor <= 1e6
	default:
		return fmt.Errorf("%s.kind: %q is not one of fixed, exponential, lognormal, pareto, bimodal", key, d.Kind)
	}
	if !ok {
		return fmt.Errorf("%s.shape: %v with times %v is out of range for %s", key, d.Shape, d.SlowFactor, d.Kind)
	}
	return nil
}

// draw returns a random time in ms.
func (d *Distribution) draw(rng *rand.Rand) float64 {
	switch d.Kind {
	case "exponential":
		return d.MeanMs * rng.ExpFloat64()
	case "lognormal":
		return d.MeanMs * math.Exp(d.Shape*rng.NormFloat64()-d.Shape*d.Shape/2)
	case "pareto":
		return d.MeanMs * (d.Shape - 1) / d.Shape * math.Pow(1-rng.Float64(), -1/d.Shape)
	case "bimodal":
		fast := d.MeanMs / (1 - d.Shape + d.Shape*d.SlowFactor)
		if rng.Float64() < d.Shape {
			return fast * d.SlowFactor
		}
		return fast
	}
	return d.MeanMs
}

// fromMs converts ms to virtual time; more than a day counts as a day.
func fromMs(ms float64) Time { return Time(min(ms, maxTimeMs) * float64(Millisecond)) }

// fromSeconds converts seconds to virtual time.
func fromSeconds(s float64) Time { return Time(s * float64(Second)) }

// zipf draws ranks from 0 to n-1 with a probability proportional to (rank+1)^-s; s = 0 is the uniform
// distribution. Unlike rand.Zipf it supports s <= 1.
type zipf struct {
	cumulative []float64 // sums of the weights up to each rank
}

func newZipf(n int, s float64) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -s)
		z.cumulative[i] = total
	}
	return z
}

// draw returns the first rank whose cumulative weight is above a random one.
func (z *zipf) draw(rng *rand.Rand) int {
	last := len(z.cumulative) - 1
	x := rng.Float64() * z.cumulative[last]
	return sort.Search(last, func(i int) bool { return z.cumulative[i] > x })
}
