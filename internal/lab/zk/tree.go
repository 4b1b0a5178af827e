package zk

import (
	"crypto/sha1"
	"encoding/base64"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// node is a node of a tree.
type node struct {
	data         []byte
	acl          []zkwire.ACL
	stat         zkwire.Stat
	children     map[string]struct{}
	nextSequence int32 // of sequential children
}

// tree is the state that a server has applied, or the committed state.
type tree struct {
	nodes map[string]*node
	zxid  int64
}

func newTree() *tree {
	return &tree{nodes: map[string]*node{"/": {acl: zkwire.OpenACL, children: map[string]struct{}{}}}}
}

// changeKind is what a change does to its node.
type changeKind uint8

const (
	created changeKind = iota
	deleted
	changed
	aclSet
)

// change is a change of one node in a transaction.
type change struct {
	kind  changeKind
	path  string
	data  []byte
	acl   []zkwire.ACL
	owner int64 // session of an ephemeral node; 0: persistent
}

// txn is a committed transaction. The end of a session deletes all its ephemeral nodes in one.
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

// apply applies a committed transaction. The result is the same on every server.
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
			Pzxid: x.zxid, Ctime: x.ms, Mtime: x.ms, EphemeralOwner: c.owner, DataLength: int32(len(c.data))}}
		p.children[base(c.path)] = struct{}{}
		p.nextSequence++
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

// copyOf returns an independent copy.
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

// valid reports whether a path is valid.
func valid(path string) bool {
	return path == "/" || strings.HasPrefix(path, "/") && !strings.HasSuffix(path, "/") && !strings.Contains(path, "//") &&
		!strings.ContainsRune(path, 0)
}

// Digest returns the ACL ID of "user:password" for the scheme "digest".
func Digest(auth string) string {
	user, _, _ := strings.Cut(auth, ":")
	sum := sha1.Sum([]byte(auth))
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}

// allows reports whether an ACL grants a permission to a client with these digest IDs.
func allows(acl []zkwire.ACL, ids []string, perm int32) bool {
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
