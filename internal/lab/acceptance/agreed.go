package acceptance

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/lab/leasemodel"
)

// agreedPlan returns the plan of a run at a scale: 5 replicas, 40 agents and 24 servers at full scale, at
// least 3, 6 and 6.
func agreedPlan(o *Options) *cluster.Plan {
	p := &cluster.Plan{Seed: o.Seed, Replicas: 5, Agents: o.scaled(40, 6), Servers: o.scaled(24, 6), LeaseMs: 600,
		RunMs: o.scaled(60_000, 3000), Versions: 2000, PauseMs: o.scaled(40, 10)}
	if o.Scale < 0.25 {
		p.Replicas = 3
	}
	p.DrawFaults()
	return p
}

// agreedDefects are the defects that lab builds of the binaries can seed; the run's seed selects one.
var agreedDefects = []string{"wiped-votes", "no-meet", "from-answer", "back-on-start"}

// Agreed runs replicas, agents and traffic under a schedule of faults: no two agents may act on contradicting
// configurations, and nothing that was acknowledged may be lost.
func Agreed(ctx context.Context, o *Options) (*Report, error) {
	p := agreedPlan(o)
	if o.Defect {
		p.Defect = agreedDefects[o.Seed%uint64(len(agreedDefects))]
		o.logf("defect: %s", p.Defect)
	}
	return agreedRun(ctx, o, p)
}

// AgreedRun runs a given plan, for replays.
func AgreedRun(ctx context.Context, o *Options, p *cluster.Plan) (*Report, error) {
	return agreedRun(ctx, o, p)
}

// scriptScale is the scale below which the proof runs a fixed script of faults: a random schedule that short
// has too few faults to find anything.
const scriptScale = 0.1

func agreedRun(ctx context.Context, o *Options, p *cluster.Plan) (*Report, error) {
	dir, err := os.MkdirTemp("", "ringtrack-agreed")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var out *cluster.Outcome
	if o.Scale < scriptScale {
		p.Faults = nil
		for attempt := range uint64(3) { // a defect has to be found within three seeds; without one there is a single attempt
			if out, err = cluster.RunScript(ctx, filepath.Join(dir, fmt.Sprint(attempt)), p.Defect, p.Seed+attempt); err != nil || p.Defect == "" || out.Failing() {
				break
			}
		}
	} else {
		out, err = cluster.Run(ctx, dir, p)
	}
	r := &Report{Proof: "agreed", Seed: p.Seed, Scale: o.Scale}
	if err != nil {
		if out != nil {
			for name, text := range out.Logs {
				o.logf("---- %s\n%s", name, text)
			}
		}
		return nil, err
	}
	r.add("keepers", float64(p.Replicas), "")
	r.add("agents", float64(p.Agents), "")
	r.add("faults", float64(len(p.Faults)), "")
	r.add("versions", float64(out.Versions), "")
	r.add("acts", float64(out.Attempts), "")
	r.add("repeats", float64(out.Retries), "")
	r.add("contradictions", float64(len(out.Violations)), "")
	r.add("by a stop between look and write", float64(out.PausedSenders), "")
	r.add("lost or changed", float64(len(out.Lost)), "")
	r.add("in force p50", millis(percentile(out.PublishLatencies, 0.5)), " ms")
	r.add("p99", millis(percentile(out.PublishLatencies, 0.99)), " ms")
	r.add("max", millis(percentile(out.PublishLatencies, 1)), " ms")
	if n := len(out.Staleness); n > 0 {
		r.add("last act by old rules p50", millis(percentile(out.Staleness, 0.5)), " ms")
		r.add("max", millis(out.Staleness[n-1]), " ms")
	}
	r.add("second tries of a publish", float64(out.RetriedPublishes), "")
	r.add("keepers replaced", float64(out.Replaced), "")
	r.add("served", float64(out.Served), "")
	r.add("refused", float64(out.Rejected), "")
	r.add("failed", float64(out.Failed), "")
	r.add("no answer", float64(out.Unanswered), "")
	for i, v := range out.Violations {
		if i == 5 {
			r.fail("and %d more", len(out.Violations)-i)
			break
		}
		r.fail("%s (%v late)", v.Text, v.Late.Round(time.Millisecond))
	}
	for _, l := range out.Lost {
		r.fail("%s", l)
	}
	for _, e := range out.Errors {
		r.fail("%s", e)
	}
	if minVersions := 3; out.Versions < minVersions || out.Attempts < 100 {
		r.fail("too little activity: %d versions, %d attempts", out.Versions, out.Attempts)
	}
	if len(r.Failures) > 0 {
		path := filepath.Join(os.TempDir(), fmt.Sprintf("ringtrack-agreed-%d.json", p.Seed))
		if err := p.Save(path); err == nil {
			o.logf("the schedule is in %s; ringtrack-lab replay runs it again", path)
		}
		for name, text := range out.Logs {
			os.WriteFile(filepath.Join(os.TempDir(), fmt.Sprintf("ringtrack-agreed-%d-%s.log", p.Seed, name)), []byte(text), 0o600)
		}
	}
	return r, nil
}

// AgreedModel checks the lease decisions on a model: all states within bounds, and random walks beyond them.
func AgreedModel(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "agreed-model", Seed: o.Seed, Scale: o.Scale}
	d := leasemodel.None
	if o.Defect {
		d = leasemodel.NoInheritedWait
	}
	report := func(f *leasemodel.Violation) {
		if f != nil {
			r.fail("%s: %v", f.Reason, f.Steps)
		}
	}
	for _, b := range []struct {
		name string
		leasemodel.Bounds
	}{{"small", leasemodel.Small}, {"pairs", leasemodel.Pairs}, {"whole", leasemodel.Complete}} {
		if b.name != "small" && o.Scale < 1 || o.Defect { // the random walks find the defect sooner
			continue
		}
		n, complete, f := leasemodel.Exhaust(b.Bounds, d, 12_000_000)
		name := "all states, " + b.name
		if !complete {
			name = "states (not all), " + b.name
		}
		r.add(name, float64(n), "")
		report(f)
	}
	runs := o.scaled(1_000_000, 1000)
	steps, f := leasemodel.Random(leasemodel.Long, d, runs, 150, o.Seed)
	r.add("random walks", float64(runs), "")
	r.add("steps", float64(steps), "")
	report(f)
	return r, ctx.Err()
}
