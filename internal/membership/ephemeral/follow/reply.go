package follow

import (
	"strings"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// HandleReply handles the reply to a request that NextRequest returned.
func (f *Follower) HandleReply(r Reply) {
	f.inFlight--
	switch r.Request.Op {
	case zkwire.OpAddWatch, zkwire.OpSetWatches2:
		if r.Code == zkwire.Unimplemented {
			// The server does not support persistent watches.
			f.oneShot = true
			f.restart()
		}
	case zkwire.OpExists:
		f.handleExists(&r)
	case zkwire.OpGetChildren2:
		f.handleChildren(&r)
	case zkwire.OpGetData:
		f.handleData(&r)
	}
	if !f.synced && !f.lag.behind && len(f.queue) == 0 && f.inFlight == 0 && len(f.failedReads) == 0 {
		f.synced = true
		f.lag.synced()
	}
}

// handleExists handles the reply to an exists request for the root.
func (f *Follower) handleExists(r *Reply) {
	f.existsPending = false
	switch r.Code {
	case zkwire.OK:
		f.rootMissing = false
		f.queueRead(f.cfg.Root)
	case zkwire.NoNode: // the watch reports its creation
	default:
		f.readFailed(r)
	}
}

// handleChildren handles the list of children of a directory.
func (f *Follower) handleChildren(r *Reply) {
	path := r.Request.Path
	dir := f.dirs[path]
	if dir == nil {
		return
	}
	readAgain := dir.readEnded()
	switch r.Code {
	case zkwire.OK:
	case zkwire.NoNode:
		f.directoryRemoved(path)
		return
	default:
		f.readFailed(r)
		return
	}
	dir.known = true
	dir.unwatched = false
	if path == f.cfg.Root {
		f.rootMissing = false
	}
	children := make(map[string]bool, len(r.Children))
	for _, name := range r.Children {
		child := strings.TrimSuffix(path, "/") + "/" + name
		children[child] = true
		if t := f.trackedBy(child)[child]; t == nil || !t.readPending && (t.unwatched || !t.known) {
			f.queueRead(child)
		}
	}
	f.removeMissing(path, children)
	if readAgain {
		f.queueRead(path)
	}
}

// removeMissing removes the nodes and directories that are no longer children of a directory.
func (f *Follower) removeMissing(dir string, children map[string]bool) {
	for path := range f.nodes {
		if !children[path] && parent(path) == dir {
			f.nodeExpired(path)
		}
	}
	for path := range f.dirs {
		if path != f.cfg.Root && !children[path] && parent(path) == dir {
			f.directoryRemoved(path)
		}
	}
}

// handleData handles the data of a node.
func (f *Follower) handleData(r *Reply) {
	path := r.Request.Path
	node := f.nodes[path]
	if node == nil {
		return
	}
	readAgain := node.readEnded()
	if r.Code == zkwire.OK && f.lag.check(path, r.Stat.Czxid) {
		delete(f.nodes, path)
		return
	}
	switch r.Code {
	case zkwire.OK:
		if !node.known || node.czxid != r.Stat.Czxid || node.mzxid != r.Stat.Mzxid {
			f.changes = append(f.changes, Change{Name: f.name(path), Data: r.Data, Stat: r.Stat})
		}
		node.known = true
		node.unwatched = false
		node.czxid = r.Stat.Czxid
		node.mzxid = r.Stat.Mzxid
	case zkwire.NoNode:
		f.nodeExpired(path)
		delete(f.nodes, path)
	default:
		f.readFailed(r)
	}
	if readAgain {
		f.queueRead(path)
	}
}
