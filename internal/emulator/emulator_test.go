package emulator

import (
	"encoding/json"
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"ringtrack.example/ringtrack/policy"
)

var long = flag.Bool("long", false, "known results within 1 %, which takes a minute of CPU")

// direct forwards each request at once, without a timeout of its own, to the one of d random servers that has
// the fewest of its requests.
type direct struct {
	rng    *rand.Rand
	all    []policy.Addr
	active map[policy.Addr]int
	d      int
}

func (b *direct) Start(float64, []policy.Action) []policy.Action { return nil }

func (b *direct) Handle(_ float64, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.EventEndpointUpdate:
		for _, e := range ev.Endpoints {
			b.all = append(b.all, e.Server)
		}
	case policy.EventRequest:
		best := b.all[b.rng.IntN(len(b.all))]
		for range b.d - 1 {
			if x := b.all[b.rng.IntN(len(b.all))]; b.active[x] < b.active[best] {
				best = x
			}
		}
		b.active[best]++
		out = append(out, policy.Action{Kind: policy.ActionForward, Request: ev.Request, Server: best})
	case policy.EventAttemptEnded:
		b.active[ev.Server]--
		if !ev.Final {
			out = append(out, policy.Action{Kind: policy.ActionFail, Request: ev.Request})
		}
	}
	return out
}

func choices(d int) *Policy {
	return &Policy{Name: "direct", Unguarded: true, New: func(_ policy.Settings, seed uint64) (Balancer, error) {
		return &direct{rng: rand.New(rand.NewPCG(seed, 1)), active: map[policy.Addr]int{}, d: d}, nil
	}}
}

// queue is a scenario without network delay and faults.
func queue(servers, workers int, service Distribution, perS, seconds float64) *Scenario {
	return &Scenario{Seconds: seconds, WarmUpSeconds: seconds / 20, Zones: 1, Agents: 1, Network: Network{LocalMs: 1e-9},
		Servers: []ServerGroup{{Count: servers, Workers: workers, Queue: 1_000_000, Service: service, Weight: 1, SlowStartMinCapacity: 1}},
		Classes: []ClassLoad{{Name: "read", Effect: "safe", Share: 1, LatencyObjectiveMs: 60_000, ClientTimeoutMs: 60_000, Work: 1}}, Load: Load{PerS: perS}}
}

// erlangC is the probability of waiting in M/M/k with a offered Erlangs.
func erlangC(k int, a float64) float64 {
	sum, term := 0.0, 1.0
	for i := range k {
		sum += term
		term *= a / float64(i+1)
	}
	last := term * float64(k) / (float64(k) - a)
	return last / (sum + last)
}

// Mean response times are those of queueing theory: M/M/1 and M/M/k (Kleinrock, "Queueing Systems" I,
// 3.2 and 3.5: Erlang C), M/G/1 (5.6: Pollaczek and Khinchine).
func TestMeanResponseTimeAgreesWithQueueingTheory(t *testing.T) {
	const mean = 1.0 // ms
	for name, test := range map[string]struct {
		k       int
		service Distribution
		rho     float64
		want    float64 // ms in the system
	}{
		"M/M/1 at 0.5":  {1, Distribution{Kind: "exponential", MeanMs: mean}, 0.5, mean / (1 - 0.5)},
		"M/M/1 at 0.7":  {1, Distribution{Kind: "exponential", MeanMs: mean}, 0.7, mean / (1 - 0.7)},
		"M/M/4 at 0.75": {4, Distribution{Kind: "exponential", MeanMs: mean}, 0.75, mean + erlangC(4, 3)*mean/(4*(1-0.75))},
		"M/D/1 at 0.7":  {1, Distribution{Kind: "fixed", MeanMs: mean}, 0.7, mean + 0.7*mean/(2*(1-0.7))},
		// Of a lognormal the squared coefficient of variation is exp(sigma^2)-1.
		"M/G/1 lognormal at 0.6": {1, Distribution{Kind: "lognormal", MeanMs: mean, Shape: 0.8}, 0.6, mean + 0.6*mean*math.Exp(0.64)/(2*(1-0.6))},
		"M/G/1 bimodal at 0.6":   {1, Distribution{Kind: "bimodal", MeanMs: mean, Shape: 0.1, SlowFactor: 10}, 0.6, mean + 0.6*(0.9+0.1*100)/math.Pow(0.9+0.1*10, 2)*mean/(2*(1-0.6))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			perS := test.rho * float64(test.k) * 1000 / mean
			got, n, ops, within := 0.0, 1, 60_000.0, 0.06 // as chance may have it with so few
			if *long {
				n, ops, within = 6, 400_000, 0.01
			}
			for seed := range uint64(n) {
				r, err := Run(queue(1, test.k, test.service, perS, ops/perS), choices(1), seed+3)
				if err != nil {
					t.Fatal(err)
				}
				got += r.MeanMs / float64(n)
			}
			if math.Abs(got/test.want-1) > within {
				t.Errorf("%.4f ms, theory has %.4f: %+.2f %%", got, test.want, 100*(got/test.want-1))
			}
		})
	}
}

// n balls into n bins that never empty: with one choice the fullest has about ln n / ln ln n, with two
// ln ln n / ln 2 and a constant (Azar, Broder, Karlin and Upfal, "Balanced Allocations"; Mitzenmacher's
// thesis has 4 for two choices at n = 2^13 in nearly all of 100 runs, and 7 or 8, seldom 6 or 9, for one).
func TestMaxLoadOfOneAndTwoChoices(t *testing.T) {
	const n = 1 << 13
	maxBusy := func(d int, seed uint64) (worst int) {
		sc := queue(n, 1000, Distribution{Kind: "fixed", MeanMs: 86_400_000}, 1e5, 60)
		w, err := newWorld(sc, choices(d), seed)
		if err != nil {
			t.Fatal(err)
		}
		for w.operations < n {
			w.run(w.now + Millisecond)
		}
		for _, s := range w.servers {
			worst = max(worst, s.busy)
		}
		return worst
	}
	for seed := range uint64(5) {
		if one, two := maxBusy(1, seed), maxBusy(2, seed); one < 6 || one > 10 || two < 3 || two > 4 {
			t.Errorf("seed %d: the fullest has %d with one choice, %d with two", seed, one, two)
		}
	}
}

func TestDistributionMeanAndZipfRatio(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, d := range []Distribution{{Kind: "exponential", MeanMs: 3}, {Kind: "lognormal", MeanMs: 3, Shape: 1}, {Kind: "pareto", MeanMs: 3, Shape: 3},
		{Kind: "bimodal", MeanMs: 3, Shape: 0.05, SlowFactor: 20}, {Kind: "fixed", MeanMs: 3}, {MeanMs: 3}} {
		if err := d.Check("service"); err != nil {
			t.Error(err)
		}
		sum := 0.0
		for range 400_000 {
			sum += d.draw(rng)
		}
		if got := sum / 400_000; math.Abs(got/3-1) > 0.02 {
			t.Errorf("%+v has a mean of %v", d, got)
		}
	}
	z, count := newZipf(1000, 1), make([]int, 1000)
	for range 100_000 {
		count[z.draw(rng)]++
	}
	if r := float64(count[0]) / float64(count[9]); r < 8 || r > 12 {
		t.Errorf("the first key is %v times as frequent as the tenth", r)
	}
}

// allFaults is a scenario with many kinds of faults.
func allFaults() *Scenario {
	return &Scenario{Name: "all faults", Seconds: 20, WarmUpSeconds: 2, Zones: 3, Agents: 6,
		Servers: []ServerGroup{{Count: 9, Workers: 2, Queue: 8, Service: Distribution{Kind: "lognormal", MeanMs: 20, Shape: 0.5}, OverloadFactor: 2.5},
			{Count: 3, Workers: 2, Queue: 8, Service: Distribution{Kind: "exponential", MeanMs: 40}}},
		Load: Load{PerS: 500, Burst: 3, BurstMs: 200, Swing: 0.3, Keys: 500, Zipf: 0.9, ImmediateRetry: 0.1}, Network: Network{LocalMs: 0.2, CrossMs: 1, JitterMs: 0.1, Resets: 0.002},
		Discovery: Discovery{LagMs: 50}, Faults: []Fault{{Kind: "drain", StartS: 4, DurationS: 4, Count: 2}, {Kind: "dark", StartS: 6, DurationS: 3, Count: 1},
			{Kind: "stop", StartS: 8, DurationS: 2, Count: 2}, {Kind: "restart", StartS: 10, Count: 4, StaggerS: 1}, {Kind: "slow", StartS: 12, DurationS: 3, Count: 2, Factor: 8},
			{Kind: "errors", StartS: 13, DurationS: 2, Count: 3, Fraction: 0.3, Class: "order"}, {Kind: "partition", StartS: 15, DurationS: 1, Zone: 1},
			{Kind: "roster_down", StartS: 3, DurationS: 2}, {Kind: "turn_away", StartS: 16, DurationS: 2, Count: 4, Fraction: 0.5}, {Kind: "one_way", StartS: 17, DurationS: 2, Zone: 2, DelayMs: 100}}}
}

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

// The same seed gives the same bytes, another one others; the product violates no rule through all faults,
// the guard blocks no attempt, and no request runs into the backstop timeout.
func TestRunIsReproducibleWithoutViolations(t *testing.T) {
	var last string
	for seed := range uint64(3) {
		r := run(t, allFaults(), &Product, seed)
		a, _ := json.Marshal(r)
		b, _ := json.Marshal(run(t, allFaults(), &Product, seed))
		if string(a) != string(b) {
			t.Errorf("seed %d: two runs differ", seed)
		}
		if string(a) == last {
			t.Error("two seeds give one result")
		}
		last = string(a)
		t.Logf("seed %d: goodput %.4f, p99 %.1f ms, %d ops, %d events, violations %v, guard violations %v, overloads %d", seed, r.Goodput, r.P99Ms, r.Ops, r.Events, r.Violations, r.GuardViolationsByReason, r.Overloads)
		if len(r.Violations) > 0 || r.GuardViolations > 0 || r.BackstopTimeouts > 0 || r.Overloads > 0 {
			t.Errorf("seed %d: violations %v %v, guard violations %d, backstop timeouts %d, overloads %d", seed, r.Violations, r.ViolationTexts, r.GuardViolations, r.BackstopTimeouts, r.Overloads)
		}
	}
}

// note is an event that records its number.
type note struct {
	to *[]int
	n  int
}

func (x *note) fire(uint8) { *x.to = append(*x.to, x.n) }

// Two events at the same time fire in the order in which they were scheduled.
func TestEventsFireInOrder(t *testing.T) {
	var e engine
	var got []int
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		e.at(Time(rng.IntN(5)), &note{&got, i}, 0)
	}
	e.run(Second)
	if len(got) != 1000 || e.now != Second {
		t.Fatalf("%d happened, now %d", len(got), e.now)
	}
	var f engine
	var one []int
	for i := range 1000 {
		f.at(7, &note{&one, i}, 0)
	}
	f.run(7)
	for i, n := range one {
		if i != n {
			t.Fatalf("number %d happened as %d", n, i)
		}
	}
}

// Extreme scenarios: balancers that do nothing or name unknown servers, all servers stopped, restarted or
// draining, service times of 0 and of a day, one request an hour, 50 times the capacity.
func TestExtremeScenarios(t *testing.T) {
	small := func(change func(*Scenario)) *Scenario {
		sc := &Scenario{Name: "extreme", Seconds: 5, Servers: []ServerGroup{{Count: 2, Workers: 2, Queue: 4, Service: Distribution{Kind: "exponential", MeanMs: 5}}}, Load: Load{PerS: 100}}
		change(sc)
		return sc
	}
	silent := Policy{Name: "silent", New: func(policy.Settings, uint64) (Balancer, error) { return balancerFunc(nil), nil }}
	unknownServer := Policy{Name: "unknown server", New: func(policy.Settings, uint64) (Balancer, error) {
		return balancerFunc(func(ev *policy.Event) []policy.Action {
			switch ev.Kind {
			case policy.EventRequest:
				return []policy.Action{{Kind: policy.ActionForward, Request: ev.Request, Server: policy.Addr{9}}, {Kind: policy.ActionForward, Request: 1 << 30}}
			case policy.EventAttemptEnded:
				return []policy.Action{{Kind: policy.ActionForward, Request: ev.Request, Server: policy.Addr{9}}}
			}
			return nil
		}), nil
	}}
	r := run(t, small(func(*Scenario) {}), &silent, 1)
	if r.Served != 0 || r.BackstopTimeouts == 0 || r.Failed == 0 || len(r.Violations) > 0 {
		t.Errorf("silent: %+v", r)
	}
	r = run(t, small(func(sc *Scenario) { sc.Seconds = 1 }), &unknownServer, 1)
	if r.Served != 0 || r.GuardViolations == 0 || len(r.Violations) > 0 {
		t.Errorf("unknown server: %+v", r)
	}
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
		r := run(t, small(change), &Product, 1)
		if len(r.Violations) > 0 || r.GuardViolations > 0 || r.Overloads > 0 {
			t.Errorf("%s: violations %v %v, guard violations %d, overloads %d", name, r.Violations, r.ViolationTexts, r.GuardViolations, r.Overloads)
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
	sc := small(func(sc *Scenario) { sc.Load.PerS, sc.Seconds = 50*sc.Capacity(), 3 })
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
	// Open at a time are the requests that arrived within the longest deadline, with a few events each.
	if bound := int(6 * 1.2 * sc.Load.PerS); maxPending > bound {
		t.Errorf("%d events pending at a time, bound %d", maxPending, bound)
	}
}

type balancerFunc func(*policy.Event) []policy.Action

func (f balancerFunc) Start(float64, []policy.Action) []policy.Action { return nil }
func (f balancerFunc) Handle(_ float64, ev *policy.Event, out []policy.Action) []policy.Action {
	if f == nil {
		return nil
	}
	return append(out, f(ev)...)
}

// An error of Check names the key.
func TestScenarioCheckNamesTheKey(t *testing.T) {
	for key, change := range map[string]func(*Scenario){
		"seconds": func(s *Scenario) { s.Seconds = 0 }, "load.per_s": func(s *Scenario) { s.Load.PerS = -1 }, "load.zipf": func(s *Scenario) { s.Load.Zipf = math.NaN() },
		"servers: none": func(s *Scenario) { s.Servers = nil }, "servers[0].workers": func(s *Scenario) { s.Servers[0].Workers = 0 },
		"servers[0].service.kind": func(s *Scenario) { s.Servers[0].Service.Kind = "odd" }, "servers[0].service.mean_ms": func(s *Scenario) { s.Servers[0].Service.MeanMs = -1 },
		"servers[0].service.shape": func(s *Scenario) { s.Servers[0].Service = Distribution{Kind: "pareto", MeanMs: 1, Shape: 1} }, "fault[0].kind": func(s *Scenario) { s.Faults[0].Kind = "typhoon" },
		"fault[0].part": func(s *Scenario) { s.Faults[0].Fraction = 2 }, "fault[5].class": func(s *Scenario) { s.Faults[5].Class = "none" }, "fault[0].zone": func(s *Scenario) { s.Faults[0].Zone = 9 },
		"class: the shares": func(s *Scenario) {
			s.Classes = []ClassLoad{{Name: "a", Effect: "safe", Share: 0.5, LatencyObjectiveMs: 1, ClientTimeoutMs: 1}}
		},
		"class[0].effect": func(s *Scenario) {
			s.Classes = []ClassLoad{{Name: "a", Effect: "odd", Share: 1, LatencyObjectiveMs: 1, ClientTimeoutMs: 1}}
		}, "agents": func(s *Scenario) { s.Agents = -1 },
	} {
		sc := allFaults()
		change(sc)
		if err := sc.Check(); err == nil || len(err.Error()) < len(key) || err.Error()[:len(key)] != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func BenchmarkRun(b *testing.B) {
	sc := &Scenario{Name: "calm", Seconds: 10, Zones: 3, Agents: 4, Servers: []ServerGroup{{Count: 12, Workers: 8, Queue: 32, Service: Distribution{Kind: "exponential", MeanMs: 10}}},
		Load: Load{PerS: 5000, Keys: 1000, Zipf: 0.9}}
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
