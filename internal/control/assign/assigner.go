// Package assign computes what the control service serves to proxies: from the membership, the load
// reports and the connected proxies one Assignment for each group of proxies, and from the settings the
// Routes. It does no I/O and reads no clock: all times are arguments, in Unix ms.
//
// The state of a server is decided by package policy; this package feeds it the evidence of all proxies
// and reads its view. What is decided here is what a single agent cannot know: how the load allowed to a
// server in slow start is divided over all proxies, including those that still hold an older assignment.
package assign

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

const (
	// fullWeight is the integer weight of a server of weight one outside slow start; ring hash
	// needs integers.
	fullWeight = 960
	// slowStartLevels is the number of steps in which the weight rises during slow start. Each step is
	// an update to all proxies.
	slowStartLevels = 32
	// MaxServers bounds the servers of an assignment.
	MaxServers = membership.MaxEntries
	// MaxProxies bounds the proxies that are remembered, connected or recently disconnected.
	MaxProxies = 20_000

	maxConfigMs = 3_600_000
)

// Config configures an Assigner.
type Config struct {
	Settings policy.Settings
	Zones    []string // indexed by the zone number of package policy
	Kinds    []string // indexed by the kind number of package policy
	// EjectionMs is the base ejection time: how long a server stays Unhealthy, and then pending.
	// Each consecutive ejection doubles it.
	EjectionMs float64
	// ReportMs is the interval at which proxies report load; the evidence is judged as often.
	ReportMs float64
	// DisconnectGraceMs is how long a disconnected proxy counts as still sending by its last assignment.
	DisconnectGraceMs float64
	// StartupHoldMs is how long after the start proxies may hold assignments of an earlier process;
	// until then servers in slow start get no requests.
	StartupHoldMs float64
}

// validate reports the first value out of range, by its key in deploy/control.toml.
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

// Assigner keeps the assignments of all groups. It is not safe for concurrent use: one goroutine owns it.
type Assigner struct {
	cfg       Config
	names     membership.Names
	balancer  *policy.Balancer
	startedMs float64
	judgedMs  float64 // when the evidence was judged last
	builtMs   float64 // when the assignments were built last
	dirty     bool    // the assignments may have changed since
	views     []policy.View

	hasMembership bool
	servers       map[string]*server // by ID
	byPolicyAddr  map[policy.Addr]*server
	byAddr        map[string]*server
	starts        map[string]float64 // start times by ID; outlive the listing until slow start is over
	problems      []string

	unhealthySince map[string]float64 // by ID, the Unhealthy servers as of the last build
	proxies        map[string]*proxy
	groups         map[string]*group // by zone
	counts         EvidenceCounts
}

// group is the proxies of one zone.
type group struct {
	localityWeight float64 // of a server of the group's own zone
	assignment     *Assignment
}

// New returns an Assigner, or an error that names the setting that is out of range.
func New(cfg Config, now float64) (*Assigner, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.Settings.Limits.HealthChecks = false // the service sends no requests, proxies' requests validate
	// The seed has no effect: the balancer draws only when it selects a server.
	balancer, err := policy.New(cfg.Settings, 1)
	if err != nil {
		return nil, err
	}
	return &Assigner{
		cfg:            cfg,
		names:          membership.NewNames(cfg.Zones, cfg.Kinds),
		balancer:       balancer,
		startedMs:      now,
		judgedMs:       now,
		servers:        map[string]*server{},
		byPolicyAddr:   map[policy.Addr]*server{},
		byAddr:         map[string]*server{},
		starts:         map[string]float64{},
		unhealthySince: map[string]float64{},
		proxies:        map[string]*proxy{},
		groups:         map[string]*group{},
	}, nil
}

// Counts returns how much of the evidence was not used.
func (a *Assigner) Counts() EvidenceCounts { return a.counts }

// Views returns the balancer's view of all servers, by ID.
func (a *Assigner) Views(now float64) map[string]policy.View {
	views := make(map[string]policy.View, len(a.servers))
	for _, view := range a.balancer.View(now, nil) {
		if s := a.byPolicyAddr[view.Server]; s != nil {
			views[s.entry.ID] = view
		}
	}
	return views
}

// NextTickMs returns when Tick is due next if nothing else happens.
func (a *Assigner) NextTickMs(now float64) float64 {
	next := a.judgedMs + a.cfg.ReportMs
	if a.anySlowStart(now) {
		next = min(next, a.builtMs+a.rebuildIntervalMs())
	}
	return max(next, now+1)
}

// rebuildIntervalMs is how often assignments are rebuilt while nothing but time has changed: twice a level.
func (a *Assigner) rebuildIntervalMs() float64 {
	return a.cfg.Settings.Contract.SlowStartMs / slowStartLevels / 2
}

// Tick advances time: it judges the evidence once a report interval and rebuilds all assignments where
// anything may have changed. It returns, sorted, the zones of the groups whose assignment changed.
func (a *Assigner) Tick(now float64) []string {
	if now-a.judgedMs >= a.cfg.ReportMs {
		a.judgeEvidence(now)
		a.judgedMs = now
	}
	a.forgetProxies(now)
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

// Assignment returns the current assignment of a zone's proxies, and creates the group if there is none.
// It is nil until the first membership update.
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

// group finds or creates the group of a zone. Callers pass zones of the settings, or "" for all others:
// this bounds the groups to one more than the zones.
func (a *Assigner) group(zone string) *group {
	g := a.groups[zone]
	if g == nil {
		g = &group{localityWeight: policy.MinLocalityWeight}
		a.groups[zone] = g
	}
	return g
}
