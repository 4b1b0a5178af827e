package emulator

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"ringtrack.example/ringtrack/policy"
)

var long = flag.Bool("long", false, "compare with queueing theory within 1 %, which takes a minute of CPU")

// randomChoicesBalancer forwards each request at once, without an attempt timeout, to the one of d random
// servers that has the fewest active requests.
type randomChoicesBalancer struct {
	rng    *rand.Rand
	all    []policy.Addr
	active map[policy.Addr]int
	d      int
}

func (b *randomChoicesBalancer) Start(float64, []policy.Action) []policy.Action { return nil }

func (b *randomChoicesBalancer) Handle(_ float64, ev *policy.Event, out []policy.Action) []policy.Action {
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

// randomChoices is the policy of randomChoicesBalancer, without the guard.
func randomChoices(d int) *Policy {
	return &Policy{Name: "direct", Unguarded: true, New: func(_ policy.Settings, seed uint64) (Balancer, error) {
		return &randomChoicesBalancer{rng: rand.New(rand.NewPCG(seed, 1)), active: map[policy.Addr]int{}, d: d}, nil
	}}
}

// queueScenario is a scenario without network delay and faults.
func queueScenario(servers, workers int, service Distribution, perS, seconds float64) *Scenario {
	return &Scenario{Seconds: seconds, WarmUpSeconds: seconds / 20, Zones: 1, Agents: 1, Network: Network{LocalMs: 1e-9},
		Servers: []ServerGroup{{Count: servers, Workers: workers, Queue: 1_000_000, Service: service, Weight: 1, SlowStartMinCapacity: 1}},
		Classes: []ClassLoad{{Name: "read", Effect: "safe", Share: 1, LatencyObjectiveMs: 60_000, ClientTimeoutMs: 60_000, Work: 1}}, Load: Load{PerS: perS}}
}

// erlangC is the probability of waiting in M/M/k with an offered load of a erlangs.
func erlangC(k int, a float64) float64 {
	sum, term := 0.0, 1.0
	for i := range k {
		sum += term
		term *= a / float64(i+1)
	}
	last := term * float64(k) / (float64(k) - a)
	return last / (sum + last)
}

// Mean response times agree with queueing theory: M/M/1 and M/M/k (Kleinrock, "Queueing Systems" I,
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
		// The squared coefficient of variation of a lognormal distribution is exp(sigma^2)-1.
		"M/G/1 lognormal at 0.6": {1, Distribution{Kind: "lognormal", MeanMs: mean, Shape: 0.8}, 0.6, mean + 0.6*mean*math.Exp(0.64)/(2*(1-0.6))},
		"M/G/1 bimodal at 0.6":   {1, Distribution{Kind: "bimodal", MeanMs: mean, Shape: 0.1, SlowFactor: 10}, 0.6, mean + 0.6*(0.9+0.1*100)/math.Pow(0.9+0.1*10, 2)*mean/(2*(1-0.6))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			perS := test.rho * float64(test.k) * 1000 / mean
			got, n, ops, within := 0.0, 1, 60_000.0, 0.06 // tolerance for the random error of few operations
			if *long {
				n, ops, within = 6, 400_000, 0.01
			}
			for seed := range uint64(n) {
				r, err := Run(queueScenario(1, test.k, test.service, perS, ops/perS), randomChoices(1), seed+3)
				if err != nil {
					t.Fatal(err)
				}
				got += r.MeanMs / float64(n)
			}
			if math.Abs(got/test.want-1) > within {
				t.Errorf("%.4f ms, theory gives %.4f: %+.2f %%", got, test.want, 100*(got/test.want-1))
			}
		})
	}
}

// Servers that never finish are bins for n balls: the maximum of n bins is about ln n / ln ln n with one
// random choice, and ln ln n / ln 2 plus a constant with two (Azar, Broder, Karlin and Upfal, "Balanced
// Allocations"; Mitzenmacher's thesis has 4 for two choices at n = 2^13 in nearly all of 100 runs, and 7 or
// 8, seldom 6 or 9, for one).
func TestMaxLoadOfOneAndTwoChoices(t *testing.T) {
	const n = 1 << 13
	maxBusy := func(d int, seed uint64) (most int) {
		sc := queueScenario(n, 1000, Distribution{Kind: "fixed", MeanMs: 86_400_000}, 1e5, 60)
		w, err := newWorld(sc, randomChoices(d), seed)
		if err != nil {
			t.Fatal(err)
		}
		for w.operations < n {
			w.run(w.now + Millisecond)
		}
		for _, s := range w.servers {
			most = max(most, s.busy)
		}
		return most
	}
	for seed := range uint64(5) {
		if one, two := maxBusy(1, seed), maxBusy(2, seed); one < 6 || one > 10 || two < 3 || two > 4 {
			t.Errorf("seed %d: the maximum is %d with one choice, %d with two", seed, one, two)
		}
	}
}
