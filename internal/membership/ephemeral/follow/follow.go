// Package follow decides how a directory of nodes in a ZooKeeper-style registry is kept in view: which reads
// and watches to ask for next, given what replies and events have come. It does no I/O, reads no clock and
// starts no goroutine; a connection and its session are the caller's.
//
// It leans on one promise of the protocol: on a connection, an event comes before any reply that shows a
// state later than it ("Programmer's Guide", "What ZooKeeper Guarantees about Watches"). So whatever a reply
// says is newer than all that was said on its connection before, and things are taken as they come.
package follow

import (
	"fmt"
	"maps"
	"strings"

	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// MaxOutstanding is the number of requests that may be out.
	MaxOutstanding = 64
	// maxSetWatchesBytes bounds the paths of one SetWatches, in bytes, well below what servers take.
	maxSetWatchesBytes = 128 << 10
	// maxProblems bounds what is kept for a person to read.
	maxProblems = 16
	// maxDoubtedConnections bounds the connections that are left in a row because their server shows what has ended: a
	// registry that was put back to an earlier state is believed in the end.
	maxDoubtedConnections = 16
)

// Config says what is followed.
type Config struct {
	Root  string // the directory
	Depth int    // 1: its children are the nodes; 2: it holds directories whose children are
	// OneShot asks for no persistent recursive watch, also where the server has them.
	OneShot bool
	// MaxNodes bounds the nodes that are followed; what is beyond is left out, and said.
	MaxNodes int
}

// Request is something to ask the registry.
type Request struct {
	Op      zkwire.Op
	Path    string
	Watch   bool
	Watches *zkwire.SetWatches // of OpSetWatches and OpSetWatches2
}

// Reply is the answer to a request.
type Reply struct {
	Request  Request
	Code     zkwire.Code
	Children []string
	Data     []byte
	Stat     zkwire.Stat
}

// Change is what became of a node.
type Change struct {
	Name    string // below the root, with its directory where there are such
	Expired bool
	Data    []byte
	Stat    zkwire.Stat
}

// tracked is one that is followed.
type tracked struct {
	known       bool  // told as being there
	unwatched   bool  // not read since the session began: no watch stands on it
	czxid       int64 // of what was told
	mzxid       int64
	readPending bool // a read is queued or out; a further one is not needed, unless:
	inFlight    bool // it is out, and
	readAgain   bool // something has come since
}

// Follower follows one directory. It belongs to one goroutine.
type Follower struct {
	cfg           Config
	oneShot       bool // what the server can
	rootMissing   bool // the root is not there
	existsPending bool // whether it is, is being asked
	nodes         map[string]*tracked
	dirs          map[string]*tracked // which are read: known, reading, out, again
	queue         []Request
	inFlight      int
	overLimit     int // nodes beyond the most
	synced        bool
	changes       []Change
	// An event does not say how new it is. Until a reply has come behind it (unsure) it may be newer than the
	// number that is known; ended are the nodes that such events ended, with their czxid, and doubt those of
	// a connection that was lost before a reply: a server that shows them is behind.
	unconfirmed        bool
	unconfirmedExpired map[string]int64
	doubtedNodes       map[string]int64
	doubtedConnections int
	serverBehind       bool
	failedReads        map[string]zkwire.Code // paths to be asked for again
	// problems are what a person should see.
	problems []string
}

// New returns a follower that has seen nothing.
func New(cfg Config) *Follower {
	if cfg.Depth < 1 {
		cfg.Depth = 1
	}
	return &Follower{cfg: cfg, oneShot: cfg.OneShot, nodes: map[string]*tracked{}, dirs: map[string]*tracked{}, failedReads: map[string]zkwire.Code{},
		unconfirmedExpired: map[string]int64{}, doubtedNodes: map[string]int64{}}
}

// Connected tells that a connection is up. renewed: its session is the one of the last connection, so
// that watches are taken up and only what has changed since zxid is read; else all is read again. Either
// way what was seen stays until the registry says otherwise.
func (f *Follower) Connected(renewed bool, zxid int64) {
	if !renewed {
		clear(f.doubtedNodes)
	} else {
		maps.Copy(f.doubtedNodes, f.unconfirmedExpired)
		// What the server may not have seen yet it can't tell again: all is read, and held against that.
		renewed = !f.unconfirmed && len(f.doubtedNodes) == 0
	}
	f.unconfirmed, f.serverBehind = false, false
	clear(f.unconfirmedExpired)
	// First the server is to catch up with its leader: an event does not say how new it is, so that what
	// one server told may be more than another has, though the number that we know is in order.
	f.queue, f.inFlight, f.synced = []Request{{Op: zkwire.OpSync, Path: f.cfg.Root}}, 0, false
	f.failedReads, f.existsPending = map[string]zkwire.Code{}, false
	var late []Request // reads that the last connection did not live to bring
	for _, m := range []map[string]*tracked{f.dirs, f.nodes} {
		for path, n := range m {
			if n.readPending && renewed {
				late = append(late, f.readRequest(path))
			}
			n.inFlight, n.readAgain, n.unwatched = false, false, n.unwatched || !renewed
			n.readPending = n.readPending && renewed
		}
	}
	if !renewed {
		f.oneShot = f.cfg.OneShot // another server may know more
		f.readAll()
		return
	}
	w, size := &zkwire.SetWatches{Zxid: zxid}, 0
	op := zkwire.OpSetWatches
	if !f.oneShot {
		op = zkwire.OpSetWatches2
		w.Recursive = []string{f.cfg.Root}
	}
	add := func(list func(*zkwire.SetWatches, string), path string) {
		if size += len(path) + 4; size > maxSetWatchesBytes {
			f.queue = append(f.queue, Request{Op: op, Watches: w})
			w, size = &zkwire.SetWatches{Zxid: zxid}, len(path)+4
		}
		list(w, path)
	}
	if f.rootMissing {
		w.Exist = []string{f.cfg.Root}
	}
	for path, d := range f.dirs {
		if !d.readPending && !(f.rootMissing && path == f.cfg.Root) {
			add(func(w *zkwire.SetWatches, path string) { w.Child = append(w.Child, path) }, path)
		}
	}
	for path, n := range f.nodes {
		if !n.readPending && n.known {
			add(func(w *zkwire.SetWatches, path string) { w.Data = append(w.Data, path) }, path)
		}
	}
	f.queue = append(append(f.queue, Request{Op: op, Watches: w}), late...)
}

// readAll reads all.
func (f *Follower) readAll() {
	f.rootMissing = false
	if !f.oneShot {
		f.queue = append(f.queue, Request{Op: zkwire.OpAddWatch, Path: f.cfg.Root})
	}
	f.queueRead(f.cfg.Root)
}

// depth is how far below the root a path is; -1: not below.
func (f *Follower) depth(path string) int {
	if path == f.cfg.Root {
		return 0
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(f.cfg.Root, "/")+"/")
	if !ok {
		return -1
	}
	return 1 + strings.Count(rest, "/")
}

// name is a node's path below the root.
func (f *Follower) name(path string) string {
	return path[len(strings.TrimSuffix(f.cfg.Root, "/"))+1:]
}

func parent(path string) string {
	if i := strings.LastIndexByte(path, '/'); i > 0 {
		return path[:i]
	}
	return "/"
}

// readRequest is the request that reads a directory or a node.
func (f *Follower) readRequest(path string) Request {
	if f.depth(path) < f.cfg.Depth {
		return Request{Op: zkwire.OpGetChildren2, Path: path, Watch: f.oneShot}
	}
	return Request{Op: zkwire.OpGetData, Path: path, Watch: f.oneShot}
}

// queueRead queues a read of a directory or a node, unless one is queued; one that is out may be too old.
func (f *Follower) queueRead(path string) {
	m := f.nodes
	if f.depth(path) < f.cfg.Depth {
		m = f.dirs
	}
	n := m[path]
	if n == nil {
		if len(f.nodes) >= f.cfg.MaxNodes && f.cfg.MaxNodes > 0 && f.depth(path) == f.cfg.Depth {
			f.overLimit++
			f.problem("%d nodes more than the most of %d are left out", f.overLimit, f.cfg.MaxNodes)
			return
		}
		n = &tracked{}
		m[path] = n
	}
	switch {
	case n.inFlight:
		n.readAgain = true
	case !n.readPending:
		n.readPending = true
		f.queue = append(f.queue, f.readRequest(path))
	}
}

// Next takes the next request to send; false where there is none, or enough are out.
func (f *Follower) Next() (Request, bool) {
	if len(f.queue) == 0 || f.inFlight >= MaxOutstanding {
		return Request{}, false
	}
	r := f.queue[0]
	f.queue = f.queue[1:]
	f.inFlight++
	if n := f.dirs[r.Path]; n != nil && r.Op == zkwire.OpGetChildren2 {
		n.inFlight = true
	} else if n := f.nodes[r.Path]; n != nil && r.Op == zkwire.OpGetData {
		n.inFlight = true
	}
	return r, true
}

// ReplyReceived tells that a reply of any kind has come: the server has seen what its events said before.
func (f *Follower) ReplyReceived() {
	f.unconfirmed = false
	clear(f.unconfirmedExpired)
}

// ServerBehind tells whether a reply has shown that the server is behind what was seen; its connection is to be left.
func (f *Follower) ServerBehind() bool { return f.serverBehind }

// HandleEvent takes an event.
func (f *Follower) HandleEvent(e zkwire.WatchEvent) {
	f.unconfirmed = true
	depth := f.depth(e.Path)
	switch {
	case depth < 0 || depth > f.cfg.Depth:
		return
	case depth == f.cfg.Depth:
		if e.Type == zkwire.NodeDeleted {
			f.nodeExpired(e.Path)
		} else {
			f.queueRead(e.Path)
		}
	case e.Type == zkwire.NodeDeleted:
		f.directoryRemoved(e.Path)
	default:
		f.queueRead(e.Path)
	}
}

// nodeExpired notes that a node is not there.
func (f *Follower) nodeExpired(path string) {
	n := f.nodes[path]
	if n == nil {
		return
	}
	if n.known {
		if f.unconfirmed {
			f.unconfirmedExpired[path] = n.czxid
		}
		n.known = false
		f.changes = append(f.changes, Change{Name: f.name(path), Expired: true})
	}
	if n.inFlight {
		n.readAgain = true // the read that is out may find the next of that name, or miss it
	} else if !n.readPending {
		delete(f.nodes, path)
	}
}

// directoryRemoved notes that a directory is not there. All in it went before.
func (f *Follower) directoryRemoved(path string) {
	for p := range f.nodes {
		if strings.HasPrefix(p, path+"/") {
			f.nodeExpired(p)
		}
	}
	for p := range f.dirs {
		if p != f.cfg.Root && (p == path || strings.HasPrefix(p, path+"/")) {
			delete(f.dirs, p)
		}
	}
	if path == f.cfg.Root {
		f.waitForRoot()
	}
}

// waitForRoot waits for the root, which is not there.
func (f *Follower) waitForRoot() {
	f.rootMissing = true
	f.problem("%s is not there", f.cfg.Root)
	if d := f.dirs[f.cfg.Root]; d != nil && !d.inFlight {
		delete(f.dirs, f.cfg.Root)
	}
	if f.oneShot && !f.existsPending {
		f.existsPending = true
		f.queue = append(f.queue, Request{Op: zkwire.OpExists, Path: f.cfg.Root, Watch: true})
	}
}

// HandleReply takes the answer to a request that Next gave.
func (f *Follower) HandleReply(r Reply) {
	f.inFlight--
	switch r.Request.Op {
	case zkwire.OpAddWatch, zkwire.OpSetWatches2:
		if r.Code == zkwire.Unimplemented {
			// The server is older than such watches: read all again, with one-shot ones.
			f.oneShot = true
			f.restart()
		}
	case zkwire.OpExists:
		f.existsPending = false
		switch r.Code {
		case zkwire.OK:
			f.rootMissing = false
			f.queueRead(f.cfg.Root)
		case zkwire.NoNode: // its watch tells
		default:
			f.readFailed(r)
		}
	case zkwire.OpGetChildren2:
		f.handleChildren(&r)
	case zkwire.OpGetData:
		f.handleData(&r)
	}
	if !f.synced && !f.serverBehind && len(f.queue) == 0 && f.inFlight == 0 && len(f.failedReads) == 0 {
		f.synced, f.doubtedConnections = true, 0
		clear(f.doubtedNodes)
	}
}

// restart reads all once more, on this connection.
func (f *Follower) restart() {
	f.queue, f.existsPending = nil, false
	for _, m := range []map[string]*tracked{f.dirs, f.nodes} {
		for _, n := range m {
			n.unwatched = true
			if n.readAgain = n.inFlight; !n.inFlight {
				n.readPending = false
			}
		}
	}
	f.readAll()
}

func (f *Follower) readFailed(r Reply) {
	f.failedReads[r.Request.Path] = r.Code
	f.problem("%s: %v", r.Request.Path, r.Code)
}

// handleChildren takes the children of a directory.
func (f *Follower) handleChildren(r *Reply) {
	path := r.Request.Path
	d := f.dirs[path]
	if d == nil {
		return
	}
	more := d.readAgain
	d.readPending, d.inFlight, d.readAgain = false, false, false
	switch r.Code {
	case zkwire.OK:
	case zkwire.NoNode:
		f.directoryRemoved(path)
		return
	default:
		f.readFailed(*r)
		return
	}
	d.known, d.unwatched = true, false
	if path == f.cfg.Root {
		f.rootMissing = false
	}
	there := make(map[string]bool, len(r.Children))
	for _, name := range r.Children {
		child := strings.TrimSuffix(path, "/") + "/" + name
		there[child] = true
		m := f.nodes
		if f.depth(child) < f.cfg.Depth {
			m = f.dirs
		}
		if n := m[child]; n == nil || !n.readPending && (n.unwatched || !n.known) {
			f.queueRead(child)
		}
	}
	for p := range f.nodes {
		if !there[p] && parent(p) == path {
			f.nodeExpired(p)
		}
	}
	for p := range f.dirs {
		if p != f.cfg.Root && !there[p] && parent(p) == path {
			f.directoryRemoved(p)
		}
	}
	if more {
		f.queueRead(path)
	}
}

// handleData takes a node's data.
func (f *Follower) handleData(r *Reply) {
	path := r.Request.Path
	n := f.nodes[path]
	if n == nil {
		return
	}
	more := n.readAgain
	n.readPending, n.inFlight, n.readAgain = false, false, false
	if ended, ok := f.doubtedNodes[path]; ok && r.Code == zkwire.OK && r.Stat.Czxid <= ended && f.doubtedConnections < maxDoubtedConnections {
		f.doubtedConnections++
		f.serverBehind = true
		delete(f.nodes, path)
		return
	}
	switch r.Code {
	case zkwire.OK:
		if !n.known || n.czxid != r.Stat.Czxid || n.mzxid != r.Stat.Mzxid {
			f.changes = append(f.changes, Change{Name: f.name(path), Data: r.Data, Stat: r.Stat})
		}
		n.known, n.unwatched, n.czxid, n.mzxid = true, false, r.Stat.Czxid, r.Stat.Mzxid
	case zkwire.NoNode:
		f.nodeExpired(path)
		delete(f.nodes, path)
	default:
		f.readFailed(*r)
	}
	if more {
		f.queueRead(path)
	}
}

// Retry asks again for what was denied. The caller says when.
func (f *Follower) Retry() {
	for path := range f.failedReads {
		f.queueRead(path)
	}
	f.failedReads = map[string]zkwire.Code{}
}

// Changes takes what has changed since the last call, in the order in which it came.
func (f *Follower) Changes() []Change {
	out := f.changes
	f.changes = nil
	return out
}

// Synced tells whether all that there is has been read on this connection.
func (f *Follower) Synced() bool { return f.synced }

// Consistent tells whether what has been told is, as a whole, the directory as it was at one moment: all that was
// asked for has come, and an event of anything later than it, which asks for more, has not. While a read is
// out each node is as it was at some moment, but not all at the same one.
func (f *Follower) Consistent() bool { return f.synced && len(f.queue) == 0 && f.inFlight == 0 }

// Size is the number of nodes that are told as being there.
func (f *Follower) Size() (n int) {
	for _, x := range f.nodes {
		if x.known {
			n++
		}
	}
	return n
}

// Problems are what a person should see, of late.
func (f *Follower) Problems() []string {
	out := f.problems
	f.problems = nil
	return out
}

func (f *Follower) problem(format string, args ...any) {
	if len(f.problems) < maxProblems {
		f.problems = append(f.problems, fmt.Sprintf(format, args...))
	}
}
