package policy

import (
	"math"
	"testing"
)

// Under overload servers are kept busy with few rejections, however the traffic is distributed over the
// agents.
func TestOverloadKeepsServersBusy(t *testing.T) {
	t.Parallel() // virtual time alone
	for name, change := range map[string]func(*overloadScenario){
		"default":                    func(*overloadScenario) {},
		"one agent with the traffic": func(c *overloadScenario) { c.oneBusyAgent = true },
		"a key with a fifth of it":   func(c *overloadScenario) { c.hotKeyShare = 0.21 },
		"synchronized bursts": func(c *overloadScenario) {
			c.surge = func(at float64) float64 { return 0.4 + 1.2*float64(int(at*40)%2) }
		},
		"80 agents with few requests": func(c *overloadScenario) { c.agents, c.servers = 80, 16 },
		"clients that never retry":    func(c *overloadScenario) { c.clientRetries = 0 },
	} {
		c := defaultOverload(1)
		change(&c)
		result := c.run(t)
		t.Logf("%s: served %.3f, rejected %.3f, busy %.3f, %.2f attempts a request, slowest rejection %.0f ms", name, result.served, result.rejected,
			result.busy, result.attemptsPerRequest, result.slowestRejectionMs)
		most := 0.25
		if c.agents > 8 { // each sends to a server about once a second: too seldom to adjust a limit
			most = 0.55
		}
		if result.busy < 0.9 || result.rejected > most || result.served < 0.6 {
			t.Errorf("%s: servers busy for %.2f, %.2f rejected, %.2f served",
				name, result.busy, result.rejected, result.served)
		}
		if result.slowestRejectionMs > 0.5*4*overloadObjectiveMs {
			t.Errorf("%s: a rejection took %.0f ms, more than half of the client's time",
				name, result.slowestRejectionMs)
		}
	}
}

// A tenant with 2, 5 and 20 times its quota does not affect how the other tenants are served.
func TestOverloadGreedyTenant(t *testing.T) {
	t.Parallel() // virtual time alone
	weights := []float64{0.44, 0.32, 0.13, 0.11}
	for _, times := range []float64{2, 5, 20} {
		c := defaultOverload(2)
		c.seconds = 20
		c.weights, c.tenantLoads = weights, []float64{0.44, 0.32, 0.13, 0.11 * times}
		c.load = 0.75 * (0.89 + 0.11*times)
		result := c.run(t)
		t.Logf("%v times: served %.3f of all, by tenant %.3f", times, result.served, result.tenants)
		for i, s := range result.tenants[:3] {
			if s < 0.96 {
				t.Errorf("at %v times the quota of another tenant %d is served %.3f", times, i, s)
			}
		}
		if own := result.tenants[3] * times; own < 0.96 {
			t.Errorf("at %v times its quota a tenant is served %.3f of it", times, own)
		}
	}
}

// After a surge the fleet recovers without intervention, even though clients retry at once.
func TestFleetRecoversAfterASurge(t *testing.T) {
	t.Parallel() // virtual time alone
	for seed := range uint64(3) {
		c := defaultOverload(seed)
		c.load, c.clientRetries, c.seconds = 0.8, 3, 24
		c.surge = func(at float64) float64 {
			if at > 0.25 && at < 0.5 {
				return 3
			}
			return 1
		}
		result := c.run(t)
		back := 0
		for i := 12; i < 24 && result.second[i] < 0.95; i++ {
			back++
		}
		t.Logf("seed %d: served by second %.2f; back after %d s", seed, result.second, back)
		if back > 2 {
			t.Errorf("seed %d: %d s after the surge goodput is still under 0.95: %.2f",
				seed, back, result.second[12:])
		}
	}
}

// Load reports that are absent, stale or wrong reduce goodput little, as rejections and answer times show the
// overload too.
func TestOverloadWithWrongReports(t *testing.T) {
	t.Parallel() // virtual time alone
	truth := defaultOverload(4).run(t)
	nan := float32(math.NaN())
	for name, report := range map[string]func(int, float64, float64) []float32{
		"absent":                  func(int, float64, float64) []float32 { return nil },
		"from some servers only":  func(i int, u, n float64) []float32 { return []float32{float32(u), float32(n)}[:2*(i%2)] },
		"idle with a full queue":  func(int, float64, float64) []float32 { return []float32{0, 0} },
		"busy on an idle machine": func(int, float64, float64) []float32 { return []float32{1, 1} },
		"NaN":                     func(int, float64, float64) []float32 { return []float32{nan, nan} },
		"negative":                func(int, float64, float64) []float32 { return []float32{-3, -1} },
	} {
		for _, load := range []float64{1.4, 0.7} {
			c := defaultOverload(4)
			c.report, c.load = report, load
			want := truth.served
			if load < 1 {
				want = 0.99
			}
			if result := c.run(t); result.served < want-0.04 {
				t.Errorf("%s, load %v: served %.3f, want %.3f as with true reports",
					name, load, result.served, want)
			}
		}
	}
}

// Machines lose most of their speed for a period, once or repeatedly.
func TestOverloadOfSlowedMachines(t *testing.T) {
	for name, speed := range map[string]func(int, float64) float64{
		"a quarter at a fifth, then back": func(i int, at float64) float64 {
			if i < 2 && at > 0.3 && at < 0.6 {
				return 0.2
			}
			return 1
		},
		"another program takes 70 % of half, on and off": func(i int, at float64) float64 {
			if i < 4 && int(at*10)%2 == 0 {
				return 0.3
			}
			return 1
		},
	} {
		c := defaultOverload(5)
		c.load, c.speed = 0.75, speed
		result := c.run(t)
		t.Logf("%s: served %.3f", name, result.served)
		if result.served < 0.9 {
			t.Errorf("%s: served %.3f", name, result.served)
		}
	}
}

// All agents together do not overload a server in slow start while the other servers are overloaded.
func TestOverloadBesideAServerInSlowStart(t *testing.T) {
	for _, agents := range []int{4, 40} {
		c := defaultOverload(6)
		c.agents, c.slowStarting = agents, 1
		result := c.run(t)
		t.Logf("%d agents: the server got at most %.2f times what it could do in a second", agents, result.slowStartOverload)
		if result.slowStartOverload > testSettings().Contract.OverloadFactor {
			t.Errorf("%d agents sent a server in slow start %.2f times what it could do",
				agents, result.slowStartOverload)
		}
	}
}

// Many agents with few requests each have no queue from which to select by priority, and send too seldom to
// adjust their limits. Load shedding there rejects the requests of the lowest priority.
func TestLowestPriorityIsShed(t *testing.T) {
	c := defaultOverload(7)
	c.seconds = 20
	c.agents, c.servers, c.slots, c.queue, c.load = 80, 16, 1, 20, 1.5
	result := c.run(t)
	t.Logf("served %.3f of priority 1, %.3f of priority 5, %.3f of all", result.classes[0], result.classes[1], result.served)
	if result.classes[1] < 0.6 || result.classes[1] < result.classes[0]+0.3 {
		t.Errorf("served %.3f of priority 1 and %.3f of priority 5", result.classes[0], result.classes[1])
	}
}
