package upgrade

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is the time allowed for the rest of a handshake whose SYN arrived before new connections
	// were refused. It takes microseconds on one machine, or a few ms if its threads wait for a CPU.
	handshakeTime = 10 * time.Millisecond
	// noInterface is the index of a network interface that does not exist: the kernel counts them from 1.
	noInterface = math.MaxInt32
)

// Listen listens on an address that another process of the same user may share.
func Listen(addr string) (*Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// If this fails, the address is not shared.
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	lc.SetMultipathTCP(false) // an MPTCP listener does not support steering
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := ln.(*net.TCPListener)
	return &Listener{TCPListener: tcp, closeSocket: tcp.Close}, nil
}

// Listen listens on an address that other processes of the folder may share. With a nil Dir no other process
// does.
func (d *Dir) Listen(addr string) (*Listener, error) {
	l, err := Listen(addr)
	if err == nil {
		l.dir = d
	}
	return l, err
}

// Listener is a listener that closes without resetting connections: those in its accept queue are accepted
// first. Each listener on a shared address has a queue of its own, and the kernel resets the connections in
// the queue of a closed listener.
type Listener struct {
	*net.TCPListener
	dir         *Dir // nil: no other process listens on the address
	closeSocket func() error
	stopOnce    sync.Once
	mu          sync.Mutex
	queued      []net.Conn // accepted by StopListening, to be returned by Accept
}

// Accept returns the next connection, including those that StopListening has taken from the accept queue.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil, err
	}
	c, l.queued = l.queued[0], l.queued[1:]
	return c, nil
}

// PreferSuccessor makes the kernel direct new connections to the listener that joined this address after this
// one. Without it the kernel distributes them by a hash, also between the last accept of StopListening and
// its close, which would reset them. The kernel numbers the listeners on an address in the order in which
// they join, and the last one takes the number of one that closes: with two listeners, the newer one is
// always number 1. While there is no listener 1 the hash applies again.
func (l *Listener) PreferSuccessor() error { return l.steer(newerListener) }

// The kernel's numbers of the two listeners on an address.
const (
	olderListener = 0
	newerListener = 1
)

// steer makes the kernel direct new connections to the listener with this number.
func (l *Listener) steer(number uint32) error {
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: number}}
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return l.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	})
}

// steerToPeer directs new connections to the process that remains on the address, if there is one.
func (l *Listener) steerToPeer() error {
	if l.dir == nil {
		return nil
	}
	switch l.dir.remaining() {
	case Newer:
		return l.steer(newerListener)
	case Older:
		return l.steer(olderListener)
	}
	return nil
}

// control calls a function with the socket's descriptor, and returns its error.
func (l *Listener) control(do func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	if cerr := raw.Control(func(fd uintptr) { err = do(int(fd)) }); cerr != nil {
		return cerr
	}
	return os.NewSyscallError("setsockopt", err)
}

// StopListening stops listening without resetting connections. New connections go to the process that remains
// on the address, or are refused as by a closed socket. Handshakes in progress have handshakeTime to
// complete. Then the connections in the accept queue are accepted, to be returned by later calls of Accept,
// and the socket is closed. It does not wait for a call of Accept: net/http closes a listener while holding a
// lock that the accepting goroutine needs.
func (l *Listener) StopListening() {
	l.stopOnce.Do(func() {
		if err := errors.Join(l.steerToPeer(), l.rejectNewConnections()); err != nil {
			slog.Warn("cannot stop listening cleanly; connections may be reset", "err", err)
		}
		time.Sleep(handshakeTime)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.acceptQueued()
		l.closeSocket()
	})
}

// rejectNewConnections makes the kernel refuse new connections, without affecting established ones and
// handshakes in progress. It binds the listener to an interface that does not exist, so that each SYN is
// answered with RST, as if nothing listened. A SYN that the kernel processes at that moment is dropped, and
// retransmitted after 1 s.
func (l *Listener) rejectNewConnections() error {
	return l.control(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
}

// acceptQueued accepts the connections in the accept queue. l.mu must be held.
func (l *Listener) acceptQueued() {
	_ = l.control(func(listener int) error {
		for {
			fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			}
			if err != nil {
				return err // EAGAIN: the queue is empty
			}
			f := os.NewFile(uintptr(fd), "client")
			if c, err := net.FileConn(f); err == nil {
				l.queued = append(l.queued, c)
			}
			f.Close()
		}
	})
}

// Close is StopListening. It implements net.Listener.
func (l *Listener) Close() error {
	l.StopListening()
	return nil
}
