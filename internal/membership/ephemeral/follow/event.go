package follow

import (
	"strings"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// HandleEvent handles a watch event.
func (f *Follower) HandleEvent(e zkwire.WatchEvent) {
	f.lag.event()
	depth := f.depth(e.Path)
	switch {
	case depth == notBelow || depth > f.cfg.Depth:
	case e.Type != zkwire.NodeDeleted:
		f.queueRead(e.Path)
	case depth == f.cfg.Depth:
		f.nodeExpired(e.Path)
	default:
		f.directoryRemoved(e.Path)
	}
}

// nodeExpired records that a node does not exist.
func (f *Follower) nodeExpired(path string) {
	node := f.nodes[path]
	if node == nil {
		return
	}
	if node.known {
		f.lag.nodeExpired(path, node.czxid)
		node.known = false
		f.changes = append(f.changes, Change{Name: f.name(path), Expired: true})
	}
	if node.inFlight {
		node.readAgain = true // the reply may or may not show a later node of that name
	} else if !node.readPending {
		delete(f.nodes, path)
	}
}

// directoryRemoved records that a directory does not exist, which implies that nothing in it does.
func (f *Follower) directoryRemoved(path string) {
	for nodePath := range f.nodes {
		if strings.HasPrefix(nodePath, path+"/") {
			f.nodeExpired(nodePath)
		}
	}
	for dirPath := range f.dirs {
		if dirPath != f.cfg.Root && (dirPath == path || strings.HasPrefix(dirPath, path+"/")) {
			delete(f.dirs, dirPath)
		}
	}
	if path == f.cfg.Root {
		f.waitForRoot()
	}
}

// waitForRoot records that the root does not exist and prepares to read it once it is created.
func (f *Follower) waitForRoot() {
	f.rootMissing = true
	f.problem("%s does not exist", f.cfg.Root)
	if root := f.dirs[f.cfg.Root]; root != nil && !root.inFlight {
		delete(f.dirs, f.cfg.Root)
	}
	if f.oneShot && !f.existsPending {
		f.existsPending = true
		f.queue = append(f.queue, Request{Op: zkwire.OpExists, Path: f.cfg.Root, Watch: true})
	}
}
