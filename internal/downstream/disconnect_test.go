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

// resettingServer resets each connection, once its first byte has arrived and reset is closed.
type resettingServer struct {
	net.Listener
	began   atomic.Int64 // number of connections on which a byte arrived
	arrived chan struct{}
	reset   chan struct{}
}

func newResettingServer(t *testing.T) *resettingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &resettingServer{Listener: ln, arrived: make(chan struct{}, 64), reset: make(chan struct{})}
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
				<-b.reset
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return b
}

// closeWrite shuts down the client's sending side, and returns once the peer's kernel has acknowledged the
// FIN.
func closeWrite(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const finWait1 = 4 // the TCP state in which the FIN is not acknowledged yet
	waitFor(t, "the FIN was not acknowledged", func() (acknowledged bool) {
		raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err == nil && info.State != finWait1
		})
		return acknowledged
	})
}

// disconnectWays are ways to disconnect that the downstream does not detect immediately.
var disconnectWays = []string{
	"at once",
	"after pipelined calls",
	"after more than is read ahead",
	"after calls that a socket can't hold",
	"reset after more than is read ahead",
}

// moreThanSocketHolds is more than the buffer of a socket holds at first, so that the FIN stays behind it.
const moreThanSocketHolds = 128 << 10

// disconnect disconnects a client, and returns once the agent's kernel has received the FIN or the reset.
func disconnect(t *testing.T, w *world.World, c *world.Client, way string) {
	t.Helper()
	switch p := w.Protocol; way {
	case "after pipelined calls":
		c.Write(p.Encode(w.Request("read", callTimeout)))
	case "after calls that a socket can't hold":
		for sent := 0; sent < moreThanSocketHolds; {
			call := p.Encode(w.Request("read", callTimeout))
			c.Write(call)
			sent += len(call)
		}
	case "after more than is read ahead", "reset after more than is read ahead":
		if p.Thrift() {
			for range 40 { // 16 of them are read ahead
				c.Write(p.Encode(w.Request("read", callTimeout)))
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

// No retry begins once the client has disconnected, even if there was hardly any time to detect that: here
// the first attempt is reset just after the client has disconnected.
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
				if _, err := c.Write(p.Encode(w.Request("read", callTimeout))); err != nil {
					t.Fatal(err)
				}
				<-b.arrived
				disconnect(t, w, c, way)
				disconnectedAt := time.Now()
				close(b.reset)
				waitFor(t, "the request stays open", func() bool { return w.Loop.Counters().Open.Load() == 0 })
				detectedAfter := time.Since(disconnectedAt)
				f := w.Stats()
				w.Stop() // so that no attempt is in flight
				if n := b.began.Load(); n != 1 {
					t.Errorf("%d attempts began, want the first one only (%v until detected)", n, detectedAfter)
				}
				if f.Disconnected != 1 || f.Accepted != 1 || f.GuardViolations != 0 {
					t.Errorf("stats %+v", f)
				}
			})
		}
	}
}

// No retry begins if the client disconnects during the backoff: the first attempt was reset while no other
// server was listed, the client disconnects, and immediately after that a server for the retry is listed.
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
				if _, err := c.Write(p.Encode(w.Request("read", callTimeout))); err != nil {
					t.Fatal(err)
				}
				<-first.arrived
				waitInLoop := func(failure string, condition func() bool) {
					waitFor(t, failure, func() bool {
						answer := make(chan bool, 1)
						w.Loop.Post(func() { answer <- condition() })
						return <-answer
					})
				}
				w.Discovery.Remove("s-0") // the attempt in flight continues, and no other can begin
				waitInLoop("the removal of s-0 is not applied", func() bool {
					list, _ := w.Loop.Endpoints()
					return len(list.Entries) == 0
				})
				close(first.reset)
				waitInLoop("the first attempt does not end", func() bool { return !w.Loop.IsListed("s-0") })
				if n := w.Loop.Counters().Open.Load(); n != 1 {
					t.Fatalf("%d requests are open during the backoff, want 1", n)
				}
				disconnect(t, w, c, way)
				w.Discovery.Set(entry("s-1", next))
				waitFor(t, "the request stays open", func() bool { return w.Loop.Counters().Open.Load() == 0 })
				f := w.Stats()
				w.Stop() // so that no attempt is in flight
				if n := next.began.Load(); n != 0 {
					t.Errorf("%d retries began, want none", n)
				}
				if f.Disconnected != 1 || f.Accepted != 1 || f.GuardViolations != 0 {
					t.Errorf("stats %+v", f)
				}
			})
		}
	}
}
