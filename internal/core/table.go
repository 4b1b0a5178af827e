package core

import (
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// table holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type table struct {
	names  membership.Names
	byID   map[string]*Backend      // bound: what is listed, and what is gone with attempts out
	byAddr map[policy.Addr]*Backend // the same
	banned map[string]bool          // ids that an operator wants left alone, listed or not; upgrade.MaxBans at the most
	seen   map[string]bool          // ids that were ever listed, as far as maxSeen goes
	word   *sharedconfig.Config     // what all agents agree on of servers; nil: nothing
}

// maxSeen bounds the ids that are remembered as once listed; beyond it only those listed now are known.
const maxSeen = 1 << 14

func newTable(zones, kinds []string) *table {
	return &table{names: membership.NewNames(zones, kinds),
		byID: map[string]*Backend{}, byAddr: map[policy.Addr]*Backend{},
		banned: map[string]bool{}, seen: map[string]bool{}}
}

// backend finds or makes the entry of an id.
func (t *table) backend(id string) *Backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &Backend{id: id, name: membership.ServerAddr(id, func(a policy.Addr) bool { return t.byAddr[a] != nil })}
	t.byID[id], t.byAddr[b.name] = b, b
	t.see(id)
	return b
}

// see notes that an id was listed.
func (t *table) see(id string) {
	if len(t.seen) < maxSeen {
		t.seen[id] = true
	}
}

// list is all that is listed, and the ids that were once.
func (t *table) list(revision uint64) (l membership.List, seen []string) {
	l = membership.List{Revision: revision, Full: true}
	for _, b := range t.byID {
		if !b.gone && b.told.ID != "" {
			l.Entries = append(l.Entries, b.told)
		}
	}
	for id := range t.seen {
		if b := t.byID[id]; b == nil || b.gone {
			seen = append(seen, id)
		}
	}
	return l, seen
}

// apply takes a list into the table and returns the module's entries, the backends
// whose idle connections are of no more use, and those gone.
func (t *table) apply(l *membership.List, full bool) (entries []policy.Endpoint, stale, gone []*Backend) {
	named := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		s := &l.Entries[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		b := t.backend(s.ID)
		b.told = *s
		e := t.entry(b)
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b)
			b.addr = s.Addr
		}
		shut := e.Health != policy.Ready || e.Cordoned
		if b.closed.Store(shut); shut {
			stale = append(stale, b)
		}
		if b.gone = e.Health == policy.Removed; b.gone {
			gone = append(gone, b)
		}
		entries = append(entries, e)
	}
	if full {
		for id, b := range t.byID {
			if !named[id] {
				b.closed.Store(true)
				b.gone = true
				stale, gone = append(stale, b), append(gone, b)
			}
		}
	}
	return entries, stale, gone
}

// entry is a backend as the module is told of it.
func (t *table) entry(b *Backend) policy.Endpoint {
	e := t.names.Policy(&b.told)
	e.Server, e.Cordoned = b.name, t.banned[b.id]
	if t.word != nil {
		e.Cordoned = e.Cordoned || !t.word.Allows(b.id)
		if w := t.word.Servers[b.id].Weight; w > 0 {
			e.Weight = w
		}
	}
	return e
}

// shut tells whether nothing new is to go to a backend.
func (t *table) shut(b *Backend) bool {
	e := t.entry(b)
	return e.Health != policy.Ready || e.Cordoned
}

// ban notes that an operator wants nothing new at the backend of an id, or that he does again. It returns the
// backend if it is listed.
func (t *table) ban(id string, on bool) *Backend {
	was := t.banned[id]
	if delete(t.banned, id); on {
		t.banned[id] = true
	}
	b := t.byID[id]
	if b == nil || b.gone || was == on {
		return nil
	}
	b.closed.Store(t.shut(b))
	return b
}

// knows tells whether an id is, or was ever, listed.
func (t *table) knows(id string) bool { return t.byID[id] != nil || t.seen[id] || t.banned[id] }

// forget drops backends that are gone and have no attempt out; the module has
// forgotten them by then.
func (t *table) forget(b *Backend) {
	if b.gone && b.out == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.name)
	}
}

// usable tells whether any backend may be sent to.
func (t *table) usable() bool {
	for _, b := range t.byID {
		if !b.closed.Load() {
			return true
		}
	}
	return false
}
