package core

import (
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// endpointTable holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type endpointTable struct {
	names    membership.Names
	byID     map[string]*Backend      // bound: what is listed, and what is gone with attempts out
	byAddr   map[policy.Addr]*Backend // the same
	cordoned map[string]bool          // ids that an operator wants left alone, listed or not; upgrade.MaxBans at the most
	seen     map[string]bool          // ids that were ever listed, as far as maxSeen goes
	config   *sharedconfig.Config     // what all agents agree on of servers; nil: nothing
}

// maxSeen bounds the ids that are remembered as once listed; beyond it only those listed now are known.
const maxSeen = 1 << 14

func newEndpointTable(zones, kinds []string) *endpointTable {
	return &endpointTable{names: membership.NewNames(zones, kinds),
		byID: map[string]*Backend{}, byAddr: map[policy.Addr]*Backend{},
		cordoned: map[string]bool{}, seen: map[string]bool{}}
}

// getOrCreate finds or makes the entry of an id.
func (t *endpointTable) getOrCreate(id string) *Backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &Backend{id: id, name: membership.ServerAddr(id, func(a policy.Addr) bool { return t.byAddr[a] != nil })}
	t.byID[id], t.byAddr[b.name] = b, b
	t.addSeen(id)
	return b
}

// addSeen notes that an id was listed.
func (t *endpointTable) addSeen(id string) {
	if len(t.seen) < maxSeen {
		t.seen[id] = true
	}
}

// list is all that is listed, and the ids that were once.
func (t *endpointTable) list(revision uint64) (l membership.List, seen []string) {
	l = membership.List{Revision: revision, Full: true}
	for _, b := range t.byID {
		if !b.removed && b.entry.ID != "" {
			l.Entries = append(l.Entries, b.entry)
		}
	}
	for id := range t.seen {
		if b := t.byID[id]; b == nil || b.removed {
			seen = append(seen, id)
		}
	}
	return l, seen
}

// apply takes a list into the table and returns the module's entries, the backends
// whose idle connections are of no more use, and those gone.
func (t *endpointTable) apply(l *membership.List, full bool) (entries []policy.Endpoint, stale, gone []*Backend) {
	named := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		s := &l.Entries[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		b := t.getOrCreate(s.ID)
		b.entry = *s
		e := t.endpoint(b)
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b)
			b.addr = s.Addr
		}
		shut := e.Health != policy.Ready || e.Cordoned
		if b.unavailable.Store(shut); shut {
			stale = append(stale, b)
		}
		if b.removed = e.Health == policy.Removed; b.removed {
			gone = append(gone, b)
		}
		entries = append(entries, e)
	}
	if full {
		for id, b := range t.byID {
			if !named[id] {
				b.unavailable.Store(true)
				b.removed = true
				stale, gone = append(stale, b), append(gone, b)
			}
		}
	}
	return entries, stale, gone
}

// endpoint is a backend as the module is told of it.
func (t *endpointTable) endpoint(b *Backend) policy.Endpoint {
	e := t.names.Policy(&b.entry)
	e.Server, e.Cordoned = b.name, t.cordoned[b.id]
	if t.config != nil {
		e.Cordoned = e.Cordoned || !t.config.Allows(b.id)
		if w := t.config.Servers[b.id].Weight; w > 0 {
			e.Weight = w
		}
	}
	return e
}

// shouldBeUnavailable tells whether nothing new is to go to a backend.
func (t *endpointTable) shouldBeUnavailable(b *Backend) bool {
	e := t.endpoint(b)
	return e.Health != policy.Ready || e.Cordoned
}

// cordon notes that an operator wants nothing new at the backend of an id, or that he does again. It returns the
// backend if it is listed.
func (t *endpointTable) cordon(id string, on bool) *Backend {
	was := t.cordoned[id]
	if delete(t.cordoned, id); on {
		t.cordoned[id] = true
	}
	b := t.byID[id]
	if b == nil || b.removed || was == on {
		return nil
	}
	b.unavailable.Store(t.shouldBeUnavailable(b))
	return b
}

// known tells whether an id is, or was ever, listed.
func (t *endpointTable) known(id string) bool {
	return t.byID[id] != nil || t.seen[id] || t.cordoned[id]
}

// forget drops backends that are gone and have no attempt out; the module has
// forgotten them by then.
func (t *endpointTable) forget(b *Backend) {
	if b.removed && b.inFlight == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.name)
	}
}

// usable tells whether any backend may be sent to.
func (t *endpointTable) usable() bool {
	for _, b := range t.byID {
		if !b.unavailable.Load() {
			return true
		}
	}
	return false
}
