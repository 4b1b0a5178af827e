package zk

import (
	"crypto/sha1"
	"encoding/base64"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// node is one of a tree.
type node struct {
	data     []byte
	acl      []zkwire.ACL
	stat     zkwire.Stat
	children map[string]struct{}
	next     int32 // of sequential children
}

// tree is what one server has applied, or what is committed.
type tree struct {
	nodes map[string]*node
	zxid  int64
}

func newTree() *tree {
	return &tree{nodes: map[string]*node{"/": {acl: zkwire.OpenACL, children: map[string]struct{}{}}}}
}

// kind is what a change does.
type kind uint8

const (
	created kind = iota
	deleted
	changed
	aclSet
)

// change is one node's part of a transaction.
type change struct {
	kind kind
	path string
	data []byte
	acl  []zkwire.ACL
	own  int64
}

// txn is a committed transaction; a session's end deletes many nodes in one.
type txn struct {
	zxid    int64
	ms      int64
	changes []change
}

func parent(path string) string {
	if i := strings.LastIndexByte(path, '/'); i > 0 {
		return path[:i]
	}
	return "/"
}

func base(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// apply carries out a transaction that was checked. It is the same on every server.
func (t *tree) apply(x *txn) {
	for i := range x.changes {
		t.applyOne(x, &x.changes[i])
	}
	t.zxid = x.zxid
}

func (t *tree) applyOne(x *txn, c *change) {
	p := t.nodes[parent(c.path)]
	switch c.kind {
	case created:
		t.nodes[c.path] = &node{data: c.data, acl: c.acl, children: map[string]struct{}{}, stat: zkwire.Stat{Czxid: x.zxid, Mzxid: x.zxid,
			Pzxid: x.zxid, Ctime: x.ms, Mtime: x.ms, EphemeralOwner: c.own, DataLength: int32(len(c.data))}}
		p.children[base(c.path)] = struct{}{}
		p.next++
		p.stat.Cversion++
		p.stat.Pzxid, p.stat.NumChildren = x.zxid, int32(len(p.children))
	case deleted:
		delete(t.nodes, c.path)
		delete(p.children, base(c.path))
		p.stat.Cversion++
		p.stat.Pzxid, p.stat.NumChildren = x.zxid, int32(len(p.children))
	case changed:
		n := t.nodes[c.path]
		n.data = c.data
		n.stat.Mzxid, n.stat.Mtime, n.stat.DataLength = x.zxid, x.ms, int32(len(c.data))
		n.stat.Version++
	case aclSet:
		n := t.nodes[c.path]
		n.acl = c.acl
		n.stat.Aversion++
	}
}

// copyOf is a tree of its own, with the same nodes.
func (t *tree) copyOf() *tree {
	out := &tree{nodes: make(map[string]*node, len(t.nodes)), zxid: t.zxid}
	for path, n := range t.nodes {
		c := *n
		c.children = make(map[string]struct{}, len(n.children))
		for name := range n.children {
			c.children[name] = struct{}{}
		}
		out.nodes[path] = &c
	}
	return out
}

func (n *node) names() []string {
	out := make([]string, 0, len(n.children))
	for name := range n.children {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// valid tells whether a path is one.
func valid(path string) bool {
	return path == "/" || strings.HasPrefix(path, "/") && !strings.HasSuffix(path, "/") && !strings.Contains(path, "//") &&
		!strings.ContainsRune(path, 0)
}

// Digest is the id under the scheme "digest" of who knows "user:password".
func Digest(auth string) string {
	user, _, _ := strings.Cut(auth, ":")
	sum := sha1.Sum([]byte(auth))
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}

// may tells whether one with these digest ids has a permission.
func may(acl []zkwire.ACL, ids []string, perm int32) bool {
	for _, a := range acl {
		if a.Perms&perm == 0 {
			continue
		}
		if a.Scheme == "world" && a.ID == "anyone" || a.Scheme == "digest" && slices.Contains(ids, a.ID) {
			return true
		}
	}
	return false
}
