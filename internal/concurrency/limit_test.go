package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
)

// simulate runs agents with the given limits against a server that processes requests in order and rejects
// them when its queue is full. Each agent sends whenever its limit admits an attempt. It returns the
// fraction of the attempts that were rejected, the fraction of the time that the server was idle, and the
// number of requests served for each agent.
func simulate(rng *rand.Rand, limits []Limit, queueSize func(now float64) int, workMs, seconds float64) (
	rejected, idle float64, served []int,
) {
	const step = 1.0
	type job struct{ agent int }
	var queue []job
	served = make([]int, len(limits))
	inflight, sentAt, leftMs := make([]int, len(limits)), make([]float64, len(limits)), 0.0
	attempts, rejections, idled := 0, 0, 0
	for now := 0.0; now < seconds*1000; now += step {
		if len(queue) == 0 {
			idled++
		} else if leftMs -= step; leftMs <= 0 {
			j := queue[0]
			queue = queue[1:]
			leftMs = workMs * rng.ExpFloat64()
			inflight[j.agent]--
			served[j.agent]++
			limits[j.agent].Increase(now)
		}
		for _, i := range rng.Perm(len(limits)) {
			if !limits[i].Admits(inflight[i], now-sentAt[i], workMs) {
				continue
			}
			attempts++
			sentAt[i] = now
			if len(queue) >= queueSize(now) {
				rejections++
				limits[i].Rejected(now)
				continue
			}
			queue = append(queue, job{i})
			inflight[i]++
		}
	}
	return float64(rejections) / float64(attempts), float64(idled) / (seconds * 1000 / step), served
}

func newLimits(n int, size float64) []Limit {
	w := make([]Limit, n)
	for i := range w {
		w[i].Reset(size)
	}
	return w
}

// Agents that always have requests to send and do not communicate keep a server busy with few rejections,
// and converge to fair shares from any initial limits.
func TestLimitsFillAServerFairly(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newLimits(4, 1)
		w[0].Reset(12)
		rejected, idle, served := simulate(rng, w, func(float64) int { return 12 }, 10, 120)
		if rejected > 0.25 || idle > 0.05 {
			t.Errorf("seed %d: %.2f rejected, idle for %.2f of the time", seed, rejected, idle)
		}
		least, most := served[0], served[0]
		for _, n := range served {
			least, most = min(least, n), max(most, n)
		}
		if float64(most) > 2*float64(least) {
			t.Errorf("seed %d: served %v: the shares are not fair", seed, served)
		}
	}
}

// If the server's queue shrinks to a fifth for some time, the limits follow, and grow again with it.
func TestLimitsFollowTheServersCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	w := newLimits(2, 1)
	short := func(now float64) bool { return now > 30_000 && now < 60_000 }
	sizes := map[bool]float64{}
	queueSize := func(now float64) int {
		if now > 59_000 && now < 59_002 {
			sizes[true] = w[0].Size() + w[1].Size()
		}
		if now > 119_000 {
			sizes[false] = w[0].Size() + w[1].Size()
		}
		if short(now) {
			return 4
		}
		return 20
	}
	_, idle, _ := simulate(rng, w, queueSize, 10, 120)
	if sizes[true] > 8 || sizes[false] < 2*sizes[true] || idle > 0.05 {
		t.Errorf("limits of %.1f with a queue of 4, %.1f with 20, idle for %.2f",
			sizes[true], sizes[false], idle)
	}
}

func TestLimitIncreaseAndDecrease(t *testing.T) {
	var w Limit
	w.Reset(3)
	if w.Rejected(100); w.Size() != 2.25 || !w.RecentlyRejected(100+rejectionMemoryMs-1) || w.RecentlyRejected(100+rejectionMemoryMs) {
		t.Errorf("rejected at 3: %v, recently rejected %v, %v",
			w.Size(), w.RecentlyRejected(100+rejectionMemoryMs-1), w.RecentlyRejected(100+rejectionMemoryMs))
	}
	near := w
	near.Increase(200)
	w.Increase(100 + rejectionMemoryMs)
	if a, b := near.Size()-2.25, w.Size()-2.25; !(a > 0) || math.Abs(a-slowIncrease*b) > 1e-9 {
		t.Errorf("increased by %v after a rejection, by %v otherwise", a, b)
	}
	for range 20 {
		w.Rejected(7000)
	}
	if w.Size() != 1 {
		t.Errorf("rejected again and again: %v, want 1", w.Size())
	}
	w.Reset(0.25)
	if w.Rejected(1); w.Size() != 0.25 {
		t.Errorf("a limit below one was increased to %v by a rejection", w.Size())
	}
	if w.Admits(0, 39, 10) || !w.Admits(0, 40, 10) || w.Admits(1, 1000, 10) {
		t.Error("a limit of a quarter is not enforced by a pause of four answer times")
	}
	w.Reset(4)
	if !w.Decrease(1000, 50, 0.5, 1) || w.Size() != 2 {
		t.Errorf("decreased: %v, want 2", w.Size())
	}
	if w.Decrease(1050, 50, 0.5, 1) || w.Size() != 2 {
		t.Errorf("decreased again for answers that were in flight: %v", w.Size())
	}
	if w.Decrease(1051, 50, 0.1, 1); w.Size() != 1 {
		t.Errorf("decreased below the floor: %v", w.Size())
	}
	if w.Reset(1.5); w.RecentlyRejected(0) {
		t.Error("a rejection was not discarded by Reset")
	}
	if w.Halve(); w.Size() != 1 {
		t.Errorf("half of 1.5: %v, want 1", w.Size())
	}
	var zero Limit
	if zero.Increase(0); zero.Size() != 0 || !zero.Admits(0, math.Inf(1), 0) {
		t.Errorf("zero limit: %v", zero.Size())
	}
}

// On a random walk a limit stays positive and finite, eventually admits an attempt, never admits more than
// its size, and each operation changes it only in its direction and within its bounds.
func TestLimitStaysInBoundsOnRandomWalk(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var w Limit
		w.Reset(2)
		now := 0.0
		for step := range 10_000 {
			now += rng.Float64() * 100
			old := w.Size()
			switch rng.IntN(6) {
			case 0:
				if w.Rejected(now); w.Size() > old || w.Size() < min(old, 1) || !w.RecentlyRejected(now) {
					t.Fatalf("seed %d step %d: rejected at %v: %v", seed, step, old, w.Size())
				}
			case 1:
				if w.Decrease(now, 50, 0.85, 0.1); w.Size() > old || w.Size() < min(old, 0.1) {
					t.Fatalf("seed %d step %d: decreased at %v: %v", seed, step, old, w.Size())
				}
			case 2:
				w.Halve()
			default:
				if w.Increase(now); w.Size() < old || w.Size() > old+1 {
					t.Fatalf("seed %d step %d: increased from %v to %v", seed, step, old, w.Size())
				}
			}
			size := w.Size()
			if !(size > 0) || math.IsInf(size, 0) {
				t.Fatalf("seed %d step %d: limit %v", seed, step, size)
			}
			if !w.Admits(0, math.MaxFloat64, 100) || w.Admits(max(int(size), 1), math.MaxFloat64, 100) {
				t.Fatalf("seed %d step %d: limit %v admits none, or too many", seed, step, size)
			}
		}
	}
}
