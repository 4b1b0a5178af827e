package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
)

// play drives windows of some agents against a server that does its work in turn and turns away what finds
// its places taken, for so many seconds; each agent sends whenever its window admits one. It returns the
// parts of the attempts that were turned away and of the time that the server idled, each agent's served
// requests, and the windows at the end.
func play(rng *rand.Rand, windows []Limit, places func(now float64) int, workMs float64, seconds float64) (turned, idle float64, served []int) {
	const step, limitMs = 1.0, 1e9
	type job struct{ agent int }
	var queue []job
	served = make([]int, len(windows))
	out, sentAt, left := make([]int, len(windows)), make([]float64, len(windows)), 0.0
	attempts, away, idled := 0, 0, 0
	for now := 0.0; now < seconds*1000; now += step {
		if len(queue) == 0 {
			idled++
		} else if left -= step; left <= 0 {
			j := queue[0]
			queue = queue[1:]
			left = workMs * rng.ExpFloat64()
			out[j.agent]--
			served[j.agent]++
			windows[j.agent].Increase(now)
		}
		for _, i := range rng.Perm(len(windows)) {
			if !windows[i].Admits(out[i], now-sentAt[i], workMs) {
				continue
			}
			attempts++
			sentAt[i] = now
			if len(queue) >= places(now) {
				away++
				windows[i].Rejected(now)
				continue
			}
			queue = append(queue, job{i})
			out[i]++
		}
	}
	return float64(away) / float64(attempts), float64(idled) / (seconds * 1000 / step), served
}

func windows(n int, size float64) []Limit {
	w := make([]Limit, n)
	for i := range w {
		w[i].Reset(size)
	}
	return w
}

// Agents that don't talk and always have work fill a server's places without being turned away much, and end
// at fair parts, wherever they start.
func TestWindowsFillAServerAtFairParts(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := windows(4, 1)
		w[0].Reset(12)
		turned, idle, served := play(rng, w, func(float64) int { return 12 }, 10, 120)
		if turned > 0.25 || idle > 0.05 {
			t.Errorf("seed %d: %.2f turned away, idle for %.2f of the time", seed, turned, idle)
		}
		least, most := served[0], served[0]
		for _, n := range served {
			least, most = min(least, n), max(most, n)
		}
		if float64(most) > 2*float64(least) {
			t.Errorf("seed %d: served %v: not at fair parts", seed, served)
		}
	}
}

// Where places fall to a fifth for a time windows follow, and are back once they return.
func TestWindowsFollowPlaces(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	w := windows(2, 1)
	few := func(now float64) bool { return now > 30_000 && now < 60_000 }
	sizes := map[bool]float64{}
	places := func(now float64) int {
		if now > 59_000 && now < 59_002 {
			sizes[true] = w[0].Size() + w[1].Size()
		}
		if now > 119_000 {
			sizes[false] = w[0].Size() + w[1].Size()
		}
		if few(now) {
			return 4
		}
		return 20
	}
	_, idle, _ := play(rng, w, places, 10, 120)
	if sizes[true] > 8 || sizes[false] < 2*sizes[true] || idle > 0.05 {
		t.Errorf("windows of %.1f with 4 places, %.1f with 20, idle for %.2f", sizes[true], sizes[false], idle)
	}
}

func TestWindowRules(t *testing.T) {
	var w Limit
	w.Reset(3)
	if w.Rejected(100); w.Size() != 2.25 || !w.RecentlyRejected(100+boundMs-1) || w.RecentlyRejected(100+boundMs) {
		t.Errorf("turned away at 3: %v, bounded %v, %v", w.Size(), w.RecentlyRejected(100+boundMs-1), w.RecentlyRejected(100+boundMs))
	}
	near := w
	near.Increase(200)
	w.Increase(100 + boundMs)
	if a, b := near.Size()-2.25, w.Size()-2.25; !(a > 0) || math.Abs(a-boundGrowth*b) > 1e-9 {
		t.Errorf("grew by %v near a bound, by %v elsewhere", a, b)
	}
	for range 20 {
		w.Rejected(7000)
	}
	if w.Size() != 1 {
		t.Errorf("turned away time and again: %v, want 1", w.Size())
	}
	w.Reset(0.25)
	if w.Rejected(1); w.Size() != 0.25 {
		t.Errorf("a window under one was widened to %v by a turn-away", w.Size())
	}
	if w.Admits(0, 39, 10) || !w.Admits(0, 40, 10) || w.Admits(1, 1000, 10) {
		t.Error("a window of a quarter is not kept by pausing for four answers' times")
	}
	w.Reset(4)
	if !w.Decrease(1000, 50, 0.5, 1) || w.Size() != 2 {
		t.Errorf("crowded: %v, want 2", w.Size())
	}
	if w.Decrease(1050, 50, 0.5, 1) || w.Size() != 2 {
		t.Errorf("cut again for answers that were under way: %v", w.Size())
	}
	if w.Decrease(1051, 50, 0.1, 1); w.Size() != 1 {
		t.Errorf("cut under its least: %v", w.Size())
	}
	if w.Reset(1.5); w.RecentlyRejected(0) {
		t.Error("a new process is bounded by what the old one turned away")
	}
	if w.Halve(); w.Size() != 1 {
		t.Errorf("half of 1.5: %v, want 1", w.Size())
	}
	var zero Limit
	if zero.Increase(0); zero.Size() != 0 || !zero.Admits(0, math.Inf(1), 0) {
		t.Errorf("zero window: %v", zero.Size())
	}
}

// What reports tell, and what they can't.
func TestLoad(t *testing.T) {
	f := NewReportFields([]string{"qps", "util", "x7", "inflight"})
	if x, ok := f.Inflight([]float32{1, 0.5, 3, 9}); !ok || x != 9 {
		t.Errorf("inflight %v %v", x, ok)
	}
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for name, c := range map[string]struct {
		fields  ReportFields
		report  []float32
		ageMs   float64
		bounded bool
		idle    bool
	}{
		"idle":                           {f, []float32{1, 0.5}, 0, false, true},
		"idle machine that says 1":       {f, []float32{1, 1}, 0, false, false},
		"busy":                           {f, []float32{1, 0.97}, 0, false, false},
		"report absent":                  {f, nil, 0, false, true},
		"report absent, turned away":     {f, nil, 0, true, false},
		"report too short":               {f, []float32{1}, 0, true, false},
		"no such field":                  {NewReportFields([]string{"qps", "cpu"}), []float32{1, 0}, 0, true, false},
		"not a number":                   {f, []float32{1, nan}, 0, true, false},
		"infinite":                       {f, []float32{1, inf}, 0, true, false},
		"negative":                       {f, []float32{1, -1}, 0, true, false},
		"frozen: busy, and old":          {f, []float32{1, 1}, loadMs + 1, false, true},
		"frozen: idle, old, turned away": {f, []float32{1, 0}, loadMs + 1, true, false},
		"1.4 s late":                     {f, []float32{1, 0.2}, 1400, false, true},
	} {
		var l LoadReport
		l.Update(1000, c.fields, c.report)
		if got := l.Idle(1000+c.ageMs, c.bounded); got != c.idle {
			t.Errorf("%s: idle %v, want %v", name, got, c.idle)
		}
	}
	var l LoadReport
	l.Update(0, f, []float32{1, 0.99})
	if l.Update(10, f, []float32{1, nan}); l.Idle(10, false) {
		t.Error("a spoilt report wiped out the one before")
	}
}

func TestWarm(t *testing.T) {
	w := NewRecentKeys(3000, 100)
	w.Add(0, 0)
	if w.Contains(0, 0) || w.Contains(0, 5) {
		t.Error("warm without having been sent")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	sent := map[uint64]float64{}
	for now := 0.0; now < 60_000; now += 20 { // under 100 keys in half a span: nothing may be lost
		key := rng.Uint64N(80) + 1
		w.Add(now, key)
		sent[key] = now
		for k, at := range sent {
			if got, want := w.Contains(now, k), now-at < 3000; got != want {
				t.Fatalf("at %v key %d, sent at %v: warm %v", now, k, at, got)
			}
		}
	}
	for now := 60_000.0; now < 61_000; now++ {
		w.Add(now, rng.Uint64())
		if n := len(w.now) + len(w.last); n > 200 {
			t.Fatalf("%d keys remembered, at most 200", n)
		}
	}
}

// A seeded walk: whatever happens a window stays a number over 0, admits one at least at some time, never more
// than it holds, and moves only as its rules say.
func TestWindowWalk(t *testing.T) {
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
					t.Fatalf("seed %d step %d: turned away at %v: %v", seed, step, old, w.Size())
				}
			case 1:
				if w.Decrease(now, 50, 0.85, 0.1); w.Size() > old || w.Size() < min(old, 0.1) {
					t.Fatalf("seed %d step %d: crowd at %v: %v", seed, step, old, w.Size())
				}
			case 2:
				w.Halve()
			default:
				if w.Increase(now); w.Size() < old || w.Size() > old+1 {
					t.Fatalf("seed %d step %d: grew from %v to %v", seed, step, old, w.Size())
				}
			}
			size := w.Size()
			if !(size > 0) || math.IsInf(size, 0) {
				t.Fatalf("seed %d step %d: window %v", seed, step, size)
			}
			if !w.Admits(0, math.MaxFloat64, 100) || w.Admits(max(int(size), 1), math.MaxFloat64, 100) {
				t.Fatalf("seed %d step %d: window %v admits none, or too many", seed, step, size)
			}
		}
	}
}
