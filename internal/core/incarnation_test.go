package core

import (
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// A new process at the address of another one takes its place at once: the old one gets nothing, though no list has said
// yet that it has gone.
func TestNewProcessAtAnAddressSupersedesTheOldOne(t *testing.T) {
	const addr = "127.0.0.1:9"
	entry := func(id string, startedMs float64) membership.Entry {
		e := listedBackend(id)
		e.Addr = addr
		e.StartedMs = startedMs
		return e
	}
	for _, test := range []struct {
		name      string
		lists     [][]membership.Entry // deltas, one after the other
		available []string
	}{
		{"a later start", [][]membership.Entry{{entry("old", 1000)}, {entry("new", 2000)}}, []string{"new"}},
		{"the starts are not known", [][]membership.Entry{{entry("old", 0)}, {entry("new", 0)}}, []string{"new"}},
		{"the news come late", [][]membership.Entry{{entry("new", 2000)}, {entry("old", 1000)}}, []string{"new"}},
		{"one list names both", [][]membership.Entry{{entry("old", 1000), entry("new", 2000)}}, []string{"new"}},
		{"one list names both, and no start", [][]membership.Entry{{entry("old", 0), entry("new", 0)}}, []string{"new", "old"}},
		{"the old one is listed as before", [][]membership.Entry{{entry("old", 1000)}, {entry("new", 2000)}, {entry("old", 1000)}}, []string{"new"}},
		{"the old one starts again", [][]membership.Entry{{entry("old", 1000)}, {entry("new", 2000)}, {entry("old", 3000)}}, []string{"old"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newEndpointTable(nil, nil)
			for _, entries := range test.lists {
				changes := table.apply(&membership.List{Entries: entries}, false)
				for i := range changes.endpoints {
					e := &changes.endpoints[i]
					if b := table.byPolicyAddr[e.Server]; b == nil {
						t.Errorf("a change of an unknown backend")
					}
				}
			}
			available := map[string]bool{}
			for id, b := range table.byID {
				e := table.endpoint(b)
				if b.Unavailable() == (e.Health == policy.Ready) {
					t.Errorf("%s: unavailable %v, but health %v", id, b.Unavailable(), e.Health)
				}
				available[id] = !b.Unavailable()
			}
			for _, id := range test.available {
				if !available[id] {
					t.Errorf("%s is unavailable", id)
				}
				delete(available, id)
			}
			for id := range available {
				if available[id] {
					t.Errorf("%s is available", id)
				}
			}
		})
	}
}

// A later start, another address and a return after a removal are another incarnation.
func TestIncarnations(t *testing.T) {
	table := newEndpointTable(nil, nil)
	apply := func(change func(*membership.Entry)) uint64 {
		e := listedBackend("s-1")
		e.StartedMs = 1000
		change(&e)
		table.apply(&membership.List{Entries: []membership.Entry{e}}, false)
		return table.byID["s-1"].Incarnation()
	}
	first := apply(func(*membership.Entry) {})
	if apply(func(e *membership.Entry) { e.State = membership.Draining }) != first {
		t.Error("a drain is another incarnation")
	}
	restarted := apply(func(e *membership.Entry) { e.StartedMs = 2000 })
	if restarted == first {
		t.Error("a later start is the same incarnation")
	}
	apply(func(e *membership.Entry) { e.StartedMs, e.State = 2000, membership.Removed })
	if apply(func(e *membership.Entry) { e.StartedMs = 2000 }) == restarted {
		t.Error("a return is the same incarnation")
	}
}
