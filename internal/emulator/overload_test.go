package emulator

import (
	"math"
	"strings"
	"testing"
)

func overloadScenario() *Scenario {
	s := &Scenario{Name: "o", Seconds: 10, WarmUpSeconds: 2, Zones: 1, Agents: 2,
		Servers: []ServerGroup{{Count: 4, Workers: 2, Queue: 4, Service: Distribution{Kind: "exponential", MeanMs: 20}}},
		Load:    Load{PerS: 600, Keys: 200, Zipf: 0.8, ImmediateRetry: 1},
		Classes: []ClassLoad{{Name: "r", Effect: "safe", Share: 1, LatencyObjectiveMs: 500, ClientTimeoutMs: 1500}},
		Tenants: []Tenant{{Name: "a", Quota: 0.5}, {Name: "b", Quota: 0.5, LoadWeight: 1.5}}}
	return s
}

func play(t *testing.T, s *Scenario) *Result {
	t.Helper()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	r, err := Run(s, &Product, 3)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A token bucket allows its rate, and a burst of one second at most.
func TestTokenBucketAllowsItsRate(t *testing.T) {
	m := tokenBucket{perS: 100, tokens: 100}
	for _, gap := range []Time{Millisecond, 5 * Millisecond, 50 * Millisecond} {
		now, n, all := m.refilledAt, 0, int(10*Second/gap)
		for range all {
			if now += gap; m.allow(now) {
				n++
			}
		}
		if want := min(float64(all), 1000); math.Abs(float64(n)-want) > 101 {
			t.Errorf("every %d ms: %d of %d in 10 s at 100 a second", gap/Millisecond, n, all)
		}
	}
}

// What a tenant is served counts against its quota, not against all that it requests.
func TestTenantsAreMeasuredByTheirQuota(t *testing.T) {
	r := play(t, overloadScenario())
	if len(r.Tenants) != 2 || r.Tenants[0] < 0.95 || r.Tenants[1] < 0.8 {
		t.Errorf("a requests its quota, b three times its own: served fractions %v", r.Tenants)
	}
	if r.WeightedGoodput < r.Goodput+0.1 {
		t.Errorf("weighted goodput %.3f, goodput %.3f: requests beyond the quota count in full", r.WeightedGoodput, r.Goodput)
	}
}

// Cached keys save work; a cache of one key for each worker saves hardly any.
func TestCachedKeysSaveWork(t *testing.T) {
	goodput := func(w KeyCache) float64 {
		s := overloadScenario()
		s.Tenants, s.Servers[0].KeyCache = nil, w
		return play(t, s).Goodput
	}
	none, few, many := goodput(KeyCache{}), goodput(KeyCache{SavedFraction: 0.6, TTLMs: 3000, KeysPerWorker: 1}), goodput(KeyCache{SavedFraction: 0.6, TTLMs: 3000, KeysPerWorker: 100})
	if many < none+0.1 || few > (none+many)/2 {
		t.Errorf("goodput %.3f without, %.3f with a memory of a key for each worker, %.3f with one of all", none, few, many)
	}
	m := recentKeys{}
	w := &KeyCache{SavedFraction: 0.5, TTLMs: 100, KeysPerWorker: 2}
	for i, c := range []struct {
		at   Time
		key  uint64
		left float64
	}{{0, 1, 1}, {50, 1, 0.5}, {149, 1, 0.5}, {249, 1, 1}, {250, 2, 1}, {251, 3, 1}, {252, 1, 1}, {253, 0, 1}} {
		if got := m.observe(w, 1, c.at*Millisecond, c.key); got != c.left {
			t.Errorf("step %d: %v of the work is left, want %v", i, got, c.left)
		}
		if len(m.lastSeen) > 2 {
			t.Fatalf("step %d: %d keys cached, at most 2", i, len(m.lastSeen))
		}
	}
}

// Stalls delay the work that they interrupt, and raise the p99 of a run.
func TestStallsDelayWork(t *testing.T) {
	s := stalls{every: 1000, length: 300}
	for _, c := range [][3]Time{{300, 100, 100}, {0, 100, 400}, {950, 100, 400}, {300, 1400, 1700}, {150, 10, 160}} {
		if got := s.after(c[0], c[1]); got != c[2] {
			t.Errorf("work of %d from %d takes %d, want %d", c[1], c[0], got, c[2])
		}
	}
	if got := (&stalls{}).after(5, 70); got != 70 {
		t.Errorf("no stalls: %d", got)
	}
	calm, stalled := overloadScenario(), overloadScenario()
	calm.Load.PerS, stalled.Load.PerS = 300, 300
	stalled.Faults = []Fault{{Kind: "stalls", StartS: 1, DurationS: 8, ServerFraction: 1, DelayMs: 300, IntervalS: 1}}
	if a, b := play(t, calm).P99Ms, play(t, stalled).P99Ms; b < a+100 {
		t.Errorf("p99 %.0f ms with stalls of 300 ms, %.0f without", b, a)
	}
}

// Goodput recovers after a surge, and the time that takes is measured.
func TestRecoveryAfterASurge(t *testing.T) {
	s := overloadScenario()
	s.Tenants, s.Load.PerS, s.Seconds = nil, 300, 16
	s.Faults = []Fault{{Kind: "surge", StartS: 5, DurationS: 3, Factor: 4}}
	r := play(t, s)
	if r.Timeline[6] > 0.9 || r.RecoveryS < 0 || r.RecoveryS > 3 {
		t.Errorf("goodput by second %.2f; recovered after %d s", r.Timeline, r.RecoveryS)
	}
	if got := s.recoveryS([]float64{1, 1, 1, 1, 1, 0.5, 0.5, 0.5, 0.5, 0.96, 0.5, 0.96, 1}); got != 3 {
		t.Errorf("recovered after %d s, want 3", got)
	}
	if got := s.recoveryS([]float64{1, 1, 1, 1, 1, 0.5, 0.5, 0.5, 0.5, 0.96}); got != -1 {
		t.Errorf("not recovered: %d", got)
	}
}

// An error of Check names the key.
func TestOverloadScenarioCheckNamesTheKey(t *testing.T) {
	for key, invalidate := range map[string]func(*Scenario){
		"tenant[0].portion":    func(s *Scenario) { s.Tenants[0].Quota = 0 },
		"tenant[1].asks":       func(s *Scenario) { s.Tenants[1].LoadWeight = -1 },
		"servers[0].report":    func(s *Scenario) { s.Servers[0].Report = "true" },
		"servers[0].warm.gain": func(s *Scenario) { s.Servers[0].KeyCache.SavedFraction = 1 },
		"load.hot_key":         func(s *Scenario) { s.Load.HotKey = 1.5 },
		"one_agent":            func(s *Scenario) { s.FirstAgentFraction = math.NaN() },
		"class[0].worth":       func(s *Scenario) { s.Classes[0].PriorityWeight = -1 },
		"fault[0].pause_s":     func(s *Scenario) { s.Faults = []Fault{{Kind: "stalls", IntervalS: -1}} },
	} {
		s := overloadScenario()
		invalidate(s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v", key, err)
		}
	}
}

// Wrong load reports do not change what servers can do.
func TestWrongLoadReportsCauseNoViolations(t *testing.T) {
	for kind := range reportKinds {
		s := overloadScenario()
		s.Servers[0].Report = kind
		if r := play(t, s); r.Tenants[0] < 0.9 || len(r.Violations) > 0 {
			t.Errorf("reports %q: tenants %v, breaches %v", kind, r.Tenants, r.Violations)
		}
	}
}
