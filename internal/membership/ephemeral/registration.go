package ephemeral

import (
	"encoding/json"
	"fmt"

	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// anyVersion makes a write unconditional.
	anyVersion = -1
	// noError is the error field of a MultiHeader in a request.
	noError = -1
	// flagPersistent makes a node that outlives the session.
	flagPersistent = 0
)

// registration is the session handler that maintains the node of a Registrar. It creates the node and its
// parents; if a node of that name exists, it determines which process registered it.
type registration struct {
	registrar *Registrar
	session   *session
	onProblem func(string)

	queue          []request
	inFlight       bool   // a request is queued or sent
	exists         bool   // the node exists and belongs to this session
	writtenVersion uint64 // of the node's data
	lastProblem    string // reported last; the same one is not reported again
}

func (g *registration) connected(renewed bool, _ int64) {
	g.queue = nil
	g.inFlight = false
	if !renewed {
		g.exists = false
	}
	g.queueNext()
}

func (g *registration) nextRequest() (request, bool) {
	if len(g.queue) == 0 {
		return request{}, false
	}
	q := g.queue[0]
	g.queue = g.queue[1:]
	return q, true
}

func (g *registration) handleEvent(e zkwire.WatchEvent) {
	if e.Path == g.registrar.path && e.Type == zkwire.NodeDeleted {
		g.exists = false
		g.queueNext()
	}
}

func (g *registration) retry()                   { g.queueNext() }
func (g *registration) flush()                   {}
func (g *registration) replyReceived()           {}
func (g *registration) connectionLost(err error) { g.report(err.Error()) }

// report reports a problem unless it equals the last one. An empty problem says that the last one is over.
func (g *registration) report(problem string) {
	if problem == g.lastProblem {
		return
	}
	g.lastProblem = problem
	if problem != "" {
		g.onProblem(problem)
	}
}

// reportCode reports an error code of the registry as a problem.
func (g *registration) reportCode(path string, code zkwire.Code) {
	g.report(fmt.Sprintf("%s: %v", path, code))
}

// queueNext queues the next request, unless one is in flight.
func (g *registration) queueNext() {
	if g.inFlight {
		return
	}
	data, version := g.registrar.data()
	switch {
	case !g.exists:
		g.create(data, version)
	case version != g.writtenVersion:
		g.write(data, version)
	}
}

// enqueue queues a request. queueNext does nothing until its reply has arrived, which is passed to onCode.
func (g *registration) enqueue(op zkwire.Op, body func([]byte) []byte, onCode func(zkwire.Code, *zkwire.Reader)) {
	g.inFlight = true
	onReply := func(h zkwire.ReplyHeader, r *zkwire.Reader) error {
		g.inFlight = false
		onCode(h.Err, r)
		return nil
	}
	g.queue = append(g.queue, request{op: op, body: body, onReply: onReply})
}

// write queues a request that writes the data of the existing node.
func (g *registration) write(data []byte, version uint64) {
	body := func(b []byte) []byte {
		b = zkwire.AppendString(b, g.registrar.path)
		b = zkwire.AppendBuffer(b, data)
		return zkwire.AppendInt(b, anyVersion)
	}
	g.enqueue(zkwire.OpSetData, body, func(code zkwire.Code, _ *zkwire.Reader) {
		switch code {
		case zkwire.OK:
			g.writtenVersion = version
		case zkwire.NoNode:
			g.exists = false
			g.queueNext()
		default:
			g.reportCode(g.registrar.path, code)
		}
	})
}

// create queues a request that creates the node.
func (g *registration) create(data []byte, version uint64) {
	body := g.createBody(g.registrar.path, data, zkwire.FlagEphemeral)
	g.enqueue(zkwire.OpCreate, body, func(code zkwire.Code, _ *zkwire.Reader) {
		switch code {
		case zkwire.OK:
			g.nodeOwned(version)
		case zkwire.NodeExists:
			g.inspectExisting(data, version)
		case zkwire.NoNode:
			g.createParents()
		default:
			g.reportCode(g.registrar.path, code)
		}
	})
}

// createBody returns a function that appends the body of a create request.
func (g *registration) createBody(path string, data []byte, flags int32) func([]byte) []byte {
	return func(b []byte) []byte {
		b = zkwire.AppendString(b, path)
		b = zkwire.AppendBuffer(b, data)
		b = zkwire.AppendACLs(b, g.accessControl())
		return zkwire.AppendInt(b, flags)
	}
}

// accessControl returns the ACLs of created nodes: with credentials, only their user may write.
func (g *registration) accessControl() []zkwire.ACL {
	if g.registrar.cfg.Auth == "" {
		return zkwire.OpenACL
	}
	return []zkwire.ACL{
		{Perms: zkwire.PermAll, Scheme: "auth"},
		{Perms: zkwire.PermRead, Scheme: "world", ID: "anyone"},
	}
}

// nodeOwned records that the node belongs to this session, and sets a watch on it.
func (g *registration) nodeOwned(version uint64) {
	g.exists = true
	g.writtenVersion = version
	g.report("")
	g.enqueue(zkwire.OpExists, readBody(g.registrar.path, true), func(code zkwire.Code, _ *zkwire.Reader) {
		if code == zkwire.NoNode {
			g.exists = false
		}
		g.queueNext()
	})
}

// inspectExisting determines which process registered the existing node: this one in this session, if the
// reply to its create request was lost; this one in an older session; or another one.
func (g *registration) inspectExisting(data []byte, version uint64) {
	session := g.session.id
	g.enqueue(zkwire.OpGetData, readBody(g.registrar.path, false), func(code zkwire.Code, r *zkwire.Reader) {
		if code != zkwire.OK {
			return // the node was deleted meanwhile; the next retry creates it
		}
		var existing nodeData
		_ = json.Unmarshal(r.Buffer(), &existing) // data of another format has no instance
		stat := r.Stat()
		switch {
		case r.Err() != nil:
		case stat.EphemeralOwner == session:
			g.nodeOwned(version - 1) // its data may be outdated
		case existing.Instance == g.registrar.instance:
			g.replace(data, version, stat.Version)
		default:
			g.report(fmt.Sprintf("%s: registered by another process in session %#x, left unchanged", g.registrar.path, stat.EphemeralOwner))
		}
	})
}

// replace replaces the node of an older session of this process, in one transaction, so that no other process
// can register the name in between.
func (g *registration) replace(data []byte, version uint64, nodeVersion int32) {
	body := func(b []byte) []byte {
		b = zkwire.MultiHeader{Type: zkwire.OpDelete, Err: noError}.Append(b)
		b = zkwire.AppendString(b, g.registrar.path)
		b = zkwire.AppendInt(b, nodeVersion)
		b = zkwire.MultiHeader{Type: zkwire.OpCreate, Err: noError}.Append(b)
		b = g.createBody(g.registrar.path, data, zkwire.FlagEphemeral)(b)
		return zkwire.MultiHeader{Type: zkwire.OpError, Done: true, Err: noError}.Append(b)
	}
	g.enqueue(zkwire.OpMulti, body, func(code zkwire.Code, r *zkwire.Reader) {
		// The rest of the reply is not needed.
		if h := r.MultiHeader(); code == zkwire.OK && r.Err() == nil && h.Type != zkwire.OpError {
			g.nodeOwned(version)
		}
	})
}

// createParents creates the directories above the node, topmost first, and then the node.
func (g *registration) createParents() {
	dirs := parents(g.registrar.path)
	for i, dir := range dirs {
		last := i == len(dirs)-1
		body := g.createBody(dir, []byte{}, flagPersistent)
		g.enqueue(zkwire.OpCreate, body, func(code zkwire.Code, _ *zkwire.Reader) {
			switch {
			case code != zkwire.OK && code != zkwire.NodeExists:
				g.reportCode(dir, code)
			case last:
				g.queueNext()
			default:
				g.inFlight = true
			}
		})
	}
}

// parents returns the directories above a path, topmost first, without the root.
func parents(path string) []string {
	var dirs []string
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			dirs = append(dirs, path[:i])
		}
	}
	return dirs
}
