package emulator

import (
	"testing"
)

// Stalls delay the work that they interrupt, and raise the p99 of a run.
func TestStallsDelayWork(t *testing.T) {
	s := stalls{every: 1000, length: 300}
	for _, c := range [][3]Time{{300, 100, 100}, {0, 100, 400}, {950, 100, 400}, {300, 1400, 1700}, {150, 10, 160}} {
		if got := s.duration(c[0], c[1]); got != c[2] {
			t.Errorf("work of %d from %d takes %d, want %d", c[1], c[0], got, c[2])
		}
	}
	if got := (&stalls{}).duration(5, 70); got != 70 {
		t.Errorf("work of 70 takes %d without stalls", got)
	}
	baseline, stalled := overloadScenario(), overloadScenario()
	baseline.Load.PerS, stalled.Load.PerS = 300, 300
	stalled.Faults = []Fault{{Kind: "stalls", StartS: 1, DurationS: 8, ServerFraction: 1, DelayMs: 300, IntervalS: 1}}
	if a, b := runProduct(t, baseline).P99Ms, runProduct(t, stalled).P99Ms; b < a+100 {
		t.Errorf("p99 %.0f ms with stalls of 300 ms, %.0f without", b, a)
	}
}

// Goodput recovers after a surge, and Result.RecoveryS is the time until then.
func TestRecoveryAfterASurge(t *testing.T) {
	s := overloadScenario()
	s.Tenants, s.Load.PerS, s.Seconds = nil, 300, 16
	s.Faults = []Fault{{Kind: "surge", StartS: 5, DurationS: 3, Factor: 4}}
	r := runProduct(t, s)
	if r.Timeline[6] > 0.9 || r.RecoveryS < 0 || r.RecoveryS > 3 {
		t.Errorf("goodput by second %.2f; recovered after %d s", r.Timeline, r.RecoveryS)
	}
	if got := s.recoveryS([]float64{1, 1, 1, 1, 1, 0.5, 0.5, 0.5, 0.5, 0.96, 0.5, 0.96, 1}); got != 3 {
		t.Errorf("recovered after %d s, want 3", got)
	}
	if got := s.recoveryS([]float64{1, 1, 1, 1, 1, 0.5, 0.5, 0.5, 0.5, 0.96}); got != -1 {
		t.Errorf("recovered after %d s, want -1: it did not recover", got)
	}
}
