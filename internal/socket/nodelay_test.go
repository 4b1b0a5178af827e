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

// noDelay says whether TCP_NODELAY is set on a connection: small writes are sent without delay.
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

// TCP_NODELAY is set on every connection of the agent: those to backends, those accepted by the downstream
// listener, and those still in its accept queue when it stops listening.
func TestNoDelayOnAllConnections(t *testing.T) {
	ln, err := upgrade.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addr := ln.Addr().String()
	p := conns.New(time.Second, time.Minute, 8)
	for _, queued := range []bool{false, true} {
		to, err := p.Get(t.Context(), conns.Key{Backend: &core.Backend{}}, addr, time.Now().Add(10*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		defer to.Close()
		if queued {
			ln.StopListening() // the connection is still in the accept queue
		}
		from, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		if !noDelay(t, to.Conn) {
			t.Error("TCP_NODELAY is not set on a connection to a backend")
		}
		if !noDelay(t, from) {
			t.Errorf("TCP_NODELAY is not set on a client's connection (in the queue at the stop: %v)", queued)
		}
	}
}
