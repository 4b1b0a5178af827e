package limits

import (
	"math"
	"math/rand/v2"
	"testing"
)

// share serves one request after the other to flows that ask with the given rates: of those that ask, the
// ones not over their portion first, of equals at random; so much of what is asked can be served.
func share(rng *rand.Rand, p *FairShare, weights, asks []float64, part float64, rounds int) []float64 {
	served := make([]float64, len(asks))
	total := 0.0
	for _, a := range asks {
		total += a
	}
	asked := make([]float64, len(asks))
	room := 0.0
	for range rounds {
		x := rng.Float64() * total
		for i, a := range asks {
			if x -= a; x < 0 {
				asked[i]++
				break
			}
		}
		for room += part; room >= 1; room-- {
			best, n := -1, 0.0
			for _, over := range []bool{false, true} {
				for i := range asked {
					if asked[i] > 0 && p.OverQuota(i) == over {
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
			asked[best]--
			served[best]++
			p.Served(best, weights)
		}
		for i := range asked {
			asked[i] = min(asked[i], 20) // who waits too long is given up
		}
	}
	return served
}

// Others are served as on a day without the greedy one, at 2, 5 and 20 times its portion, and it gets its own.
func TestGreedyFlowTakesNothingFromOthers(t *testing.T) {
	weights := []float64{0.44, 0.32, 0.13, 0.11}
	for _, times := range []float64{1, 2, 5, 20} {
		asks := []float64{0.44, 0.32, 0.13, 0.11}
		asks[3] *= times
		total := 0.0
		for _, a := range asks {
			total += a
		}
		rounds := int(20_000 * total)
		served := share(rand.New(rand.NewPCG(1, 9)), NewFairShare(4), weights, asks, 0.9/total, rounds)
		for i, s := range served {
			part := s / (20_000 * weights[i]) // of its portion of all that was asked for at once its portion
			if part < 0.88 || part > 0.93 && i != 3 {
				t.Errorf("at %v times: flow %d is served %.3f of its portion, want about 0.9", times, i, part)
			}
		}
	}
}

// What one leaves goes to the others by their weights; who was idle returns to its portion at once and pushes
// nobody aside for what it did not ask before.
func TestWhatOneLeavesGoesToOthers(t *testing.T) {
	weights := make([]float64, 10)
	asks := make([]float64, 10)
	for i := range weights {
		weights[i], asks[i] = 0.1, 0.2
	}
	asks[9] = 0
	rng := rand.New(rand.NewPCG(2, 9))
	p := NewFairShare(10)
	served := share(rng, p, weights, asks, 0.5, 10_000)
	for i, s := range served[:9] {
		if math.Abs(s-5000.0/9) > 30 {
			t.Errorf("flow %d got %v of 5,000 where nine ask for more than there is", i, s)
		}
	}
	asks[9] = 0.2
	served = share(rng, p, weights, asks, 0.5, 200)
	if served[9] < 7 || served[9] > 10+portionDepth+3 {
		t.Errorf("the one that returned got %v of 100, want about 10 and at most %v more at first", served[9], portionDepth)
	}
}

func TestPortionsBadInput(t *testing.T) {
	p := NewFairShare(3)
	one := []float64{1, 1, 1}
	p.Served(-1, one)
	p.Served(3, one)
	for i := range 3 {
		if p.OverQuota(i) || p.UnderQuota(i) {
			t.Errorf("flow %d moved by a flow that does not exist", i)
		}
	}
	for range 100 {
		p.Served(0, []float64{math.NaN(), -1, 0})
	}
	if !p.OverQuota(0) || p.OverQuota(1) || p.UnderQuota(1) || p.OverQuota(-1) || p.UnderQuota(7) {
		t.Error("weights that make no sense gave something")
	}
	for range 100 {
		p.Served(0, one)
	}
	if p.due[0] < -portionDepth || !p.UnderQuota(1) || p.due[1] > portionDepth {
		t.Errorf("due %v: not within its depth", p.due)
	}
	NewFairShare(0).Served(0, one)
	p = NewFairShare(3)
	if p.Served(0, one[:2]); p.OverQuota(0) {
		t.Error("charged by weights that are not the flows'")
	}
}

// 10,000 steps of random flows: dues stay bounded numbers, and a flow that is never served is never over.
func TestPortionsWalk(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 4))
		n := 2 + rng.IntN(30)
		p := NewFairShare(n)
		weights := make([]float64, n)
		for step := range 10_000 {
			weights[rng.IntN(n)] = rng.Float64()
			p.Served(1+rng.IntN(n-1), weights)
			for i, d := range p.due {
				if !(d >= -portionDepth && d <= portionDepth) {
					t.Fatalf("seed %d step %d: flow %d has %v due", seed, step, i, d)
				}
			}
			if p.OverQuota(0) {
				t.Fatalf("seed %d step %d: over without having been served", seed, step)
			}
		}
	}
}

func TestPatience(t *testing.T) {
	var p QueueTimeout
	p.QueueLength(1000, 0)
	p.QueueLength(2000, 5)
	if w := p.Fraction(2000, 1500, 0.05); w != longest {
		t.Errorf("in a burst: %v, want %v", w, longest)
	}
	if w := p.Fraction(2600, 1500, 0); w != longest {
		t.Errorf("nothing known of calm: %v, want %v", w, longest)
	}
	if w := p.Fraction(2600, 1500, 0.05); w != longest {
		t.Errorf("a queue that stands while nothing is refused: %v, want %v", w, longest)
	}
	for range 5000 {
		p.RequestEnded(false)
	}
	if w := p.Fraction(2600, 1500, 0.05); math.Abs(w-3*0.05) > 1e-3 {
		t.Errorf("a queue that stands, all refused: %v, want three calm answers", w)
	}
	if w := p.Fraction(2600, 1500, 0.3); w != longest {
		t.Errorf("long answers: %v, want %v at the most", w, longest)
	}
	p.QueueLength(2600, 0)
	if w := p.Fraction(2700, 1500, 0.05); w != longest {
		t.Errorf("it was empty just now: %v, want %v", w, longest)
	}
	last := 0.0
	for range 5000 { // what is served makes it longer again, step by step
		w := p.Fraction(9000, 1500, 0.05)
		if w < last-1e-12 || w > longest {
			t.Fatalf("patience %v after %v", w, last)
		}
		last = w
		p.RequestEnded(true)
	}
	if last != longest && math.Abs(last-longest) > 1e-3 {
		t.Errorf("all served again: %v, want %v", last, longest)
	}
}

// The part that is refused is the part that was asked for, and the worth least.
func TestLevels(t *testing.T) {
	for _, part := range []float64{0, 0.1, 0.5, 0.8, 1} {
		rng := rand.New(rand.NewPCG(3, 9))
		var l LoadShedder
		refused, of := map[float64]int{}, map[float64]int{}
		all := 0
		for i := range 50_000 {
			worth := []float64{1, 1, 1, 2, 5}[rng.IntN(5)]
			if l.Sheds(worth, part, rng.Float64()) && i >= levelsOf {
				refused[worth]++
				all++
			}
			of[worth]++
		}
		if got := float64(all) / 50_000; math.Abs(got-part) > 0.02 {
			t.Errorf("part %v: %.3f refused", part, got)
		}
		if one := float64(refused[1]) / float64(of[1]); part < 0.6 && math.Abs(one-part/0.6) > 0.04 {
			t.Errorf("part %v: %.3f of the least worth refused", part, one)
		}
		if part <= 0.5 && refused[5] > 0 {
			t.Errorf("part %v: %d of the most worth refused", part, refused[5])
		}
	}
	var l LoadShedder
	for range 3 * levelsOf {
		if l.Sheds(math.NaN(), 0, 0.5) || l.Sheds(1, 0, 0) {
			t.Fatal("refused though nothing is to be")
		}
	}
	if l.Sheds(1, 0.4, 0) || !l.Sheds(math.NaN(), 0.1, 0.01) {
		t.Error("a worth that is no number is not the least")
	}
	if l.seen > 2*levelsOf {
		t.Errorf("%d seen: the count grows", l.seen)
	}
}

// What requests are worth moves: while it falls each is worth less than all before it. Some must pass all the same,
// or nothing is ever learned that lets more pass; and while it rises nothing changes.
func TestLevelsLetSomePassWhileWorthFalls(t *testing.T) {
	for _, c := range []struct {
		part, step float64
		most       int // refused in a row
	}{{0.8, 0.999, 12}, {0.5, 0.999, 12}, {0.1, 0.999, 12}, {0.9, 0.999, 24}, {0.8, 0.98, 12}, {0.8, 1.001, 12}} {
		rng := rand.New(rand.NewPCG(4, 4))
		var l LoadShedder
		worth, row, longest, passed := 1.0, 0, 0, 0
		for range 5000 {
			worth *= c.step
			if l.Sheds(worth, c.part, rng.Float64()) {
				row++
				longest = max(longest, row)
				continue
			}
			row = 0
			passed++
		}
		if longest > c.most {
			t.Errorf("part %v, worth times %v each: %d refused in a row, over %d; %d of 5000 passed", c.part, c.step, longest, c.most, passed)
		}
	}
	var l LoadShedder
	for range 1000 {
		if l.Sheds(1, 1, 0.5) && l.row == 0 {
			t.Error("a row that is not counted")
		}
	}
	if l.row != 1000-1 && l.row != 1000 {
		t.Errorf("%d refused in a row of 1000 that all are to be", l.row)
	}
}
