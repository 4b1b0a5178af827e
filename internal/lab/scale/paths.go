package scale

import (
	"context"
	"fmt"
	"math"

	"ringtrack.example/ringtrack/internal/emulator"
)

// pathsTest measures in the emulator what nested calls cost, by the number of hops of a chain of services and
// by the number of services of a graph. The scale applies to times and rates, not to depths and numbers of
// services. A figure that decays exponentially with the hops is measured as its logarithm, which is linear.
// The attempts at the last hop are not linear: capacity and time bound them.
var pathsTest = Test{Name: "paths", About: "Services that call services: attempts, failures and latency over 1 to 6 hops and 20 to 82 services.",
	Quick: 0.15, Smallest: 0.02, Run: runPaths}

// The target size, and the call rate of all its services.
const (
	targetServices, targetServers, targetDepth = 82, 470, 6
	targetCallsPerS                            = 56_000.0
	// minFaultFreeGoodput bounds what a graph without faults serves; the smallest form counts some hundred
	// calls.
	minFaultFreeGoodput = 0.95
)

func runPaths(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Test: "paths", Seed: o.Seed, Scale: o.Scale}
	if err := o.measureChains(ctx, r); err != nil {
		return nil, err
	}
	if err := o.measureGraphs(ctx, r); err != nil {
		return nil, err
	}
	return r, nil
}

// warmUpSeconds and measuredSeconds are the lengths of the uncounted start of a run and of the counted rest.
func (o *Options) warmUpSeconds() float64   { return min(max(20*o.Scale, 0.5), 3) }
func (o *Options) measuredSeconds() float64 { return max(10*o.Scale, 0.6) }

// emulate runs a scenario with the product's decision module and reports violated invariants.
func (o *Options) emulate(ctx context.Context, r *Report, sc *emulator.Scenario) (*emulator.Result, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := sc.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", sc.Name, err)
	}
	res, err := emulator.Run(sc, &emulator.Product, o.Seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", sc.Name, err)
	}
	if len(res.Violations) > 0 {
		r.Short = append(r.Short, fmt.Sprintf("%s: invariants violated: %v", sc.Name, res.ViolationTexts))
	}
	if res.Ops == 0 {
		return nil, fmt.Errorf("%s: no calls were made", sc.Name)
	}
	o.logf("%s: %d top-level calls, %.4f served, p99 %.0f ms, %.3f attempts at the deepest hop per top-level call", sc.Name, res.Ops, res.Goodput, res.P99Ms, res.Path.DeepestAttempts)
	return res, nil
}

// measureChains measures chains of services with six servers each, without faults and with errors for half of
// the calls at each hop.
func (o *Options) measureChains(ctx context.Context, r *Report) error {
	var p99, served, attempts, withinObjective []Point
	for depth := 1; depth <= targetDepth; depth++ {
		appendPoint := func(list []Point, v float64) []Point { return append(list, Point{float64(depth), v}) }
		for _, errorFraction := range []float64{0, 0.5} {
			sc := &emulator.Scenario{Name: fmt.Sprintf("chain of %d, errors %v", depth, errorFraction), Seconds: o.warmUpSeconds() + o.measuredSeconds(), WarmUpSeconds: o.warmUpSeconds(), Zones: 3,
				Classes: []emulator.ClassLoad{{Name: "read", Effect: "safe", Share: 1, LatencyObjectiveMs: 200, ClientTimeoutMs: 800}},
				Graph: &emulator.GraphSpec{Seed: o.Seed, Services: depth, Depth: depth, MinServers: 6, MaxServers: 6, ExtraCalls: -1, ClientHosts: 60, Utilization: 0.5,
					CallsPerS: float64(depth) * 500 * min(1, max(o.Scale*4, 0.4))}}
			if errorFraction > 0 {
				sc.Faults = []emulator.Fault{{Kind: "errors", ServerFraction: 1, Fraction: errorFraction}}
			}
			res, err := o.emulate(ctx, r, sc)
			if err != nil {
				return err
			}
			if errorFraction == 0 {
				p99 = appendPoint(p99, res.P99Ms)
				if res.Goodput < minFaultFreeGoodput {
					r.Short = append(r.Short, fmt.Sprintf("%s: served %.4f, at least %v required", sc.Name, res.Goodput, minFaultFreeGoodput))
				}
				continue
			}
			// A count of 0 is replaced by 0.5, as 0 has no logarithm.
			ops := float64(res.Ops)
			served = appendPoint(served, -math.Log(max(float64(res.Served), 0.5)/ops))
			withinObjective = appendPoint(withinObjective, -math.Log(max(float64(res.WithinObjective), 0.5)/ops))
			attempts = appendPoint(attempts, res.Path.DeepestAttempts)
			r.add(fmt.Sprintf("half errors at each of %d hops: served", depth), res.Goodput, "of calls at the top")
			r.add(fmt.Sprintf("half errors at each of %d hops: attempts at the last", depth), res.Path.DeepestAttempts, "for a call at the top")
		}
	}
	for _, l := range []struct {
		name, unit string
		points     []Point
	}{{"p99 without trouble over hops", "ms", p99}, {"half errors at each hop: minus ln of served", "", served},
		{"half errors at each hop: minus ln of served in aim", "", withinObjective},
		{"half errors at each hop: attempts at the last for a call at the top", "", attempts}} {
		r.Lines = append(r.Lines, fitLast(l.name, l.unit, l.points))
	}
	return nil
}

// fitLast fits a line to all points but the last and checks it at the last.
func fitLast(name, unit string, p []Point) Line {
	last := len(p) - 1
	return Fit(name, unit, p[:last], p[last].Size, p[last].Value)
}

// measureGraphs measures graphs of increasing numbers of services, six deep, at a constant rate per server.
func (o *Options) measureGraphs(ctx context.Context, r *Report) error {
	var unserved, p99, events, amplification []Point
	for _, n := range []int{20, 40, 60, targetServices} {
		appendPoint := func(list []Point, v float64) []Point { return append(list, Point{float64(n), v}) }
		servers := targetServers * n / targetServices
		rate := targetCallsPerS * float64(n) / targetServices * min(1, max(o.Scale*4, 0.05))
		sc := &emulator.Scenario{Name: fmt.Sprintf("graph of %d services, %d servers", n, servers), Seconds: o.warmUpSeconds() + o.measuredSeconds(), WarmUpSeconds: o.warmUpSeconds(), Zones: 6,
			Graph: &emulator.GraphSpec{Seed: o.Seed, Services: n, Depth: targetDepth, Servers: servers, Regions: 2, CallsPerS: rate}}
		res, err := o.emulate(ctx, r, sc)
		if err != nil {
			return err
		}
		if res.Goodput < minFaultFreeGoodput {
			r.Short = append(r.Short, fmt.Sprintf("%s: served %.4f, at least %v required", sc.Name, res.Goodput, minFaultFreeGoodput))
		}
		unserved = appendPoint(unserved, 1000*(1-res.Goodput))
		p99 = appendPoint(p99, res.P99Ms)
		events = appendPoint(events, float64(res.Events)/sc.Seconds)
		amplification = appendPoint(amplification, res.Path.Amplification)
		if n == targetServices {
			r.add("calls at the top, aimed size", sc.Load.PerS, "/s")
			r.add("calls of all services, aimed size", rate, "/s")
			r.add("served in aim, aimed size", float64(res.WithinObjective)/float64(res.Ops), "of calls at the top")
			r.add("attempts at the last hop, aimed size", res.Path.DeepestAttempts, "for a call at the top")
		}
	}
	for _, l := range []struct {
		name, unit string
		points     []Point
	}{{"not served, over services", "of 1,000", unserved}, {"p99 over services", "ms", p99}, {"events of the emulator over services", "/s", events},
		{"attempts at the last hop, of those without trouble, over services", "times", amplification}} {
		r.Lines = append(r.Lines, fitLast(l.name, l.unit, l.points))
	}
	return nil
}
