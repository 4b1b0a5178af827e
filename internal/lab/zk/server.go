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

// maxQueuedFrames bounds the frames that wait to be written to a connection; at more it is closed.
const maxQueuedFrames = 1 << 15

// Server is one server of an ensemble.
type Server struct {
	Addr  string
	Index int

	ensemble            *Ensemble
	acceptor            *lab.Acceptor
	tree                *tree
	conns               map[*conn]struct{}
	data                watches // of getData and exists
	child               watches
	persistent          watches // the value tells recursive ones
	lag                 time.Duration
	acceptsNewerClients bool // whose last zxid is above the server's
	down                bool
	readOnly            bool
	slow                atomic.Int64 // mean delay of outgoing frames in nanoseconds; see SetSlow
	halfOpen            atomic.Bool
	corrupt             atomic.Int64 // number of outgoing frames still to be corrupted
	bytes               atomic.Int64 // sent
	reads               atomic.Int64 // read requests
}

// watches has the connections that watch a path, by path.
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
	s := &Server{Index: i, ensemble: e, tree: e.history.copyOf(), conns: map[*conn]struct{}{}, data: watches{}, child: watches{}, persistent: watches{}}
	var err error
	if s.acceptor, err = lab.Accept(s.serve); err != nil {
		return nil, err
	}
	s.Addr = s.acceptor.Addr
	return s, nil
}

func (s *Server) close() { s.acceptor.Close() }

// ---- faults ----

// SetLag delays applying of committed transactions; clients of the server may read stale data.
func (s *Server) SetLag(d time.Duration) { s.locked(func() { s.lag = d }) }

// SetDown closes all connections and accepts none, or ends that.
func (s *Server) SetDown(down bool) {
	s.locked(func() {
		if s.down = down; down {
			s.closeConns()
		}
	})
}

// SetReadOnly makes the server act as if it were partitioned from the others: it serves reads to clients that
// allow it.
func (s *Server) SetReadOnly(readOnly bool) {
	s.locked(func() { s.readOnly = readOnly; s.closeConns() })
}

// SetAcceptsNewerClients makes the server accept clients that have seen a later zxid than it has, which a
// correct server rejects, and answer a sync without having caught up.
func (s *Server) SetAcceptsNewerClients(on bool) { s.locked(func() { s.acceptsNewerClients = on }) }

// SetHalfOpen makes connections half-open: nothing is read or written any more, and none is closed.
func (s *Server) SetHalfOpen(on bool) { s.halfOpen.Store(on) }

// SetSlow delays each outgoing frame by a time that is uniformly distributed from 0 to twice d. Frames of one
// connection stay in order; those of different connections may not.
func (s *Server) SetSlow(d time.Duration) { s.slow.Store(int64(d)) }

// Corrupt corrupts the bodies of the next n outgoing frames.
func (s *Server) Corrupt(n int) { s.corrupt.Store(int64(n)) }

// ResetConnections closes all connections; sessions stay open.
func (s *Server) ResetConnections() { s.locked(s.closeConns) }

// Bytes returns the number of bytes sent.
func (s *Server) Bytes() int64 { return s.bytes.Load() }

// Reads returns the number of read requests.
func (s *Server) Reads() int64 { return s.reads.Load() }

// Conns returns the number of accepted connections.
func (s *Server) Conns() (n int) {
	s.locked(func() { n = len(s.conns) })
	return n
}

// locked calls f with the lock of the ensemble held.
func (s *Server) locked(f func()) {
	s.ensemble.mu.Lock()
	defer s.ensemble.mu.Unlock()
	f()
}

func (s *Server) closeConns() {
	for c := range s.conns {
		c.close()
	}
}

// catchUp applies the transactions that are older than the lag, and all up to the zxid upTo. The caller holds
// the lock of the ensemble.
func (s *Server) catchUp(now time.Time, upTo int64) {
	for _, x := range s.ensemble.log {
		if x.zxid <= s.tree.zxid {
			continue
		}
		if x.zxid > upTo && now.UnixMilli()-x.ms < s.lag.Milliseconds() {
			return
		}
		for i := range x.changes {
			s.tree.applyOne(x, &x.changes[i])
			s.notifyWatches(&x.changes[i])
		}
		s.tree.zxid = x.zxid
	}
}

// notifyWatches sends the events of a change.
func (s *Server) notifyWatches(c *change) {
	switch c.kind {
	case created:
		s.sendEvents(zkwire.NodeCreated, c.path, s.data)
	case deleted:
		s.sendEvents(zkwire.NodeDeleted, c.path, s.data, s.child)
	case changed:
		s.sendEvents(zkwire.NodeDataChanged, c.path, s.data)
		return
	default:
		return
	}
	s.sendEvents(zkwire.NodeChildrenChanged, parent(c.path), s.child)
}

// sendEvents sends an event to the connections that watch a path: in the tables, which removes their watches,
// or with persistent watches.
func (s *Server) sendEvents(ev zkwire.Event, path string, tables ...watches) {
	receivers := map[*conn]bool{}
	for _, w := range tables {
		for c := range w[path] {
			receivers[c] = true
		}
		delete(w, path)
	}
	for p := path; ; p = parent(p) {
		for c, recursive := range s.persistent[p] {
			// A recursive watch gets the events of each descendant, and therefore none about children.
			if recursive && ev != zkwire.NodeChildrenChanged || !recursive && p == path {
				receivers[c] = true
			}
		}
		if p == "/" {
			break
		}
	}
	for c := range receivers {
		c.event(ev, path)
	}
}

// ---- connections ----

// conn is a client connection.
type conn struct {
	server   *Server
	nc       net.Conn
	out      chan []byte
	session  *session
	readOnly bool
	auth     []string
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.nc.Close()
	})
}

// send queues a frame. The caller holds the lock of the ensemble, which keeps replies and events in order.
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

// write writes queued frames until the connection is closed.
func (c *conn) write() {
	for {
		select {
		case b := <-c.out:
			if d := c.server.slow.Load(); d > 0 {
				c.server.ensemble.mu.Lock()
				d = c.server.ensemble.rng.Int64N(2 * d)
				c.server.ensemble.mu.Unlock()
				select {
				case <-time.After(time.Duration(d)):
				case <-c.closed:
					return
				}
			}
			for c.server.halfOpen.Load() {
				select {
				case <-time.After(time.Millisecond):
				case <-c.closed:
					return
				}
			}
			if c.server.corrupt.Load() > 0 && c.server.corrupt.Add(-1) >= 0 {
				for i := 4 + 16; i < len(b); i++ { // everything after the reply header
					b[i] = 0x7f
				}
			}
			c.server.bytes.Add(int64(len(b)))
			if _, err := c.nc.Write(b); err != nil {
				c.close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// frame reads a frame; false means that the connection has ended.
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
	for c.server.halfOpen.Load() {
		select {
		case <-time.After(time.Millisecond):
		case <-c.closed:
			return nil, false
		}
	}
	return b, true
}

func (s *Server) serve(nc net.Conn) {
	c := &conn{server: s, nc: nc, out: make(chan []byte, maxQueuedFrames), closed: make(chan struct{})}
	var writer sync.WaitGroup
	defer func() {
		c.close()
		writer.Wait()
		s.locked(func() {
			delete(s.conns, c)
			s.data.drop(c)
			s.child.drop(c)
			s.persistent.drop(c)
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
	connect := r.Connect(true)
	if r.Err() != nil {
		return
	}
	accepted := false
	s.locked(func() {
		partitioned := s.readOnly || !s.ensemble.hasLeader
		switch {
		case s.down, partitioned && !connect.ReadOnly, connect.LastZxid > s.tree.zxid && !s.acceptsNewerClients:
			return // closes the connection
		}
		accepted = true
		s.conns[c] = struct{}{}
		answer := zkwire.Connect{Password: make([]byte, 16), HasReadOnly: connect.HasReadOnly, ReadOnly: partitioned}
		if c.readOnly = partitioned; partitioned && connect.Session == 0 {
			// A session that only this server knows.
			answer.TimeoutMs, answer.Session = connect.TimeoutMs, -1
		} else if c.session = s.ensemble.open(&connect, c); c.session != nil {
			answer.TimeoutMs, answer.Session, answer.Password = int32(c.session.timeout.Milliseconds()), c.session.id, c.session.password
			c.auth = c.session.auth
		}
		c.send(answer.AppendResponse)
	})
	if !accepted {
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
