package front_test

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

// breaker is a server of no protocol: it holds what comes first on each connection until the gate opens, and resets it.
type breaker struct {
	net.Listener
	began atomic.Int64 // connections on which a first byte has come
	came  chan struct{}
	gate  chan struct{}
}

func newBreaker(t *testing.T) *breaker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaker{Listener: ln, came: make(chan struct{}, 64), gate: make(chan struct{})}
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
				b.came <- struct{}{}
				<-b.gate
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return b
}

// hangUp ends a client's sending, and returns once the other side's kernel has taken that.
func hangUp(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const finWait1 = 4 // sent, and not acknowledged yet
	until(t, "the end was not taken", func() (taken bool) {
		raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			taken = err == nil && info.State != finWait1
		})
		return taken
	})
}

// waysToLeave are the ways in which a client leaves that its front doesn't see at once.
var waysToLeave = []string{"at once", "behind what it sent ahead", "behind more than is read", "reset behind more than is read"}

// leave has a client leave, and returns once the agent's kernel knows.
func leave(t *testing.T, w *world.World, c *world.Client, way string) {
	t.Helper()
	switch p := w.Protocol; way {
	case "behind what it sent ahead":
		c.Write(p.Encode(w.Request("read", long)))
	case "behind more than is read", "reset behind more than is read":
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
	hangUp(t, c.Conn)
}

// A further attempt never begins once its client has gone, however little time there was to notice: here the first one
// breaks in the very moment in which the client has left, in each way that its front doesn't see at once.
func TestNoFurtherAttemptForAClientThatHasJustGone(t *testing.T) {
	for _, p := range world.Protocols() {
		for _, way := range waysToLeave {
			t.Run(p.Name+"/"+way, func(t *testing.T) {
				b := newBreaker(t)
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
				<-b.came
				leave(t, w, c, way)
				left := time.Now()
				close(b.gate)
				until(t, "the request stays open", func() bool { return w.Loop.Counters().Open.Load() == 0 })
				noticed := time.Since(left)
				f := w.Figures()
				w.Stop() // nothing is out any more
				if n := b.began.Load(); n != 1 {
					t.Errorf("%d attempts began, want the first one alone (%v until noticed)", n, noticed)
				}
				if f.Disconnected != 1 || f.Accepted != 1 || f.GuardViolations != 0 {
					t.Errorf("figures %+v", f)
				}
			})
		}
	}
}

// Nor does it where the client leaves in the midst of the pause before it: the first attempt has broken, no server is
// listed that may have the next one, the client leaves, and a server is listed in that moment.
func TestNoFurtherAttemptForAClientThatLeftInThePauseBeforeIt(t *testing.T) {
	for _, p := range world.Protocols() {
		for _, way := range waysToLeave {
			t.Run(p.Name+"/"+way, func(t *testing.T) {
				first, next := newBreaker(t), newBreaker(t)
				entry := func(id string, b *breaker) membership.Entry {
					return membership.Entry{ID: id, Addr: b.Addr().String(), Zone: "east", Kind: "fast", State: membership.Up, Weight: 1}
				}
				w, err := world.New(p, world.Options{Entries: []membership.Entry{entry("s-0", first)}})
				if err != nil {
					t.Fatal(err)
				}
				defer w.Close()
				if err := w.Followed(t.Context()); err != nil {
					t.Fatal(err)
				}
				c := dial(t, w)
				if _, err := c.Write(p.Encode(w.Request("read", long))); err != nil {
					t.Fatal(err)
				}
				<-first.came
				inLoop := func(what string, is func() bool) {
					until(t, what, func() bool {
						answer := make(chan bool, 1)
						w.Loop.Post(func() { answer <- is() })
						return <-answer
					})
				}
				w.Roster.Remove("s-0") // what is out there goes on, and nothing further may begin
				inLoop("the end of s-0 is not known", func() bool {
					list, _ := w.Loop.Endpoints()
					return len(list.Entries) == 0
				})
				close(first.gate)
				inLoop("the first attempt does not end", func() bool { return !w.Loop.IsListed("s-0") })
				if n := w.Loop.Counters().Open.Load(); n != 1 {
					t.Fatalf("%d requests are open in the pause, want 1", n)
				}
				leave(t, w, c, way)
				w.Roster.Set(entry("s-1", next))
				until(t, "the request stays open", func() bool { return w.Loop.Counters().Open.Load() == 0 })
				f := w.Figures()
				w.Stop() // nothing is out any more
				if n := next.began.Load(); n != 0 {
					t.Errorf("%d further attempts began", n)
				}
				if f.Disconnected != 1 || f.Accepted != 1 || f.GuardViolations != 0 {
					t.Errorf("figures %+v", f)
				}
			})
		}
	}
}
