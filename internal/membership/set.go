package membership

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
)

// Bounds of what a source may tell.
const (
	// MaxEntries bounds the servers that are kept of one source; what is beyond it is left out, and
	// said. A list of 8 MiB holds fewer.
	MaxEntries = 100_000
	// maxProblems bounds what is kept for a person to read.
	maxProblems = 16
)

// Set keeps the word of several sources side by side. Each has its own revision and freshness; a
// source that is lost changes nothing but its freshness. It belongs to one goroutine.
type Set struct {
	// StaleAfterMs is how long a source may be silent, or its list disbelieved, before it is said to
	// be stale. What it told last stays all the same.
	StaleAfterMs float64

	sources map[string]*source
	order   []string
}

type source struct {
	revision uint64
	entries  map[string]Entry
	told     bool    // a list came at all
	heardMs  float64 // when it last showed that it lives
	lost     string  // why its last call failed; "" while it is well
	emptyMs  float64 // since when it lists nothing, which is not believed; 0: it does not
	problems []string
}

// Status is what is known of a source.
type Status struct {
	Source   string   `json:"source"`
	Revision uint64   `json:"revision"`
	Entries  int      `json:"entries"`
	AgeMs    float64  `json:"age_ms"` // since it last showed that it lives; -1: never
	Stale    bool     `json:"stale"`
	Reason   string   `json:"why,omitempty"`
	Problems []string `json:"problems,omitempty"`
}

// NewSet returns a set of the named sources. Where two list a server the earlier one's fields count,
// but for the state, of which the worst does.
func NewSet(staleAfterMs float64, names ...string) *Set {
	s := &Set{StaleAfterMs: staleAfterMs, sources: map[string]*source{}, order: names}
	for _, n := range names {
		s.sources[n] = &source{entries: map[string]Entry{}, heardMs: -1}
	}
	return s
}

// Update takes what a source has told and returns whether anything changed. A change that is older
// than what is at hand is dropped; a whole list is not, as a source that started again from nothing
// says so by one. A whole list of nothing, where something was listed or nothing was ever told, is not
// believed: the last good one stays, marked, until the source lists something again or takes entries
// out one by one.
func (s *Set) Update(name string, now float64, l *List) bool {
	src := s.sources[name]
	if src == nil {
		return false
	}
	src.heardMs, src.lost = now, ""
	if !l.Full && l.Revision < src.revision {
		return false
	}
	src.revision, src.problems = l.Revision, nil
	if l.Full && len(l.Entries) == 0 && (len(src.entries) > 0 || !src.told) {
		if src.emptyMs == 0 {
			src.emptyMs = now
		}
		return false
	}
	if l.Full || len(l.Entries) > 0 {
		src.emptyMs = 0
	}
	changed := l.Full && !src.told
	src.told = true
	named := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		e := l.Entries[i]
		if err := e.Validate(); err != nil {
			src.problem(err)
			// What is listed wrongly is not gone: its last good entry stays, but it is to get
			// nothing new where the list says so.
			if old, ok := src.entries[e.ID]; ok {
				named[e.ID] = true
				if e.State != Up && old.State == Up {
					src.entries[e.ID], changed = withState(old, Draining), true
				}
			}
			continue
		}
		named[e.ID] = true
		old, known := src.entries[e.ID]
		switch {
		case e.State == Removed:
			delete(src.entries, e.ID)
			changed = changed || known
			continue
		case !known && len(src.entries) >= MaxEntries:
			src.problem(fmt.Errorf("%s: left out, more than %d entries", e.ID, MaxEntries))
			continue
		}
		changed = changed || e != old
		src.entries[e.ID] = e
	}
	if l.Full {
		for id := range src.entries {
			if !named[id] {
				delete(src.entries, id)
				changed = true
			}
		}
	}
	return changed
}

func withState(e Entry, state string) Entry {
	e.State = state
	return e
}

func (s *source) problem(err error) {
	if len(s.problems) < maxProblems {
		s.problems = append(s.problems, err.Error())
	}
}

// Validate says what makes an entry unusable.
func (e *Entry) Validate() error {
	host, port, err := net.SplitHostPort(e.Addr)
	n, perr := strconv.Atoi(port)
	switch {
	case e.ID == "" || len(e.ID) > 256:
		return fmt.Errorf("an entry with an id of %d bytes, 1 to 256 are allowed", len(e.ID))
	case e.State == Removed:
		return nil // needs nothing else
	case err != nil || host == "" || perr != nil || n < 1 || n > 65535:
		return fmt.Errorf("%s: addr: %.64q is no host:port", e.ID, e.Addr)
	case !(e.Weight >= 0) || e.Weight > 1e6:
		return fmt.Errorf("%s: weight: must be 0 to 1e6, is %v", e.ID, e.Weight)
	case !(e.StartedMs >= 0) || e.StartedMs > 1e15:
		return fmt.Errorf("%s: started_ms: must be 0 to 1e15, is %v", e.ID, e.StartedMs)
	}
	return nil
}

// Alive notes that a source showed it lives, though it told nothing.
func (s *Set) Alive(name string, now float64) {
	if src := s.sources[name]; src != nil {
		src.heardMs, src.lost = now, ""
	}
}

// Lost notes that a call to a source failed. Nothing that it told changes.
func (s *Set) Lost(name string, err error) {
	if src := s.sources[name]; src != nil && err != nil {
		src.lost = err.Error()
	}
}

// Entries returns all servers in the order of their ids.
func (s *Set) Entries() []Entry {
	all := map[string]Entry{}
	for _, name := range s.order {
		for id, e := range s.sources[name].entries {
			if first, ok := all[id]; ok {
				if e.State != Up && first.State == Up {
					first.State = e.State
				}
				e = first
			}
			all[id] = e
		}
	}
	out := make([]Entry, 0, len(all))
	for _, e := range all {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Status tells how each source does.
func (s *Set) Status(now float64) []Status {
	var out []Status
	for _, name := range s.order {
		src := s.sources[name]
		st := Status{Source: name, Revision: src.revision, Entries: len(src.entries), AgeMs: -1, Problems: src.problems, Reason: src.lost}
		if src.heardMs >= 0 {
			st.AgeMs = now - src.heardMs
		}
		switch {
		case src.heardMs < 0:
			st.Stale = true
			if st.Reason == "" {
				st.Reason = "nothing heard yet"
			}
		case src.emptyMs > 0:
			st.Reason = "it lists nothing, which is not believed"
			st.Stale = now-src.emptyMs >= s.StaleAfterMs
		case st.AgeMs >= s.StaleAfterMs:
			st.Stale = true
			if st.Reason == "" {
				st.Reason = "silent"
			}
		}
		out = append(out, st)
	}
	return out
}
