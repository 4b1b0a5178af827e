package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestMergeMostRestrictiveStateWins(t *testing.T) {
	m := newMergeHarness(t, nil)
	m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Draining), endpoint("c", Up))
	m.RegistrySynced(m.now)
	m.wantState("a", Up) // it never had a node: discovery alone decides
	m.createNode("a", 1, 0)
	m.createNode("b", 2, 0)
	m.wantState("b", Draining) // its process runs and drains
	m.expireNode("a")
	m.wantState("a", Draining) // at once, even if discovery still says that it is up
	m.updateDiscovery(false, endpoint("a", Up))
	m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Draining), endpoint("c", Up))
	m.wantState("a", Draining)
	m.createNode("a", 3, 0)
	m.wantState("a", Up)
	// Discovery reports the removal first: the node exists until its session expires.
	m.updateDiscovery(false, endpoint("a", Removed))
	m.wantState("a", "")
	m.expireNode("a")
	m.createNode("a", 4, 0) // nothing says that this is another process
	if m.reported["a"].Addr != "" {
		t.Errorf("an entry without an address is listed: %+v", m.reported["a"])
	}
	m.updateDiscovery(false, endpoint("a", Up))
	m.wantState("a", Draining) // the second return is delayed
	m.advance(300)
	m.wantState("a", Up)
	// The node's data may say that its server drains.
	m.NodeUpdated(m.now, RegistryNode{Name: "c", Czxid: 99, Entry: Entry{ID: "c", State: Draining}})
	m.applyChanges()
	m.wantState("c", Draining)
	if w := m.reported["c"].Weight; w != 2 {
		t.Errorf("weight %v, discovery says 2", w)
	}
}

// A server that discovery removed stays removed when its process creates its node again, as it does after its session
// has expired. A process that started later counts.
func TestRemovedServerStaysRemovedUntilAnotherProcessStarts(t *testing.T) {
	const startedMs = 1e12 - 3_600_000
	for _, complete := range []bool{false, true} {
		m := newMergeHarness(t, nil)
		m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up))
		m.RegistrySynced(m.now)
		create := func(owner int64, started float64) {
			m.czxid++
			e := endpoint("a", Up)
			e.StartedMs = started
			m.NodeUpdated(m.now, RegistryNode{Name: "a", Entry: e, Czxid: m.czxid, CtimeMs: m.now, Owner: owner})
			m.applyChanges()
		}
		create(1, startedMs)
		m.wantState("a", Up)
		if complete {
			m.updateDiscovery(true, endpoint("b", Up))
		} else {
			m.updateDiscovery(false, endpoint("a", Removed))
		}
		m.wantState("a", "")
		m.expireNode("a")
		m.advance(400)
		create(2, startedMs) // in another session
		m.wantState("a", "")
		m.expireNode("a")
		create(3, 0) // its start is not known
		m.wantState("a", "")
		m.expireNode("a")
		m.advance(10_000)
		create(4, m.now)
		m.advance(10_000)
		m.wantState("a", Up)
	}
}

func TestMergeRegistryOnlyServers(t *testing.T) {
	m := newMergeHarness(t, nil)
	m.NodeUpdated(m.now, RegistryNode{Name: "n", Czxid: 1, Entry: endpoint("new", Up)})
	m.applyChanges()
	m.wantState("new", Up) // discovery does not list it yet
	m.expireNode("n")
	m.wantState("new", "")
	// A node that names only an address belongs to the server that discovery lists there, whichever comes
	// first.
	for i, first := range []string{"node", "discovery"} {
		id := fmt.Sprint("s-", i)
		node := RegistryNode{Name: "member_" + id, Czxid: int64(10 + i), Entry: Entry{Addr: id + ":1", State: Up, Weight: 1}}
		if first == "node" {
			m.NodeUpdated(m.now, node)
			m.applyChanges()
			m.wantState("addr:"+id+":1", Up)
			m.updateDiscovery(false, endpoint(id, Up))
		} else {
			m.updateDiscovery(false, endpoint(id, Up))
			m.NodeUpdated(m.now, node)
			m.applyChanges()
		}
		m.wantState(id, Up)
		m.wantState("addr:"+id+":1", "")
		m.expireNode("member_" + id)
		m.wantState(id, Draining)
	}
	all := newMergeHarness(t, func(c *MergeConfig) { c.AllRegistered = true })
	all.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up))
	all.createNode("a", 1, 0)
	all.wantState("b", Up) // not all nodes are known yet
	all.RegistrySynced(all.now)
	all.applyChanges()
	all.wantState("b", Draining)
}

// A clock jump of an hour, as after a suspend, ends the holds and changes nothing else.
func TestMergeClockJump(t *testing.T) {
	m := newMergeHarness(t, nil)
	m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up), endpoint("c", Up))
	for _, id := range []string{"a", "b", "c"} {
		m.createNode(id, 1, 1e11)
	}
	m.expireNode("b")
	for range 3 {
		m.expireNode("c")
		m.createNode("c", 1, 1e11)
	}
	m.wantState("c", Draining) // on hold
	m.now += 3_600_000
	m.applyChanges()
	m.wantState("a", Up)
	m.wantState("b", Draining)
	m.wantState("c", Up)
	if m.reported["a"].StartedMs != 1e11 {
		t.Errorf("start time %v, want 1e11", m.reported["a"].StartedMs)
	}
}

// Losing the registry changes nothing at first; after LostAfterMs a missing node no longer overrides
// discovery, if discovery has responded since. Once the registry is back, a missing node counts again.
func TestMergeLostRegistry(t *testing.T) {
	m := newMergeHarness(t, nil)
	m.updateDiscovery(true, endpoint("a", Up), endpoint("b", Up), endpoint("c", Up))
	m.createNode("a", 1, 0)
	m.createNode("b", 2, 0)
	m.expireNode("b")
	m.RegistryLost(m.now, errors.New("connection lost"))
	m.advance(59_000)
	m.wantState("a", Up)
	m.wantState("b", Draining)
	if s := m.Status(m.now)[1]; !s.Stale || s.Reason != "connection lost" {
		t.Errorf("status %+v of the registry, want stale with the reason", s)
	}
	m.advance(2000)
	m.wantState("b", Draining) // discovery has not responded since
	m.updateDiscovery(false, endpoint("b", Up))
	m.wantState("b", Up)
	m.RegistrySynced(m.now)
	m.applyChanges()
	m.wantState("b", Draining)
	m.updateDiscovery(true) // an empty complete list
	m.wantState("a", Up)
	if s := m.Status(m.now)[0]; s.Reason != reasonEmptyList {
		t.Errorf("status %+v of discovery after an empty list", s)
	}
}

// Under random updates, no server is up if its node expired or discovery says that it drains, no start time
// is in the future, and servers that no source lists are dropped after a time.
func TestMergeRandomWalk(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMergeHarness(t, func(c *MergeConfig) { c.MassExpiryFraction, c.MemoryMs = 1, 1e7 })
		state, node := map[string]string{}, map[string]bool{}
		seen := map[string]bool{}
		for range 3000 {
			id := fmt.Sprint("s-", rng.IntN(20))
			switch rng.IntN(6) {
			case 0:
				m.updateDiscovery(false, endpoint(id, Up))
				state[id] = Up
			case 1:
				m.updateDiscovery(false, endpoint(id, Draining))
				state[id] = Draining
			case 2:
				m.updateDiscovery(false, endpoint(id, Removed))
				delete(state, id)
			case 3:
				m.createNode(id, int64(rng.IntN(3)), float64(rng.IntN(2))*(m.now-float64(rng.IntN(9000))))
				node[id], seen[id] = true, true
			case 4:
				if node[id] {
					m.expireNode(id)
				}
				node[id] = false
			case 5:
				m.advance(float64(rng.IntN(400)))
			}
			for id, e := range m.reported {
				if e.State == Up && (state[id] != Up || seen[id] && !node[id]) {
					t.Fatalf("seed %d: %s is up; discovery %q, node %v", seed, id, state[id], node[id])
				}
				if e.StartedMs > m.now {
					t.Fatalf("seed %d: %s starts in the future", seed, id)
				}
			}
			for id, s := range state {
				if s == Up && node[id] && m.reported[id].State != Up && m.NextDeadlineMs() > m.now+1e9 {
					t.Fatalf("seed %d: %s never becomes up again", seed, id)
				}
			}
		}
		m.updateDiscovery(false)
		for id := range node {
			m.NodeExpired(m.now, id)
			m.updateDiscovery(false, endpoint(id, Removed))
		}
		m.advance(2e7)
		m.updateDiscovery(false, endpoint("x", Up))
		m.advance(2e7)
		if len(m.servers) > 1 {
			t.Errorf("seed %d: %d servers are remembered", seed, len(m.servers))
		}
	}
}
