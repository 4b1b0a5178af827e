// Package zk is a stand-in for a registry that speaks ZooKeeper's client protocol: an ensemble of scripted
// servers in one process, on loopback, written from the public protocol and not from the product's client.
// The ensemble has one committed history; each server has applied it up to some zxid and answers from that.
// Faults are injected by calls: lag, slow or corrupt answers, half-open connections, loss of the leader,
// expiry of sessions.
//
// Not implemented: quorum elections (calls remove and elect the leader), SASL, reconfiguration, containers,
// TTLs.
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

// Options configure an ensemble. The zero value has one server.
type Options struct {
	Servers int // 1 to 5
	Seed    uint64
	// MinSessionTimeout and MaxSessionTimeout bound the session timeout; 0: 100 ms and 10 s.
	MinSessionTimeout, MaxSessionTimeout time.Duration
	// Before35 makes the servers support no OpAddWatch, OpSetWatches2 and OpCreate2, as before ZooKeeper 3.5.
	Before35 bool
}

// Ensemble is a registry of one or more servers.
type Ensemble struct {
	Servers []*Server

	opts      Options
	mu        sync.Mutex
	history   *tree
	log       []*txn // transactions that some server has not applied yet
	sessions  map[int64]*session
	nextID    int64
	hasLeader bool
	rng       *rand.Rand
	onChange  func(Change)
	stop      chan struct{}
	wg        sync.WaitGroup
}

// session is a client session.
type session struct {
	id       int64
	password []byte
	timeout  time.Duration
	lastSeen time.Time
	conn     *conn // that the client used last
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
	e := &Ensemble{opts: o, history: newTree(), sessions: map[int64]*session{}, hasLeader: true, rng: rand.New(rand.NewPCG(o.Seed, 1)),
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

// Close stops all servers.
func (e *Ensemble) Close() {
	close(e.stop)
	e.wg.Wait()
	for _, s := range e.Servers {
		s.close()
	}
}

// Addrs returns the servers' addresses.
func (e *Ensemble) Addrs() []string {
	var out []string
	for _, s := range e.Servers {
		out = append(out, s.Addr)
	}
	return out
}

// tick expires sessions whose timeout has passed, and applies transactions at lagging servers.
func (e *Ensemble) tick() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			if e.hasLeader {
				for _, s := range e.sessions {
					if now.Sub(s.lastSeen) > s.timeout {
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

// trim drops the transactions that all servers have applied. The caller holds e.mu.
func (e *Ensemble) trim() {
	applied := e.history.zxid
	for _, s := range e.Servers {
		applied = min(applied, s.tree.zxid)
	}
	i := 0
	for i < len(e.log) && e.log[i].zxid <= applied {
		i++
	}
	e.log = slices.Delete(e.log, 0, i)
}

// commit commits changes as one transaction and returns its zxid. The caller holds e.mu.
func (e *Ensemble) commit(changes []change) int64 {
	now := time.Now()
	x := &txn{zxid: e.history.zxid + 1, ms: now.UnixMilli(), changes: changes}
	e.history.apply(x)
	e.log = append(e.log, x)
	if e.onChange != nil {
		for i := range changes {
			if c := &changes[i]; c.kind != aclSet {
				ev := map[changeKind]zkwire.Event{created: zkwire.NodeCreated, deleted: zkwire.NodeDeleted, changed: zkwire.NodeDataChanged}[c.kind]
				e.onChange(Change{ev, c.path, x.zxid, now, c.data})
			}
		}
	}
	for _, s := range e.Servers {
		s.catchUp(now, 0)
	}
	return x.zxid
}

// end ends a session and deletes its ephemeral nodes in one transaction. keepConn leaves its connection open.
// The caller holds e.mu.
func (e *Ensemble) end(s *session, keepConn bool) {
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
	if s.conn != nil && !keepConn {
		s.conn.close()
	}
}

// Change is a committed change of one node.
type Change struct {
	Event zkwire.Event
	Path  string
	Zxid  int64
	At    time.Time
	Data  []byte // after the change; must not be modified
}

// OnChange sets a function that is called for each change when it is committed, before any server shows it.
// The ensemble's lock is held during the call.
func (e *Ensemble) OnChange(f func(Change)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onChange = f
}

// Sessions returns the IDs of the open sessions, sorted.
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

// Expire expires a session. keepConn leaves its connection open, on which each request is then answered with
// SessionExpired.
func (e *Ensemble) Expire(id int64, keepConn bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sessions[id]; s != nil {
		e.end(s, keepConn)
	}
}

// LoseLeader closes all connections and makes the servers accept only read-only clients; sessions do not
// expire. ElectLeader begins a new epoch, in which the timeout of each session starts again.
func (e *Ensemble) LoseLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hasLeader = false
	for _, s := range e.Servers {
		s.closeConns()
	}
}

// ElectLeader ends the effect of LoseLeader.
func (e *Ensemble) ElectLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hasLeader = true
	e.history.zxid = (e.history.zxid>>32 + 1) << 32
	now := time.Now()
	for _, s := range e.Servers {
		s.closeConns()
		s.catchUp(now, e.history.zxid)
		s.tree.zxid = e.history.zxid
	}
	for _, s := range e.sessions {
		s.lastSeen = now
	}
}

// Reset loses all data, like a registry that is installed again: no nodes, no sessions, the first epoch.
func (e *Ensemble) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history, e.log, e.sessions = newTree(), nil, map[int64]*session{}
	e.history.zxid = 1 << 32
	for _, s := range e.Servers {
		s.closeConns()
		s.tree = e.history.copyOf()
	}
}

// ---- changes of the tree without a client ----

// Put creates a node and its parents, or changes its data. owner is the session of an ephemeral node; 0:
// persistent.
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
	return e.commit(append(changes, change{kind: created, path: path, data: data, acl: zkwire.OpenACL, owner: owner}))
}

// Protect restricts a node to clients that authenticate with "user:password".
func (e *Ensemble) Protect(path, auth string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commit([]change{{kind: aclSet, path: path, acl: []zkwire.ACL{{Perms: zkwire.PermAll, Scheme: "digest", ID: Digest(auth)}}}})
}

// Remove deletes a node and all its descendants in one transaction.
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

// Children returns the names and data of a node's committed children; nil if the node does not exist.
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

// Zxid returns the zxid of the last committed transaction.
func (e *Ensemble) Zxid() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.zxid
}

// open opens or resumes a session for a connection. It returns nil if the session has expired. The caller
// holds e.mu.
func (e *Ensemble) open(c *zkwire.Connect, nc *conn) *session {
	if c.Session != 0 {
		s := e.sessions[c.Session]
		if s == nil || !slices.Equal(s.password, c.Password) {
			return nil
		}
		if s.conn != nil && s.conn != nc {
			s.conn.close() // the session has moved to the new connection
		}
		s.conn, s.lastSeen = nc, time.Now()
		return s
	}
	e.nextID++
	s := &session{id: e.nextID, password: binary.BigEndian.AppendUint64(make([]byte, 8), e.rng.Uint64()), conn: nc, lastSeen: time.Now(),
		timeout: min(max(time.Duration(c.TimeoutMs)*time.Millisecond, e.opts.MinSessionTimeout), e.opts.MaxSessionTimeout)}
	e.sessions[s.id] = s
	return s
}

// sequence returns the name of a sequential node.
func sequence(path string, n int32) string { return fmt.Sprintf("%s%010d", path, n) }
