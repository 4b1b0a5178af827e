package conns

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

// listenWithFullQueue listens with a full accept queue, so that a connect blocks until accept is called.
// accept accepts both connections and returns the number of bytes that arrived on them.
func listenWithFullQueue(t *testing.T) (addr string, accept func() int64) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	addr = ln.Addr().String()
	filler, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return addr, func() (n int64) {
		filler.Close()
		for range 2 { // filler, and the connection that waited
			ln.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
			c, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return n
			}
			t.Cleanup(func() { c.Close() })
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // whatever Do wrote arrives sooner
			m, _ := io.Copy(io.Discard, c)
			n += m
		}
		return n
	}
}

// If the client disconnected before the first byte was written, nothing is sent, whether the connect
// succeeded at once or had to wait for the backend. The connection stays in the pool for other requests.
func TestNothingIsBegunForADisconnectedClient(t *testing.T) {
	t.Parallel()
	for _, slowConnect := range []bool{false, true} {
		var addr string
		accept := func() int64 { return 0 }
		var read atomic.Int64
		if slowConnect {
			addr, accept = listenWithFullQueue(t)
		} else {
			addr = startPeer(t, func(c net.Conn) {
				n, _ := c.Read(make([]byte, 8))
				read.Add(int64(n))
			})
		}
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		var disconnected atomic.Bool
		disconnected.Store(!slowConnect)
		done := make(chan core.Result, 1)
		go func() {
			done <- p.Do(t.Context(), &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(2 * time.Second),
				Budget: semaphore.NewWeighted(1), Disconnected: disconnected.Load,
				EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("request")} },
				ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
					_, err := cn.Read(make([]byte, 1))
					return core.Result{}, true, err
				}})
		}()
		if slowConnect {
			waitFor(t, "no connect is in progress", func() bool { return p.Open() == 1 })
			disconnected.Store(true)
			if n := accept(); n != 0 {
				t.Errorf("slow connect: %d bytes were written", n)
			}
		}
		if r := <-done; r.Status != policy.NotStarted || !r.ClientDisconnected || p.Idle(key) != 1 || read.Load() != 0 {
			t.Errorf("slow connect %v: result %+v, %d connections idle, %d bytes arrived", slowConnect, r, p.Idle(key), read.Load())
		}
	}
}

// A cancellation ends a connect at once, and nothing is written if the backend accepts the connection later.
func TestCancelledConnectCarriesNothing(t *testing.T) {
	t.Parallel()
	addr, _ := listenWithFullQueue(t)
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() {
		done <- p.Do(ctx, &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout), Budget: semaphore.NewWeighted(1),
			EncodeRequest: func() net.Buffers { t.Error("a request was encoded"); return nil }})
	}()
	waitFor(t, "no connect is in progress", func() bool { return p.Open() == 1 })
	cancel()
	select {
	case r := <-done:
		if !r.Status.NeverRan() || p.Open() != 0 {
			t.Errorf("after the disconnect: result %+v, %d connections open", r, p.Open())
		}
	case <-time.After(waitTimeout / 4):
		t.Fatal("the connect does not end")
	}
}

// waitFor waits until a condition holds, and fails the test with a message if it takes too long.
func waitFor(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}
