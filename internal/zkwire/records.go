package zkwire

// Connect is the first record on a connection, and the response to it. Both have the same fields, except that
// only the request has the last transaction id that the client saw.
type Connect struct {
	LastZxid    int64 // request only
	TimeoutMs   int32 // of the session; 0 in a response: the session has expired
	Session     int64
	Password    []byte
	ReadOnly    bool
	HasReadOnly bool // the read-only byte is present; servers and clients before 3.4 do not send it
}

// protocolVersion is the only version of the protocol.
const protocolVersion = 0

// AppendRequest appends the request.
func (c *Connect) AppendRequest(b []byte) []byte {
	b = AppendInt(b, protocolVersion)
	b = AppendLong(b, c.LastZxid)
	return c.appendCommon(b)
}

// AppendResponse appends the response.
func (c *Connect) AppendResponse(b []byte) []byte {
	b = AppendInt(b, protocolVersion)
	return c.appendCommon(b)
}

func (c *Connect) appendCommon(b []byte) []byte {
	b = AppendInt(b, c.TimeoutMs)
	b = AppendLong(b, c.Session)
	b = AppendBuffer(b, c.Password)
	if c.HasReadOnly {
		b = AppendBool(b, c.ReadOnly)
	}
	return b
}

// Connect reads a Connect, as a request or as a response.
func (r *Reader) Connect(request bool) Connect {
	var c Connect
	r.Int() // protocolVersion
	if request {
		c.LastZxid = r.Long()
	}
	c.TimeoutMs = r.Int()
	c.Session = r.Long()
	c.Password = append([]byte(nil), r.Buffer()...)
	if r.Len() > 0 {
		c.ReadOnly = r.Bool()
		c.HasReadOnly = true
	}
	return c
}

// AppendRequest appends the header of a request.
func AppendRequest(b []byte, xid int32, op Op) []byte {
	b = AppendInt(b, xid)
	return AppendInt(b, int32(op))
}

// ReplyHeader precedes each reply and event.
type ReplyHeader struct {
	Xid  int32 // of the request, or one of the Xid constants
	Zxid int64 // id of the last transaction that the server had seen
	Err  Code
}

// Append appends the header.
func (h ReplyHeader) Append(b []byte) []byte {
	b = AppendInt(b, h.Xid)
	b = AppendLong(b, h.Zxid)
	return AppendInt(b, int32(h.Err))
}

// ReplyHeader reads a ReplyHeader.
func (r *Reader) ReplyHeader() ReplyHeader {
	return ReplyHeader{Xid: r.Int(), Zxid: r.Long(), Err: Code(r.Int())}
}

// Stat is the metadata of a node.
type Stat struct {
	Czxid          int64 // transaction that created the node
	Mzxid          int64 // transaction that last modified it
	Ctime          int64 // Unix ms by the server's clock
	Mtime          int64 // Unix ms by the server's clock
	Version        int32 // of the data
	Cversion       int32 // of the children
	Aversion       int32 // of the ACL
	EphemeralOwner int64 // session of an ephemeral node, else 0
	DataLength     int32 // bytes
	NumChildren    int32
	Pzxid          int64 // transaction that last modified the children
}

// Append appends the metadata.
func (s *Stat) Append(b []byte) []byte {
	b = AppendLong(b, s.Czxid)
	b = AppendLong(b, s.Mzxid)
	b = AppendLong(b, s.Ctime)
	b = AppendLong(b, s.Mtime)
	b = AppendInt(b, s.Version)
	b = AppendInt(b, s.Cversion)
	b = AppendInt(b, s.Aversion)
	b = AppendLong(b, s.EphemeralOwner)
	b = AppendInt(b, s.DataLength)
	b = AppendInt(b, s.NumChildren)
	return AppendLong(b, s.Pzxid)
}

// Stat reads a Stat.
func (r *Reader) Stat() Stat {
	return Stat{
		Czxid:          r.Long(),
		Mzxid:          r.Long(),
		Ctime:          r.Long(),
		Mtime:          r.Long(),
		Version:        r.Int(),
		Cversion:       r.Int(),
		Aversion:       r.Int(),
		EphemeralOwner: r.Long(),
		DataLength:     r.Int(),
		NumChildren:    r.Int(),
		Pzxid:          r.Long(),
	}
}

// WatchEvent is the event of a watch.
type WatchEvent struct {
	Type  Event
	State int32 // of the connection
	Path  string
}

// Append appends the event.
func (e *WatchEvent) Append(b []byte) []byte {
	b = AppendInt(b, int32(e.Type))
	b = AppendInt(b, e.State)
	return AppendString(b, e.Path)
}

// WatchEvent reads a WatchEvent.
func (r *Reader) WatchEvent() WatchEvent {
	return WatchEvent{Type: Event(r.Int()), State: r.Int(), Path: r.String()}
}

// ACL is one entry of a node's access control list.
type ACL struct {
	Perms  int32
	Scheme string
	ID     string
}

// minACLBytes is the size of an ACL with empty strings.
const minACLBytes = 12

// OpenACL grants all permissions to everyone.
var OpenACL = []ACL{{PermAll, "world", "anyone"}}

// AppendACLs appends an access control list.
func AppendACLs(b []byte, list []ACL) []byte {
	b = AppendInt(b, int32(len(list)))
	for _, acl := range list {
		b = AppendInt(b, acl.Perms)
		b = AppendString(b, acl.Scheme)
		b = AppendString(b, acl.ID)
	}
	return b
}

// ACLs reads an access control list.
func (r *Reader) ACLs() []ACL {
	n := r.vectorLen(minACLBytes)
	out := make([]ACL, 0, n)
	for range n {
		out = append(out, ACL{Perms: r.Int(), Scheme: r.String(), ID: r.String()})
	}
	return out
}

// SetWatches restores the watches of a session. The server sends events at once for what changed since Zxid.
type SetWatches struct {
	Zxid       int64
	Data       []string
	Exist      []string
	Child      []string
	Persistent []string // OpSetWatches2 only
	Recursive  []string // OpSetWatches2 only
}

// Append appends the record for OpSetWatches or, with setWatches2, for OpSetWatches2.
func (s *SetWatches) Append(b []byte, setWatches2 bool) []byte {
	b = AppendLong(b, s.Zxid)
	b = AppendStrings(b, s.Data)
	b = AppendStrings(b, s.Exist)
	b = AppendStrings(b, s.Child)
	if setWatches2 {
		b = AppendStrings(b, s.Persistent)
		b = AppendStrings(b, s.Recursive)
	}
	return b
}

// SetWatches reads a SetWatches of OpSetWatches or, with setWatches2, of OpSetWatches2.
func (r *Reader) SetWatches(setWatches2 bool) SetWatches {
	s := SetWatches{
		Zxid:  r.Long(),
		Data:  r.Strings(),
		Exist: r.Strings(),
		Child: r.Strings(),
	}
	if setWatches2 {
		s.Persistent = r.Strings()
		s.Recursive = r.Strings()
	}
	return s
}

// MultiHeader precedes each operation of a multi request and each result in its reply; a last one ends both.
type MultiHeader struct {
	Type Op
	Done bool // this is the last header
	Err  Code
}

// Append appends the header.
func (h MultiHeader) Append(b []byte) []byte {
	b = AppendInt(b, int32(h.Type))
	b = AppendBool(b, h.Done)
	return AppendInt(b, int32(h.Err))
}

// MultiHeader reads a MultiHeader.
func (r *Reader) MultiHeader() MultiHeader {
	return MultiHeader{Type: Op(r.Int()), Done: r.Bool(), Err: Code(r.Int())}
}
