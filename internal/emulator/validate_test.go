package emulator

import (
	"math"
	"strings"
	"testing"
)

// Check rejects an invalid scenario with an error that names the key.
func TestScenarioCheckNamesTheKey(t *testing.T) {
	for key, change := range map[string]func(*Scenario){
		"seconds":                    func(s *Scenario) { s.Seconds = 0 },
		"load.per_s":                 func(s *Scenario) { s.Load.PerS = -1 },
		"load.zipf":                  func(s *Scenario) { s.Load.Zipf = math.NaN() },
		"servers: none":              func(s *Scenario) { s.Servers = nil },
		"servers[0].workers":         func(s *Scenario) { s.Servers[0].Workers = 0 },
		"servers[0].service.kind":    func(s *Scenario) { s.Servers[0].Service.Kind = "odd" },
		"servers[0].service.mean_ms": func(s *Scenario) { s.Servers[0].Service.MeanMs = -1 },
		"servers[0].service.shape":   func(s *Scenario) { s.Servers[0].Service = Distribution{Kind: "pareto", MeanMs: 1, Shape: 1} },
		"fault[0].kind":              func(s *Scenario) { s.Faults[0].Kind = "unknown" },
		"fault[0].part":              func(s *Scenario) { s.Faults[0].Fraction = 2 },
		"fault[5].class":             func(s *Scenario) { s.Faults[5].Class = "none" },
		"fault[0].zone":              func(s *Scenario) { s.Faults[0].Zone = 9 },
		"class: the shares": func(s *Scenario) {
			s.Classes = []ClassLoad{{Name: "a", Effect: "safe", Share: 0.5, LatencyObjectiveMs: 1, ClientTimeoutMs: 1}}
		},
		"class[0].effect": func(s *Scenario) {
			s.Classes = []ClassLoad{{Name: "a", Effect: "odd", Share: 1, LatencyObjectiveMs: 1, ClientTimeoutMs: 1}}
		},
		"agents": func(s *Scenario) { s.Agents = -1 },
	} {
		sc := allFaultsScenario()
		change(sc)
		if err := sc.Check(); err == nil || len(err.Error()) < len(key) || err.Error()[:len(key)] != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// Check rejects invalid tenants, load reports, key caches and loads with an error that names the key.
func TestOverloadScenarioCheckNamesTheKey(t *testing.T) {
	for key, invalidate := range map[string]func(*Scenario){
		"tenant[0].portion":    func(s *Scenario) { s.Tenants[0].Quota = 0 },
		"tenant[1].asks":       func(s *Scenario) { s.Tenants[1].LoadWeight = -1 },
		"servers[0].report":    func(s *Scenario) { s.Servers[0].Report = "true" },
		"servers[0].warm.gain": func(s *Scenario) { s.Servers[0].KeyCache.SavedFraction = 1 },
		"load.hot_key":         func(s *Scenario) { s.Load.HotKey = 1.5 },
		"one_agent":            func(s *Scenario) { s.FirstAgentFraction = math.NaN() },
		"class[0].worth":       func(s *Scenario) { s.Classes[0].PriorityWeight = -1 },
		"fault[0].pause_s":     func(s *Scenario) { s.Faults = []Fault{{Kind: "stalls", IntervalS: -1}} },
	} {
		s := overloadScenario()
		invalidate(s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v", key, err)
		}
	}
}
