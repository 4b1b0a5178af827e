package membership

import "math"

// Names of the sources in a Status, as on the control service's admin page.
const (
	discoveryStatusName = "roster"
	registryStatusName  = "nodes"
)

// Merge combines discovery, which says what a server is and whether it drains, with the ephemeral nodes of a
// registry, which say whether its process runs. The most restrictive state counts, at once.
//
// UpdateDiscovery, NodeUpdated, NodeExpired and their like take what the sources say; Changes returns what
// follows from it. Each rule has a file: decision.go for one server, massexpiry.go, flapping.go,
// processstart.go, freshness.go. Times are Unix ms. A Merge belongs to one goroutine.
type Merge struct {
	cfg       MergeConfig
	servers   map[string]*server // by id
	byAddr    map[string]*server // those that discovery lists, by address
	byNode    map[string]*server // by name of node
	changed   map[string]*server // to be decided anew, by id
	withHolds map[string]*server // with a hold that ends, by id

	discovery      freshness
	registry       freshness
	registrySynced bool    // all nodes that exist have been seen
	lostSinceMs    float64 // since when the registry is unreachable; 0: it is reachable
	lostExpired    bool    // it has been for LostAfterMs

	recentExpiries []expiry // within MassExpiryWindowMs, oldest first
	nextForgetMs   float64  // when forgetUnlisted looks again
	problems       problemLog
}

// server is what a Merge remembers of one server.
type server struct {
	id       string
	endpoint *Entry // of discovery; nil: not listed
	// delisted says that discovery listed the server and removed it. Its nodes stop to count; one that is
	// created afterwards counts again.
	delisted bool

	nodes             map[string]*RegistryNode // by name
	everHadNode       bool
	nodelessMs        float64 // since when it has had no node; 0: it has one, or never had
	expiryHoldUntilMs float64 // until when its expiry is ignored as part of a mass expiry; 0: not

	flap    flapping
	process processStart

	reported   Entry // as returned by Changes
	listed     bool  // reported as existing
	unlistedMs float64
}

// NewMerge returns a merge that has heard of no source.
func NewMerge(cfg MergeConfig) *Merge {
	return &Merge{
		cfg:       cfg,
		servers:   map[string]*server{},
		byAddr:    map[string]*server{},
		byNode:    map[string]*server{},
		changed:   map[string]*server{},
		withHolds: map[string]*server{},
		discovery: freshness{heardMs: -1},
		registry:  freshness{heardMs: -1},
	}
}

// Changes returns the entries that changed since the last call, sorted by id. A server that no source lists
// any longer is Removed. It has to be called after each update and at NextDeadlineMs.
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
		s.unlistedMs = 0
		if s.endpoint == nil && len(s.nodes) == 0 && !listed {
			s.unlistedMs = now
		}
	}
	m.forgetUnlisted(now)
	sortByID(out)
	return out
}

// NextDeadlineMs is when Changes has to be called even if no source says anything; +Inf: never.
func (m *Merge) NextDeadlineMs() float64 {
	next := math.Inf(1)
	for _, s := range m.withHolds {
		for _, deadline := range []float64{s.flap.holdUntilMs, s.expiryHoldUntilMs} {
			if deadline > 0 {
				next = min(next, deadline)
			}
		}
	}
	if m.lostSinceMs > 0 && !m.lostExpired {
		next = min(next, m.lostSinceMs+m.cfg.LostAfterMs)
	}
	return next
}

// Entries returns all listed servers as Changes reported them, sorted by id.
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

// Status returns the freshness of discovery and of the registry, in this order.
func (m *Merge) Status(now float64) []Status {
	discovery := Status{Source: discoveryStatusName, Problems: m.problems}
	registry := Status{Source: registryStatusName}
	for _, s := range m.servers {
		if s.endpoint != nil {
			discovery.Entries++
		}
		registry.Entries += len(s.nodes)
	}
	m.discovery.fill(&discovery, now, m.cfg.StaleAfterMs)
	m.registry.fill(&registry, now, m.cfg.StaleAfterMs)
	return []Status{discovery, registry}
}

// server returns the server of an id, new where there is none.
func (m *Merge) server(id string) *server {
	s := m.servers[id]
	if s == nil {
		s = &server{id: id, nodes: map[string]*RegistryNode{}}
		m.servers[id] = s
	}
	return s
}

// markChanged has the next Changes decide on the server.
func (m *Merge) markChanged(s *server) { m.changed[s.id] = s }

func (m *Merge) markAllChanged() {
	for _, s := range m.servers {
		m.markChanged(s)
	}
}

// endHolds ends the holds whose time is over.
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
