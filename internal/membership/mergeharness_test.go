package membership

import "testing"

// mergeHarness runs a Merge with a simulated clock and tracks the entries that it reports.
type mergeHarness struct {
	*Merge
	t        *testing.T
	now      float64
	reported map[string]Entry
	czxid    int64
	changes  int
}

func newMergeHarness(t *testing.T, change func(*MergeConfig)) *mergeHarness {
	c := DefaultMergeConfig()
	if change != nil {
		change(&c)
	}
	return &mergeHarness{Merge: NewMerge(c), t: t, now: 1e12, reported: map[string]Entry{}}
}

func endpoint(id, state string) Entry {
	return Entry{ID: id, Addr: id + ":1", Zone: "east", State: state, Weight: 2}
}

func (m *mergeHarness) updateDiscovery(full bool, entries ...Entry) {
	m.UpdateDiscovery(m.now, &List{Full: full, Entries: entries})
	m.applyChanges()
}

// createNode creates a node with a new czxid.
func (m *mergeHarness) createNode(id string, owner int64, started float64) {
	m.czxid++
	m.NodeUpdated(m.now, RegistryNode{Name: id, Entry: Entry{ID: id, State: Up, StartedMs: started}, Czxid: m.czxid, CtimeMs: m.now, Owner: owner})
	m.applyChanges()
}

func (m *mergeHarness) expireNode(id string) {
	m.NodeExpired(m.now, id)
	m.applyChanges()
}

func (m *mergeHarness) applyChanges() {
	for _, e := range m.Changes(m.now) {
		m.changes++
		if e.State == Removed {
			delete(m.reported, e.ID)
		} else {
			m.reported[e.ID] = e
		}
	}
}

// advance advances the clock and calls Changes at each deadline.
func (m *mergeHarness) advance(ms float64) {
	end := m.now + ms
	for m.NextDeadlineMs() <= end {
		m.now = max(m.NextDeadlineMs(), m.now)
		m.applyChanges()
	}
	m.now = end
	m.applyChanges()
}

func (m *mergeHarness) wantState(id, state string) {
	m.t.Helper()
	if got := m.reported[id].State; got != state {
		m.t.Errorf("at %.0f: %s is %q, want %q", m.now-1e12, id, got, state)
	}
}
