package zk

import (
	"time"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// request handles and answers one request. false closes the connection.
func (c *conn) request(r *zkwire.Reader) bool {
	xid, op := r.Int(), zkwire.Op(r.Int())
	if r.Err() != nil {
		return false
	}
	s, e := c.server, c.server.ensemble
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := func(code zkwire.Code, body func([]byte) []byte) bool {
		h := zkwire.ReplyHeader{Xid: xid, Zxid: s.tree.zxid, Err: code}
		c.send(func(b []byte) []byte {
			if b = h.Append(b); code == zkwire.OK && body != nil {
				b = body(b)
			}
			return b
		})
		return true
	}
	if c.session != nil {
		if e.sessions[c.session.id] != c.session {
			return reply(zkwire.SessionExpired, nil)
		}
		c.session.lastSeen = time.Now()
	} else if !c.readOnly {
		return false
	}
	switch op {
	case zkwire.OpPing:
		return reply(zkwire.OK, nil)
	case zkwire.OpCloseSession:
		if c.session != nil {
			e.end(c.session, true)
		}
		reply(zkwire.OK, nil)
		// Queued frames are still sent; the client closes the connection.
		return true
	case zkwire.OpAuth:
		r.Int()
		scheme, auth := r.String(), string(r.Buffer())
		if scheme != "digest" {
			reply(zkwire.AuthFailed, nil)
			return true
		}
		c.auth = append(c.auth, Digest(auth))
		if c.session != nil {
			c.session.auth = c.auth
		}
		return reply(zkwire.OK, nil)
	case zkwire.OpSync:
		path := r.String()
		if !s.acceptsNewerClients {
			s.catchUp(time.Now(), e.history.zxid)
		}
		return reply(zkwire.OK, func(b []byte) []byte { return zkwire.AppendString(b, path) })
	case zkwire.OpExists, zkwire.OpGetData, zkwire.OpGetChildren, zkwire.OpGetChildren2, zkwire.OpGetACL:
		s.reads.Add(1)
		return c.read(r, op, reply)
	case zkwire.OpSetWatches, zkwire.OpSetWatches2:
		if op == zkwire.OpSetWatches2 && e.opts.Before35 {
			return reply(zkwire.Unimplemented, nil)
		}
		w := r.SetWatches(op == zkwire.OpSetWatches2)
		if r.Err() != nil {
			return false
		}
		c.setWatches(&w)
		return reply(zkwire.OK, nil)
	case zkwire.OpAddWatch:
		path, mode := r.String(), r.Int()
		switch {
		case e.opts.Before35:
			return reply(zkwire.Unimplemented, nil)
		case r.Err() != nil || !valid(path) || mode != zkwire.WatchPersistent && mode != zkwire.WatchPersistentRecursive:
			return reply(zkwire.BadArguments, nil)
		}
		s.persistent.add(path, c, mode == zkwire.WatchPersistentRecursive)
		return reply(zkwire.OK, func(b []byte) []byte { return zkwire.AppendInt(b, 0) })
	}
	if c.readOnly {
		return reply(zkwire.NotReadOnly, nil)
	}
	if op == zkwire.OpMulti {
		return c.multi(r, reply)
	}
	if op == zkwire.OpCreate2 && e.opts.Before35 {
		return reply(zkwire.Unimplemented, nil)
	}
	w := &changeSet{c: c, t: e.history}
	body, code := w.do(r, op)
	if r.Err() != nil {
		return false
	}
	if code == zkwire.OK && len(w.changes) > 0 {
		s.catchUp(time.Now(), e.commit(w.changes))
	}
	return reply(code, body)
}

// read answers a request that reads one node.
func (c *conn) read(r *zkwire.Reader, op zkwire.Op, reply func(zkwire.Code, func([]byte) []byte) bool) bool {
	path := r.String()
	watch := op != zkwire.OpGetACL && r.Bool()
	if r.Err() != nil || !valid(path) {
		return reply(zkwire.BadArguments, nil)
	}
	n := c.server.tree.nodes[path]
	if n == nil {
		if watch && op == zkwire.OpExists {
			c.server.data.add(path, c, false)
		}
		return reply(zkwire.NoNode, nil)
	}
	if op != zkwire.OpExists && !allows(n.acl, c.auth, zkwire.PermRead) {
		return reply(zkwire.NoAuth, nil)
	}
	switch op {
	case zkwire.OpExists, zkwire.OpGetData:
		if watch {
			c.server.data.add(path, c, false)
		}
	case zkwire.OpGetChildren, zkwire.OpGetChildren2:
		if watch {
			c.server.child.add(path, c, false)
		}
	}
	return reply(zkwire.OK, func(b []byte) []byte {
		switch op {
		case zkwire.OpGetData:
			b = zkwire.AppendBuffer(b, n.data)
		case zkwire.OpGetChildren, zkwire.OpGetChildren2:
			if b = zkwire.AppendStrings(b, n.names()); op == zkwire.OpGetChildren {
				return b
			}
		case zkwire.OpGetACL:
			b = zkwire.AppendACLs(b, n.acl)
		}
		return n.stat.Append(b)
	})
}

// setWatches restores watches after a reconnect and sends events for what changed since the zxid of the
// request.
func (c *conn) setWatches(w *zkwire.SetWatches) {
	t := c.server.tree
	for _, p := range w.Data {
		switch n := t.nodes[p]; {
		case n == nil:
			c.event(zkwire.NodeDeleted, p)
		case n.stat.Mzxid > w.Zxid:
			c.event(zkwire.NodeDataChanged, p)
		default:
			c.server.data.add(p, c, false)
		}
	}
	for _, p := range w.Exist {
		if t.nodes[p] != nil {
			c.event(zkwire.NodeCreated, p)
		} else {
			c.server.data.add(p, c, false)
		}
	}
	for _, p := range w.Child {
		switch n := t.nodes[p]; {
		case n == nil:
			c.event(zkwire.NodeDeleted, p)
		case n.stat.Pzxid > w.Zxid:
			c.event(zkwire.NodeChildrenChanged, p)
		default:
			c.server.child.add(p, c, false)
		}
	}
	for _, p := range w.Persistent {
		c.server.persistent.add(p, c, false)
	}
	for _, p := range w.Recursive {
		c.server.persistent.add(p, c, true)
	}
}

// changeSet checks operations on a tree and collects their changes. Within a multi, later operations see the
// changes of earlier ones.
type changeSet struct {
	c       *conn
	t       *tree
	changes []change
}

// do checks an operation and returns the body of its reply.
func (w *changeSet) do(r *zkwire.Reader, op zkwire.Op) (func([]byte) []byte, zkwire.Code) {
	path := r.String()
	if !valid(path) {
		return nil, zkwire.BadArguments
	}
	allowed := func(path string, perm int32) bool { return allows(w.t.nodes[path].acl, w.c.auth, perm) }
	switch op {
	case zkwire.OpCreate, zkwire.OpCreate2:
		data, acl, flags := append([]byte{}, r.Buffer()...), r.ACLs(), r.Int()
		parentNode := w.t.nodes[parent(path)]
		switch {
		case r.Err() != nil:
			return nil, zkwire.MarshallingError
		case len(acl) == 0:
			return nil, zkwire.InvalidACL
		case parentNode == nil:
			return nil, zkwire.NoNode
		case parentNode.stat.EphemeralOwner != 0:
			return nil, zkwire.EphemeralChildren
		case !allowed(parent(path), zkwire.PermCreate):
			return nil, zkwire.NoAuth
		}
		for i := range acl {
			if acl[i].Scheme == "auth" {
				if len(w.c.auth) == 0 {
					return nil, zkwire.InvalidACL
				}
				acl[i].Scheme, acl[i].ID = "digest", w.c.auth[0]
			}
		}
		if flags&zkwire.FlagSequential != 0 {
			path = sequence(path, parentNode.nextSequence)
		}
		if w.t.nodes[path] != nil {
			return nil, zkwire.NodeExists
		}
		owner := int64(0)
		if flags&zkwire.FlagEphemeral != 0 {
			owner = w.c.session.id
		}
		w.add(change{kind: created, path: path, data: data, acl: acl, owner: owner})
		return func(b []byte) []byte {
			if b = zkwire.AppendString(b, path); op == zkwire.OpCreate2 {
				b = w.c.server.tree.nodes[path].stat.Append(b)
			}
			return b
		}, zkwire.OK
	case zkwire.OpDelete, zkwire.OpSetData, zkwire.OpCheck, zkwire.OpSetACL:
		var data []byte
		var acl []zkwire.ACL
		switch op {
		case zkwire.OpSetData:
			data = append([]byte{}, r.Buffer()...)
		case zkwire.OpSetACL:
			acl = r.ACLs()
		}
		version := r.Int()
		n := w.t.nodes[path]
		switch {
		case r.Err() != nil:
			return nil, zkwire.MarshallingError
		case n == nil:
			return nil, zkwire.NoNode
		case version != -1 && version != n.stat.Version && op != zkwire.OpSetACL:
			return nil, zkwire.BadVersion
		}
		switch op {
		case zkwire.OpDelete:
			if !allowed(parent(path), zkwire.PermDelete) {
				return nil, zkwire.NoAuth
			}
			if len(n.children) > 0 {
				return nil, zkwire.NotEmpty
			}
			w.add(change{kind: deleted, path: path})
			return nil, zkwire.OK
		case zkwire.OpCheck:
			return nil, zkwire.OK
		}
		perm, kind := int32(zkwire.PermWrite), changed
		if op == zkwire.OpSetACL {
			perm, kind = zkwire.PermAdmin, aclSet
		}
		if !allowed(path, perm) {
			return nil, zkwire.NoAuth
		}
		w.add(change{kind: kind, path: path, data: data, acl: acl})
		return func(b []byte) []byte { return w.c.server.tree.nodes[path].stat.Append(b) }, zkwire.OK
	}
	return nil, zkwire.Unimplemented
}

func (w *changeSet) add(c change) { w.changes = append(w.changes, c) }

// multi applies all operations of a request, or none if one fails.
func (c *conn) multi(r *zkwire.Reader, reply func(zkwire.Code, func([]byte) []byte) bool) bool {
	scratch := c.server.ensemble.history.copyOf()
	w := &changeSet{c: c, t: scratch}
	type result struct {
		op   zkwire.Op
		body func([]byte) []byte
		code zkwire.Code
	}
	var results []result
	failed := -1
	for {
		h := r.MultiHeader()
		if r.Err() != nil {
			return false
		}
		if h.Done {
			break
		}
		before := len(w.changes)
		body, code := w.do(r, h.Type)
		if code != zkwire.OK && failed < 0 {
			failed = len(results)
		}
		results = append(results, result{h.Type, body, code})
		scratch.apply(&txn{zxid: scratch.zxid + 1, ms: time.Now().UnixMilli(), changes: w.changes[before:]})
	}
	if failed < 0 && len(w.changes) > 0 {
		c.server.catchUp(time.Now(), c.server.ensemble.commit(w.changes))
	}
	return reply(zkwire.OK, func(b []byte) []byte {
		for i, x := range results {
			if failed >= 0 {
				code := zkwire.OK
				switch {
				case i == failed:
					code = x.code
				case i > failed:
					code = zkwire.RolledBack
				}
				b = zkwire.AppendInt(zkwire.MultiHeader{Type: zkwire.OpError, Err: code}.Append(b), int32(code))
				continue
			}
			if b = (zkwire.MultiHeader{Type: x.op}).Append(b); x.body != nil {
				b = x.body(b)
			}
		}
		return zkwire.MultiHeader{Type: zkwire.OpError, Done: true, Err: -1}.Append(b)
	})
}
