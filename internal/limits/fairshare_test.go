package limits

import (
	"math"
	"math/rand/v2"
	"testing"
)

// serve simulates flows that send requests at the given rates and returns the number served of each.
// Requests of flows that are not over their quota are served first, ties are broken at random. fraction is
// the fraction of the requests that can be served.
func serve(rng *rand.Rand, f *FairShare, weights, rates []float64, fraction float64, rounds int) []float64 {
	served := make([]float64, len(rates))
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	queued := make([]float64, len(rates))
	capacity := 0.0
	for range rounds {
		x := rng.Float64() * total
		for i, rate := range rates {
			if x -= rate; x < 0 {
				queued[i]++
				break
			}
		}
		for capacity += fraction; capacity >= 1; capacity-- {
			best, n := -1, 0.0
			for _, over := range []bool{false, true} {
				for i := range queued {
					if queued[i] > 0 && f.OverQuota(i) == over {
						if n++; rng.Float64()*n < 1 {
							best = i
						}
					}
				}
				if best >= 0 {
					break
				}
			}
			if best < 0 {
				break
			}
			queued[best]--
			served[best]++
			f.Served(best, weights)
		}
		for i := range queued {
			queued[i] = min(queued[i], 20) // requests that wait too long are abandoned
		}
	}
	return served
}

// A flow that sends 2, 5 or 20 times its quota gets its quota, and the other flows are served as without
// it.
func TestFlowOverItsQuotaDoesNotAffectOtherFlows(t *testing.T) {
	weights := []float64{0.44, 0.32, 0.13, 0.11}
	for _, times := range []float64{1, 2, 5, 20} {
		rates := []float64{0.44, 0.32, 0.13, 0.11}
		rates[3] *= times
		total := 0.0
		for _, rate := range rates {
			total += rate
		}
		rounds := int(20_000 * total)
		served := serve(rand.New(rand.NewPCG(1, 9)), NewFairShare(4), weights, rates, 0.9/total, rounds)
		for i, s := range served {
			fraction := s / (20_000 * weights[i]) // of its quota
			if fraction < 0.88 || fraction > 0.93 && i != 3 {
				t.Errorf("at %v times: flow %d is served %.3f of its quota, want about 0.9", times, i, fraction)
			}
		}
	}
}

// The unused quota of a flow goes to the others by their weights. A flow that was idle gets its quota again
// at once, and does not displace the others to make up for the time before.
func TestUnusedQuotaGoesToOtherFlows(t *testing.T) {
	weights := make([]float64, 10)
	rates := make([]float64, 10)
	for i := range weights {
		weights[i], rates[i] = 0.1, 0.2
	}
	rates[9] = 0
	rng := rand.New(rand.NewPCG(2, 9))
	p := NewFairShare(10)
	served := serve(rng, p, weights, rates, 0.5, 10_000)
	for i, s := range served[:9] {
		if math.Abs(s-5000.0/9) > 30 {
			t.Errorf("flow %d got %v of 5,000 where nine request more than can be served", i, s)
		}
	}
	rates[9] = 0.2
	served = serve(rng, p, weights, rates, 0.5, 200)
	if served[9] < 7 || served[9] > 10+maxBalance+3 {
		t.Errorf("the flow that was idle got %v of 100, want about 10 and at most %v more at first",
			served[9], maxBalance)
	}
}

func TestFairShareIgnoresInvalidInput(t *testing.T) {
	p := NewFairShare(3)
	one := []float64{1, 1, 1}
	p.Served(-1, one)
	p.Served(3, one)
	for i := range 3 {
		if p.OverQuota(i) || p.UnderQuota(i) {
			t.Errorf("flow %d changed by a flow that does not exist", i)
		}
	}
	for range 100 {
		p.Served(0, []float64{math.NaN(), -1, 0})
	}
	if !p.OverQuota(0) || p.OverQuota(1) || p.UnderQuota(1) || p.OverQuota(-1) || p.UnderQuota(7) {
		t.Error("invalid weights changed a balance, or the flow was not charged")
	}
	for range 100 {
		p.Served(0, one)
	}
	if p.balances[0] < -maxBalance || !p.UnderQuota(1) || p.balances[1] > maxBalance {
		t.Errorf("balances %v: not within maxBalance", p.balances)
	}
	NewFairShare(0).Served(0, one)
	p = NewFairShare(3)
	if p.Served(0, one[:2]); p.OverQuota(0) {
		t.Error("charged with weights of another number of flows")
	}
}

// On a random walk of 10,000 steps balances stay bounded, and a flow that is never served is never over its
// quota.
func TestFairShareBalancesStayInBoundsOnRandomWalk(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 4))
		n := 2 + rng.IntN(30)
		p := NewFairShare(n)
		weights := make([]float64, n)
		for step := range 10_000 {
			weights[rng.IntN(n)] = rng.Float64()
			p.Served(1+rng.IntN(n-1), weights)
			for i, d := range p.balances {
				if !(d >= -maxBalance && d <= maxBalance) {
					t.Fatalf("seed %d step %d: flow %d has balance %v", seed, step, i, d)
				}
			}
			if p.OverQuota(0) {
				t.Fatalf("seed %d step %d: flow 0 is over its quota without having been served", seed, step)
			}
		}
	}
}
