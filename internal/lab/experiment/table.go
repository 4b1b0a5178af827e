package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"ringtrack.example/ringtrack/internal/emulator"
)

const (
	// resamples is the number of bootstrap resamples.
	resamples = 2000
	// tailResamples is the number of resamples below, and above, the 95 % interval.
	tailResamples = resamples / 40
	// bootstrapSeed is fixed so that tables are reproducible.
	bootstrapSeed = 1
)

// Row is the results of a policy in a scenario: means over all seeds, unless stated otherwise.
type Row struct {
	Scenario string
	Policy   string
	Goodput  float64
	// LeadLow and LeadHigh are the 95 % confidence interval of the mean lead of the first policy over this
	// one, in the result that Experiment.By names (paired bootstrap over seeds).
	LeadLow         float64
	LeadHigh        float64
	P99Ms           float64
	WeightedGoodput float64
	WastedWork      float64 // as a fraction of the servers' work
	RecoveryS       float64 // a run without recovery counts with its full length
	WorstTenant     float64 // lowest weighted goodput of a tenant
	Violations      int     // sum over all runs
	Overloads       int     // sum over all runs
	WithinObjective float64 // fraction of operations that were served within their latency objective
	Attempts        float64 // for each operation
	// Only for a graph of services, see emulator.Path.
	DeepestAttempts float64
	Amplification   float64
}

// rowKey identifies a row.
type rowKey struct{ scenario, policy string }

// Table compares each policy with the first of the experiment. It needs the results of all runs, as Run
// returns them.
func (e *Experiment) Table(results []*emulator.Result) []Row {
	byRow := map[rowKey][]*emulator.Result{}
	for _, r := range results {
		key := rowKey{r.Scenario, r.Policy}
		byRow[key] = append(byRow[key], r)
	}
	var out []Row
	for i := range e.Scenarios {
		scenario := &e.Scenarios[i]
		first := byRow[rowKey{scenario.Name, e.Policies[0]}]
		for _, p := range e.Policies {
			policyResults := byRow[rowKey{scenario.Name, p}]
			row := Row{Scenario: scenario.Name, Policy: p}
			for _, r := range policyResults {
				row.add(r, float64(len(policyResults)), scenario.Seconds)
			}
			row.LeadLow, row.LeadHigh = bootstrap(e.leads(first, policyResults))
			out = append(out, row)
		}
	}
	return out
}

// add adds one of n results to the means.
func (row *Row) add(r *emulator.Result, n, seconds float64) {
	ops := float64(max(r.Ops, 1))
	row.Goodput += r.Goodput / n
	row.P99Ms += r.P99Ms / n
	row.Overloads += r.Overloads
	row.WithinObjective += float64(r.WithinObjective) / ops / n
	row.Attempts += float64(r.Attempts) / ops / n
	if r.Path != nil {
		row.DeepestAttempts += r.Path.DeepestAttempts / n
		row.Amplification += r.Path.Amplification / n
	}
	row.WeightedGoodput += r.WeightedGoodput / n
	row.WastedWork += r.WastedWork / n
	recoveryS := float64(r.RecoveryS)
	if recoveryS < 0 {
		recoveryS = seconds
	}
	row.RecoveryS += recoveryS / n
	worst := 1.0
	for _, fraction := range r.Tenants {
		worst = min(worst, fraction)
	}
	row.WorstTenant += worst / n
	for _, violations := range r.Violations {
		row.Violations += violations
	}
}

// leads returns the lead of the first policy for each seed.
func (e *Experiment) leads(first, other []*emulator.Result) []float64 {
	out := make([]float64, len(other))
	for i, r := range other {
		out[i] = e.score(first[i]) - e.score(r)
	}
	return out
}

// score is the result by which policies are compared.
func (e *Experiment) score(r *emulator.Result) float64 {
	if e.By == byWeightedGoodput {
		return r.WeightedGoodput
	}
	return r.Goodput
}

// bootstrap returns the 95 % bootstrap confidence interval of the mean of values.
func bootstrap(values []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(values))))
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[rng.IntN(len(values))] / float64(len(values))
		}
	}
	slices.Sort(means)
	return means[tailResamples], means[resamples-1-tailResamples]
}

// Print writes a table for each scenario with a line for each policy.
func Print(w io.Writer, rows []Row) {
	scenario := ""
	for i := range rows {
		if rows[i].Scenario != scenario {
			scenario = rows[i].Scenario
			printHeader(w, scenario)
		}
		rows[i].print(w)
	}
}

func printHeader(w io.Writer, scenario string) {
	fmt.Fprintf(w, "\n%-24s %8s %8s  %-20s %9s %7s %6s %6s %9s %6s %7s %8s %8s %6s\n",
		scenario, "goodput", "worth", "first's lead, 95 %", "p99 ms", "tenant", "lost", "back s", "breaches", "falls",
		"in aim", "attempts", "deepest", "times")
}

func (row *Row) print(w io.Writer) {
	path := ""
	if row.Amplification > 0 {
		path = fmt.Sprintf(" %8.3f %6.2f", row.DeepestAttempts, row.Amplification)
	}
	fmt.Fprintf(w, "  %-22s %8.4f %8.4f  %+.4f to %+.4f   %9.1f %7.3f %6.3f %6.1f %9d %6d %7.4f %8.3f%s\n",
		row.Policy, row.Goodput, row.WeightedGoodput, row.LeadLow, row.LeadHigh, row.P99Ms, row.WorstTenant,
		row.WastedWork, row.RecoveryS, row.Violations, row.Overloads, row.WithinObjective, row.Attempts, path)
}
