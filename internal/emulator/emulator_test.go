package emulator

import (
	"encoding/json"
	"testing"

	"ringtrack.example/ringtrack/policy"
)

// allFaultsScenario is a scenario with many kinds of faults.
func allFaultsScenario() *Scenario {
	return &Scenario{
		Name:          "all faults",
		Seconds:       20,
		WarmUpSeconds: 2,
		Zones:         3,
		Agents:        6,
		Servers: []ServerGroup{
			{
				Count: 9, Workers: 2, Queue: 8, OverloadFactor: 2.5,
				Service: Distribution{Kind: "lognormal", MeanMs: 20, Shape: 0.5},
			},
			{
				Count: 3, Workers: 2, Queue: 8,
				Service: Distribution{Kind: "exponential", MeanMs: 40},
			},
		},
		Load: Load{
			PerS: 500, Burst: 3, BurstMs: 200, Swing: 0.3, Keys: 500, Zipf: 0.9, ImmediateRetry: 0.1,
		},
		Network:   Network{LocalMs: 0.2, CrossMs: 1, JitterMs: 0.1, Resets: 0.002},
		Discovery: Discovery{LagMs: 50},
		Faults: []Fault{
			{Kind: "drain", StartS: 4, DurationS: 4, Count: 2},
			{Kind: "dark", StartS: 6, DurationS: 3, Count: 1},
			{Kind: "stop", StartS: 8, DurationS: 2, Count: 2},
			{Kind: "restart", StartS: 10, Count: 4, StaggerS: 1},
			{Kind: "slow", StartS: 12, DurationS: 3, Count: 2, Factor: 8},
			{Kind: "errors", StartS: 13, DurationS: 2, Count: 3, Fraction: 0.3, Class: "order"},
			{Kind: "partition", StartS: 15, DurationS: 1, Zone: 1},
			{Kind: "roster_down", StartS: 3, DurationS: 2},
			{Kind: "turn_away", StartS: 16, DurationS: 2, Count: 4, Fraction: 0.5},
			{Kind: "one_way", StartS: 17, DurationS: 2, Zone: 2, DelayMs: 100},
		},
	}
}

// run checks a scenario and runs it.
func run(t *testing.T, sc *Scenario, p *Policy, seed uint64) *Result {
	t.Helper()
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	r, err := Run(sc, p, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same seed gives byte-identical results, another seed different ones. Under all faults the product
// violates no rule, the guard blocks no attempt, and no request reaches the backstop timeout.
func TestRunIsReproducibleWithoutViolations(t *testing.T) {
	var last string
	for seed := range uint64(3) {
		r := run(t, allFaultsScenario(), &Product, seed)
		a, _ := json.Marshal(r)
		b, _ := json.Marshal(run(t, allFaultsScenario(), &Product, seed))
		if string(a) != string(b) {
			t.Errorf("seed %d: two runs differ", seed)
		}
		if string(a) == last {
			t.Error("two seeds give the same result")
		}
		last = string(a)
		t.Logf("seed %d: goodput %.4f, p99 %.1f ms, %d ops, %d events, violations %v, guard violations %v, overloads %d",
			seed, r.Goodput, r.P99Ms, r.Ops, r.Events, r.Violations, r.GuardViolationsByReason, r.Overloads)
		if len(r.Violations) > 0 || r.GuardViolations > 0 || r.BackstopTimeouts > 0 || r.Overloads > 0 {
			t.Errorf("seed %d: violations %v %v, guard violations %d, backstop timeouts %d, overloads %d",
				seed, r.Violations, r.ViolationTexts, r.GuardViolations, r.BackstopTimeouts, r.Overloads)
		}
	}
}

// smallScenario is a scenario of two servers, to which change is applied.
func smallScenario(change func(*Scenario)) *Scenario {
	sc := &Scenario{
		Name:    "small",
		Seconds: 5,
		Servers: []ServerGroup{
			{Count: 2, Workers: 2, Queue: 4, Service: Distribution{Kind: "exponential", MeanMs: 5}},
		},
		Load: Load{PerS: 100},
	}
	change(sc)
	return sc
}

// With a balancer that does nothing, or that forwards to unknown servers, no request is served and no rule is
// violated.
func TestBrokenBalancersViolateNoRule(t *testing.T) {
	silent := Policy{Name: "silent", New: func(policy.Settings, uint64) (Balancer, error) { return balancerFunc(nil), nil }}
	unknownServer := Policy{Name: "unknown server", New: func(policy.Settings, uint64) (Balancer, error) {
		return balancerFunc(func(ev *policy.Event) []policy.Action {
			switch ev.Kind {
			case policy.EventRequest:
				return []policy.Action{
					{Kind: policy.ActionForward, Request: ev.Request, Server: policy.Addr{9}},
					{Kind: policy.ActionForward, Request: 1 << 30},
				}
			case policy.EventAttemptEnded:
				return []policy.Action{{Kind: policy.ActionForward, Request: ev.Request, Server: policy.Addr{9}}}
			}
			return nil
		}), nil
	}}
	r := run(t, smallScenario(func(*Scenario) {}), &silent, 1)
	if r.Served != 0 || r.BackstopTimeouts == 0 || r.Failed == 0 || len(r.Violations) > 0 {
		t.Errorf("silent: %+v", r)
	}
	r = run(t, smallScenario(func(sc *Scenario) { sc.Seconds = 1 }), &unknownServer, 1)
	if r.Served != 0 || r.GuardViolations == 0 || len(r.Violations) > 0 {
		t.Errorf("unknown server: %+v", r)
	}
}

// Extreme scenarios violate no rule: all servers stopped, restarted or draining, service times of 0 and of a
// day, one request an hour, 50 times the capacity.
func TestExtremeScenariosViolateNoRule(t *testing.T) {
	for name, change := range map[string]func(*Scenario){
		"all draining": func(sc *Scenario) { sc.Faults = []Fault{{Kind: "drain", ServerFraction: 1}} },
		"all stopped":  func(sc *Scenario) { sc.Faults = []Fault{{Kind: "stop", ServerFraction: 1}} },
		"all restarted": func(sc *Scenario) {
			sc.Faults = []Fault{{Kind: "restart", ServerFraction: 1}}
			sc.Servers[0].OverloadFactor = 2.5
		},
		"no service time": func(sc *Scenario) { sc.Servers[0].Service = Distribution{} },
		"a day":           func(sc *Scenario) { sc.Servers[0].Service = Distribution{MeanMs: 86_400_000} },
		"one an hour":     func(sc *Scenario) { sc.Load.PerS, sc.Seconds = 1.0/3600, 3600*3 },
		"50 times":        func(sc *Scenario) { sc.Load.PerS, sc.Seconds = 50*sc.Capacity(), 0.25 },
		"no load":         func(sc *Scenario) { sc.Load.PerS = 0 },
	} {
		r := run(t, smallScenario(change), &Product, 1)
		if len(r.Violations) > 0 || r.GuardViolations > 0 || r.Overloads > 0 {
			t.Errorf("%s: violations %v %v, guard violations %d, overloads %d",
				name, r.Violations, r.ViolationTexts, r.GuardViolations, r.Overloads)
		}
		switch name {
		case "no service time", "one an hour":
			if r.Goodput < 1 {
				t.Errorf("%s: goodput %v", name, r.Goodput)
			}
		case "all draining", "a day":
			if r.Served > r.Ops/10 {
				t.Errorf("%s: %d served of %d", name, r.Served, r.Ops)
			}
		}
	}
}

// The number of pending events is bounded, even at 50 times the capacity.
func TestPendingEventsAreBounded(t *testing.T) {
	sc := smallScenario(func(sc *Scenario) { sc.Load.PerS, sc.Seconds = 50*sc.Capacity(), 3 })
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	w, err := newWorld(sc, &Product, 1)
	if err != nil {
		t.Fatal(err)
	}
	maxPending := 0
	for w.now < 4*Second/10 {
		w.run(w.now + 10*Millisecond)
		maxPending = max(maxPending, len(w.heap))
	}
	// Open requests are at most those of the longest client timeout, with a few events each.
	if bound := int(6 * 1.2 * sc.Load.PerS); maxPending > bound {
		t.Errorf("%d pending events, bound %d", maxPending, bound)
	}
}

// balancerFunc is a balancer without state; nil does nothing.
type balancerFunc func(*policy.Event) []policy.Action

func BenchmarkRun(b *testing.B) {
	sc := &Scenario{
		Name:    "calm",
		Seconds: 10,
		Zones:   3,
		Agents:  4,
		Servers: []ServerGroup{
			{Count: 12, Workers: 8, Queue: 32, Service: Distribution{Kind: "exponential", MeanMs: 10}},
		},
		Load: Load{PerS: 5000, Keys: 1000, Zipf: 0.9},
	}
	if err := sc.Check(); err != nil {
		b.Fatal(err)
	}
	n := 0
	for i := range b.N {
		r, err := Run(sc, &Product, uint64(i))
		if err != nil {
			b.Fatal(err)
		}
		n += r.Ops
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "requests/s")
}

// overloadScenario is a scenario with 1.5 times the capacity and two tenants, of which b exceeds its quota.
func overloadScenario() *Scenario {
	s := &Scenario{Name: "o", Seconds: 10, WarmUpSeconds: 2, Zones: 1, Agents: 2,
		Servers: []ServerGroup{{Count: 4, Workers: 2, Queue: 4, Service: Distribution{Kind: "exponential", MeanMs: 20}}},
		Load:    Load{PerS: 600, Keys: 200, Zipf: 0.8, ImmediateRetry: 1},
		Classes: []ClassLoad{{Name: "r", Effect: "safe", Share: 1, LatencyObjectiveMs: 500, ClientTimeoutMs: 1500}},
		Tenants: []Tenant{{Name: "a", Quota: 0.5}, {Name: "b", Quota: 0.5, LoadWeight: 1.5}}}
	return s
}

// runProduct checks a scenario and runs it under the product's policy.
func runProduct(t *testing.T, s *Scenario) *Result {
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

func (f balancerFunc) Start(float64, []policy.Action) []policy.Action { return nil }
func (f balancerFunc) Handle(_ float64, ev *policy.Event, out []policy.Action) []policy.Action {
	if f == nil {
		return nil
	}
	return append(out, f(ev)...)
}
