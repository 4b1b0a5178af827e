package core

import (
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// table holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type table struct {
	names  membership.Names
	byID   map[string]*Backend
	byAddr map[policy.Addr]*Backend
}

func newTable(zones, kinds []string) *table {
	return &table{names: membership.NewNames(zones, kinds),
		byID: map[string]*Backend{}, byAddr: map[policy.Addr]*Backend{}}
}

// backend finds or makes the entry of an id.
func (t *table) backend(id string) *Backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &Backend{id: id, name: membership.Addr(id, func(a policy.Addr) bool { return t.byAddr[a] != nil })}
	t.byID[id], t.byAddr[b.name] = b, b
	return b
}

// apply takes a list into the table and returns the module's entries, the backends
// whose idle connections are of no more use, and those gone.
func (t *table) apply(l *membership.List, full bool) (entries []policy.Entry, stale, gone []*Backend) {
	named := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		s := &l.Entries[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		e := t.names.Policy(s)
		b := t.backend(s.ID)
		e.Server = b.name
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b)
			b.addr = s.Addr
		}
		if b.closed.Store(e.Health != policy.Ready); e.Health != policy.Ready {
			stale = append(stale, b)
		}
		if b.gone = e.Health == policy.Gone; b.gone {
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
