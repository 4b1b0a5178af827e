package upgrade

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Clients connect in a loop while a listener closes whose address no other process shares. Each established
// connection is answered, and later ones are refused. A SYN that the kernel processes at the moment of the
// close may be dropped; its client waits for the retransmission after 1 s.
func TestConnectionsDuringCloseAreNotReset(t *testing.T) {
	const (
		closes  = 60
		clients = 6
		slow    = 500 * time.Millisecond // a dropped SYN is retransmitted after 1 s
	)
	var resets, slowConnects atomic.Int64
	for range closes {
		ln, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var served, clientsDone sync.WaitGroup
		served.Go(func() { echoAll(ln) })
		var started sync.WaitGroup
		started.Add(clients)
		for range clients {
			clientsDone.Go(func() {
				for first := true; ; first = false {
					took, err := connectAndExchange(ln.Addr().String())
					if first {
						started.Done()
					}
					if took > slow {
						slowConnects.Add(1)
					}
					if errors.Is(err, syscall.ECONNREFUSED) {
						return
					}
					if err != nil {
						resets.Add(1)
						t.Logf("a client failed while the listener closed: %v", err)
						return
					}
				}
			})
		}
		started.Wait()
		ln.Close()
		clientsDone.Wait()
		served.Wait()
	}
	if n := resets.Load(); n != 0 {
		t.Errorf("%d clients lost their connection in %d closes", n, closes)
	}
	if n := slowConnects.Load(); n > closes/10 { // most are refused at once, as by a closed socket
		t.Errorf("%d clients waited for over %v in %d closes", n, slow, closes)
	}
}

// A client that connects after the listener's last accept and before its socket is closed is refused at once:
// its connection is not reset later, and it does not wait for a retransmission.
func TestConnectionsBeforeSocketCloseAreRefused(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	closeSocket := ln.closeSocket
	ln.closeSocket = func() error {
		for range 20 {
			c, err := net.DialTimeout("tcp", addr, testTimeout)
			if err == nil {
				defer c.Close()
			}
			if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("connect before the close: %v, want ECONNREFUSED", err)
			}
		}
		return closeSocket()
	}
	ln.Close()
}

// A handshake that began before the listener refused new connections, and completes later, is served like any
// other. The client's socket drops the SYN-ACK, so that the handshake completes with the retransmission after
// 1 s.
func TestHandshakeInProgressIsAnswered(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	served.Go(func() { echoAll(ln) })
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	socket := os.NewFile(uintptr(fd), "client")
	defer socket.Close()
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	if err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]}); err != nil {
		t.Fatal(err)
	}
	to := ln.Addr().(*net.TCPAddr)
	if err := unix.Connect(fd, &unix.SockaddrInet4{Port: to.Port, Addr: [4]byte(to.IP.To4())}); err != unix.EINPROGRESS {
		t.Fatalf("the handshake is not in progress, connect returned %v", err)
	}
	if err := ln.rejectNewConnections(); err != nil {
		t.Fatal(err)
	}
	if _, err := connectAndExchange(to.String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, want ECONNREFUSED", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); err != nil {
		t.Fatal(err)
	}
	c, err := net.FileConn(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := exchange(c); err != nil {
		t.Errorf("the connection whose handshake was in progress failed: %v", err)
	}
	ln.Close()
	served.Wait()
}

// Either of two processes that listen on an address may end first. Connections between its last accept and
// its close reach the process that remains.
func TestConnectionsBeforeSocketCloseReachRemainingProcess(t *testing.T) {
	for _, ending := range []Age{Older, Newer} {
		tmp := t.TempDir()
		dirs := []*Dir{join(t, tmp), join(t, tmp)}
		older, err := dirs[0].Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := older.Addr().String()
		newer, err := dirs[1].Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		endingListener, remainingListener := older, newer
		if ending == Newer {
			endingListener, remainingListener = newer, older
		}
		var served sync.WaitGroup
		served.Go(func() { echoAll(remainingListener) })
		var connections []net.Conn
		closeSocket := endingListener.closeSocket
		endingListener.closeSocket = func() error {
			for range 64 { // by the hash half of them would reach each listener
				c, err := net.DialTimeout("tcp", addr, testTimeout/10)
				if err != nil {
					t.Errorf("listener ending %v: a client could not connect: %v", ending, err)
					break
				}
				connections = append(connections, c)
			}
			return closeSocket()
		}
		endingListener.Close()
		for i, c := range connections {
			if err := exchange(c); err != nil {
				t.Errorf("listener ending %v: client %d failed: %v", ending, i, err)
			}
			c.Close()
		}
		remainingListener.Close()
		served.Wait()
	}
}

// echoAll sends the first byte of each connection back, until the listener is closed.
func echoAll(ln net.Listener) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		open.Go(func() {
			defer c.Close()
			var b [1]byte
			if _, err := io.ReadFull(c, b[:]); err == nil {
				c.Write(b[:])
			}
		})
	}
}

// connectAndExchange connects and exchanges a byte. took is the time until it was connected or refused.
func connectAndExchange(addr string) (took time.Duration, err error) {
	from := time.Now()
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	took = time.Since(from)
	if err != nil {
		return took, err
	}
	defer c.Close()
	return took, exchange(c)
}

// exchange sends a byte and reads the answer.
func exchange(c net.Conn) error {
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write([]byte("?")); err != nil {
		return err
	}
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	return err
}
