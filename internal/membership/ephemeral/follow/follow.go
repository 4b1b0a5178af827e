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
	// Window is the number of requests that may be out.
	Window = 64
	// watchesChunk bounds the paths of one SetWatches, in bytes, well below what servers take.
	watchesChunk = 128 << 10
	// maxProblems bounds what is kept for a person to read.
	maxProblems = 16
	// mostDoubts bounds the connections that are left in a row because their server shows what has ended: a
	// registry that was put back to an earlier state is believed in the end.
	mostDoubts = 16
)

// Config says what is followed.
type Config struct {
	Root  string // the directory
	Depth int    // 1: its children are the nodes; 2: it holds directories whose children are
	// OneShot asks for no persistent recursive watch, also where the server has them.
	OneShot bool
	// Most bounds the nodes that are followed; what is beyond is left out, and said.
	Most int
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
	Name string // below the root, with its directory where there are such
	Gone bool
	Data []byte
	Stat zkwire.Stat
}

// node is one that is followed.
type node struct {
	known   bool  // told as being there
	stale   bool  // not read since the session began: no watch stands on it
	czxid   int64 // of what was told
	mzxid   int64
	reading bool // a read is queued or out; a further one is not needed, unless:
	out     bool // it is out, and
	again   bool // something has come since
}

// Follower follows one directory. It belongs to one goroutine.
type Follower struct {
	cfg     Config
	oneShot bool // what the server can
	missing bool // the root is not there
	asking  bool // whether it is, is being asked
	nodes   map[string]*node
	dirs    map[string]*node // which are read: known, reading, out, again
	queue   []Request
	out     int
	left    int // nodes beyond the most
	synced  bool
	changes []Change
	// An event does not say how new it is. Until a reply has come behind it (unsure) it may be newer than the
	// number that is known; ended are the nodes that such events ended, with their czxid, and doubt those of
	// a connection that was lost before a reply: a server that shows them is behind.
	unsure  bool
	ended   map[string]int64
	doubt   map[string]int64
	doubted int
	behind  bool
	denied  map[string]zkwire.Code // paths to be asked for again
	// problems are what a person should see.
	problems []string
}

// New returns a follower that has seen nothing.
func New(cfg Config) *Follower {
	if cfg.Depth < 1 {
		cfg.Depth = 1
	}
	return &Follower{cfg: cfg, oneShot: cfg.OneShot, nodes: map[string]*node{}, dirs: map[string]*node{}, denied: map[string]zkwire.Code{},
		ended: map[string]int64{}, doubt: map[string]int64{}}
}

// Connected tells that a connection is up. renewed: its session is the one of the last connection, so
// that watches are taken up and only what has changed since zxid is read; else all is read again. Either
// way what was seen stays until the registry says otherwise.
func (f *Follower) Connected(renewed bool, zxid int64) {
	if !renewed {
		clear(f.doubt)
	} else {
		maps.Copy(f.doubt, f.ended)
		// What the server may not have seen yet it can't tell again: all is read, and held against that.
		renewed = !f.unsure && len(f.doubt) == 0
	}
	f.unsure, f.behind = false, false
	clear(f.ended)
	// First the server is to catch up with its leader: an event does not say how new it is, so that what
	// one server told may be more than another has, though the number that we know is in order.
	f.queue, f.out, f.synced = []Request{{Op: zkwire.OpSync, Path: f.cfg.Root}}, 0, false
	f.denied, f.asking = map[string]zkwire.Code{}, false
	var late []Request // reads that the last connection did not live to bring
	for _, m := range []map[string]*node{f.dirs, f.nodes} {
		for path, n := range m {
			if n.reading && renewed {
				late = append(late, f.readOf(path))
			}
			n.out, n.again, n.stale = false, false, n.stale || !renewed
			n.reading = n.reading && renewed
		}
	}
	if !renewed {
		f.oneShot = f.cfg.OneShot // another server may know more
		f.begin()
		return
	}
	w, size := &zkwire.SetWatches{Zxid: zxid}, 0
	op := zkwire.OpSetWatches
	if !f.oneShot {
		op = zkwire.OpSetWatches2
		w.Recursive = []string{f.cfg.Root}
	}
	add := func(list func(*zkwire.SetWatches, string), path string) {
		if size += len(path) + 4; size > watchesChunk {
			f.queue = append(f.queue, Request{Op: op, Watches: w})
			w, size = &zkwire.SetWatches{Zxid: zxid}, len(path)+4
		}
		list(w, path)
	}
	if f.missing {
		w.Exist = []string{f.cfg.Root}
	}
	for path, d := range f.dirs {
		if !d.reading && !(f.missing && path == f.cfg.Root) {
			add(func(w *zkwire.SetWatches, path string) { w.Child = append(w.Child, path) }, path)
		}
	}
	for path, n := range f.nodes {
		if !n.reading && n.known {
			add(func(w *zkwire.SetWatches, path string) { w.Data = append(w.Data, path) }, path)
		}
	}
	f.queue = append(append(f.queue, Request{Op: op, Watches: w}), late...)
}

// begin reads all.
func (f *Follower) begin() {
	f.missing = false
	if !f.oneShot {
		f.queue = append(f.queue, Request{Op: zkwire.OpAddWatch, Path: f.cfg.Root})
	}
	f.read(f.cfg.Root)
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

// readOf is the request that reads a directory or a node.
func (f *Follower) readOf(path string) Request {
	if f.depth(path) < f.cfg.Depth {
		return Request{Op: zkwire.OpGetChildren2, Path: path, Watch: f.oneShot}
	}
	return Request{Op: zkwire.OpGetData, Path: path, Watch: f.oneShot}
}

// read queues a read of a directory or a node, unless one is queued; one that is out may be too old.
func (f *Follower) read(path string) {
	m := f.nodes
	if f.depth(path) < f.cfg.Depth {
		m = f.dirs
	}
	n := m[path]
	if n == nil {
		if len(f.nodes) >= f.cfg.Most && f.cfg.Most > 0 && f.depth(path) == f.cfg.Depth {
			f.left++
			f.problem("%d nodes more than the most of %d are left out", f.left, f.cfg.Most)
			return
		}
		n = &node{}
		m[path] = n
	}
	switch {
	case n.out:
		n.again = true
	case !n.reading:
		n.reading = true
		f.queue = append(f.queue, f.readOf(path))
	}
}

// Next takes the next request to send; false where there is none, or enough are out.
func (f *Follower) Next() (Request, bool) {
	if len(f.queue) == 0 || f.out >= Window {
		return Request{}, false
	}
	r := f.queue[0]
	f.queue = f.queue[1:]
	f.out++
	if n := f.dirs[r.Path]; n != nil && r.Op == zkwire.OpGetChildren2 {
		n.out = true
	} else if n := f.nodes[r.Path]; n != nil && r.Op == zkwire.OpGetData {
		n.out = true
	}
	return r, true
}

// Confirmed tells that a reply of any kind has come: the server has seen what its events said before.
func (f *Follower) Confirmed() {
	f.unsure = false
	clear(f.ended)
}

// Behind tells whether a reply has shown that the server is behind what was seen; its connection is to be left.
func (f *Follower) Behind() bool { return f.behind }

// Event takes an event.
func (f *Follower) Event(e zkwire.WatchEvent) {
	f.unsure = true
	depth := f.depth(e.Path)
	switch {
	case depth < 0 || depth > f.cfg.Depth:
		return
	case depth == f.cfg.Depth:
		if e.Type == zkwire.NodeDeleted {
			f.gone(e.Path)
		} else {
			f.read(e.Path)
		}
	case e.Type == zkwire.NodeDeleted:
		f.dirGone(e.Path)
	default:
		f.read(e.Path)
	}
}

// gone notes that a node is not there.
func (f *Follower) gone(path string) {
	n := f.nodes[path]
	if n == nil {
		return
	}
	if n.known {
		if f.unsure {
			f.ended[path] = n.czxid
		}
		n.known = false
		f.changes = append(f.changes, Change{Name: f.name(path), Gone: true})
	}
	if n.out {
		n.again = true // the read that is out may find the next of that name, or miss it
	} else if !n.reading {
		delete(f.nodes, path)
	}
}

// dirGone notes that a directory is not there. All in it went before.
func (f *Follower) dirGone(path string) {
	for p := range f.nodes {
		if strings.HasPrefix(p, path+"/") {
			f.gone(p)
		}
	}
	for p := range f.dirs {
		if p != f.cfg.Root && (p == path || strings.HasPrefix(p, path+"/")) {
			delete(f.dirs, p)
		}
	}
	if path == f.cfg.Root {
		f.lost()
	}
}

// lost waits for the root, which is not there.
func (f *Follower) lost() {
	f.missing = true
	f.problem("%s is not there", f.cfg.Root)
	if d := f.dirs[f.cfg.Root]; d != nil && !d.out {
		delete(f.dirs, f.cfg.Root)
	}
	if f.oneShot && !f.asking {
		f.asking = true
		f.queue = append(f.queue, Request{Op: zkwire.OpExists, Path: f.cfg.Root, Watch: true})
	}
}

// Reply takes the answer to a request that Next gave.
func (f *Follower) Reply(r Reply) {
	f.out--
	switch r.Request.Op {
	case zkwire.OpAddWatch, zkwire.OpSetWatches2:
		if r.Code == zkwire.Unimplemented {
			// The server is older than such watches: read all again, with one-shot ones.
			f.oneShot = true
			f.again()
		}
	case zkwire.OpExists:
		f.asking = false
		switch r.Code {
		case zkwire.OK:
			f.missing = false
			f.read(f.cfg.Root)
		case zkwire.NoNode: // its watch tells
		default:
			f.deny(r)
		}
	case zkwire.OpGetChildren2:
		f.listed(&r)
	case zkwire.OpGetData:
		f.found(&r)
	}
	if !f.synced && !f.behind && len(f.queue) == 0 && f.out == 0 && len(f.denied) == 0 {
		f.synced, f.doubted = true, 0
		clear(f.doubt)
	}
}

// again reads all once more, on this connection.
func (f *Follower) again() {
	f.queue, f.asking = nil, false
	for _, m := range []map[string]*node{f.dirs, f.nodes} {
		for _, n := range m {
			n.stale = true
			if n.again = n.out; !n.out {
				n.reading = false
			}
		}
	}
	f.begin()
}

func (f *Follower) deny(r Reply) {
	f.denied[r.Request.Path] = r.Code
	f.problem("%s: %v", r.Request.Path, r.Code)
}

// listed takes the children of a directory.
func (f *Follower) listed(r *Reply) {
	path := r.Request.Path
	d := f.dirs[path]
	if d == nil {
		return
	}
	more := d.again
	d.reading, d.out, d.again = false, false, false
	switch r.Code {
	case zkwire.OK:
	case zkwire.NoNode:
		f.dirGone(path)
		return
	default:
		f.deny(*r)
		return
	}
	d.known, d.stale = true, false
	if path == f.cfg.Root {
		f.missing = false
	}
	there := make(map[string]bool, len(r.Children))
	for _, name := range r.Children {
		child := strings.TrimSuffix(path, "/") + "/" + name
		there[child] = true
		m := f.nodes
		if f.depth(child) < f.cfg.Depth {
			m = f.dirs
		}
		if n := m[child]; n == nil || !n.reading && (n.stale || !n.known) {
			f.read(child)
		}
	}
	for p := range f.nodes {
		if !there[p] && parent(p) == path {
			f.gone(p)
		}
	}
	for p := range f.dirs {
		if p != f.cfg.Root && !there[p] && parent(p) == path {
			f.dirGone(p)
		}
	}
	if more {
		f.read(path)
	}
}

// found takes a node's data.
func (f *Follower) found(r *Reply) {
	path := r.Request.Path
	n := f.nodes[path]
	if n == nil {
		return
	}
	more := n.again
	n.reading, n.out, n.again = false, false, false
	if ended, ok := f.doubt[path]; ok && r.Code == zkwire.OK && r.Stat.Czxid <= ended && f.doubted < mostDoubts {
		f.doubted++
		f.behind = true
		delete(f.nodes, path)
		return
	}
	switch r.Code {
	case zkwire.OK:
		if !n.known || n.czxid != r.Stat.Czxid || n.mzxid != r.Stat.Mzxid {
			f.changes = append(f.changes, Change{Name: f.name(path), Data: r.Data, Stat: r.Stat})
		}
		n.known, n.stale, n.czxid, n.mzxid = true, false, r.Stat.Czxid, r.Stat.Mzxid
	case zkwire.NoNode:
		f.gone(path)
		delete(f.nodes, path)
	default:
		f.deny(*r)
	}
	if more {
		f.read(path)
	}
}

// Retry asks again for what was denied. The caller says when.
func (f *Follower) Retry() {
	for path := range f.denied {
		f.read(path)
	}
	f.denied = map[string]zkwire.Code{}
}

// Changes takes what has changed since the last call, in the order in which it came.
func (f *Follower) Changes() []Change {
	out := f.changes
	f.changes = nil
	return out
}

// Synced tells whether all that there is has been read on this connection.
func (f *Follower) Synced() bool { return f.synced }

// Whole tells whether what has been told is, as a whole, the directory as it was at one moment: all that was
// asked for has come, and an event of anything later than it, which asks for more, has not. While a read is
// out each node is as it was at some moment, but not all at the same one.
func (f *Follower) Whole() bool { return f.synced && len(f.queue) == 0 && f.out == 0 }

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
