package follow

import (
	"strings"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// notBelow is the depth of a path outside the root.
const notBelow = -1

// depth returns how many levels below the root a path is, or notBelow.
func (f *Follower) depth(path string) int {
	if path == f.cfg.Root {
		return 0
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(f.cfg.Root, "/")+"/")
	if !ok {
		return notBelow
	}
	return 1 + strings.Count(rest, "/")
}

// isDir reports whether a path at or below the root is a directory and not a node.
func (f *Follower) isDir(path string) bool { return f.depth(path) < f.cfg.Depth }

// name returns the path of a node relative to the root.
func (f *Follower) name(path string) string {
	return path[len(strings.TrimSuffix(f.cfg.Root, "/"))+1:]
}

func parent(path string) string {
	if i := strings.LastIndexByte(path, '/'); i > 0 {
		return path[:i]
	}
	return "/"
}

// trackedBy returns the map in which the entry of the path belongs.
func (f *Follower) trackedBy(path string) map[string]*tracked {
	if f.isDir(path) {
		return f.dirs
	}
	return f.nodes
}

// readRequest returns the request that reads a directory or a node.
func (f *Follower) readRequest(path string) Request {
	op := zkwire.OpGetData
	if f.isDir(path) {
		op = zkwire.OpGetChildren2
	}
	return Request{Op: op, Path: path, Watch: f.oneShot}
}

// queueRead queues a read of a directory or a node, unless one is queued. If one is in flight, its reply may
// be outdated, so another read follows it.
func (f *Follower) queueRead(path string) {
	all := f.trackedBy(path)
	t := all[path]
	if t == nil {
		if f.cfg.MaxNodes > 0 && len(f.nodes) >= f.cfg.MaxNodes && f.depth(path) == f.cfg.Depth {
			f.overLimit++
			f.problem("%d nodes over the limit of %d are left out", f.overLimit, f.cfg.MaxNodes)
			return
		}
		t = &tracked{}
		all[path] = t
	}
	switch {
	case t.inFlight:
		t.readAgain = true
	case !t.readPending:
		t.readPending = true
		f.queue = append(f.queue, f.readRequest(path))
	}
}

// readEnded records the reply to the read in flight and reports whether another read must follow.
func (t *tracked) readEnded() (readAgain bool) {
	readAgain = t.readAgain
	t.readPending = false
	t.inFlight = false
	t.readAgain = false
	return readAgain
}
