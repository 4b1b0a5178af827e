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
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: ln.(*net.TCPListener), more: make(chan net.Conn), over: make(chan struct{})}, nil
}

// Listener is a listener whose end resets nobody: what stands in its accept queue is accepted first. Each
// listener of a shared address has a queue of its own, and the kernel resets what a closed one held.
type Listener struct {
	*net.TCPListener
	once sync.Once
	more chan net.Conn // found in the queue at the end
	over chan struct{}
}

// Accept returns the next connection, also those that were found at the end.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case c := <-l.more:
		return c, nil
	case <-l.over:
		return nil, err
	}
}

// Leave stops listening and returns once Accept has handed out what stood in the queue. Between the last
// look at the queue and the close are a few microseconds.
func (l *Listener) Leave() {
	l.once.Do(func() {
		var found []net.Conn
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
						found = append(found, c)
					}
					f.Close()
				}
			})
		}
		l.TCPListener.Close()
		for _, c := range found {
			l.more <- c
		}
		close(l.over)
	})
}

// Close leaves, and resets nobody either.
func (l *Listener) Close() error {
	l.Leave()
	return nil
}
