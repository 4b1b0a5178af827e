package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Distribution is a distribution of times, by its mean and a shape.
type Distribution struct {
	// Kind is "fixed", "exponential", "lognormal" (Shape: sigma of the logarithm), "pareto" (Shape: the
	// tail's index, above 1) or "bimodal" (Shape: the part that is slow; Times: how much slower).
	Kind       string  `toml:"kind"`
	MeanMs     float64 `toml:"mean_ms"`
	Shape      float64 `toml:"shape"`
	SlowFactor float64 `toml:"times"`
}

// Check says what makes a distribution unusable; the error names the key.
func (d *Distribution) Check(at string) error {
	if !(d.MeanMs >= 0 && d.MeanMs <= 86_400_000) {
		return fmt.Errorf("%s.mean_ms: must be 0 to 86400000, is %v", at, d.MeanMs)
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
		return fmt.Errorf("%s.kind: %q is none of fixed, exponential, lognormal, pareto, bimodal", at, d.Kind)
	}
	if !ok {
		return fmt.Errorf("%s.shape: %v, times %v: out of the range of %s", at, d.Shape, d.SlowFactor, d.Kind)
	}
	return nil
}

// draw is a time in ms.
func (d *Distribution) draw(rng *rand.Rand) float64 {
	switch d.Kind {
	case "exponential":
		return d.MeanMs * rng.ExpFloat64()
	case "lognormal":
		return d.MeanMs * math.Exp(d.Shape*rng.NormFloat64()-d.Shape*d.Shape/2)
	case "pareto":
		return d.MeanMs * (d.Shape - 1) / d.Shape * math.Pow(1-rng.Float64(), -1/d.Shape)
	case "bimodal":
		// Of mean one: the quick part takes q, the slow part q times Times.
		q := d.MeanMs / (1 - d.Shape + d.Shape*d.SlowFactor)
		if rng.Float64() < d.Shape {
			return q * d.SlowFactor
		}
		return q
	}
	return d.MeanMs
}

// fromMs is a time in ms as virtual time; a day at the most.
func fromMs(ms float64) Time { return Time(min(ms, 86_400_000) * float64(Millisecond)) }

// zipf draws ranks from 0 to n-1 with a probability that falls as rank^-s; s 0 is even. It inverts the
// cumulated weights, which go with any s, where math/rand's needs s above 1.
type zipf struct{ sum []float64 }

func newZipf(n int, s float64) *zipf {
	z := &zipf{sum: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -s)
		z.sum[i] = total
	}
	return z
}

func (z *zipf) draw(rng *rand.Rand) int {
	u := rng.Float64() * z.sum[len(z.sum)-1]
	lo, hi := 0, len(z.sum)-1
	for lo < hi {
		if mid := (lo + hi) / 2; z.sum[mid] > u {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}
