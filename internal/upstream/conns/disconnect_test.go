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

// lateListener listens with a full accept queue, so that a connect waits until accept is called, which returns how many
// bytes arrived on all connections, each up to its end.
func lateListener(t *testing.T) (addr string, accept func() int64) {
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
	f := os.NewFile(uintptr(fd), "late")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	addr = ln.Addr().String()
	fill, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return addr, func() (n int64) {
		fill.Close()
		for range 2 { // fill, and the late one
			ln.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
			c, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return n
			}
			t.Cleanup(func() { c.Close() })
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // what was written has arrived before Do returns
			m, _ := io.Copy(io.Discard, c)
			n += m
		}
		return n
	}
}

// For a client that disconnected before the first byte nothing is sent, whether the connection is late or not; the
// connection stays idle for others.
func TestNothingIsBegunForADisconnectedClient(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{false, true} {
		var addr string
		accept := func() int64 { return 0 }
		var read atomic.Int64
		if late {
			addr, accept = lateListener(t)
		} else {
			addr = startPeer(t, func(c net.Conn) {
				n, _ := c.Read(make([]byte, 8))
				read.Add(int64(n))
			})
		}
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		var disconnected atomic.Bool
		disconnected.Store(!late)
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
		if late {
			waitFor(t, "there is no connect", func() bool { return p.Open() == 1 })
			disconnected.Store(true)
			if n := accept(); n != 0 {
				t.Errorf("late: %d bytes were written", n)
			}
		}
		if r := <-done; r.Status != policy.NotStarted || !r.ClientDisconnected || p.Idle(key) != 1 || read.Load() != 0 {
			t.Errorf("late %v: %+v, %d idle, %d read", late, r, p.Idle(key), read.Load())
		}
	}
}

// A cancellation ends a connect at once, and nothing is written on a connection that is accepted later.
func TestCancelledConnectCarriesNothing(t *testing.T) {
	t.Parallel()
	addr, _ := lateListener(t)
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() {
		done <- p.Do(ctx, &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout), Budget: semaphore.NewWeighted(1),
			EncodeRequest: func() net.Buffers { t.Error("a request was encoded"); return nil }})
	}()
	waitFor(t, "there is no connect", func() bool { return p.Open() == 1 })
	cancel()
	select {
	case r := <-done:
		if !r.Status.NeverRan() || p.Open() != 0 {
			t.Errorf("%+v, %d open", r, p.Open())
		}
	case <-time.After(waitTimeout / 4):
		t.Fatal("the connect does not end")
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}
