package emulator

import (
	"errors"
	"fmt"
	"math"
)

// The limits of the values of a scenario.
const (
	maxServers          = 20_000
	maxAgents           = 20_000
	maxZones            = 64
	maxSeconds          = 86_400
	maxHourMs           = 3.6e6
	maxMinuteMs         = 60_000
	maxRatePerS         = 1e7
	maxCallsPerS        = 1e6
	maxFactor           = 1e6
	maxKeys             = 1e6
	minWork             = 1e-3
	classShareTolerance = 1e-6 // tolerance for the sum of the shares of all classes
)

// Default slow start of a server group.
const (
	defaultSlowStartMinCapacity = 0.31
	defaultSlowStartMs          = 8600
)

// bound is a value of a scenario and its valid range.
type bound struct {
	key      string
	value    float64
	min, max float64
}

// check returns an error that names the key if the value is NaN or out of range.
func (b *bound) check() error {
	if b.value >= b.min && b.value <= b.max {
		return nil
	}
	return fmt.Errorf("%s: must be from %v to %v, is %v", b.key, b.min, b.max, b.value)
}

func checkBounds(bounds []bound) error {
	for i := range bounds {
		if err := bounds[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// Check sets defaults, draws the graph if there is one, and returns an error that names the first invalid
// key.
func (s *Scenario) Check() error {
	s.setDefaults()
	if err := s.drawGraph(); err != nil {
		return err
	}
	if len(s.Servers) == 0 {
		return errors.New("servers: none")
	}
	bounds := s.bounds()
	serverBounds, err := s.checkServers()
	if err != nil {
		return err
	}
	if err := s.checkTenants(); err != nil {
		return err
	}
	classBounds, err := s.checkClasses()
	if err != nil {
		return err
	}
	faultBounds, err := s.checkFaults()
	if err != nil {
		return err
	}
	bounds = append(bounds, serverBounds...)
	bounds = append(bounds, classBounds...)
	bounds = append(bounds, faultBounds...)
	return checkBounds(bounds)
}

func (s *Scenario) setDefaults() {
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
}

// bounds returns the bounds of all numbers outside of arrays of tables.
func (s *Scenario) bounds() []bound {
	load := &s.Load
	queue := &s.Discovery.Queue
	return []bound{
		{"seconds", s.Seconds, 0.001, maxSeconds},
		{"warm_seconds", s.WarmUpSeconds, 0, s.Seconds},
		{"zones", float64(s.Zones), 1, maxZones},
		{"agents", float64(s.Agents), 1, maxAgents},
		{"net.local_ms", s.Network.LocalMs, 0, maxMinuteMs},
		{"net.cross_ms", s.Network.CrossMs, 0, maxMinuteMs},
		{"net.jitter_ms", s.Network.JitterMs, 0, maxMinuteMs},
		{"net.resets", s.Network.Resets, 0, 1},
		{"load.per_s", load.PerS, 0, maxRatePerS},
		{"load.burst", load.Burst, 0, 1000},
		{"load.burst_ms", load.BurstMs, 0, maxHourMs},
		{"load.swing", load.Swing, 0, 1},
		{"load.keys", float64(load.Keys), 0, maxKeys},
		{"load.zipf", load.Zipf, 0, 10},
		{"load.rude", load.ImmediateRetry, 0, 1},
		{"load.hot_key", load.HotKey, 0, 1},
		{"one_agent", s.FirstAgentFraction, 0, 1},
		{"roster.lag_ms", s.Discovery.LagMs, 0, maxHourMs},
		{"roster.line.calls_per_s", queue.CallsPerS, 0, maxCallsPerS},
		{"roster.line.patience_ms", queue.PatienceMs, 0, maxHourMs},
		{"roster.line.line_ms", queue.MaxBacklogMs, 0, maxHourMs},
	}
}

// checkServers sets defaults of the server groups and returns the bounds of their values.
func (s *Scenario) checkServers() ([]bound, error) {
	var bounds []bound
	servers := 0
	for i := range s.Servers {
		group := &s.Servers[i]
		prefix := fmt.Sprintf("servers[%d].", i)
		group.setDefaults()
		if err := group.Service.Check(prefix + "service"); err != nil {
			return nil, err
		}
		if !reportKinds[group.Report] {
			return nil, fmt.Errorf("%sreport: %q is unknown", prefix, group.Report)
		}
		bounds = append(bounds, group.bounds(prefix)...)
		servers += group.Count
	}
	if servers > maxServers {
		return nil, fmt.Errorf("servers: %d servers, at most %d are supported", servers, maxServers)
	}
	return bounds, nil
}

func (g *ServerGroup) setDefaults() {
	if g.Weight == 0 {
		g.Weight = 1
	}
	if g.SlowStartMinCapacity == 0 {
		g.SlowStartMinCapacity = defaultSlowStartMinCapacity
		g.SlowStartMs = defaultSlowStartMs
	}
}

func (g *ServerGroup) bounds(prefix string) []bound {
	return []bound{
		{prefix + "count", float64(g.Count), 1, maxServers},
		{prefix + "workers", float64(g.Workers), 1, 10_000},
		{prefix + "queue", float64(g.Queue), 0, 1e6},
		{prefix + "weight", g.Weight, 1e-3, 1e6},
		{prefix + "cold_from", g.SlowStartMinCapacity, 0.01, 1},
		{prefix + "warm.gain", g.KeyCache.SavedFraction, 0, 0.99},
		{prefix + "warm.for_ms", g.KeyCache.TTLMs, 0, maxHourMs},
		{prefix + "warm.keys", float64(g.KeyCache.KeysPerWorker), 0, 1000},
		{prefix + "cold_ms", g.SlowStartMs, 0, maxHourMs},
		{prefix + "fall_multiple", g.OverloadFactor, 0, 1000},
	}
}

// checkClasses sets defaults of the classes and returns the bounds of their values.
func (s *Scenario) checkClasses() ([]bound, error) {
	var bounds []bound
	sum := 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		prefix := fmt.Sprintf("class[%d].", i)
		if c.Work == 0 {
			c.Work = 1
		}
		if c.Effect != effectSafe && c.Effect != effectKeyed && c.Effect != effectUnsafe {
			return nil, fmt.Errorf("%seffect: %q is not one of safe, keyed, unsafe", prefix, c.Effect)
		}
		bounds = append(bounds,
			bound{prefix + "share", c.Share, 0, 1},
			bound{prefix + "aim_ms", c.LatencyObjectiveMs, 1, maxMinuteMs},
			bound{prefix + "give_up_ms", c.ClientTimeoutMs, c.LatencyObjectiveMs, maxMinuteMs},
			bound{prefix + "work", c.Work, minWork, 1e3},
			bound{prefix + "worth", c.PriorityWeight, 0, 1e6},
		)
		sum += c.Share
	}
	if !(math.Abs(sum-1) < classShareTolerance) {
		return nil, fmt.Errorf("class: the shares add up to %v, not to 1", sum)
	}
	return bounds, nil
}

// checkFaults checks the kinds and classes of the faults and returns the bounds of their values.
func (s *Scenario) checkFaults() ([]bound, error) {
	var bounds []bound
	for i := range s.Faults {
		f := &s.Faults[i]
		prefix := fmt.Sprintf("fault[%d].", i)
		if !faultKinds[f.Kind] {
			return nil, fmt.Errorf("%skind: %q is unknown", prefix, f.Kind)
		}
		if f.Kind == faultKillAgents && f.StaggerS > 0 {
			return nil, fmt.Errorf("%severy_s: must be 0 for this kind, which hits all agents at once", prefix)
		}
		if f.Class != "" && s.classIndex(f.Class) < 0 {
			return nil, fmt.Errorf("%sclass: %q is not a class of the scenario", prefix, f.Class)
		}
		bounds = append(bounds, s.faultBounds(f, prefix)...)
	}
	return bounds, nil
}

func (s *Scenario) faultBounds(f *Fault, prefix string) []bound {
	return []bound{
		{prefix + "at_s", f.StartS, 0, maxSeconds},
		{prefix + "for_s", f.DurationS, 0, maxSeconds},
		{prefix + "share", f.ServerFraction, 0, 1},
		{prefix + "count", float64(f.Count), 0, maxServers},
		{prefix + "every_s", f.StaggerS, 0, maxSeconds},
		{prefix + "times", f.Factor, 0, maxFactor},
		{prefix + "part", f.Fraction, 0, 1},
		{prefix + "zone", float64(f.Zone), 0, float64(s.Zones - 1)},
		{prefix + "ms", f.DelayMs, 0, maxMinuteMs},
		{prefix + "pause_s", f.IntervalS, 0, maxSeconds},
		{prefix + "of_zone", float64(f.TargetZone), 0, float64(s.Zones)},
		{prefix + "of_service", float64(f.TargetService), 0, float64(s.services())},
		{prefix + "of_rack", float64(f.TargetRack), 0, float64(s.racks())},
	}
}
