package membership

import (
	"testing"
)

// A server whose node returns warms up only if its process restarted or may have restarted.
func TestMergeRemembersProcessStart(t *testing.T) {
	const longAgoMs = 1e12 - 3_600_000
	for name, test := range map[string]struct {
		owner     int64
		started   float64
		warmingUp bool
	}{
		"same start":                          {7, longAgoMs, false},
		"another start":                       {7, 1e12 + 5000, true},
		"same session, no start":              {1, 0, false},
		"another session, no start":           {7, 0, true},
		"a start in the future is now":        {7, 2e12, true},
		"same session and a start of its own": {1, 1e12 + 5000, true},
	} {
		m := newMergeHarness(t, nil)
		m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up))
		m.createNode("a", 1, longAgoMs)
		m.advance(5000)
		m.expireNode("a")
		m.advance(500)
		m.createNode("a", test.owner, test.started)
		m.wantState("a", Up)
		if got := m.reported["a"].StartedMs > 1e12; got != test.warmingUp {
			t.Errorf("%s: started %v: warming up %v, want %v", name, m.reported["a"].StartedMs-1e12, got, test.warmingUp)
		}
		if m.reported["a"].StartedMs > m.now {
			t.Errorf("%s: starts in the future", name)
		}
		// The start is remembered while no source lists the server.
		m.expireNode("a")
		m.updateDiscovery(false, endpoint("a", Removed))
		m.advance(60_000)
		m.updateDiscovery(false, endpoint("a", Up))
		m.createNode("a", test.owner, test.started)
		m.advance(10_000)
		if got := m.reported["a"].StartedMs > 1e12; got != test.warmingUp {
			t.Errorf("%s, a minute later: warming up %v, want %v", name, got, test.warmingUp)
		}
	}
	// The creation time of a node that existed before the first sync is the start of its process; a later
	// node means a process that starts now, whatever the registry's clock says.
	m := newMergeHarness(t, nil)
	m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up))
	m.NodeUpdated(m.now, RegistryNode{Name: "a", Czxid: 1, CtimeMs: longAgoMs, Entry: Entry{ID: "a", State: Up}, Owner: 1})
	m.RegistrySynced(m.now)
	m.NodeUpdated(m.now, RegistryNode{Name: "b", Czxid: 2, CtimeMs: longAgoMs, Entry: Entry{ID: "b", State: Up}, Owner: 2})
	m.applyChanges()
	if a, b := m.reported["a"].StartedMs, m.reported["b"].StartedMs; a != longAgoMs || b != m.now {
		t.Errorf("start times %v and %v, relative to 1e12", a-1e12, b-1e12)
	}
}
