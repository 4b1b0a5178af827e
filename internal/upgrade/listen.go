package upgrade

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
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
	return &Listener{TCPListener: ln.(*net.TCPListener)}, nil
}

// Listener is a listener whose end resets nobody: what stands in its accept queue is accepted first. Each
// listener of a shared address has a queue of its own, and the kernel resets what a closed one held.
type Listener struct {
	*net.TCPListener
	once  sync.Once
	mu    sync.Mutex
	found []net.Conn // in the queue at the end
}

// Accept returns the next connection, also those that were found at the end.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.found) == 0 {
		return nil, err
	}
	c, l.found = l.found[0], l.found[1:]
	return c, nil
}

// Steer has the kernel give what connects from now on to the listener that joined this address after this one. Without
// it connections go to either by a hash, also between Leave's last look at the queue and the close, which resets them.
// Listeners of an address are numbered by the kernel as they join, and the last takes the place of one that closes: of
// two the newer is always 1, and where there is no 1 the hash holds again. Where it is refused the hash holds as well.
func (l *Listener) Steer() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	newer := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	prog := unix.SockFprog{Len: uint16(len(newer)), Filter: &newer[0]}
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &prog)
	}); cerr != nil {
		return cerr
	}
	return os.NewSyscallError("setsockopt", err)
}

// Leave stops listening; Accept hands out what stood in the queue first. It waits for nobody: net/http closes a
// listener under a lock that whoever accepts needs. Between the last look at the queue and the close are a few
// microseconds, and more where the machine is busy: Steer, before it, has nothing come meanwhile.
func (l *Listener) Leave() {
	l.once.Do(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if raw, err := l.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				for {
					nfd, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
					if err == syscall.EINTR || err == syscall.ECONNABORTED {
						continue
					} else if err != nil {
						break
					}
					f := os.NewFile(uintptr(nfd), "client")
					if c, err := net.FileConn(f); err == nil {
						l.found = append(l.found, c)
					}
					f.Close()
				}
			})
		}
		l.TCPListener.Close()
	})
}

// Close leaves, and resets nobody either.
func (l *Listener) Close() error {
	l.Leave()
	return nil
}
