package zk

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// outbox bounds what a connection may have unread; one with more is closed.
const outbox = 1 << 15

// Server is one of an ensemble.
type Server struct {
	Addr  string
	Index int

	e       *Ensemble
	a       *lab.Acceptor
	tree    *tree
	conns   map[*conn]struct{}
	data    watches // of getData and exists
	child   watches
	persist watches // each also in recursive or not
	lag     time.Duration
	trusts  bool // takes clients that have seen more than it has
	down    bool
	ro      bool
	slow    atomic.Int64 // ns before each frame that goes out, drawn evenly up to twice that
	hang    atomic.Bool
	corrupt atomic.Int64 // frames that go out corrupt
	bytes   atomic.Int64 // gone out
	reads   atomic.Int64 // requests that read
}

// watches are connections by the path that they watch.
type watches map[string]map[*conn]bool // true: recursive

func (w watches) add(path string, c *conn, recursive bool) {
	if w[path] == nil {
		w[path] = map[*conn]bool{}
	}
	w[path][c] = recursive
}

func (w watches) drop(c *conn) {
	for path, m := range w {
		if delete(m, c); len(m) == 0 {
			delete(w, path)
		}
	}
}

func newServer(e *Ensemble, i int) (*Server, error) {
	s := &Server{Index: i, e: e, tree: e.history.copyOf(), conns: map[*conn]struct{}{}, data: watches{}, child: watches{}, persist: watches{}}
	var err error
	if s.a, err = lab.Accept(s.serve); err != nil {
		return nil, err
	}
	s.Addr = s.a.Addr
	return s, nil
}

func (s *Server) close() { s.a.Close() }

// ---- faults ----

// SetLag makes the server apply what is committed so much later; its clients may read the past.
func (s *Server) SetLag(d time.Duration) { s.locked(func() { s.lag = d }) }

// SetDown hangs up on all clients and takes none.
func (s *Server) SetDown(down bool) {
	s.locked(func() {
		if s.down = down; down {
			s.cut()
		}
	})
}

// SetReadOnly makes the server one that lost the others: it serves reads to clients that allow it.
func (s *Server) SetReadOnly(ro bool) { s.locked(func() { s.ro = ro; s.cut() }) }

// SetAcceptsNewerClients makes the server take clients that have seen more than it has, which a sound one refuses, and
// answer a sync without having caught up.
func (s *Server) SetAcceptsNewerClients(on bool) { s.locked(func() { s.trusts = on }) }

// SetHalfOpen makes connections half-open: nothing more is read or written, and none is closed.
func (s *Server) SetHalfOpen(on bool) { s.hang.Store(on) }

// SetSlow delays each frame that goes out by up to twice d; each connection keeps its order, connections
// among each other do not.
func (s *Server) SetSlow(d time.Duration) { s.slow.Store(int64(d)) }

// Corrupt makes the next n frames that go out unreadable.
func (s *Server) Corrupt(n int) { s.corrupt.Store(int64(n)) }

// ResetConnections resets all connections; sessions live on.
func (s *Server) ResetConnections() { s.locked(s.cut) }

// Bytes is what has gone out, Reads the number of requests that read.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// Reads is the number of requests that read.
func (s *Server) Reads() int64 { return s.reads.Load() }

// Conns is the number of connections with a session.
func (s *Server) Conns() (n int) {
	s.locked(func() { n = len(s.conns) })
	return n
}

func (s *Server) locked(f func()) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	f()
}

func (s *Server) cut() {
	for c := range s.conns {
		c.close()
	}
}

// catchUp applies what is old enough, and all up to a zxid. The lock is held.
func (s *Server) catchUp(now time.Time, upTo int64) {
	for _, x := range s.e.log {
		if x.zxid <= s.tree.zxid {
			continue
		}
		if x.zxid > upTo && now.UnixMilli()-x.ms < s.lag.Milliseconds() {
			return
		}
		for i := range x.changes {
			s.tree.applyOne(x, &x.changes[i])
			s.fire(&x.changes[i])
		}
		s.tree.zxid = x.zxid
	}
}

// fire tells the watches of a change.
func (s *Server) fire(c *change) {
	switch c.kind {
	case created:
		s.tell(zkwire.NodeCreated, c.path, s.data)
	case deleted:
		s.tell(zkwire.NodeDeleted, c.path, s.data, s.child)
	case changed:
		s.tell(zkwire.NodeDataChanged, c.path, s.data)
		return
	default:
		return
	}
	s.tell(zkwire.NodeChildrenChanged, parent(c.path), s.child)
}

func (s *Server) tell(ev zkwire.Event, path string, tables ...watches) {
	told := map[*conn]bool{}
	for _, w := range tables {
		for c := range w[path] {
			told[c] = true
		}
		delete(w, path)
	}
	for p := path; ; p = parent(p) {
		for c, recursive := range s.persist[p] {
			// A recursive one hears of each node below it, and so needs no word of children.
			if recursive && ev != zkwire.NodeChildrenChanged || !recursive && p == path {
				told[c] = true
			}
		}
		if p == "/" {
			break
		}
	}
	for c := range told {
		c.event(ev, path)
	}
}

// ---- connections ----

// conn is a client's connection.
type conn struct {
	s       *Server
	nc      net.Conn
	out     chan []byte
	session *session
	ro      bool
	auth    []string
	once    sync.Once
	over    chan struct{}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.over)
		c.nc.Close()
	})
}

// send queues a frame. The lock is held, which keeps replies and events in their order.
func (c *conn) send(write func([]byte) []byte) {
	select {
	case c.out <- zkwire.Frame(write):
	default:
		c.close()
	}
}

func (c *conn) event(ev zkwire.Event, path string) {
	e := zkwire.WatchEvent{Type: ev, State: zkwire.SyncConnected, Path: path}
	c.send(func(b []byte) []byte { return e.Append(zkwire.ReplyHeader{Xid: zkwire.XidEvent, Zxid: -1}.Append(b)) })
}

// write writes what is queued.
func (c *conn) write() {
	for {
		select {
		case b := <-c.out:
			if d := c.s.slow.Load(); d > 0 {
				c.s.e.mu.Lock()
				d = c.s.e.rng.Int64N(2 * d)
				c.s.e.mu.Unlock()
				select {
				case <-time.After(time.Duration(d)):
				case <-c.over:
					return
				}
			}
			for c.s.hang.Load() {
				select {
				case <-time.After(time.Millisecond):
				case <-c.over:
					return
				}
			}
			if c.s.corrupt.Load() > 0 && c.s.corrupt.Add(-1) >= 0 {
				for i := 4 + 16; i < len(b); i++ { // all behind a reply's header
					b[i] = 0x7f
				}
			}
			c.s.bytes.Add(int64(len(b)))
			if _, err := c.nc.Write(b); err != nil {
				c.close()
				return
			}
		case <-c.over:
			return
		}
	}
}

// frame reads one, or says that there is none.
func (c *conn) frame() ([]byte, bool) {
	var head [4]byte
	if _, err := io.ReadFull(c.nc, head[:]); err != nil {
		return nil, false
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > 4<<20 {
		return nil, false
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c.nc, b); err != nil {
		return nil, false
	}
	for c.s.hang.Load() {
		select {
		case <-time.After(time.Millisecond):
		case <-c.over:
			return nil, false
		}
	}
	return b, true
}

func (s *Server) serve(nc net.Conn) {
	c := &conn{s: s, nc: nc, out: make(chan []byte, outbox), over: make(chan struct{})}
	var writer sync.WaitGroup
	defer func() {
		c.close()
		writer.Wait()
		s.locked(func() {
			delete(s.conns, c)
			s.data.drop(c)
			s.child.drop(c)
			s.persist.drop(c)
			if c.session != nil && c.session.conn == c {
				c.session.conn = nil
			}
		})
	}()
	b, ok := c.frame()
	if !ok {
		return
	}
	r := zkwire.NewReader(b)
	hello := r.Connect(true)
	if r.Err() != nil {
		return
	}
	taken := false
	s.locked(func() {
		alone := s.ro || !s.e.leader
		switch {
		case s.down, alone && !hello.ReadOnly, hello.LastZxid > s.tree.zxid && !s.trusts:
			return // hangs up
		}
		taken = true
		s.conns[c] = struct{}{}
		answer := zkwire.Connect{Password: make([]byte, 16), HasReadOnly: hello.HasReadOnly, ReadOnly: alone}
		if c.ro = alone; alone && hello.Session == 0 {
			// A session of this server's own, which no other knows.
			answer.TimeoutMs, answer.Session = hello.TimeoutMs, -1
		} else if c.session = s.e.open(&hello, c); c.session != nil {
			answer.TimeoutMs, answer.Session, answer.Password = int32(c.session.timeout.Milliseconds()), c.session.id, c.session.password
			c.auth = c.session.auth
		}
		c.send(answer.AppendResponse)
	})
	if !taken {
		return
	}
	writer.Go(c.write)
	for {
		b, ok := c.frame()
		if !ok {
			return
		}
		if !c.request(zkwire.NewReader(b)) {
			return
		}
	}
}
