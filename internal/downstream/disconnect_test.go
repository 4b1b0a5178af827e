package downstream_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/membership"
)

// resettingServer waits after the first byte of each connection until the gate opens, and resets the connection.
type resettingServer struct {
	net.Listener
	began   atomic.Int64 // connections on which a first byte arrived
	arrived chan struct{}
	gate    chan struct{}
}

func newResettingServer(t *testing.T) *resettingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &resettingServer{Listener: ln, arrived: make(chan struct{}, 64), gate: make(chan struct{})}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
				b.began.Add(1)
				b.arrived <- struct{}{}
				<-b.gate
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return b
}

// closeWrite ends a client's sending, and returns once the peer's kernel has acknowledged that.
func closeWrite(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const finWait1 = 4 // sent, and not acknowledged yet
	waitFor(t, "the end was not acknowledged", func() (acknowledged bool) {
		raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err == nil && info.State != finWait1
		})
		return acknowledged
	})
}

// disconnectWays are the ways to disconnect that the downstream does not notice at once.
var disconnectWays = []string{"at once", "after pipelined calls", "after more than is read ahead", "reset after more than is read ahead"}

// disconnect disconnects a client, and returns once the agent's kernel knows.
func disconnect(t *testing.T, w *world.World, c *world.Client, way string) {
	t.Helper()
	switch p := w.Protocol; way {
	case "after pipelined calls":
		c.Write(p.Encode(w.Request("read", long)))
	case "after more than is read ahead", "reset after more than is read ahead":
		if p.Thrift() {
			for range 40 { // of which 16 are read ahead
				c.Write(p.Encode(w.Request("read", long)))
			}
		}
		io.WriteString(c, strings.Repeat("x", 40<<10))
	}
	if strings.HasPrefix(way, "reset") {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	closeWrite(t, c.Conn)
}

// No retry begins once the client has disconnected, however little time there was to notice: here the first attempt is
// reset in the moment in which the client disconnects.
func TestNoRetryForAClientThatHasJustDisconnected(t *testing.T) {
	for _, p := range world.Protocols() {
		for _, way := range disconnectWays {
			t.Run(p.Name+"/"+way, func(t *testing.T) {
				b := newResettingServer(t)
				var entries []membership.Entry
				for _, id := range []string{"s-0", "s-1", "s-2"} {
					entries = append(entries, membership.Entry{ID: id, Addr: b.Addr().String(), Zone: "east", Kind: "fast", State: membership.Up, Weight: 1})
				}
				w, err := world.New(p, world.Options{Entries: entries})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				c := dial(t, w)
				if _, err := c.Write(p.Encode(w.Request("read", long))); err != nil {
					t.Fatal(err)
				}
				<-b.arrived
				disconnect(t, w, c, way)
				disconnectedAt := time.Now()
				close(b.gate)
				waitFor(t, "the request stays open", func() bool { return w.Loop.Counters().Open.Load() == 0 })
				noticed := time.Since(disconnectedAt)
				f := w.Stats()
				w.Stop() // nothing is in flight any longer
				if n := b.began.Load(); n != 1 {
					t.Errorf("%d attempts began, want the first one only (%v until detected)", n, noticed)
				}
				if f.Disconnected != 1 || f.Accepted != 1 || f.GuardViolations != 0 {
					t.Errorf("figures %+v", f)
				}
			})
		}
	}
}

// Nor does one if the client disconnects during the backoff before it: the first attempt was reset, no server is listed
// for the next one, the client disconnects, and a server is listed in that moment.
func TestNoRetryForAClientThatDisconnectedDuringBackoff(t *testing.T) {
	for _, p := range world.Protocols() {
		for _, way := range disconnectWays {
			t.Run(p.Name+"/"+way, func(t *testing.T) {
				first, next := newResettingServer(t), newResettingServer(t)
				entry := func(id string, b *resettingServer) membership.Entry {
					return membership.Entry{ID: id, Addr: b.Addr().String(), Zone: "east", Kind: "fast", State: membership.Up, Weight: 1}
				}
				w, err := world.New(p, world.Options{Entries: []membership.Entry{entry("s-0", first)}})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				if err := w.AwaitWatch(t.Context()); err != nil {
					t.Fatal(err)
				}
				c := dial(t, w)
				if _, err := c.Write(p.Encode(w.Request("read", long))); err != nil {
					t.Fatal(err)
				}
				<-first.arrived
				inLoop := func(what string, is func() bool) {
					waitFor(t, what, func() bool {
						answer := make(chan bool, 1)
						w.Loop.Post(func() { answer <- is() })
						return <-answer
					})
				}
				w.Discovery.Remove("s-0") // the attempt in flight goes on, and no other may begin
				inLoop("the removal of s-0 is not known", func() bool {
					list, _ := w.Loop.Endpoints()
					return len(list.Entries) == 0
				})
				close(first.gate)
				inLoop("the first attempt does not end", func() bool { return !w.Loop.IsListed("s-0") })
				if n := w.Loop.Counters().Open.Load(); n != 1 {
					t.Fatalf("%d requests are open during the backoff, want 1", n)
				}
				disconnect(t, w, c, way)
				w.Discovery.Set(entry("s-1", next))
				waitFor(t, "the request stays open", func() bool { return w.Loop.Counters().Open.Load() == 0 })
				f := w.Stats()
				w.Stop() // nothing is in flight any longer
				if n := next.began.Load(); n != 0 {
					t.Errorf("%d retries began", n)
				}
				if f.Disconnected != 1 || f.Accepted != 1 || f.GuardViolations != 0 {
					t.Errorf("figures %+v", f)
				}
			})
		}
	}
}
