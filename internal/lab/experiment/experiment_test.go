package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/emulator"
)

const twoScenarios = `
seeds = 3
policies = ["ringtrack", "random"]
[[scenario]]
name = "a"
seconds = 1
servers = [{ count = 3, workers = 2, queue = 4, service = { kind = "exponential", mean_ms = 10 } }]
load = { per_s = 300 }
[[scenario]]
name = "b"
seconds = 1
servers = [{ count = 3, workers = 2, queue = 4, service = { kind = "exponential", mean_ms = 10 } }]
load = { per_s = 500 }
`

func loadText(t *testing.T, text string) (*Experiment, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "e.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file)
}

// An experiment is resumed after its results file was cut off at any byte, or after its context was
// cancelled: each run has exactly one line, and the results equal those of an uninterrupted experiment. A
// results file of another experiment, of another version or without results is rejected and not changed.
func TestResumedExperimentHasTheSameResults(t *testing.T) {
	e, err := loadText(t, twoScenarios)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	complete, err := e.Run(t.Context(), dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	want, _ := json.Marshal(complete)
	file := filepath.Join(dir, "results.jsonl")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, cut := range []int{0, 1, 20, len(text) / 3, len(text) / 2, len(text) - 1, len(text)} {
		if err := os.WriteFile(file, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		resumed, err := e.Run(t.Context(), dir, nil)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if got, _ := json.Marshal(resumed); string(got) != string(want) {
			t.Errorf("cut at %d: the results differ", cut)
		}
		now, _ := os.ReadFile(file)
		if n := strings.Count(string(now), "\n"); n != 1+len(e.runKeys()) {
			t.Errorf("cut at %d: %d lines", cut, n)
		}
	}
	// Stopped by its context.
	os.Remove(file)
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := e.Run(ctx, dir, func(done, _ int) {
		if done == 3 {
			cancel()
		}
	}); err == nil {
		t.Error("no error after the context was cancelled")
	}
	if resumed, err := e.Run(t.Context(), dir, nil); err != nil {
		t.Error(err)
	} else if got, _ := json.Marshal(resumed); string(got) != string(want) {
		t.Error("the results differ after a cancelled context")
	}
	for name, test := range map[string]struct {
		text    string
		wantErr error
	}{
		"another experiment": {`{"version":1,"experiment":5}` + "\n", ErrOtherExperiment},
		"version 9":          {`{"version":9}` + "\n", ErrResultsVersion},
		"no results":         {"hello\n", ErrNoResults},
	} {
		if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := e.Run(t.Context(), dir, nil); !errors.Is(err, test.wantErr) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
		if now, _ := os.ReadFile(file); string(now) != test.text {
			t.Errorf("%s: the file was changed", name)
		}
	}
}

// Load rejects invalid files with an error that names the key, and accepts the catalogue of experiments.
func TestLoadErrorNamesTheKey(t *testing.T) {
	for from, to := range map[string]string{"seeds = 3": "seeds = 0|seeds", `"random"`: `"rand"|policies[1]`, `"random"]`: `"ringtrack"]|policies[1]`,
		`name = "b"`: `name = "a"|scenario[1].name`, "per_s = 300": "per_s = -1|scenario[0] (a).load.per_s", "per_s = 500": "per_s = nan|scenario[1] (b).load.per_s",
		"count = 3": "counts = 3|count", "seconds = 1": "seconds = 0|seconds"} {
		to, key, _ := strings.Cut(to, "|")
		if _, err := loadText(t, strings.Replace(twoScenarios, from, to, 1)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", to, err)
		}
	}
	if _, err := Load("../../../deploy/experiments/catalogue.toml"); err != nil {
		t.Error(err)
	}
}

// A table has the means of each policy, and the confidence interval of the first policy's lead over it.
func TestTableComparesWithTheFirstPolicy(t *testing.T) {
	e := &Experiment{Policies: []string{"x", "y"}, Scenarios: []emulator.Scenario{{Name: "s"}}}
	var results []*emulator.Result
	for i := range 10 {
		results = append(results, &emulator.Result{Scenario: "s", Policy: "x", Goodput: 0.9 + float64(i)/1000},
			&emulator.Result{Scenario: "s", Policy: "y", Goodput: 0.8 + float64(i)/1000, Violations: map[int]int{2: 1, 4: 1}, Overloads: 1})
	}
	rows := e.Table(results)
	if len(rows) != 2 || math.Abs(rows[0].Goodput-0.9045) > 1e-9 || rows[1].Violations != 20 || rows[1].Overloads != 10 {
		t.Errorf("%+v", rows)
	}
	if r := rows[1]; math.Abs(r.LeadLow-0.1) > 1e-9 || math.Abs(r.LeadHigh-0.1) > 1e-9 {
		t.Errorf("the lead is 0.1 for each seed, but the interval is %v to %v", r.LeadLow, r.LeadHigh)
	}
	var b strings.Builder
	Print(&b, rows)
	if lines := slices.Collect(strings.Lines(b.String())); len(lines) != 4 {
		t.Errorf("%q", b.String())
	}
}
