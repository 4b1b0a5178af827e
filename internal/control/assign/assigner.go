// Package assign computes what the control service serves to proxies: an Assignment for each group of
// proxies, from the membership, the load reports and the connected proxies, and the Routes, from the
// settings. It does no I/O and reads no clock: all times are arguments, in Unix ms.
//
// Package policy decides the state of each server; this package passes it the evidence of all proxies and
// reads its view. This package decides only what a single agent cannot: how the load allowed to a server in
// slow start is divided among all proxies, including those that still use an older assignment.
package assign

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

const (
	// fullWeight is the integer weight of a server of weight one outside slow start. Ring hash load
	// balancing requires integer weights.
	fullWeight = 960
	// slowStartLevels is the number of steps in which the weight rises during slow start. Each step costs an
	// update to all proxies.
	slowStartLevels = 32
	// MaxServers bounds the number of servers in an assignment.
	MaxServers = membership.MaxEntries
	// MaxProxies bounds the number of tracked proxies, connected or recently disconnected.
	MaxProxies = 20_000

	maxConfigMs = 3_600_000
)

// Config configures an Assigner.
type Config struct {
	Settings policy.Settings
	Zones    []string // indexed by the zone number of package policy
	Kinds    []string // indexed by the kind number of package policy
	// EjectionMs is the base ejection time: how long a server stays Unhealthy, and then
	// UnhealthyPending. It doubles with each consecutive ejection.
	EjectionMs float64
	// ReportMs is the interval at which proxies report load and the evidence is evaluated.
	ReportMs float64
	// DisconnectGraceMs is how long a disconnected proxy is assumed to send requests by its last assignment.
	DisconnectGraceMs float64
	// StartupHoldMs is how long after startup proxies may still use assignments of an earlier process. Until
	// then, servers in slow start get no requests.
	StartupHoldMs float64
}

// validate returns an error for the first value out of range, with its key in deploy/control.toml.
func (c *Config) validate() error {
	for _, setting := range []struct {
		key   string
		value float64
		min   float64
	}{
		{"evidence.lapse_ms", c.EjectionMs, 100},
		{"evidence.report_ms", c.ReportMs, 100},
		{"proxies.linger_ms", c.DisconnectGraceMs, 0},
		{"proxies.settle_ms", c.StartupHoldMs, 0},
	} {
		// The negated comparison rejects NaN.
		if !(setting.value >= setting.min) || setting.value > maxConfigMs {
			return fmt.Errorf("%s: must be %v to %d, is %v", setting.key, setting.min, maxConfigMs, setting.value)
		}
	}
	return nil
}

// Assigner maintains the assignments of all groups. It is not safe for concurrent use.
type Assigner struct {
	cfg         Config
	names       membership.Names
	balancer    *policy.Balancer
	startedMs   float64
	evaluatedMs float64 // when the evidence was last evaluated
	builtMs     float64 // when the assignments were last built
	dirty       bool    // the assignments may have changed since
	views       []policy.View

	hasMembership bool
	servers       map[string]*server // by ID
	byPolicyAddr  map[policy.Addr]*server
	byAddr        map[string]*server
	startTimes    map[string]float64 // start times by ID; unlisted servers stay until the end of slow start
	problems      []string

	unhealthySince map[string]float64 // by ID, for the servers that were Unhealthy at the last build
	proxies        map[string]*proxy
	groups         map[string]*group // by zone
	counts         EvidenceCounts
}

// group is the proxies of one zone.
type group struct {
	localityWeight float64 // factor for servers in the group's own zone
	assignment     *Assignment
}

// New returns an Assigner. An error names the setting that is out of range.
func New(cfg Config, now float64) (*Assigner, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	// The service itself sends no requests; those of proxies show a server's health.
	cfg.Settings.Limits.HealthChecks = false
	// The seed has no effect: the balancer uses random numbers only to select a server.
	balancer, err := policy.New(cfg.Settings, 1)
	if err != nil {
		return nil, err
	}
	return &Assigner{
		cfg:            cfg,
		names:          membership.NewNames(cfg.Zones, cfg.Kinds),
		balancer:       balancer,
		startedMs:      now,
		evaluatedMs:    now,
		servers:        map[string]*server{},
		byPolicyAddr:   map[policy.Addr]*server{},
		byAddr:         map[string]*server{},
		startTimes:     map[string]float64{},
		unhealthySince: map[string]float64{},
		proxies:        map[string]*proxy{},
		groups:         map[string]*group{},
	}, nil
}

// Counts returns the number of reports, and of the parts of them that were not used.
func (a *Assigner) Counts() EvidenceCounts { return a.counts }

// Views returns the balancer's view of each server, by ID.
func (a *Assigner) Views(now float64) map[string]policy.View {
	views := make(map[string]policy.View, len(a.servers))
	for _, view := range a.balancer.View(now, nil) {
		if s := a.byPolicyAddr[view.Server]; s != nil {
			views[s.entry.ID] = view
		}
	}
	return views
}

// NextTickMs returns when Tick has to be called next if nothing else changes.
func (a *Assigner) NextTickMs(now float64) float64 {
	next := a.evaluatedMs + a.cfg.ReportMs
	if a.anySlowStart(now) {
		next = min(next, a.builtMs+a.rebuildIntervalMs())
	}
	return max(next, now+1)
}

// rebuildIntervalMs returns the interval at which assignments are rebuilt while only time changes: twice per
// slow-start level.
func (a *Assigner) rebuildIntervalMs() float64 {
	return a.cfg.Settings.Contract.SlowStartMs / slowStartLevels / 2
}

// Tick advances time: it evaluates the evidence once per report interval and rebuilds the assignments if
// anything may have changed. It returns the sorted zones of the groups whose assignment changed.
func (a *Assigner) Tick(now float64) []string {
	if now-a.evaluatedMs >= a.cfg.ReportMs {
		a.evaluateEvidence(now)
		a.evaluatedMs = now
	}
	a.expireProxies(now)
	if !a.hasMembership || !a.dirty && now-a.builtMs < a.rebuildIntervalMs() {
		return nil
	}
	a.dirty = false
	a.builtMs = now
	a.views = a.balancer.View(now, a.views[:0])
	base := a.baseEndpoints()
	levels := a.assignSlowStartLevels(now, base)
	var changed []string
	for zone, g := range a.groups {
		next := a.build(zone, g, base, levels)
		if !next.equal(g.assignment) {
			g.assignment = next.buildIndex()
			changed = append(changed, zone)
		}
	}
	slices.Sort(changed)
	return changed
}

// Assignment returns the current assignment of a zone's proxies, and creates the group if it does not exist.
// It returns nil until the first membership update.
func (a *Assigner) Assignment(now float64, zone string) *Assignment {
	if !a.hasMembership {
		return nil
	}
	g := a.group(zone)
	if g.assignment == nil {
		a.views = a.balancer.View(now, a.views[:0])
		base := a.baseEndpoints()
		g.assignment = a.build(zone, g, base, a.assignSlowStartLevels(now, base)).buildIndex()
	}
	return g.assignment
}

// group returns the group of a zone, and creates it if it does not exist. Callers pass a zone of the settings
// or "" for any other zone, which bounds the number of groups.
func (a *Assigner) group(zone string) *group {
	g := a.groups[zone]
	if g == nil {
		g = &group{localityWeight: policy.MinLocalityWeight}
		a.groups[zone] = g
	}
	return g
}
