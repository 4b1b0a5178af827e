package zkwire

import "fmt"

// Op is an operation's code.
type Op int32

// The operations.
const (
	OpNotification  Op = 0
	OpCreate        Op = 1
	OpDelete        Op = 2
	OpExists        Op = 3
	OpGetData       Op = 4
	OpSetData       Op = 5
	OpGetACL        Op = 6
	OpSetACL        Op = 7
	OpGetChildren   Op = 8
	OpSync          Op = 9
	OpPing          Op = 11
	OpGetChildren2  Op = 12
	OpCheck         Op = 13
	OpMulti         Op = 14
	OpCreate2       Op = 15
	OpAuth          Op = 100
	OpSetWatches    Op = 101
	OpSetWatches2   Op = 105
	OpAddWatch      Op = 106
	OpCreateSession Op = -10
	OpCloseSession  Op = -11
	OpError         Op = -1
)

// Code is an error's code; 0 is none.
type Code int32

// The errors.
const (
	OK                Code = 0
	SystemError       Code = -1
	ConnectionLoss    Code = -4
	MarshallingError  Code = -5
	Unimplemented     Code = -6
	BadArguments      Code = -8
	NoNode            Code = -101
	NoAuth            Code = -102
	BadVersion        Code = -103
	EphemeralChildren Code = -108
	NodeExists        Code = -110
	NotEmpty          Code = -111
	SessionExpired    Code = -112
	InvalidACL        Code = -114
	AuthFailed        Code = -115
	NotReadOnly       Code = -119
	RolledBack        Code = -2
)

var codes = map[Code]string{OK: "ok", SystemError: "system error", ConnectionLoss: "connection loss", MarshallingError: "marshalling error",
	Unimplemented: "unimplemented", BadArguments: "bad arguments", NoNode: "no node", NoAuth: "not authorised", BadVersion: "bad version",
	EphemeralChildren: "ephemeral nodes have no children", NodeExists: "node exists", NotEmpty: "node has children",
	SessionExpired: "session expired", InvalidACL: "invalid ACL", AuthFailed: "authentication failed",
	NotReadOnly: "the server is read-only", RolledBack: "rolled back"}

func (c Code) Error() string {
	if s := codes[c]; s != "" {
		return "zookeeper: " + s
	}
	return fmt.Sprintf("zookeeper: error %d", int32(c))
}

// Transaction ids of what is no reply to a request.
const (
	XidEvent      = -1
	XidPing       = -2
	XidAuth       = -4
	XidSetWatches = -8
)

// Event is what a watch tells.
type Event int32

// The events.
const (
	NodeCreated         Event = 1
	NodeDeleted         Event = 2
	NodeDataChanged     Event = 3
	NodeChildrenChanged Event = 4
)

// SyncConnected is the state that events of nodes carry.
const SyncConnected = 3

// Flags of a node that is created.
const (
	FlagEphemeral  = 1
	FlagSequential = 2
)

// Modes of AddWatch.
const (
	WatchPersistent          = 0
	WatchPersistentRecursive = 1
)

// Permissions of an ACL.
const (
	PermRead   = 1
	PermWrite  = 2
	PermCreate = 4
	PermDelete = 8
	PermAdmin  = 16
	PermAll    = 31
)

// Connect is the first record on a connection, and its answer. Both have the same form, but that the
// request begins with the last zxid that the client saw.
type Connect struct {
	LastZxid    int64 // request only
	TimeoutMs   int32 // ms; 0 in an answer: the session has expired
	Session     int64
	Password    []byte
	ReadOnly    bool
	HasReadOnly bool // whether the read-only byte was there: servers and clients before 3.4 have none
}

// AppendRequest appends the request's form.
func (c *Connect) AppendRequest(b []byte) []byte {
	b = AppendInt(b, 0)
	b = AppendLong(b, c.LastZxid)
	return c.appendCommon(b)
}

// AppendResponse appends the answer's form.
func (c *Connect) AppendResponse(b []byte) []byte { return c.appendCommon(AppendInt(b, 0)) }

func (c *Connect) appendCommon(b []byte) []byte {
	b = AppendInt(b, c.TimeoutMs)
	b = AppendLong(b, c.Session)
	b = AppendBuffer(b, c.Password)
	if c.HasReadOnly {
		b = AppendBool(b, c.ReadOnly)
	}
	return b
}

// Connect reads a Connect, as a request or as an answer.
func (r *Reader) Connect(request bool) (c Connect) {
	r.Int() // the protocol's version, 0
	if request {
		c.LastZxid = r.Long()
	}
	c.TimeoutMs, c.Session = r.Int(), r.Long()
	c.Password = append([]byte(nil), r.Buffer()...)
	if r.Len() > 0 {
		c.ReadOnly, c.HasReadOnly = r.Bool(), true
	}
	return c
}

// ReplyHeader stands before each reply and event.
type ReplyHeader struct {
	Xid  int32
	Zxid int64 // last change that the server had seen
	Err  Code
}

// Append appends it.
func (h ReplyHeader) Append(b []byte) []byte {
	return AppendInt(AppendLong(AppendInt(b, h.Xid), h.Zxid), int32(h.Err))
}

// ReplyHeader reads one.
func (r *Reader) ReplyHeader() ReplyHeader {
	return ReplyHeader{Xid: r.Int(), Zxid: r.Long(), Err: Code(r.Int())}
}

// AppendRequest appends a request's header.
func AppendRequest(b []byte, xid int32, op Op) []byte { return AppendInt(AppendInt(b, xid), int32(op)) }

// Stat is what a server knows of a node.
type Stat struct {
	Czxid, Mzxid       int64 // changes that made and last modified it
	Ctime, Mtime       int64 // Unix ms, by the server's clock
	Version            int32
	Cversion, Aversion int32
	EphemeralOwner     int64 // session of an ephemeral node, else 0
	DataLength         int32
	NumChildren        int32
	Pzxid              int64 // last change of its children
}

// Append appends it.
func (s *Stat) Append(b []byte) []byte {
	b = AppendLong(AppendLong(AppendLong(AppendLong(b, s.Czxid), s.Mzxid), s.Ctime), s.Mtime)
	b = AppendInt(AppendInt(AppendInt(b, s.Version), s.Cversion), s.Aversion)
	b = AppendInt(AppendInt(AppendLong(b, s.EphemeralOwner), s.DataLength), s.NumChildren)
	return AppendLong(b, s.Pzxid)
}

// Stat reads one.
func (r *Reader) Stat() Stat {
	return Stat{Czxid: r.Long(), Mzxid: r.Long(), Ctime: r.Long(), Mtime: r.Long(), Version: r.Int(), Cversion: r.Int(),
		Aversion: r.Int(), EphemeralOwner: r.Long(), DataLength: r.Int(), NumChildren: r.Int(), Pzxid: r.Long()}
}

// WatchEvent is an event with its node.
type WatchEvent struct {
	Type  Event
	State int32
	Path  string
}

// Append appends it.
func (e *WatchEvent) Append(b []byte) []byte {
	return AppendString(AppendInt(AppendInt(b, int32(e.Type)), e.State), e.Path)
}

// WatchEvent reads one.
func (r *Reader) WatchEvent() WatchEvent {
	return WatchEvent{Type: Event(r.Int()), State: r.Int(), Path: r.String()}
}

// ACL is one entry of a node's access control list.
type ACL struct {
	Perms      int32
	Scheme, ID string
}

// OpenACL lets everybody do all.
var OpenACL = []ACL{{PermAll, "world", "anyone"}}

// AppendACLs appends a list.
func AppendACLs(b []byte, list []ACL) []byte {
	b = AppendInt(b, int32(len(list)))
	for _, a := range list {
		b = AppendString(AppendString(AppendInt(b, a.Perms), a.Scheme), a.ID)
	}
	return b
}

// ACLs reads a list.
func (r *Reader) ACLs() []ACL {
	n := r.count(12)
	out := make([]ACL, 0, n)
	for range n {
		out = append(out, ACL{Perms: r.Int(), Scheme: r.String(), ID: r.String()})
	}
	return out
}

// SetWatches are the watches that a client had and asks for anew; what changed since Zxid is told at once.
type SetWatches struct {
	Zxid                                      int64
	Data, Exist, Child, Persistent, Recursive []string
}

// Append appends it, in the form of OpSetWatches2 where two.
func (s *SetWatches) Append(b []byte, two bool) []byte {
	b = AppendLong(b, s.Zxid)
	b = AppendStrings(AppendStrings(AppendStrings(b, s.Data), s.Exist), s.Child)
	if two {
		b = AppendStrings(AppendStrings(b, s.Persistent), s.Recursive)
	}
	return b
}

// SetWatches reads one.
func (r *Reader) SetWatches(two bool) (s SetWatches) {
	s.Zxid = r.Long()
	s.Data, s.Exist, s.Child = r.Strings(), r.Strings(), r.Strings()
	if two {
		s.Persistent, s.Recursive = r.Strings(), r.Strings()
	}
	return s
}

// MultiHeader stands before each operation of a multi and of its reply, and ends both.
type MultiHeader struct {
	Type Op
	Done bool
	Err  Code
}

// Append appends it.
func (h MultiHeader) Append(b []byte) []byte {
	return AppendInt(AppendBool(AppendInt(b, int32(h.Type)), h.Done), int32(h.Err))
}

// MultiHeader reads one.
func (r *Reader) MultiHeader() MultiHeader {
	return MultiHeader{Type: Op(r.Int()), Done: r.Bool(), Err: Code(r.Int())}
}
