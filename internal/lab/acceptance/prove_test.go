package acceptance

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/lab/cluster"
)

func TestMain(m *testing.M) {
	Child()
	code := m.Run()
	cluster.Clean()
	os.Exit(code)
}

// Each proof passes at a small scale, and fails with its seeded defect.
func TestProofs(t *testing.T) {
	for _, p := range All {
		for _, defect := range []bool{false, true} {
			name := p.Name
			if defect {
				name += " with its defect"
			}
			t.Run(name, func(t *testing.T) {
				if strings.HasPrefix(p.Name, "agreed") || strings.HasPrefix(p.Name, "keeper") || p.Name == "soak" || p.Name == "unsolicited" {
					t.Parallel() // mostly waits for processes of its own
				}
				scale := map[string]float64{"agreed": 0.05, "agreed-model": 0.001, "agreed-histories": 0.01, "agreed-size": 0.01, "keeper-kills": 0.004, "keeper-slow-disk": 0.01, "cold": 0.35, "crowd": 0.03, "drains": 0.03, "flat": 0.05, "latency": 0.1, "ephemeral": 0.03, "ephemeral-control": 0.03, "ephemeral-flap": 0.02, "ephemeral-faults": 0.04, "ephemeral-size": 0.03, "soak": 0.1, "stall": 0.05, "storm": 0.05, "thrift-kill": 0.05, "unsolicited": 0.05, "whole-fleet": 0.1}[p.Name]
				if scale == 0 {
					t.Fatal("the test has no scale for this proof")
				}
				r, err := p.Run(t.Context(), &Options{Seed: 1, Scale: scale, Defect: defect})
				if err != nil {
					t.Fatal(err)
				}
				t.Log(r.Line())
				if holds := len(r.Failures) == 0; holds == defect {
					t.Errorf("holds: %v, defect: %v", holds, defect)
				}
			})
		}
	}
}

// Each seed draws other deadlines, signals and crowds, and some have a successor beside the process that
// ends. `ringtrack-lab prove soak --seed N` runs one at full length.
func TestSoak(t *testing.T) {
	const parallel = 3 // with more at once the machine's load would decide, and not the agent's shutdown
	busy := make(chan struct{}, parallel)
	for _, seed := range []uint64{2, 3, 4, 5, 7, 8, 9, 10} { // all crowds, deadlines of 0.3 to 3 s, half with a successor
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			busy <- struct{}{}
			defer func() { <-busy }()
			r, err := Soak(t.Context(), &Options{Seed: seed, Scale: 0.15, Log: t.Output()})
			if err != nil {
				t.Fatal(err)
			}
			if t.Log(r.Line()); len(r.Failures) > 0 {
				t.Error("the proof failed")
			}
		})
	}
}

// WholeFleet detects each of its seeded defects.
func TestWholeFleetDefects(t *testing.T) {
	for seed := range uint64(defectCount - 1) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := WholeFleet(t.Context(), &Options{Seed: seed, Scale: 0.1, Defect: true})
			if err != nil {
				t.Fatal(err)
			}
			if t.Log(r.Line()); len(r.Failures) == 0 {
				t.Error("the defect was not detected")
			}
		})
	}
}
