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
	// handshakeTime is what a handshake may still take whose SYN came before the listener refused: microseconds on
	// one machine, and a few ms where its threads wait for a core.
	handshakeTime = 10 * time.Millisecond
	// noInterface is the index of a network interface that does not exist: the kernel counts them from 1.
	noInterface = math.MaxInt32
)

// Listen listens on an address that another process of the same user may share.
func Listen(addr string) (*Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Where it is refused the address is simply not shared.
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	lc.SetMultipathTCP(false) // loopback has one path, and a listener for more can't be steered
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := ln.(*net.TCPListener)
	return &Listener{TCPListener: tcp, closeSocket: tcp.Close}, nil
}

// Listen listens on an address that other processes of the folder may share. A nil Dir shares with none.
func (d *Dir) Listen(addr string) (*Listener, error) {
	l, err := Listen(addr)
	if err == nil {
		l.dir = d
	}
	return l, err
}

// Listener is a listener whose end resets nobody: what stands in its accept queue is accepted first. Each
// listener of a shared address has a queue of its own, and the kernel resets what a closed one held.
type Listener struct {
	*net.TCPListener
	dir         *Dir         // of the processes that may listen on the address too; nil: none does
	closeSocket func() error // the socket's end
	stopOnce    sync.Once
	mu          sync.Mutex
	queued      []net.Conn // in the queue at the end
}

// Accept returns the next connection, also those that were found at the end.
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

// PreferSuccessor has the kernel give what connects from now on to the listener that joined this address after this one. Without
// it connections go to either by a hash, also between Leave's last look at the queue and the close, which resets them.
// Listeners of an address are numbered by the kernel as they join, and the last takes the place of one that closes: of
// two the newer is always 1, and where there is no 1 the hash holds again. Where it is refused the hash holds as well.
func (l *Listener) PreferSuccessor() error { return l.steer(newerListener) }

// Numbers of the two listeners of an address.
const olderListener, newerListener = 0, 1

// steer has the kernel give what connects from now on to the listener of this number.
func (l *Listener) steer(number uint32) error {
	choice := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: number}}
	prog := unix.SockFprog{Len: uint16(len(choice)), Filter: &choice[0]}
	return l.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	})
}

// steerToPeer steers to the process that stays on the address, if there is one.
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

// StopListening stops listening and resets nobody. Whoever connects from now on finds the process that stays on the address, or
// is refused as by a closed socket; handshakes that are under way have handshakeTime to end; then what is in the accept
// queue is handed to Accept, and the socket closes. It waits for nobody else: net/http closes a listener under a lock
// that whoever accepts needs.
func (l *Listener) StopListening() {
	l.stopOnce.Do(func() {
		if err := errors.Join(l.steerToPeer(), l.rejectNewConnections()); err != nil {
			slog.Warn("a client may be reset as this process stops listening", "err", err)
		}
		time.Sleep(handshakeTime)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.acceptQueued()
		l.closeSocket()
	})
}

// rejectNewConnections has the kernel refuse who connects from now on, while what has connected, or has begun to, is not touched: it
// binds the listener to an interface that does not exist, so that no SYN finds it and each is answered with RST, as where
// nobody listens. A SYN that the kernel has in hand at that very moment is dropped, and comes again after 1 s.
func (l *Listener) rejectNewConnections() error {
	return l.control(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
}

// acceptQueued takes what is in the accept queue. The lock is held.
func (l *Listener) acceptQueued() {
	_ = l.control(func(listener int) error {
		for {
			fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			} else if err != nil {
				return err // EAGAIN: there are no more
			}
			f := os.NewFile(uintptr(fd), "client")
			if c, err := net.FileConn(f); err == nil {
				l.queued = append(l.queued, c)
			}
			f.Close()
		}
	})
}

// Close leaves, and resets nobody either.
func (l *Listener) Close() error {
	l.StopListening()
	return nil
}
