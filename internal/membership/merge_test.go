package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// merging is a merge with what it has told.
type merging struct {
	*Merge
	t     *testing.T
	now   float64
	state map[string]Entry
	czxid int64
	tells int
}

func newMerging(t *testing.T, change func(*MergeConfig)) *merging {
	c := DefaultMerge()
	if change != nil {
		change(&c)
	}
	return &merging{Merge: NewMerge(c), t: t, now: 1e12, state: map[string]Entry{}}
}

func listed(id, state string) Entry {
	return Entry{ID: id, Addr: id + ":1", Zone: "east", State: state, Weight: 2}
}

func (m *merging) roster(full bool, entries ...Entry) {
	m.UpdateDiscovery(m.now, &List{Full: full, Entries: entries})
	m.take()
}

// up makes a node anew.
func (m *merging) up(id string, owner int64, started float64) {
	m.czxid++
	m.NodeUpdated(m.now, RegistryNode{Name: id, Entry: Entry{ID: id, State: Up, StartedMs: started}, Czxid: m.czxid, CtimeMs: m.now, Owner: owner})
	m.take()
}

func (m *merging) down(id string) {
	m.NodeExpired(m.now, id)
	m.take()
}

func (m *merging) take() {
	for _, e := range m.Changes(m.now) {
		m.tells++
		if e.State == Removed {
			delete(m.state, e.ID)
		} else {
			m.state[e.ID] = e
		}
	}
}

// pass lets time go by, with Take at each time that is asked for.
func (m *merging) pass(ms float64) {
	end := m.now + ms
	for m.NextDeadlineMs() <= end {
		m.now = max(m.NextDeadlineMs(), m.now)
		m.take()
	}
	m.now = end
	m.take()
}

func (m *merging) want(id, state string) {
	m.t.Helper()
	if got := m.state[id].State; got != state {
		m.t.Errorf("at %.0f: %s is %q, want %q", m.now-1e12, id, got, state)
	}
}

func TestMergeTheWorseWordCounts(t *testing.T) {
	m := newMerging(t, nil)
	m.roster(true, listed("a", Up), listed("b", Draining), listed("c", Up))
	m.RegistrySynced(m.now)
	m.want("a", Up) // no node was ever seen: the roster's word alone
	m.up("a", 1, 0)
	m.up("b", 2, 0)
	m.want("b", Draining) // its process runs, and it drains
	m.down("a")
	m.want("a", Draining) // at once, whatever the roster says for as long as it is late
	m.roster(false, listed("a", Up))
	m.roster(true, listed("a", Up), listed("b", Draining), listed("c", Up))
	m.want("a", Draining)
	m.up("a", 3, 0)
	m.want("a", Up)
	m.roster(false, listed("a", Removed)) // the reverse: its node stays until its session ends
	m.want("a", "")
	m.down("a")
	m.up("a", 4, 0) // a node made since counts
	if m.state["a"].Addr != "" {
		t.Errorf("listed without an address: %+v", m.state["a"])
	}
	m.roster(false, listed("a", Up))
	m.want("a", Draining) // it came and went twice
	m.pass(300)
	m.want("a", Up)
	// A node's own word that it drains.
	m.NodeUpdated(m.now, RegistryNode{Name: "c", Czxid: 99, Entry: Entry{ID: "c", State: Draining}})
	m.take()
	m.want("c", Draining)
	if w := m.state["c"].Weight; w != 2 {
		t.Errorf("weight %v, the roster says 2", w)
	}
}

func TestMergeNodesAlone(t *testing.T) {
	m := newMerging(t, nil)
	m.NodeUpdated(m.now, RegistryNode{Name: "n", Czxid: 1, Entry: listed("new", Up)})
	m.take()
	m.want("new", Up) // the roster is late
	m.down("n")
	m.want("new", "")
	// A node that names an address only is the roster's server there, whichever comes first.
	for i, first := range []string{"node", "roster"} {
		id := fmt.Sprint("s-", i)
		node := RegistryNode{Name: "member_" + id, Czxid: int64(10 + i), Entry: Entry{Addr: id + ":1", State: Up, Weight: 1}}
		if first == "node" {
			m.NodeUpdated(m.now, node)
			m.take()
			m.want("addr:"+id+":1", Up)
			m.roster(false, listed(id, Up))
		} else {
			m.roster(false, listed(id, Up))
			m.NodeUpdated(m.now, node)
			m.take()
		}
		m.want(id, Up)
		m.want("addr:"+id+":1", "")
		m.down("member_" + id)
		m.want(id, Draining)
	}
	all := newMerging(t, func(c *MergeConfig) { c.AllRegistered = true })
	all.roster(true, listed("a", Up), listed("b", Up))
	all.up("a", 1, 0)
	all.want("b", Up) // not all nodes have been told
	all.RegistrySynced(all.now)
	all.take()
	all.want("b", Draining)
}

// A node that vanishes and returns is cold only if its process started anew; unsure counts as cold.
func TestMergeColdMemory(t *testing.T) {
	const long = 1e12 - 3_600_000
	for name, test := range map[string]struct {
		owner   int64
		started float64
		cold    bool
	}{
		"same start":                          {7, long, false},
		"another start":                       {7, 1e12 + 5000, true},
		"same session, no start":              {1, 0, false},
		"another session, no start":           {7, 0, true},
		"a start in the future is now":        {7, 2e12, true},
		"same session and a start of its own": {1, 1e12 + 5000, true},
	} {
		m := newMerging(t, nil)
		m.roster(true, listed("a", Up), listed("b", Up))
		m.up("a", 1, long)
		m.pass(5000)
		m.down("a")
		m.pass(500)
		m.up("a", test.owner, test.started)
		m.want("a", Up)
		if got := m.state["a"].StartedMs > 1e12; got != test.cold {
			t.Errorf("%s: started %v: cold %v, want %v", name, m.state["a"].StartedMs-1e12, got, test.cold)
		}
		if m.state["a"].StartedMs > m.now {
			t.Errorf("%s: starts in the future", name)
		}
		// The memory outlives the roster's and the node's word.
		m.down("a")
		m.roster(false, listed("a", Removed))
		m.pass(60_000)
		m.roster(false, listed("a", Up))
		m.up("a", test.owner, test.started)
		m.pass(10_000)
		if got := m.state["a"].StartedMs > 1e12; got != test.cold {
			t.Errorf("%s, a minute later: cold %v, want %v", name, got, test.cold)
		}
	}
	// What was there before we were is as old as its node; what comes after is new, whatever the
	// registry's clock says.
	m := newMerging(t, nil)
	m.roster(true, listed("a", Up), listed("b", Up))
	m.NodeUpdated(m.now, RegistryNode{Name: "a", Czxid: 1, CtimeMs: long, Entry: Entry{ID: "a", State: Up}, Owner: 1})
	m.RegistrySynced(m.now)
	m.NodeUpdated(m.now, RegistryNode{Name: "b", Czxid: 2, CtimeMs: long, Entry: Entry{ID: "b", State: Up}, Owner: 2})
	m.take()
	if a, b := m.state["a"].StartedMs, m.state["b"].StartedMs; a != long || b != m.now {
		t.Errorf("started %v and %v", a-1e12, b-1e12)
	}
}

// A flapping node: each end is told at once, what is told is bounded, and it is up again once it stays.
func TestMergeFlap(t *testing.T) {
	m := newMerging(t, nil)
	m.roster(true, listed("a", Up), listed("b", Up))
	m.up("a", 1, 1e12-1e6)
	m.tells = 0
	for range 600 { // 10 a second for a minute
		m.down("a")
		m.want("a", Draining)
		m.pass(50)
		m.up("a", 1, 1e12-1e6)
		m.pass(50)
	}
	if m.tells > 10 {
		t.Errorf("%d things told of 600 flaps", m.tells)
	}
	m.pass(4000)
	m.want("a", Draining)
	m.pass(1100)
	m.want("a", Up)
	if m.state["a"].StartedMs != 1e12-1e6 {
		t.Errorf("started %v: it never restarted", m.state["a"].StartedMs)
	}
	m.pass(60_000)
	m.down("a")
	m.up("a", 1, 1e12-1e6)
	m.want("a", Up) // one return is free again
}

// All vanish at once: not believed but for a part, until the roster says so too or the wait is over; what
// was told away before stays so.
func TestMergeAllVanish(t *testing.T) {
	start := func() *merging {
		m := newMerging(t, nil)
		var all []Entry
		for i := range 10 {
			all = append(all, listed(fmt.Sprint("s-", i), Up))
		}
		m.roster(true, all...)
		for i := range 10 {
			m.up(fmt.Sprint("s-", i), int64(i), 0)
		}
		m.down("s-0")
		m.pass(5000)
		for i := 1; i < 10; i++ {
			m.down(fmt.Sprint("s-", i))
		}
		return m
	}
	count := func(m *merging) (up int) {
		for _, e := range m.state {
			if e.State == Up {
				up++
			}
		}
		return up
	}
	m := start()
	if n := count(m); n != 5 {
		t.Errorf("%d are up of 9 that vanished at once", n)
	}
	m.want("s-0", Draining)
	m.want("s-1", Draining)
	m.roster(false, listed("s-9", Draining), listed("s-8", Removed))
	m.want("s-9", Draining)
	m.want("s-8", "")
	m.pass(9000)
	if n := count(m); n != 3 {
		t.Errorf("%d are up before the wait is over", n)
	}
	m.pass(2000)
	if n := count(m); n != 0 {
		t.Errorf("%d are up after the wait", n)
	}
	m = start()
	for i := 1; i < 10; i++ { // the registry is back: nothing flapped
		m.up(fmt.Sprint("s-", i), int64(i), 0)
	}
	if n := count(m); n != 9 {
		t.Errorf("%d are up once all are back", n)
	}
	m.pass(20_000)
	if n := count(m); n != 9 {
		t.Errorf("%d are up after the wait, though all are back", n)
	}
}

// A clock that jumps by an hour, as after a suspend, ends what was waited for, and nothing else.
func TestMergeClockJumps(t *testing.T) {
	m := newMerging(t, nil)
	m.roster(true, listed("a", Up), listed("b", Up), listed("c", Up))
	for _, id := range []string{"a", "b", "c"} {
		m.up(id, 1, 1e11)
	}
	m.down("b")
	for range 3 {
		m.down("c")
		m.up("c", 1, 1e11)
	}
	m.want("c", Draining) // it has to stay
	m.now += 3_600_000
	m.take()
	m.want("a", Up)
	m.want("b", Draining)
	m.want("c", Up)
	if m.state["a"].StartedMs != 1e11 {
		t.Errorf("started %v", m.state["a"].StartedMs)
	}
}

// A registry whose nodes all come and go, again and again, does not keep the fleet away.
func TestMergeAllFlap(t *testing.T) {
	m := newMerging(t, nil)
	var all []Entry
	for i := range 12 {
		all = append(all, listed(fmt.Sprint("s-", i), Up))
	}
	m.roster(true, all...)
	for i := range 12 {
		m.up(fmt.Sprint("s-", i), 1, 1e11)
	}
	rng, least := rand.New(rand.NewPCG(1, 1)), 12
	for range 20 {
		for _, i := range rng.Perm(12) {
			m.down(fmt.Sprint("s-", i))
		}
		for i := range 12 {
			m.up(fmt.Sprint("s-", i), 1, 1e11)
		}
		up := 0
		for _, e := range m.state {
			if e.State == Up {
				up++
			}
		}
		least = min(least, up)
		m.pass(1200)
	}
	if least < 6 {
		t.Errorf("%d of 12 are up", least)
	}
}

// A registry that is lost changes nothing; after the lapse an absent node no longer keeps away what a
// roster heard since says is up. Once it is back its word counts again.
func TestMergeLost(t *testing.T) {
	m := newMerging(t, nil)
	m.roster(true, listed("a", Up), listed("b", Up), listed("c", Up))
	m.up("a", 1, 0)
	m.up("b", 2, 0)
	m.down("b")
	m.RegistryLost(m.now, errors.New("gone"))
	m.pass(59_000)
	m.want("a", Up)
	m.want("b", Draining)
	if s := m.Status(m.now)[1]; !s.Stale || s.Reason != "gone" {
		t.Errorf("status %+v", s)
	}
	m.pass(2000)
	m.want("b", Draining) // the roster was not heard since
	m.roster(false, listed("b", Up))
	m.want("b", Up)
	m.RegistrySynced(m.now)
	m.take()
	m.want("b", Draining)
	m.roster(true) // of nothing
	m.want("a", Up)
	if s := m.Status(m.now)[0]; !strings.Contains(s.Reason, "not believed") {
		t.Errorf("status %+v", s)
	}
}

// Whatever comes in whatever order: nothing is up whose node is known to be gone or whose roster entry
// drains, but for what is not believed; nothing starts in the future; memory is bounded.
func TestMergeWalk(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newMerging(t, func(c *MergeConfig) { c.MassExpiryFraction, c.MemoryMs = 1, 1e7 })
		state, node := map[string]string{}, map[string]bool{}
		seen := map[string]bool{}
		for range 3000 {
			id := fmt.Sprint("s-", rng.IntN(20))
			switch rng.IntN(6) {
			case 0:
				m.roster(false, listed(id, Up))
				state[id] = Up
			case 1:
				m.roster(false, listed(id, Draining))
				state[id] = Draining
			case 2:
				m.roster(false, listed(id, Removed))
				delete(state, id)
			case 3:
				m.up(id, int64(rng.IntN(3)), float64(rng.IntN(2))*(m.now-float64(rng.IntN(9000))))
				node[id], seen[id] = true, true
			case 4:
				if node[id] {
					m.down(id)
				}
				node[id] = false
			case 5:
				m.pass(float64(rng.IntN(400)))
			}
			for id, e := range m.state {
				if e.State == Up && (state[id] != Up || seen[id] && !node[id]) {
					t.Fatalf("seed %d: %s is up; roster %q, node %v", seed, id, state[id], node[id])
				}
				if e.StartedMs > m.now {
					t.Fatalf("seed %d: %s starts in the future", seed, id)
				}
			}
			for id, s := range state {
				if s == Up && node[id] && m.state[id].State != Up && m.NextDeadlineMs() > m.now+1e9 {
					t.Fatalf("seed %d: %s is kept away for ever", seed, id)
				}
			}
		}
		m.roster(false)
		for id := range node {
			m.NodeExpired(m.now, id)
			m.roster(false, listed(id, Removed))
		}
		m.pass(2e7)
		m.roster(false, listed("x", Up))
		m.pass(2e7)
		if len(m.servers) > 1 {
			t.Errorf("seed %d: %d servers are remembered", seed, len(m.servers))
		}
	}
}
