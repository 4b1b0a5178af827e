package thrift

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/lab/tcppair"
	"ringtrack.example/ringtrack/internal/socket"
	"ringtrack.example/ringtrack/internal/thriftwire"
)

// framedCall returns a call without arguments, framed and in the strict binary protocol.
func framedCall(seq uint32) []byte {
	const name = "read"
	m := []byte{0, 0, 0, 0, 0x80, 0x01, 0, byte(thriftwire.Call)}
	m = binary.BigEndian.AppendUint32(m, uint32(len(name)))
	m = append(m, name...)
	m = binary.BigEndian.AppendUint32(m, seq)
	m = append(m, 0) // the end of the arguments
	binary.BigEndian.PutUint32(m, uint32(len(m)-frameLengthBytes))
	return m
}

// newTestConn returns a server and a connection of it, which nothing reads, and the client's side.
func newTestConn(t *testing.T, s *Server) (c *clientConn, client net.Conn) {
	t.Helper()
	accepted, dialed := tcppair.New(t)
	c = &clientConn{Conn: accepted, reader: bufio.NewReaderSize(accepted, readBufferBytes), noCallYet: true}
	if s.conns == nil {
		s.conns = map[*clientConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return c, dialed
}

func newTestServer() *Server {
	return &Server{Budget: semaphore.NewWeighted(1 << 20), Limits: thriftwire.Limits{Size: 1 << 20, Depth: 32}, Table: &Table{}}
}

// stop stops the reading of a connection.
func stop(s *Server, c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stopReading()
}

// await waits for a condition under the server's lock.
func await(t *testing.T, s *Server, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		met := condition()
		s.mu.Unlock()
		if met {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the condition is not met")
		}
	}
}

// expect reads messages and compares their sequence ids; the last one is the end of reading.
func expect(t *testing.T, s *Server, c *clientConn, seqs ...int32) {
	t.Helper()
	for _, seq := range seqs {
		if m := s.readMessage(c); m.err != nil || m.head.Seq != seq {
			t.Fatalf("read %+v, want the call %d", m, seq)
		}
	}
	if m := s.readMessage(c); !errors.Is(m.err, errReadingStopped) {
		t.Errorf("read %+v, want the end of reading", m)
	}
}

// Whatever ends a connection, the calls that have arrived by then are read, also one that is arriving just then.
func TestReadingStopsBehindWhatHasArrived(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(t *testing.T, s *Server, c *clientConn, client net.Conn)
	}{
		{"nothing", func(t *testing.T, s *Server, c *clientConn, _ net.Conn) {
			stop(s, c)
			expect(t, s, c)
		}},
		{"two calls", func(t *testing.T, s *Server, c *clientConn, client net.Conn) {
			client.Write(append(framedCall(1), framedCall(2)...))
			await(t, s, func() bool { return socket.ReadState(c.Conn) == socket.Unread })
			stop(s, c)
			expect(t, s, c, 1, 2)
		}},
		{"a call that was read with the one before", func(t *testing.T, s *Server, c *clientConn, client net.Conn) {
			client.Write(append(framedCall(1), framedCall(2)...))
			if m := s.readMessage(c); m.err != nil {
				t.Fatal(m.err)
			}
			s.draining = true // its read deadline is over
			stop(s, c)
			expect(t, s, c, 2)
		}},
		{"half a call", func(t *testing.T, s *Server, c *clientConn, client net.Conn) {
			call := framedCall(1)
			client.Write(call[:len(call)/2])
			go func() {
				await(t, s, func() bool { return c.readingCall })
				stop(s, c)
				client.Write(call[len(call)/2:])
			}()
			expect(t, s, c, 1)
		}},
		{"a call that arrives after a shutdown's read deadline", func(t *testing.T, s *Server, c *clientConn, client net.Conn) {
			s.draining = true
			client.Write(framedCall(1))
			await(t, s, func() bool { return socket.ReadState(c.Conn) == socket.Unread })
			stop(s, c)
			expect(t, s, c)
		}},
		{"nothing, with a read in progress", func(t *testing.T, s *Server, c *clientConn, _ net.Conn) {
			time.AfterFunc(20*time.Millisecond, func() { stop(s, c) })
			expect(t, s, c)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer()
			c, client := newTestConn(t, s)
			test.do(t, s, c, client)
		})
	}
}

// stalledConn is a connection whose process does not run while its second read waits: that finds the deadline passed.
type stalledConn struct {
	*net.TCPConn
	reads  int
	during func()
}

func (c *stalledConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads != 2 {
		return c.TCPConn.Read(p)
	}
	c.during()
	return 0, os.ErrDeadlineExceeded
}

// A call whose last bytes arrived while the process did not run is read, though its time has passed meanwhile.
func TestCallWhoseTimePassedWhileTheProcessDidNotRunIsRead(t *testing.T) {
	s := newTestServer()
	c, client := newTestConn(t, s)
	call := framedCall(1)
	c.Conn = &stalledConn{TCPConn: c.Conn.(*net.TCPConn), during: func() {
		client.Write(call[len(call)/2:])
		for socket.ReadState(c.Conn) != socket.Unread {
			time.Sleep(time.Millisecond)
		}
	}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	client.Write(call[:len(call)/2])
	if m := s.readMessage(c); m.err != nil || m.head.Seq != 1 {
		t.Fatalf("read %+v, want the call 1", m)
	}
}

// Connections are evicted in the order idle, new, with an incomplete call; one whose call was read and not answered
// never is, as the call would be lost.
func TestEvictionSparesCallsThatWereRead(t *testing.T) {
	s := newTestServer()
	read, _ := newTestConn(t, s)
	read.noCallYet, read.unanswered = false, 1
	incomplete, _ := newTestConn(t, s)
	incomplete.noCallYet, incomplete.readingCall = false, true
	fresh, _ := newTestConn(t, s)
	idle, _ := newTestConn(t, s)
	idle.noCallYet = false
	for i, c := range []*clientConn{idle, fresh, incomplete} {
		if !s.evict() {
			t.Fatalf("eviction %d: none is evicted", i)
		}
		if _, remains := s.conns[c]; remains {
			t.Errorf("eviction %d: another connection is evicted", i)
		}
	}
	if s.evict() {
		t.Error("a connection whose call was read is evicted")
	}
}
