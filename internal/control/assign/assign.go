// Package assign decides what the control service hands to other proxies: from membership, the
// evidence of load reports and the list of proxies to one Assignment for each group of proxies, and
// from the settings to Routes. It does no I/O and reads no clock: all times are arguments, Unix ms.
//
// The state of a server is the decision module's (package policy); this package feeds the module what
// proxies saw and reads its view. What is decided here is what agents cannot: how the fall budget of a
// cold server is divided over all proxies, those included that still hold an older assignment.
package assign

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

const (
	// unit is the integer weight of a warm server of weight one; a ring needs whole numbers.
	unit = 960
	// levels is the number of steps in which a cold server's weight rises. More would be more pushes,
	// each to all proxies; fewer would be jumps that a cold server feels.
	levels = 32
	// MaxServers bounds the servers of an assignment.
	MaxServers = membership.MaxEntries
	// MaxProxies bounds the proxies that are remembered, connected or lately so.
	MaxProxies = 20_000
)

// Config is what an Assigner is told at its start.
type Config struct {
	Settings policy.Settings
	Zones    []string // by the module's number
	Kinds    []string
	// EjectionMs is how long a server stays Unhealthy, and then pending, before it is tried again; each
	// further strike doubles it.
	EjectionMs float64
	// ReportMs is how often proxies report load; what they saw is judged as often.
	ReportMs float64
	// DisconnectGraceMs is how long a proxy that left counts as one that still sends by its last assignment.
	DisconnectGraceMs float64
	// StartupHoldMs is how long after the start proxies may hold assignments that this process knows
	// nothing of: until then cold servers are held back.
	StartupHoldMs float64
}

// validate reports the first figure that makes no sense, by its key in deploy/control.toml.
func (c *Config) validate() error {
	for _, f := range []struct {
		key   string
		value float64
		least float64
	}{{"evidence.lapse_ms", c.EjectionMs, 100}, {"evidence.report_ms", c.ReportMs, 100},
		{"proxies.linger_ms", c.DisconnectGraceMs, 0}, {"proxies.settle_ms", c.StartupHoldMs, 0}} {
		if !(f.value >= f.least) || f.value > 3_600_000 {
			return fmt.Errorf("%s: must be %v to 3600000, is %v", f.key, f.least, f.value)
		}
	}
	return nil
}

// Tier is the place of a server in an assignment, as the design orders the states.
type Tier uint8

// The tiers, best first. A server that is held back stands last whatever its state: sent to only
// where nothing else is left.
const (
	Healthy    Tier = iota // Connected, Unknown
	Pending                // UnhealthyPending
	LastResort             // Unhealthy, or held back
)

// Endpoint is one server in an assignment.
type Endpoint struct {
	ID, Addr, Zone string
	Tier           Tier
	Draining       bool   // listed, and to get nothing new
	Weight         uint32 // 1 at least
	SlowStart      bool   `json:"Cold"`
}

// Assignment is what all proxies of a group are to hold. It is never changed once made, so that it
// may be read from any goroutine.
type Assignment struct {
	Zone      string // of the group
	Endpoints []Endpoint
	// ShedPercent is the part of requests that proxies are to refuse at once, in 1/100.
	ShedPercent int `json:"Shed"`
	// LocalityWeightPercent is the weight of a server of the group's own zone, in 1/100 of another's.
	LocalityWeightPercent int `json:"Own"`

	index map[string]int
	total float64 // weight of the best tier that has a usable server, own zone counted
	best  Tier
}

// Share is the part of a proxy's requests that an assignment sends to a server, as far as weights
// tell; hot keys and caps shift it.
func (a *Assignment) Share(id string) float64 {
	if a == nil {
		return 0
	}
	i, ok := a.index[id]
	if !ok || a.total == 0 {
		return 0
	}
	e := &a.Endpoints[i]
	if e.Draining || e.Tier != a.best {
		return 0
	}
	return a.weight(e) / a.total
}

func (a *Assignment) weight(e *Endpoint) float64 {
	w := float64(e.Weight)
	if e.Zone == a.Zone {
		w *= float64(a.LocalityWeightPercent) / 100
	}
	return w
}

// seal counts what Share needs.
func (a *Assignment) seal() *Assignment {
	a.index = make(map[string]int, len(a.Endpoints))
	a.best = LastResort
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		a.index[e.ID] = i
		if !e.Draining {
			a.best = min(a.best, e.Tier)
		}
	}
	for i := range a.Endpoints {
		if e := &a.Endpoints[i]; !e.Draining && e.Tier == a.best {
			a.total += a.weight(e)
		}
	}
	return a
}

func (a *Assignment) equal(b *Assignment) bool {
	return b != nil && a.Zone == b.Zone && a.ShedPercent == b.ShedPercent && a.LocalityWeightPercent == b.LocalityWeightPercent && slices.Equal(a.Endpoints, b.Endpoints)
}

// server is what is known of a listed server beside the module's view.
type server struct {
	entry membership.Entry
	name  policy.Addr
	sight sight
}

// started is the memory of a server's start, which outlives its listing.
type started struct{ atMs, seenMs float64 }

// Assigner keeps the assignments. It belongs to one goroutine.
type Assigner struct {
	cfg      Config
	names    membership.Names
	module   *policy.Balancer
	bornMs   float64
	judgedMs float64
	builtMs  float64
	listed   bool // a list came
	servers  map[string]*server
	byName   map[policy.Addr]*server
	byAddr   map[string]*server
	bad      map[string]float64 // Unhealthy servers as of the last build, and since when
	starts   map[string]started
	problems []string
	proxies  map[string]*proxy
	groups   map[string]*group // by zone
	counts   EvidenceCounts
	dirty    bool
	views    []policy.View
}

// group is the proxies of one zone.
type group struct {
	own  float64 // weight of its own zone, as the module moves it
	last *Assignment
}

// EvidenceCounts are what the evidence had that was not used, for the admin page.
type EvidenceCounts struct {
	Reports      uint64 `json:"reports"`
	Invalid      uint64 `json:"absurd"`       // lines with figures that can't be
	Late         uint64 `json:"late"`         // windows that began before the server's state
	Contradicted uint64 `json:"contradicted"` // failures that a majority of proxies did not see
	Unknown      uint64 `json:"unknown"`      // lines about what is not listed
}

// New returns an Assigner, or an error that names the setting that makes no sense.
func New(cfg Config, now float64) (*Assigner, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.Settings.Limits.HealthChecks = false // proxies' requests validate, the service sends none
	// The seed plays no part: the module draws only where it places requests.
	module, err := policy.New(cfg.Settings, 1)
	if err != nil {
		return nil, err
	}
	return &Assigner{cfg: cfg, names: membership.NewNames(cfg.Zones, cfg.Kinds), module: module,
		bornMs: now, judgedMs: now, servers: map[string]*server{}, byName: map[policy.Addr]*server{}, byAddr: map[string]*server{}, bad: map[string]float64{},
		starts: map[string]started{}, proxies: map[string]*proxy{}, groups: map[string]*group{}}, nil
}

// UpdateMembership takes the whole membership, as membership.Set has it.
func (a *Assigner) UpdateMembership(now float64, entries []membership.Entry) {
	a.listed, a.dirty, a.problems = true, true, nil
	named := make(map[string]bool, len(entries))
	clear(a.byAddr)
	events := make([]policy.Endpoint, 0, len(entries))
	for i := range entries {
		e := entries[i]
		if other := a.byAddr[e.Addr]; other != nil {
			// Proxies reject a set that names one address twice, and with it all others.
			a.problem(fmt.Sprintf("%s: left out, %s has its address %s", e.ID, other.entry.ID, e.Addr))
			continue
		}
		if len(named) >= MaxServers {
			a.problem(fmt.Sprintf("%s: left out, more than %d servers", e.ID, MaxServers))
			break
		}
		named[e.ID] = true
		s := a.servers[e.ID]
		if s == nil {
			name := membership.ServerAddr(e.ID, func(n policy.Addr) bool { return a.byName[n] != nil })
			s = &server{name: name}
			a.servers[e.ID], a.byName[name] = s, s
		}
		s.entry = e
		a.byAddr[e.Addr] = s
		p := a.names.Policy(&e)
		p.Server = s.name
		// What is known of a start outlives the listing: a server that vanished and came back with an
		// older start, or with none, is as cold as it was.
		if old, ok := a.starts[e.ID]; ok && old.atMs > p.StartedMs {
			p.StartedMs = old.atMs
		}
		if p.StartedMs > 0 && now-p.StartedMs < a.cfg.Settings.Contract.SlowStartMs {
			a.starts[e.ID] = started{p.StartedMs, now}
		}
		events = append(events, p)
	}
	for id, s := range a.servers {
		if !named[id] {
			delete(a.servers, id)
			delete(a.byName, s.name)
		}
	}
	for id, s := range a.starts {
		if now-s.atMs >= a.cfg.Settings.Contract.SlowStartMs {
			delete(a.starts, id)
		}
	}
	a.module.Handle(now, &policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateComplete, Endpoints: events}, nil)
}

func (a *Assigner) problem(text string) {
	if len(a.problems) < 16 {
		a.problems = append(a.problems, text)
	}
}

// Problems tells what of the membership could not be used.
func (a *Assigner) Problems() []string { return a.problems }

// Counts tells what of the evidence was not used.
func (a *Assigner) Counts() EvidenceCounts { return a.counts }

// Views returns the module's view of all servers, by id.
func (a *Assigner) Views(now float64) map[string]policy.View {
	out := make(map[string]policy.View, len(a.servers))
	for _, v := range a.module.View(now, nil) {
		if s := a.byName[v.Server]; s != nil {
			out[s.entry.ID] = v
		}
	}
	return out
}

// HasMembership tells whether any list came yet. Until then there is nothing to hand out: a proxy that has an
// older assignment does better to keep it than to be told that there are no servers.
func (a *Assigner) HasMembership() bool { return a.listed }

// NextTickMs is when Tick is to be called next though nothing happens.
func (a *Assigner) NextTickMs(now float64) float64 {
	next := a.judgedMs + a.cfg.ReportMs
	if a.anyCold(now) {
		next = min(next, a.builtMs+a.cfg.Settings.Contract.SlowStartMs/levels/2)
	}
	return max(next, now+1)
}

func (a *Assigner) anyCold(now float64) bool {
	for _, s := range a.starts {
		if now-s.atMs < a.cfg.Settings.Contract.SlowStartMs {
			return true
		}
	}
	return false
}

// Tick lets time pass: evidence is judged once its time has come, and all assignments are made anew
// where anything may have changed. It returns the zones of the groups whose assignment did, in order.
func (a *Assigner) Tick(now float64) []string {
	if now-a.judgedMs >= a.cfg.ReportMs {
		a.judge(now)
		a.judgedMs = now
	}
	a.forget(now)
	if !a.listed || !a.dirty && now-a.builtMs < a.cfg.Settings.Contract.SlowStartMs/levels/2 {
		return nil
	}
	a.dirty, a.builtMs = false, now
	a.views = a.module.View(now, a.views[:0])
	base := a.base()
	budget := a.budget(now, base)
	var changed []string
	for zone, g := range a.groups {
		next := a.build(zone, g, base, budget)
		if !next.equal(g.last) {
			g.last = next.seal()
			changed = append(changed, zone)
		}
	}
	slices.Sort(changed)
	return changed
}

// Assignment returns what the proxies of a zone are to hold; the group is made if there is none.
// It is nil as long as no list came.
func (a *Assigner) Assignment(now float64, zone string) *Assignment {
	if !a.listed {
		return nil
	}
	g := a.group(zone)
	if g.last == nil {
		a.views = a.module.View(now, a.views[:0])
		base := a.base()
		g.last = a.build(zone, g, base, a.budget(now, base)).seal()
	}
	return g.last
}

// group finds or makes the group of a zone. The caller gives zones of the settings only, and "" for
// all others, so that there are never more groups than zones and one.
func (a *Assigner) group(zone string) *group {
	g := a.groups[zone]
	if g == nil {
		g = &group{own: policy.MinLocalityWeight}
		a.groups[zone] = g
	}
	return g
}

// baseLine is one server in the part of an assignment that all groups share, in the order of ids, with the full weight
// of each server.
type baseLine struct {
	Endpoint
	full  float64 // weight of the server when warm, in units
	share float64 // part of an even share that it may be sent
}

func (a *Assigner) base() []baseLine {
	out := make([]baseLine, 0, len(a.servers))
	clear(a.bad)
	for id, s := range a.servers {
		if s.entry.Health() != policy.Ready {
			// The module has nothing to decide of it, and forgets it; proxies that hold it are to see
			// that it drains.
			out = append(out, baseLine{Endpoint: Endpoint{ID: id, Addr: s.entry.Addr, Zone: s.entry.Zone, Draining: true},
				full: max(weightOf(s.entry.Weight)*unit, 1)})
		}
	}
	for i := range a.views {
		v := &a.views[i]
		s := a.byName[v.Server]
		if s == nil || !v.Usable {
			continue
		}
		e := &s.entry
		l := baseLine{Endpoint: Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, SlowStart: v.Capacity < 1},
			full: max(v.Weight*unit, 1), share: v.LoadShare}
		switch {
		case v.State == policy.UnhealthyPending:
			l.Tier = Pending
		case v.State == policy.Unhealthy:
			l.Tier = LastResort
			a.bad[e.ID] = v.StateSinceMs
		case v.State == policy.Unknown && v.ConsecutiveFailures > 0:
			// It came back by lapse, on no proof: until somebody is served it gets little.
			l.full = max(l.full*trialShare, 1)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y baseLine) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// weightOf is a listed weight as the module takes it: none counts as one.
func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// trialShare is the part of its weight that a server has which is back by lapse only: enough to prove
// itself, few enough requests to lose.
const trialShare = 0.1

// build makes the assignment of a group.
func (a *Assigner) build(zone string, g *group, base []baseLine, budget map[string]int) *Assignment {
	out := &Assignment{Zone: zone, Endpoints: make([]Endpoint, 0, len(base)),
		ShedPercent: int(math.Round(a.module.ShedFraction() * 100)), LocalityWeightPercent: int(math.Round(g.own*10)) * 10}
	for i := range base {
		e := base[i].Endpoint
		w := base[i].full
		if e.SlowStart {
			level := budget[e.ID]
			if level == 0 {
				e.Tier, level = LastResort, 1
			}
			w *= float64(level) / levels
		}
		e.Weight = uint32(max(w, 1))
		out.Endpoints = append(out.Endpoints, e)
	}
	return out
}
