package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Each expiry of a flapping node is reported at once, the number of reports is bounded, and the server is up
// again once its node stays.
func TestMergeFlappingNode(t *testing.T) {
	m := newMergeHarness(t, nil)
	m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up))
	m.createNode("a", 1, 1e12-1e6)
	m.changes = 0
	for range 600 { // 10 a second for a minute
		m.expireNode("a")
		m.wantState("a", Draining)
		m.advance(50)
		m.createNode("a", 1, 1e12-1e6)
		m.advance(50)
	}
	if m.changes > 10 {
		t.Errorf("%d changes reported for 600 flaps", m.changes)
	}
	m.advance(4000)
	m.wantState("a", Draining)
	m.advance(1100)
	m.wantState("a", Up)
	if m.reported["a"].StartedMs != 1e12-1e6 {
		t.Errorf("started %v: its process never restarted", m.reported["a"].StartedMs)
	}
	m.advance(60_000)
	m.expireNode("a")
	m.createNode("a", 1, 1e12-1e6)
	m.wantState("a", Up) // the first return is not delayed
}

// If all nodes of a registry flap, at least half of the fleet stays up.
func TestMergeFlappingRegistry(t *testing.T) {
	m := newMergeHarness(t, nil)
	var all []Entry
	for i := range 12 {
		all = append(all, endpoint(fmt.Sprint("s-", i), Up))
	}
	m.updateDiscovery(true, all...)
	for i := range 12 {
		m.createNode(fmt.Sprint("s-", i), 1, 1e11)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	minUp := 12
	for range 20 {
		for _, i := range rng.Perm(12) {
			m.expireNode(fmt.Sprint("s-", i))
		}
		for i := range 12 {
			m.createNode(fmt.Sprint("s-", i), 1, 1e11)
		}
		up := 0
		for _, e := range m.reported {
			if e.State == Up {
				up++
			}
		}
		minUp = min(minUp, up)
		m.advance(1200)
	}
	if minUp < 6 {
		t.Errorf("%d of 12 are up", minUp)
	}
}
