package emulator

import "testing"

// restartScenario restarts 70 % of 40 agents at 6 s, with a discovery service of 12 calls per second.
func restartScenario(t *testing.T) *Scenario {
	t.Helper()
	sc := &Scenario{Name: "restart", Seconds: 14, WarmUpSeconds: 1, Zones: 3, Agents: 40,
		Servers:   []ServerGroup{{Count: 30, Workers: 3, Queue: 40, Service: Distribution{Kind: "exponential", MeanMs: 50}, OverloadFactor: 2.5}},
		Load:      Load{PerS: 1000, Keys: 1000, Zipf: 0.9},
		Discovery: Discovery{LagMs: 50, Queue: DiscoveryQueue{CallsPerS: 12, PatienceMs: 2000, MaxBacklogMs: 4700}},
		Faults:    []Fault{{Kind: "kill_agents", StartS: 6, ServerFraction: 0.7}}}
	if err := sc.Check(); err != nil {
		t.Fatal(err)
	}
	return sc
}

// Agents that restart together get the endpoint list without a failed call, though the discovery service has
// a limited rate; their open requests cause no violation, and the same seed gives the same run.
func TestRestartedAgentsDoNotOverloadDiscovery(t *testing.T) {
	var first *Result
	for range 2 {
		r, err := Run(restartScenario(t), &Product, 5)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d calls, %d failed, at most %d a second, the last subscribed at %.1f s, %d attempts lost with their agents, goodput %.4f",
			r.DiscoveryCalls, r.DiscoveryFailures, r.DiscoveryPeakPerS, r.LastSubscribedS, r.LostWithAgent, r.Goodput)
		if r.DiscoveryFailures > 0 || r.DiscoveryPeakPerS > 24 || r.DiscoveryCalls > 40+28 || r.LastSubscribedS > 6+6 {
			t.Errorf("%d calls, %d failed, peak %d, the last subscribed at %.1f s", r.DiscoveryCalls, r.DiscoveryFailures, r.DiscoveryPeakPerS, r.LastSubscribedS)
		}
		if r.LostWithAgent == 0 || r.Violations[1]+r.Violations[2]+r.Violations[3] > 0 {
			t.Errorf("%d attempts lost with their agents, violations %v %v", r.LostWithAgent, r.Violations, r.ViolationTexts)
		}
		if first == nil {
			first = r
		} else if r.Events != first.Events || r.Served != first.Served {
			t.Errorf("the same seed gave %d and %d events", first.Events, r.Events)
		}
	}
}

// The discovery service still processes calls whose callers have timed out. An overloaded service therefore
// answers no calls until their rate falls below its capacity.
func TestDiscoveryQueueWorksOffAbandonedCalls(t *testing.T) {
	queue, totals := discoveryQueue{DiscoveryQueue: DiscoveryQueue{CallsPerS: 10, PatienceMs: 1000, MaxBacklogMs: 3000}}, &Result{}
	ended := func(at Time) bool {
		_, ok := queue.admit(at, false, totals)
		return ok
	}
	for i := range 35 {
		if ok := ended(0); ok != (i < 10) {
			t.Errorf("call %d of a burst: answered %v", i, ok)
		}
	}
	if totals.DiscoveryFailures != 25 || totals.DiscoveryPeakPerS != 35 {
		t.Errorf("%d failed, peak %d", totals.DiscoveryFailures, totals.DiscoveryPeakPerS)
	}
	if ended(2 * Second) {
		t.Error("answered behind 1.1 s of work for abandoned calls")
	}
	if !ended(4 * Second) {
		t.Error("not answered after the backlog was processed")
	}
}

// Check rejects an invalid discovery service or fault with an error that names the key.
func TestDiscoveryScenarioCheckNamesTheKey(t *testing.T) {
	for key, invalidate := range map[string]func(*Scenario){
		"roster.line.calls_per_s": func(s *Scenario) { s.Discovery.Queue.CallsPerS = -1 },
		"fault[0].every_s":        func(s *Scenario) { s.Faults[0].StaggerS = 1 },
		"fault[0].of_zone":        func(s *Scenario) { s.Faults[0].TargetZone = 4 },
	} {
		sc := restartScenario(t)
		invalidate(sc)
		if err := sc.Check(); err == nil || len(err.Error()) < len(key) || err.Error()[:len(key)] != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}
