package socket_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/upgrade"
	"ringtrack.example/ringtrack/internal/upstream/conns"
)

// noDelay asks the kernel whether small writes go out at once.
func noDelay(t *testing.T, nc net.Conn) bool {
	t.Helper()
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	raw.Control(func(fd uintptr) { on, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY) })
	if err != nil {
		t.Fatal(err)
	}
	return on != 0
}

// No connection of the agent's holds small writes back: those to backends, those that the listener of all fronts
// accepts, and those that it found in its queue as it ended.
func TestNoSmallWriteIsHeldBack(t *testing.T) {
	ln, err := upgrade.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr := ln.Addr().String()
	p := conns.New(time.Second, time.Minute, 8)
	for _, left := range []bool{false, true} {
		to, err := p.Get(t.Context(), conns.Key{Backend: &core.Backend{}}, addr, time.Now().Add(10*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		defer to.Close()
		if left {
			ln.StopListening() // it stands in the queue
		}
		from, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		if !noDelay(t, to.Conn) {
			t.Error("a backend's connection holds writes back")
		}
		if !noDelay(t, from) {
			t.Errorf("a client's holds writes back (found at the end: %v)", left)
		}
	}
}
