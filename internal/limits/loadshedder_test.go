package limits

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The given fraction of the requests is shed, those of the lowest priority.
func TestLoadShedderShedsLowestPriority(t *testing.T) {
	for _, fraction := range []float64{0, 0.1, 0.5, 0.8, 1} {
		rng := rand.New(rand.NewPCG(3, 9))
		var l LoadShedder
		shed, arrived := map[float64]int{}, map[float64]int{}
		all := 0
		for i := range 50_000 {
			priority := []float64{1, 1, 1, 2, 5}[rng.IntN(5)]
			if l.Sheds(priority, fraction, rng.Float64()) && i >= comparedRequests {
				shed[priority]++
				all++
			}
			arrived[priority]++
		}
		if got := float64(all) / 50_000; math.Abs(got-fraction) > 0.02 {
			t.Errorf("fraction %v: %.3f shed", fraction, got)
		}
		if one := float64(shed[1]) / float64(arrived[1]); fraction < 0.6 && math.Abs(one-fraction/0.6) > 0.04 {
			t.Errorf("fraction %v: %.3f of the lowest priority shed", fraction, one)
		}
		if fraction <= 0.5 && shed[5] > 0 {
			t.Errorf("fraction %v: %d of the highest priority shed", fraction, shed[5])
		}
	}
	var l LoadShedder
	for range 3 * comparedRequests {
		if l.Sheds(math.NaN(), 0, 0.5) || l.Sheds(1, 0, 0) {
			t.Fatal("shed with fraction 0")
		}
	}
	if l.Sheds(1, 0.4, 0) || !l.Sheds(math.NaN(), 0.1, 0.01) {
		t.Error("a priority of NaN is not the lowest")
	}
	if l.seen > 2*comparedRequests {
		t.Errorf("%d seen: the count is not bounded", l.seen)
	}
}

// While priorities fall, each request is lower than all before it and would be shed. Some must be admitted
// nevertheless, or no measurement ends the shedding. While priorities rise this limit has no effect.
func TestLoadShedderAdmitsSomeWhilePrioritiesFall(t *testing.T) {
	for _, c := range []struct {
		fraction, step float64
		maxRun         int // shed in a row
	}{{0.8, 0.999, 12}, {0.5, 0.999, 12}, {0.1, 0.999, 12}, {0.9, 0.999, 24}, {0.8, 0.98, 12}, {0.8, 1.001, 12}} {
		rng := rand.New(rand.NewPCG(4, 4))
		var l LoadShedder
		priority, run, longestRun, admitted := 1.0, 0, 0, 0
		for range 5000 {
			priority *= c.step
			if l.Sheds(priority, c.fraction, rng.Float64()) {
				run++
				longestRun = max(longestRun, run)
				continue
			}
			run = 0
			admitted++
		}
		if longestRun > c.maxRun {
			t.Errorf("fraction %v, priority times %v each: %d shed in a row, over %d; %d of 5000 admitted",
				c.fraction, c.step, longestRun, c.maxRun, admitted)
		}
	}
	var l LoadShedder
	for range 1000 {
		if l.Sheds(1, 1, 0.5) && l.shedRun == 0 {
			t.Error("shedRun is 0 after a shed request")
		}
	}
	if l.shedRun != 1000-1 && l.shedRun != 1000 {
		t.Errorf("%d shed in a row of 1000 that all are to be shed", l.shedRun)
	}
}
