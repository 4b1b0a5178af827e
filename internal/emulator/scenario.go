package emulator

import (
	"fmt"
	"math"

	"ringtrack.example/ringtrack/policy"
)

// Scenario is what a run plays. All times are virtual.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`
	// Seconds is the length of a run, WarmSeconds its beginning that figures leave out.
	Seconds       float64       `toml:"seconds"`
	WarmUpSeconds float64       `toml:"warm_seconds"`
	Zones         int           `toml:"zones"`
	Agents        int           `toml:"agents"`
	Servers       []ServerGroup `toml:"servers"`
	Network       Network       `toml:"net"`
	Load          Load          `toml:"load"`
	Discovery     Discovery     `toml:"roster"`
	Faults        []Fault       `toml:"fault"`
	Classes       []ClassLoad   `toml:"class"`
	Tenants       []Tenant      `toml:"tenant"`
	// FirstAgentFraction is the part of the load that comes to the first agent; 0: each gets its even part.
	FirstAgentFraction float64 `toml:"one_agent"`
	// Graph is services that call services; servers, agents and the load's rate follow from it.
	Graph *GraphSpec `toml:"graph"`
	graph *Graph
}

// ServerGroup is a number of servers alike, spread over the zones.
type ServerGroup struct {
	Count   int          `toml:"count"`
	Workers int          `toml:"workers"` // requests that run at once
	Queue   int          `toml:"queue"`   // that wait; more are turned away
	Service Distribution `toml:"service"`
	// LIFO serves the newest first while more than half the queue is taken (Facebook's adaptive LIFO).
	LIFO   bool    `toml:"lifo"`
	Weight float64 `toml:"weight"`
	// SlowStartMinCapacity is the part of its speed at which a process starts, ColdMs how long it takes to be warm.
	SlowStartMinCapacity float64 `toml:"cold_from"`
	SlowStartMs          float64 `toml:"cold_ms"`
	// OverloadFactor: a cold server that gets more than that many times what it can do, over a second, falls
	// and starts again; 0: it never does.
	OverloadFactor float64  `toml:"fall_multiple"`
	KeyCache       KeyCache `toml:"warm"`
	// Report: what servers report of themselves: "" as it is, up to a tenth of a second old, "late" up to 1.4 s,
	// "none", "some" (every other server), "frozen" (as of the first second), "idle" (util 0), "busy" (util 1), "nan".
	Report        string  `toml:"report"`
	nestedCallsMs float64 // a call's calls of other services, for which it holds its worker
}

// Network is the network's.
type Network struct {
	LocalMs  float64 `toml:"local_ms"`  // one way inside a zone
	CrossMs  float64 `toml:"cross_ms"`  // one way between zones
	JitterMs float64 `toml:"jitter_ms"` // mean of what is added, exponential
	Resets   float64 `toml:"resets"`    // part of requests whose connection breaks once they run
}

// Load is what clients send, in an open loop.
type Load struct {
	PerS float64 `toml:"per_s"` // over all agents
	// Burst: a Markov-modulated process with this many times the rate while on; 0 or 1 is Poisson. It is on
	// for BurstMs in the mean, and off as long as keeps the mean rate.
	Burst   float64 `toml:"burst"`
	BurstMs float64 `toml:"burst_ms"`
	// Swing: the rate follows a day's curve of this amplitude, 0 to 1, over the length of the run.
	Swing float64 `toml:"swing"`
	Keys  int     `toml:"keys"` // 0: requests have none
	Zipf  float64 `toml:"zipf"`
	// ImmediateRetry clients come back at once, three times, whatever they are told; the part of all.
	ImmediateRetry float64 `toml:"rude"`
	// HotKey is the part of all requests that are for one key.
	HotKey float64 `toml:"hot_key"`
}

// ClassLoad is a class of requests and its part of the load.
type ClassLoad struct {
	Name               string  `toml:"name"`
	Effect             string  `toml:"effect"` // "safe", "keyed" or "unsafe"
	Share              float64 `toml:"share"`
	LatencyObjectiveMs float64 `toml:"aim_ms"`
	ClientTimeoutMs    float64 `toml:"give_up_ms"`
	Work               float64 `toml:"work"`  // times the server's service time
	PriorityWeight     float64 `toml:"worth"` // 0: 1, 2 and 5 for safe, keyed and unsafe ones
}

// Discovery tells agents of servers.
type Discovery struct {
	LagMs float64        `toml:"lag_ms"` // from a change to its telling, and up to as much again for each agent
	Queue DiscoveryQueue `toml:"line"`   // none: it answers all calls at once
}

// Fault happens to some servers, or to the network, for a time.
type Fault struct {
	// Kind is one of "drain" (told), "stop" (refuses connections), "dark" (says nothing), "restart" (cold,
	// the same address), "slow" (Times slower), "slow_some" (Part of requests), "errors" (Part of requests of
	// Class), "turn_away" (Part), "partition" (zone Zone from all others), "one_way" (what zone Zone answers is
	// Ms late), "roster_down", "surge" (Times the load), "stalls" (they stand still for Ms every PauseS), "kill_agents" (they start again at once, with the list of the run's start).
	Kind           string  `toml:"kind"`
	StartS         float64 `toml:"at_s"`
	DurationS      float64 `toml:"for_s"`
	ServerFraction float64 `toml:"share"` // of the servers, from the first on
	Count          int     `toml:"count"` // in place of Share
	// TargetZone takes only servers of that zone, the first of which is 1; 0: of all.
	TargetZone int `toml:"of_zone"`
	// TargetService and OfRack are the same of a graph's services and racks.
	TargetService int `toml:"of_service"`
	TargetRack    int `toml:"of_rack"`
	// StaggerS: the servers are hit one after the other with that pause, as by a roll-out.
	StaggerS  float64 `toml:"every_s"`
	Factor    float64 `toml:"times"`
	Fraction  float64 `toml:"part"`
	Class     string  `toml:"class"`
	Zone      int     `toml:"zone"`
	DelayMs   float64 `toml:"ms"`
	IntervalS float64 `toml:"pause_s"`
}

// The bounds of a scenario.
const (
	maxServers, maxAgents = 20_000, 20_000
	maxSeconds            = 86_400
)

var faultKinds = map[string]bool{"drain": true, "stop": true, "dark": true, "restart": true, "slow": true, "slow_some": true, "errors": true,
	"turn_away": true, "partition": true, "one_way": true, "roster_down": true, "surge": true, "stalls": true, "kill_agents": true}

// Check fills what has a default and says what makes a scenario unusable; the error names the key.
func (s *Scenario) Check() error {
	if s.Zones == 0 {
		s.Zones = 1
	}
	if s.Agents == 0 {
		s.Agents = 4
	}
	if len(s.Classes) == 0 {
		s.Classes = DefaultClasses()
	}
	if s.Network == (Network{}) {
		s.Network = Network{LocalMs: 0.25, CrossMs: 1, JitterMs: 0.05}
	}
	if err := s.drawGraph(); err != nil {
		return err
	}
	if len(s.Servers) == 0 {
		return fmt.Errorf("servers: none")
	}
	type bound struct {
		key         string
		v           float64
		least, most float64
	}
	bounds := []bound{{"seconds", s.Seconds, 0.001, maxSeconds}, {"warm_seconds", s.WarmUpSeconds, 0, s.Seconds}, {"zones", float64(s.Zones), 1, 64},
		{"agents", float64(s.Agents), 1, maxAgents}, {"net.local_ms", s.Network.LocalMs, 0, 60_000}, {"net.cross_ms", s.Network.CrossMs, 0, 60_000},
		{"net.jitter_ms", s.Network.JitterMs, 0, 60_000}, {"net.resets", s.Network.Resets, 0, 1}, {"load.per_s", s.Load.PerS, 0, 1e7},
		{"load.burst", s.Load.Burst, 0, 1000}, {"load.burst_ms", s.Load.BurstMs, 0, 3.6e6}, {"load.swing", s.Load.Swing, 0, 1},
		{"load.keys", float64(s.Load.Keys), 0, 1e6}, {"load.zipf", s.Load.Zipf, 0, 10}, {"load.rude", s.Load.ImmediateRetry, 0, 1}, {"load.hot_key", s.Load.HotKey, 0, 1}, {"one_agent", s.FirstAgentFraction, 0, 1},
		{"roster.lag_ms", s.Discovery.LagMs, 0, 3.6e6}, {"roster.line.calls_per_s", s.Discovery.Queue.CallsPerS, 0, 1e6},
		{"roster.line.patience_ms", s.Discovery.Queue.PatienceMs, 0, 3.6e6}, {"roster.line.line_ms", s.Discovery.Queue.MaxBacklogMs, 0, 3.6e6}}
	servers := 0
	for i := range s.Servers {
		g := &s.Servers[i]
		if g.Weight == 0 {
			g.Weight = 1
		}
		if g.SlowStartMinCapacity == 0 {
			g.SlowStartMinCapacity, g.SlowStartMs = 0.31, 8600
		}
		at := fmt.Sprintf("servers[%d].", i)
		if err := g.Service.Check(at + "service"); err != nil {
			return err
		}
		bounds = append(bounds, bound{at + "count", float64(g.Count), 1, maxServers}, bound{at + "workers", float64(g.Workers), 1, 10_000},
			bound{at + "queue", float64(g.Queue), 0, 1e6}, bound{at + "weight", g.Weight, 1e-3, 1e6}, bound{at + "cold_from", g.SlowStartMinCapacity, 0.01, 1},
			bound{at + "warm.gain", g.KeyCache.SavedFraction, 0, 0.99}, bound{at + "warm.for_ms", g.KeyCache.TTLMs, 0, 3.6e6}, bound{at + "warm.keys", float64(g.KeyCache.KeysPerWorker), 0, 1000},
			bound{at + "cold_ms", g.SlowStartMs, 0, 3.6e6}, bound{at + "fall_multiple", g.OverloadFactor, 0, 1000})
		if !reportKinds[g.Report] {
			return fmt.Errorf("%sreport: %q is none that is known", at, g.Report)
		}
		servers += g.Count
	}
	if servers > maxServers {
		return fmt.Errorf("servers: %d, at most %d", servers, maxServers)
	}
	if err := s.checkTenants(); err != nil {
		return err
	}
	share := 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		at := fmt.Sprintf("class[%d].", i)
		if c.Work == 0 {
			c.Work = 1
		}
		if c.Effect != "safe" && c.Effect != "keyed" && c.Effect != "unsafe" {
			return fmt.Errorf("%seffect: %q is none of safe, keyed, unsafe", at, c.Effect)
		}
		bounds = append(bounds, bound{at + "share", c.Share, 0, 1}, bound{at + "aim_ms", c.LatencyObjectiveMs, 1, 60_000},
			bound{at + "give_up_ms", c.ClientTimeoutMs, c.LatencyObjectiveMs, 60_000}, bound{at + "work", c.Work, 1e-3, 1e3}, bound{at + "worth", c.PriorityWeight, 0, 1e6})
		share += c.Share
	}
	if !(math.Abs(share-1) < 1e-6) {
		return fmt.Errorf("class: the shares add up to %v, not to 1", share)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		at := fmt.Sprintf("fault[%d].", i)
		if !faultKinds[f.Kind] {
			return fmt.Errorf("%skind: %q is none that is known", at, f.Kind)
		}
		if f.Kind == "kill_agents" && f.StaggerS > 0 {
			return fmt.Errorf("%severy_s: agents are killed all at once", at)
		}
		if f.Class != "" && s.classIndex(f.Class) < 0 {
			return fmt.Errorf("%sclass: there is no class %q", at, f.Class)
		}
		bounds = append(bounds, bound{at + "at_s", f.StartS, 0, maxSeconds}, bound{at + "for_s", f.DurationS, 0, maxSeconds}, bound{at + "share", f.ServerFraction, 0, 1},
			bound{at + "count", float64(f.Count), 0, maxServers}, bound{at + "every_s", f.StaggerS, 0, maxSeconds}, bound{at + "times", f.Factor, 0, 1e6},
			bound{at + "part", f.Fraction, 0, 1}, bound{at + "zone", float64(f.Zone), 0, float64(s.Zones - 1)}, bound{at + "ms", f.DelayMs, 0, 60_000}, bound{at + "pause_s", f.IntervalS, 0, maxSeconds},
			bound{at + "of_zone", float64(f.TargetZone), 0, float64(s.Zones)}, bound{at + "of_service", float64(f.TargetService), 0, float64(s.services())},
			bound{at + "of_rack", float64(f.TargetRack), 0, float64(s.racks())})
	}
	for _, b := range bounds {
		if !(b.v >= b.least && b.v <= b.most) { // also where it is no number
			return fmt.Errorf("%s: must be %v to %v, is %v", b.key, b.least, b.most, b.v)
		}
	}
	return nil
}

func (s *Scenario) classIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// DefaultClasses are those of the lab's fleet.
func DefaultClasses() []ClassLoad {
	return []ClassLoad{{Name: "read", Effect: "safe", Share: 0.4, LatencyObjectiveMs: 200, ClientTimeoutMs: 800, Work: 1},
		{Name: "send", Effect: "keyed", Share: 0.3, LatencyObjectiveMs: 300, ClientTimeoutMs: 600, Work: 1},
		{Name: "order", Effect: "unsafe", Share: 0.3, LatencyObjectiveMs: 500, ClientTimeoutMs: 1200, Work: 1}}
}

// Capacity is what all servers can do when warm, requests a second.
func (s *Scenario) Capacity() float64 {
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * max(c.Work, 1e-3)
	}
	if work == 0 {
		work = 1 // the default classes
	}
	total := 0.0
	for _, g := range s.Servers {
		if g.Service.MeanMs > 0 {
			total += float64(g.Count*g.Workers) * 1000 / (g.Service.MeanMs * work)
		}
	}
	return total
}

// settings are the platform's, for a module.
func (s *Scenario) settings(index, zone int) policy.Settings {
	var out policy.Settings
	for _, c := range s.Classes {
		p := policy.Class{Name: c.Name, LatencyObjectiveMs: c.LatencyObjectiveMs, ClientTimeoutMs: c.ClientTimeoutMs, PriorityWeight: 1, LateCredit: 0.2}
		switch c.Effect {
		case "safe":
			p.Effect = policy.Idempotent
		case "keyed":
			p.Effect, p.DedupScope, p.IdempotencyWindowMs, p.PriorityWeight = policy.IdempotentByKey, policy.ScopeAll, 1200, 2
		default:
			p.Effect, p.PriorityWeight = policy.NonIdempotent, 5
		}
		if c.PriorityWeight > 0 {
			p.PriorityWeight = c.PriorityWeight
		}
		out.Classes = append(out.Classes, p)
	}
	for i, t := range s.Tenants {
		out.Tenants = append(out.Tenants, policy.Tenant{Name: t.Name, QuotaWeight: t.Quota, QuotaPerS: s.quotaAccounts()[i].offered.perS})
	}
	out.OverQuotaWeight = 1
	if len(s.Tenants) > 0 {
		out.OverQuotaWeight = overQuotaWeight
	}
	out.Limits = policy.Limits{Cancelling: true, ConnectTimeoutMs: connectTimeoutMs, KeepaliveMs: 60_000, MaxAttempts: 3, MaxRetryAfterMs: 600, RetryAfter: true, MaxOpenRequests: 10_000}
	g := &s.Servers[0]
	out.Contract = policy.Contract{AnswerSlackMs: 20, PollIntervalMs: 10_000, SlowStartMinCapacity: g.SlowStartMinCapacity, SlowStartMs: g.SlowStartMs, DrainGraceMs: 250, OverloadFactor: 2.5, OverloadWindowMs: 1000}
	out.Objective.Total = 1
	out.FamilyInfo.WarmKeys = g.KeyCache.SavedFraction > 0
	out.Prices.CrossZone = 0.02
	out.Report = policy.ReportFormat{Delivery: "inline", Names: reportNames}
	out.DiscoveryMode, out.Replicas, out.BatchIntervalMs = "on_request", s.Agents, 5
	out.Weights, out.PriorityUnit = "nominal", "request"
	out.ReplicaIndex, out.Zone = index, zone
	return out
}

// connectTimeoutMs is what a connect may take; reportNames are the values that servers report.
const connectTimeoutMs = 150

var reportKinds = map[string]bool{"": true, "late": true, "none": true, "some": true, "frozen": true, "idle": true, "busy": true, "nan": true}

var reportNames = []string{"qps", "util", "eps"}
