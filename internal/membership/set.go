package membership

import (
	"cmp"
	"fmt"
	"slices"
)

// Set holds the entries of several sources side by side, each with its own revision and freshness. Losing a
// source affects only its freshness. A Set is not safe for concurrent use.
type Set struct {
	// StaleAfterMs is how long a source may be silent, or send empty lists, before its status says that it
	// is stale. Its last entries stay nevertheless.
	StaleAfterMs float64

	sources map[string]*source
	order   []string
}

// source is the state of one source in a Set.
type source struct {
	freshness
	revision uint64
	entries  map[string]Entry
	listed   bool // an update with entries has arrived
	problems problemLog
}

// NewSet returns a Set of the named sources. If several sources list a server, the earliest of them in this
// order determines its fields, except the state: the most restrictive one applies.
func NewSet(staleAfterMs float64, names ...string) *Set {
	s := &Set{StaleAfterMs: staleAfterMs, sources: map[string]*source{}, order: names}
	for _, name := range names {
		s.sources[name] = &source{entries: map[string]Entry{}, freshness: freshness{lastContactMs: -1}}
	}
	return s
}

// Update applies an update of a source and reports whether any entry changed.
//
// Changes older than the last revision are dropped. Complete lists are not, as a source that restarts without
// state sends one. An empty complete list is ignored if the source has entries or has sent no list yet: the
// last entries stay, and the status says so, until the source lists a server or removes entries one by one.
func (s *Set) Update(name string, now float64, l *List) bool {
	src := s.sources[name]
	if src == nil {
		return false
	}
	src.recordContact(now)
	if !l.Full && l.Revision < src.revision {
		return false
	}
	src.revision = l.Revision
	src.problems = nil
	if l.Full && len(l.Entries) == 0 && (len(src.entries) > 0 || !src.listed) {
		src.listedNothing(now)
		return false
	}
	if l.Full || len(l.Entries) > 0 {
		src.emptySinceMs = 0
	}
	changed := l.Full && !src.listed
	src.listed = true
	listed := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		isListed, entryChanged := src.apply(l.Entries[i])
		if isListed {
			listed[l.Entries[i].ID] = true
		}
		changed = changed || entryChanged
	}
	if l.Full && src.removeUnlisted(listed) {
		changed = true
	}
	return changed
}

// apply applies one entry of an update. listed says that the update lists the server, so that removeUnlisted
// must not remove it.
func (s *source) apply(e Entry) (listed, changed bool) {
	old, known := s.entries[e.ID]
	if err := e.Validate(); err != nil {
		s.problems.add(err)
		// A server that is listed with an invalid entry has not been removed: its last valid entry stays, but
		// as draining unless the invalid entry says that it is up.
		if known && e.State != Up && old.State == Up {
			s.entries[e.ID] = withState(old, Draining)
			return true, true
		}
		return known, false
	}
	if e.State == Removed {
		delete(s.entries, e.ID)
		return true, known
	}
	if !known && len(s.entries) >= MaxEntries {
		s.problems.add(errTooManyEntries(e.ID))
		return true, false
	}
	s.entries[e.ID] = e
	return true, e != old
}

// removeUnlisted removes the entries that are not in a complete list and reports whether there were any.
func (s *source) removeUnlisted(listed map[string]bool) (changed bool) {
	for id := range s.entries {
		if !listed[id] {
			delete(s.entries, id)
			changed = true
		}
	}
	return changed
}

func errTooManyEntries(subject string) error {
	return fmt.Errorf("%s: left out, more than %d entries", subject, MaxEntries)
}

// Alive records a response of a source without an update.
func (s *Set) Alive(name string, now float64) {
	if src := s.sources[name]; src != nil {
		src.recordContact(now)
	}
}

// Lost records a failed call to a source. Its entries stay.
func (s *Set) Lost(name string, err error) {
	if src := s.sources[name]; src != nil && err != nil {
		src.lastError = err.Error()
	}
}

// Entries returns all servers, sorted by id.
func (s *Set) Entries() []Entry {
	all := map[string]Entry{}
	for _, name := range s.order {
		for id, e := range s.sources[name].entries {
			if first, ok := all[id]; ok {
				e = withMostRestrictiveState(first, e.State)
			}
			all[id] = e
		}
	}
	out := make([]Entry, 0, len(all))
	for _, e := range all {
		out = append(out, e)
	}
	sortByID(out)
	return out
}

// withMostRestrictiveState returns the entry with another source's state if that is more restrictive: any
// other state is more restrictive than Up.
func withMostRestrictiveState(e Entry, state string) Entry {
	if state != Up && e.State == Up {
		e.State = state
	}
	return e
}

func sortByID(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Status returns the status of each source, in the order of NewSet.
func (s *Set) Status(now float64) []Status {
	var out []Status
	for _, name := range s.order {
		src := s.sources[name]
		status := Status{Source: name, Revision: src.revision, Entries: len(src.entries), Problems: src.problems}
		src.fillStatus(&status, now, s.StaleAfterMs)
		out = append(out, status)
	}
	return out
}
