package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// RegistryNode is a node of a registry whose presence says that a process runs.
type RegistryNode struct {
	Name  string // unique in the registry, at a time
	Entry Entry  // what its data says; ID "" where it does not say: the roster's entry of that address is it
	Czxid int64  // the change that made it: another one is another node
	// CtimeMs is when it was made, by the registry's clock, Unix ms.
	CtimeMs float64
	Owner   int64 // the session that holds it
}

// MergeConfig are the bounds of a Merge. All times are in ms.
type MergeConfig struct {
	// AllRegistered says that each server has a node, so that one without does not run. Else only a server that
	// was seen to have one is judged by it.
	AllRegistered bool
	// StaleAfterMs is how long a source may be silent before it is said to be stale; what it told stays.
	// LostAfterMs is how long the nodes' source may be lost before their absence no longer keeps away a
	// server that the roster, heard since, says is up.
	StaleAfterMs, LostAfterMs float64
	// A node's end is not believed where more than MassExpiryFraction of the servers with a node lost theirs
	// within VanishWindowMs, and VanishLeast at least: not until the roster says so too, or VanishWaitMs
	// are over. What was believed before stays believed.
	MassExpiryFraction                   float64
	MassExpiryMin                        int
	MassExpiryWindowMs, MassExpiryHoldMs float64
	// A server whose node returns again and again is up only once the node has stayed for FlapHoldMs,
	// twice that the next time, MaxFlapHoldMs at the most; one return in FlapWindowMs is free.
	FlapHoldMs, MaxFlapHoldMs, FlapWindowMs float64
	// MemoryMs is how long a server that nobody lists is remembered, for how cold it is.
	MemoryMs float64
}

// DefaultMerge is what operators get who set nothing.
func DefaultMerge() MergeConfig {
	return MergeConfig{StaleAfterMs: 15_000, LostAfterMs: 60_000, MassExpiryFraction: 0.5, MassExpiryMin: 4, MassExpiryWindowMs: 2000,
		MassExpiryHoldMs: 10_000, FlapHoldMs: 250, MaxFlapHoldMs: 5000, FlapWindowMs: 30_000, MemoryMs: 900_000}
}

// Merge decides from two sources what is told of each server: the roster, which says what a server is and
// whether it drains, and the nodes of a registry, which say whether its process runs. The worse word counts
// at once. It does no I/O and reads no clock: times are Unix ms that only advance. It belongs to one
// goroutine.
type Merge struct {
	cfg     MergeConfig
	servers map[string]*server
	byAddr  map[string]*server // the roster's entries
	byNode  map[string]*server
	gone    []vanished // of late, oldest first
	dirty   map[string]*server
	timed   map[string]*server // that have something to wait for
	synced  bool
	due     float64 // of what passes for all rows; 0: none

	rosterMs, nodesMs float64 // when each was last heard; -1: never
	rosterLost        string
	nodesLost         string
	lostMs            float64 // since when the nodes' source is lost; 0: it is well
	lapsed            bool
	emptyMs           float64
	problems          []string
}

type vanished struct {
	ms float64
	r  *server
}

// server is what is known of one server.
type server struct {
	id     string
	roster *Entry // nil: not listed
	struck bool   // the roster listed it once and took it out; a node made since counts again
	nodes  map[string]*RegistryNode
	seen   bool // had a node once
	// absentMs is since when it has had no node, heldMs until when that is not believed.
	absentMs, heldMs float64
	flaps            int
	returnMs         float64
	settleMs         float64 // until when its node has to stay to count
	// What is remembered of its process.
	started float64
	owner   int64
	czxid   int64

	told   Entry
	listed bool    // told as being there
	idleMs float64 // since when nobody lists it
}

// NewMerge returns a merge that has heard nothing.
func NewMerge(cfg MergeConfig) *Merge {
	return &Merge{cfg: cfg, servers: map[string]*server{}, byAddr: map[string]*server{}, byNode: map[string]*server{},
		dirty: map[string]*server{}, timed: map[string]*server{}, rosterMs: -1, nodesMs: -1}
}

func (m *Merge) row(id string) *server {
	r := m.servers[id]
	if r == nil {
		r = &server{id: id, nodes: map[string]*RegistryNode{}}
		m.servers[id] = r
	}
	return r
}

func (m *Merge) touch(r *server) { m.dirty[r.id] = r }

// ---- the roster ----

// UpdateDiscovery takes what the roster has told. As in Set, a whole list of nothing is not believed.
func (m *Merge) UpdateDiscovery(now float64, l *List) {
	m.rosterMs, m.rosterLost = now, ""
	m.problems = nil
	if l.Full && len(l.Entries) == 0 {
		if m.emptyMs == 0 {
			m.emptyMs = now
		}
		return
	}
	m.emptyMs = 0
	named := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		e := l.Entries[i]
		if err := e.Validate(); err != nil {
			m.problem(err)
			if r := m.servers[e.ID]; r != nil && r.roster != nil {
				named[e.ID] = true
				if e.State != Up {
					r.roster.State = Draining
					m.touch(r)
				}
			}
			continue
		}
		if e.State == Removed {
			m.strike(now, m.servers[e.ID])
			continue
		}
		if m.servers[e.ID] == nil && len(m.servers) >= MaxEntries {
			m.problem(fmt.Errorf("%s: left out, more than %d entries", e.ID, MaxEntries))
			continue
		}
		named[e.ID] = true
		r := m.row(e.ID)
		if r.roster != nil && m.byAddr[r.roster.Addr] == r {
			delete(m.byAddr, r.roster.Addr)
		}
		r.roster, r.struck = &e, false
		m.byAddr[e.Addr] = r
		m.adopt(r, e.Addr)
		m.touch(r)
	}
	if l.Full {
		for id, r := range m.servers {
			if !named[id] {
				m.strike(now, r)
			}
		}
	}
}

// strike takes the roster's word of a server back.
func (m *Merge) strike(now float64, r *server) {
	if r == nil || r.roster == nil {
		return
	}
	if m.byAddr[r.roster.Addr] == r {
		delete(m.byAddr, r.roster.Addr)
	}
	r.roster, r.struck = nil, true
	m.touch(r)
}

// adopt moves nodes that only named an address to the server that the roster lists there.
func (m *Merge) adopt(r *server, addr string) {
	other := m.servers["addr:"+addr]
	if other == nil || other == r {
		return
	}
	for name, n := range other.nodes {
		r.nodes[name], m.byNode[name] = n, r
	}
	r.seen, r.started, r.owner, r.czxid = true, max(r.started, other.started), other.owner, other.czxid
	clear(other.nodes)
	m.touch(other)
}

// ---- the nodes ----

// NodeUpdated takes a node that is there, as it is now.
func (m *Merge) NodeUpdated(now float64, n RegistryNode) {
	m.heard(now)
	r := m.rowOf(&n)
	if r == nil {
		m.problem(fmt.Errorf("node %s: left out, more than %d entries", n.Name, MaxEntries))
		return
	}
	if old := m.byNode[n.Name]; old != nil && old != r {
		m.drop(now, old, n.Name) // its data names another server now
	}
	m.byNode[n.Name] = r
	had := len(r.nodes) > 0
	anew := r.czxid != n.Czxid
	r.nodes[n.Name] = &n
	m.touch(r)
	if anew {
		r.struck = false
		m.date(now, r, &n)
		r.czxid, r.owner = n.Czxid, n.Owner
	} else if n.Entry.StartedMs > 0 {
		r.started = min(n.Entry.StartedMs, now)
	}
	if had {
		return
	}
	if back := r.seen && r.absentMs > 0 && r.heldMs == 0; back {
		if now-r.returnMs > m.cfg.FlapWindowMs {
			r.flaps = 0
		}
		if r.flaps++; r.flaps > 1 {
			r.settleMs = now + min(m.cfg.FlapHoldMs*math.Pow(2, float64(min(r.flaps, 32)-2)), m.cfg.MaxFlapHoldMs)
			m.timed[r.id] = r
		}
		r.returnMs = now
		m.calm(now)
	}
	r.seen, r.absentMs, r.heldMs = true, 0, 0
}

// calm lets all servers count again whose nodes have to stay, where there are more of those than may vanish at
// once: then it is the registry that comes and goes, and to wait for them all would be an outage of our own.
func (m *Merge) calm(now float64) {
	settling := 0
	for _, r := range m.timed {
		if r.settleMs > now {
			settling++
		}
	}
	if settling <= m.cfg.MassExpiryMin {
		return
	}
	there := 0
	for _, r := range m.servers {
		if len(r.nodes) > 0 {
			there++
		}
	}
	if float64(settling) <= m.cfg.MassExpiryFraction*float64(there) {
		return
	}
	for _, r := range m.timed {
		if r.settleMs > 0 {
			r.settleMs, r.flaps = 0, 0
			m.touch(r)
		}
	}
}

// rowOf finds the server that a node is of.
func (m *Merge) rowOf(n *RegistryNode) *server {
	id := n.Entry.ID
	if id == "" && n.Entry.Addr != "" {
		if r := m.byAddr[n.Entry.Addr]; r != nil {
			return r
		}
		id = "addr:" + n.Entry.Addr
	}
	if id == "" {
		id = n.Name
	}
	if m.servers[id] == nil && len(m.servers) >= MaxEntries {
		return nil
	}
	return m.row(id)
}

// date settles when the process of a new node started. What is not sure counts as now: cold.
func (m *Merge) date(now float64, r *server, n *RegistryNode) {
	switch {
	case n.Entry.StartedMs > 0:
		r.started = min(n.Entry.StartedMs, now)
	case r.czxid != 0 && n.Owner != 0 && n.Owner == r.owner:
		// A session is a process's: it made its node again.
	case r.czxid == 0 && !m.synced:
		// It was there before we were: as old as its node, by the registry's clock.
		r.started = min(n.CtimeMs, now)
	default:
		r.started = now
	}
}

// NodeExpired takes the end of a node.
func (m *Merge) NodeExpired(now float64, name string) {
	m.heard(now)
	if r := m.byNode[name]; r != nil {
		delete(m.byNode, name)
		m.drop(now, r, name)
	}
}

func (m *Merge) drop(now float64, r *server, name string) {
	delete(r.nodes, name)
	m.touch(r)
	if len(r.nodes) > 0 {
		return
	}
	r.absentMs = now
	i := 0
	for i < len(m.gone) && now-m.gone[i].ms > m.cfg.MassExpiryWindowMs {
		i++
	}
	m.gone = append(slices.Delete(m.gone, 0, i), vanished{now, r})
	away := map[*server]bool{}
	for _, v := range m.gone {
		if v.r.absentMs > 0 {
			away[v.r] = true
		}
	}
	if len(away) > m.cfg.MassExpiryMin { // counting all is seldom
		there := 0
		for _, x := range m.servers {
			if len(x.nodes) > 0 || away[x] {
				there++
			}
		}
		if float64(len(away)) > m.cfg.MassExpiryFraction*float64(there) {
			r.heldMs = now + m.cfg.MassExpiryHoldMs
			m.timed[r.id] = r
		}
	}
}

// RegistrySynced tells that all nodes there are have been told.
func (m *Merge) RegistrySynced(now float64) {
	m.heard(now)
	if !m.synced {
		m.synced = true
		m.all()
	}
}

// RegistryAlive notes that the registry showed it lives.
func (m *Merge) RegistryAlive(now float64) { m.heard(now) }

func (m *Merge) heard(now float64) {
	m.nodesMs, m.nodesLost, m.lostMs = now, "", 0
	if m.lapsed {
		m.lapsed = false
		m.all()
	}
}

// RegistryLost notes that the registry can't be reached. Nothing that it told changes but, in time, its weight.
func (m *Merge) RegistryLost(now float64, err error) {
	m.nodesLost = err.Error()
	if m.lostMs == 0 {
		m.lostMs = now
	}
}

// DiscoveryLost notes that a call to the roster failed, RosterAlive that it showed it lives.
func (m *Merge) DiscoveryLost(err error) { m.rosterLost = err.Error() }

// DiscoveryAlive notes that the roster showed it lives.
func (m *Merge) DiscoveryAlive(now float64) { m.rosterMs, m.rosterLost = now, "" }

func (m *Merge) all() {
	for _, r := range m.servers {
		m.touch(r)
	}
}

func (m *Merge) problem(err error) {
	if len(m.problems) < maxProblems {
		m.problems = append(m.problems, err.Error())
	}
}

// ---- what is told ----

// judge is what is to be told of a server now; false: it is not to be listed.
func (m *Merge) judge(now float64, r *server) (Entry, bool) {
	var e Entry
	var first *RegistryNode
	for _, n := range r.nodes {
		if first == nil || n.Czxid > first.Czxid {
			first = n // the newest, where one process has left another's node behind
		}
	}
	switch {
	case r.roster != nil:
		e = *r.roster
	case first != nil && first.Entry.Addr != "" && !r.struck:
		e = first.Entry
	case r.listed && r.absentMs > 0 && r.heldMs > now && !r.struck:
		return r.told, true // not believed yet: as it was
	default:
		return e, false
	}
	e.ID = r.id
	e.StartedMs = max(e.StartedMs, r.started)
	if first != nil && first.Entry.State != Up && first.Entry.State != "" && e.State == Up {
		e.State = Draining
	}
	judged := r.seen || m.cfg.AllRegistered && m.synced
	if e.State != Up || !judged {
		return e, true
	}
	switch {
	case len(r.nodes) > 0 && r.settleMs > now:
		e.State = Draining // it came and went of late
	case len(r.nodes) > 0, r.heldMs > now:
	case m.lapsed && m.rosterMs > m.lostMs:
		// Nobody can say any more whether its process runs, and the roster says that it is up.
	default:
		e.State = Draining
	}
	return e, true
}

// pass notes what time alone has changed.
func (m *Merge) pass(now float64) {
	for id, r := range m.timed {
		if r.settleMs > 0 && r.settleMs <= now {
			r.settleMs = 0
			m.touch(r)
		}
		if r.heldMs > 0 && r.heldMs <= now {
			r.heldMs = 0
			m.touch(r)
		}
		if r.settleMs == 0 && r.heldMs == 0 {
			delete(m.timed, id)
		}
	}
	if m.lostMs > 0 && !m.lapsed && now-m.lostMs >= m.cfg.LostAfterMs {
		m.lapsed = true
		m.all()
	}
}

// Changes returns what is to be told anew since the last call: entries with their state, Removed for those
// that are no longer listed.
func (m *Merge) Changes(now float64) []Entry {
	m.pass(now)
	var out []Entry
	for id, r := range m.dirty {
		delete(m.dirty, id)
		e, listed := m.judge(now, r)
		switch {
		case listed && (!r.listed || e != r.told):
			r.told = e
			out = append(out, e)
		case !listed && r.listed:
			out = append(out, Entry{ID: id, State: Removed})
		}
		r.listed = listed
		if r.idleMs = 0; r.roster == nil && len(r.nodes) == 0 && !listed {
			r.idleMs = now
		}
	}
	m.age(now)
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// age forgets servers that nobody has listed for long; it looks seldom.
func (m *Merge) age(now float64) {
	if m.due > now {
		return
	}
	m.due = now + m.cfg.MemoryMs/8
	for id, r := range m.servers {
		if r.idleMs > 0 && now-r.idleMs > m.cfg.MemoryMs {
			delete(m.servers, id)
			delete(m.timed, id)
		}
	}
}

// NextDeadlineMs is when Take has to be called again though nothing is told; +Inf: there is no such time.
func (m *Merge) NextDeadlineMs() float64 {
	next := math.Inf(1)
	for _, r := range m.timed {
		for _, at := range []float64{r.settleMs, r.heldMs} {
			if at > 0 {
				next = min(next, at)
			}
		}
	}
	if m.lostMs > 0 && !m.lapsed {
		next = min(next, m.lostMs+m.cfg.LostAfterMs)
	}
	return next
}

// Entries returns all servers that are listed, in the order of their ids, as Take told them.
func (m *Merge) Entries() []Entry {
	out := make([]Entry, 0, len(m.servers))
	for _, r := range m.servers {
		if r.listed {
			out = append(out, r.told)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Status tells how each source does.
func (m *Merge) Status(now float64) []Status {
	roster := Status{Source: "roster", AgeMs: -1, Reason: m.rosterLost, Problems: m.problems}
	nodes := Status{Source: "nodes", AgeMs: -1, Reason: m.nodesLost}
	for _, r := range m.servers {
		if r.roster != nil {
			roster.Entries++
		}
		nodes.Entries += len(r.nodes)
	}
	for _, x := range []struct {
		s     *Status
		heard float64
	}{{&roster, m.rosterMs}, {&nodes, m.nodesMs}} {
		if x.heard >= 0 {
			x.s.AgeMs = now - x.heard
		}
		if x.s.Stale = x.heard < 0 || x.s.AgeMs >= m.cfg.StaleAfterMs; x.s.Stale && x.s.Reason == "" {
			x.s.Reason = "silent"
		}
	}
	if m.emptyMs > 0 {
		roster.Reason, roster.Stale = "it lists nothing, which is not believed", now-m.emptyMs >= m.cfg.StaleAfterMs
	}
	return []Status{roster, nodes}
}
