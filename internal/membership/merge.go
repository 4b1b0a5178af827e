package membership

import "math"

// Names of the sources in a Status, which the control service's admin page shows.
const (
	discoveryStatusName = "roster"
	registryStatusName  = "nodes"
)

// Merge combines discovery, which describes each server and says whether it drains, with the ephemeral nodes
// of a registry, which show whether its process runs. The most restrictive state applies, without delay.
//
// UpdateDiscovery, NodeUpdated, NodeExpired and the like take the updates of the sources; Changes returns the
// resulting changes. The rules are in decision.go (the state of one server), massexpiry.go, flapping.go,
// processstart.go and freshness.go. Times are Unix ms. A Merge is not safe for concurrent use.
type Merge struct {
	cfg       MergeConfig
	servers   map[string]*server // by id
	byAddr    map[string]*server // servers that discovery lists, by address
	byNode    map[string]*server // by node name
	changed   map[string]*server // to be evaluated by the next Changes, by id
	withHolds map[string]*server // servers with a hold, by id

	discovery        freshness
	registry         freshness
	registrySynced   bool    // all nodes that exist have been seen
	lostSinceMs      float64 // since when the registry is unreachable; 0: it is reachable
	lostLimitReached bool    // it has been unreachable for LostAfterMs

	recentExpiries []expiry // within MassExpiryWindowMs, oldest first
	nextForgetMs   float64  // when forgetUnlisted next checks
	problems       problemLog
}

// server is the state of one server in a Merge.
type server struct {
	id       string
	endpoint *Entry // as discovery lists it; nil: not listed
	// delisted says that discovery listed the server and then removed it. Its nodes are ignored from then on, until
	// one is created by a process that started later than the last one: a process whose session has expired creates
	// its node again.
	delisted bool

	nodes             map[string]*RegistryNode // by name
	everHadNode       bool
	nodelessSinceMs   float64 // since when it has had no node; 0: it has one, or never had
	expiryHoldUntilMs float64 // end of the hold after a mass expiry; 0: none

	flap    flapping
	process processStart

	reported        Entry // as returned by Changes
	listed          bool  // reported as existing
	unlistedSinceMs float64
}

// NewMerge returns a Merge without any updates yet.
func NewMerge(cfg MergeConfig) *Merge {
	return &Merge{
		cfg:       cfg,
		servers:   map[string]*server{},
		byAddr:    map[string]*server{},
		byNode:    map[string]*server{},
		changed:   map[string]*server{},
		withHolds: map[string]*server{},
		discovery: freshness{lastContactMs: -1},
		registry:  freshness{lastContactMs: -1},
	}
}

// Changes returns the entries that changed since the last call, sorted by id. A server that no source lists
// any longer is Removed. Changes must be called after each update and at NextDeadlineMs.
func (m *Merge) Changes(now float64) []Entry {
	m.endHolds(now)
	m.checkRegistryLost(now)
	var out []Entry
	for id, s := range m.changed {
		delete(m.changed, id)
		e, listed := m.decide(now, s)
		switch {
		case listed && (!s.listed || e != s.reported):
			s.reported = e
			out = append(out, e)
		case !listed && s.listed:
			out = append(out, Entry{ID: id, State: Removed})
		}
		s.listed = listed
		s.unlistedSinceMs = 0
		if s.endpoint == nil && len(s.nodes) == 0 && !listed {
			s.unlistedSinceMs = now
		}
	}
	m.forgetUnlisted(now)
	sortByID(out)
	return out
}

// NextDeadlineMs returns when Changes must be called even without an update; +Inf: never.
func (m *Merge) NextDeadlineMs() float64 {
	next := math.Inf(1)
	for _, s := range m.withHolds {
		for _, deadline := range []float64{s.flap.holdUntilMs, s.expiryHoldUntilMs} {
			if deadline > 0 {
				next = min(next, deadline)
			}
		}
	}
	if m.lostSinceMs > 0 && !m.lostLimitReached {
		next = min(next, m.lostSinceMs+m.cfg.LostAfterMs)
	}
	return next
}

// Entries returns all listed servers as last reported by Changes, sorted by id.
func (m *Merge) Entries() []Entry {
	out := make([]Entry, 0, len(m.servers))
	for _, s := range m.servers {
		if s.listed {
			out = append(out, s.reported)
		}
	}
	sortByID(out)
	return out
}

// Status returns the status of discovery and of the registry, in this order.
func (m *Merge) Status(now float64) []Status {
	discovery := Status{Source: discoveryStatusName, Problems: m.problems}
	registry := Status{Source: registryStatusName}
	for _, s := range m.servers {
		if s.endpoint != nil {
			discovery.Entries++
		}
		registry.Entries += len(s.nodes)
	}
	m.discovery.fillStatus(&discovery, now, m.cfg.StaleAfterMs)
	m.registry.fillStatus(&registry, now, m.cfg.StaleAfterMs)
	return []Status{discovery, registry}
}

// server returns the server with this id and creates it if there is none.
func (m *Merge) server(id string) *server {
	s := m.servers[id]
	if s == nil {
		s = &server{id: id, nodes: map[string]*RegistryNode{}}
		m.servers[id] = s
	}
	return s
}

// markChanged makes the next Changes evaluate the server.
func (m *Merge) markChanged(s *server) { m.changed[s.id] = s }

func (m *Merge) markAllChanged() {
	for _, s := range m.servers {
		m.markChanged(s)
	}
}

// endHolds ends the holds that are over.
func (m *Merge) endHolds(now float64) {
	for id, s := range m.withHolds {
		if s.flap.holdUntilMs > 0 && s.flap.holdUntilMs <= now {
			s.flap.holdUntilMs = 0
			m.markChanged(s)
		}
		if s.expiryHoldUntilMs > 0 && s.expiryHoldUntilMs <= now {
			s.expiryHoldUntilMs = 0
			m.markChanged(s)
		}
		if s.flap.holdUntilMs == 0 && s.expiryHoldUntilMs == 0 {
			delete(m.withHolds, id)
		}
	}
}
