// Package zk is a stand-in for a registry that speaks ZooKeeper's client protocol: an ensemble of scripted
// servers in one process, on loopback, written from the public protocol and not from the product's client.
// It keeps one committed history; each server has applied it up to some point, and answers from that. Faults
// are scripted: lags, slow or corrupt answers, half-open servers, lost leaders, sessions that end at will.
//
// Not built: quorum elections (a leader is lost and found by script), SASL, reconfiguration, containers, TTLs.
package zk

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// Options are an ensemble's. The zero value has one server.
type Options struct {
	Servers int // 1 to 5
	Seed    uint64
	// MinSessionTimeout and MaxSessionTimeout bound a session's time-out; 0: 100 ms and 10 s.
	MinSessionTimeout, MaxSessionTimeout time.Duration
	// Before35 servers know no OpAddWatch, OpSetWatches2 and OpCreate2, as before 3.5.
	Before35 bool
}

// Ensemble is a registry.
type Ensemble struct {
	Servers []*Server

	opts     Options
	mu       sync.Mutex
	history  *tree
	log      []*txn // what some server has still to apply
	sessions map[int64]*session
	nextID   int64
	leader   bool
	rng      *rand.Rand
	changes  func(Change)
	stop     chan struct{}
	wg       sync.WaitGroup
}

// session is a client's.
type session struct {
	id       int64
	password []byte
	timeout  time.Duration
	heard    time.Time
	conn     *conn // the last it came by
	auth     []string
}

// New starts an ensemble.
func New(o Options) (*Ensemble, error) {
	o.Servers = min(max(o.Servers, 1), 5)
	if o.MinSessionTimeout <= 0 {
		o.MinSessionTimeout = 100 * time.Millisecond
	}
	if o.MaxSessionTimeout <= 0 {
		o.MaxSessionTimeout = 10 * time.Second
	}
	e := &Ensemble{opts: o, history: newTree(), sessions: map[int64]*session{}, leader: true, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		stop: make(chan struct{}), nextID: 0x100000000}
	e.history.zxid = 1 << 32 // the first epoch
	for i := range o.Servers {
		s, err := newServer(e, i)
		if err != nil {
			e.Close()
			return nil, err
		}
		e.Servers = append(e.Servers, s)
	}
	e.wg.Go(e.tick)
	return e, nil
}

// Close ends all of it.
func (e *Ensemble) Close() {
	close(e.stop)
	e.wg.Wait()
	for _, s := range e.Servers {
		s.close()
	}
}

// Addrs are the servers' addresses.
func (e *Ensemble) Addrs() []string {
	var out []string
	for _, s := range e.Servers {
		out = append(out, s.Addr)
	}
	return out
}

// tick ends sessions that were silent for too long, and lets lagging servers apply.
func (e *Ensemble) tick() {
	every := time.NewTicker(5 * time.Millisecond)
	defer every.Stop()
	for {
		select {
		case <-e.stop:
			return
		case now := <-every.C:
			e.mu.Lock()
			if e.leader {
				for _, s := range e.sessions {
					if now.Sub(s.heard) > s.timeout {
						e.end(s, false)
					}
				}
			}
			for _, s := range e.Servers {
				s.catchUp(now, 0)
			}
			e.trim()
			e.mu.Unlock()
		}
	}
}

// trim forgets what all have applied. The lock is held.
func (e *Ensemble) trim() {
	least := e.history.zxid
	for _, s := range e.Servers {
		least = min(least, s.tree.zxid)
	}
	i := 0
	for i < len(e.log) && e.log[i].zxid <= least {
		i++
	}
	e.log = slices.Delete(e.log, 0, i)
}

// commit makes a transaction of changes and gives it to the servers. The lock is held.
func (e *Ensemble) commit(changes []change) int64 {
	now := time.Now()
	x := &txn{zxid: e.history.zxid + 1, ms: now.UnixMilli(), changes: changes}
	e.history.apply(x)
	e.log = append(e.log, x)
	if e.changes != nil {
		for i := range changes {
			if c := &changes[i]; c.kind != aclSet {
				ev := map[kind]zkwire.Event{created: zkwire.NodeCreated, deleted: zkwire.NodeDeleted, changed: zkwire.NodeDataChanged}[c.kind]
				e.changes(Change{ev, c.path, x.zxid, now, c.data})
			}
		}
	}
	for _, s := range e.Servers {
		s.catchUp(now, 0)
	}
	return x.zxid
}

// end ends a session: its ephemeral nodes go in one transaction. keep leaves its connection up. The lock
// is held.
func (e *Ensemble) end(s *session, keep bool) {
	delete(e.sessions, s.id)
	var changes []change
	for path, n := range e.history.nodes {
		if n.stat.EphemeralOwner == s.id {
			changes = append(changes, change{kind: deleted, path: path})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return len(b.path) - len(a.path) })
	if len(changes) > 0 {
		e.commit(changes)
	}
	if s.conn != nil && !keep {
		s.conn.close()
	}
}

// Change is what was committed of one node.
type Change struct {
	Event zkwire.Event
	Path  string
	Zxid  int64
	At    time.Time
	Data  []byte // as it is since; not to be changed
}

// OnChange is called, with the ensemble's lock held, for each change at the moment at which it is
// committed: before any server shows it.
func (e *Ensemble) OnChange(f func(Change)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changes = f
}

// Sessions are the ids of those that live.
func (e *Ensemble) Sessions() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int64
	for id := range e.sessions {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Expire ends a session at will; keep leaves its connection up, on which each request is then answered
// that the session has expired.
func (e *Ensemble) Expire(id int64, keep bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sessions[id]; s != nil {
		e.end(s, keep)
	}
}

// LoseLeader makes all servers hang up on their clients and take none, but for read-only ones; sessions do
// not age. FindLeader begins a new epoch, in which each session has its whole time again.
func (e *Ensemble) LoseLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = false
	for _, s := range e.Servers {
		s.cut()
	}
}

// ElectLeader ends LoseLeader.
func (e *Ensemble) ElectLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = true
	e.history.zxid = (e.history.zxid>>32 + 1) << 32
	now := time.Now()
	for _, s := range e.Servers {
		s.cut()
		s.catchUp(now, e.history.zxid)
		s.tree.zxid = e.history.zxid
	}
	for _, s := range e.sessions {
		s.heard = now
	}
}

// Reset makes a registry that begins anew, from nothing: no nodes, no sessions, the first epoch.
func (e *Ensemble) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history, e.log, e.sessions = newTree(), nil, map[int64]*session{}
	e.history.zxid = 1 << 32
	for _, s := range e.Servers {
		s.cut()
		s.tree = e.history.copyOf()
	}
}

// ---- the tree, by script ----

// Put makes a node, or changes its data; its parents are made. owner 0 is a persistent one.
func (e *Ensemble) Put(path string, data []byte, owner int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.history.nodes[path] != nil {
		return e.commit([]change{{kind: changed, path: path, data: data}})
	}
	var changes []change
	for p := parent(path); e.history.nodes[p] == nil; p = parent(p) {
		changes = append(changes, change{kind: created, path: p, acl: zkwire.OpenACL})
	}
	slices.Reverse(changes)
	return e.commit(append(changes, change{kind: created, path: path, data: data, acl: zkwire.OpenACL, own: owner}))
}

// Protect makes a node that only who knows "user:password" may read.
func (e *Ensemble) Protect(path, auth string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commit([]change{{kind: aclSet, path: path, acl: []zkwire.ACL{{Perms: zkwire.PermAll, Scheme: "digest", ID: Digest(auth)}}}})
}

// Remove deletes a node and all below it, in one transaction.
func (e *Ensemble) Remove(path string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var changes []change
	for p := range e.history.nodes {
		if p == path || len(p) > len(path) && p[:len(path)+1] == path+"/" {
			changes = append(changes, change{kind: deleted, path: p})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return len(b.path) - len(a.path) })
	if len(changes) > 0 {
		e.commit(changes)
	}
}

// Children are the names below a node, as committed, with their data; nil where there is no node.
func (e *Ensemble) Children(path string) map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.history.nodes[path]
	if n == nil {
		return nil
	}
	out := map[string]string{}
	for name := range n.children {
		out[name] = string(e.history.nodes[path+"/"+name].data)
	}
	return out
}

// Zxid is the last change committed.
func (e *Ensemble) Zxid() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.zxid
}

// open begins or takes up a session for a connection. The lock is held. It returns nil for one that has
// expired.
func (e *Ensemble) open(c *zkwire.Connect, nc *conn) *session {
	if c.Session != 0 {
		s := e.sessions[c.Session]
		if s == nil || !slices.Equal(s.password, c.Password) {
			return nil
		}
		if s.conn != nil && s.conn != nc {
			s.conn.close() // it has moved
		}
		s.conn, s.heard = nc, time.Now()
		return s
	}
	e.nextID++
	s := &session{id: e.nextID, password: binary.BigEndian.AppendUint64(make([]byte, 8), e.rng.Uint64()), conn: nc, heard: time.Now(),
		timeout: min(max(time.Duration(c.TimeoutMs)*time.Millisecond, e.opts.MinSessionTimeout), e.opts.MaxSessionTimeout)}
	e.sessions[s.id] = s
	return s
}

func sequence(path string, n int32) string { return fmt.Sprintf("%s%010d", path, n) }
