package thrift

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose accepts return these errors, one after the other.
type failingListener struct {
	net.Listener
	errs []error
}

func (q *failingListener) Accept() (net.Conn, error) {
	err := q.errs[0]
	q.errs = q.errs[1:]
	return nil, err
}

// An accept for which there was no descriptor, or whose connection was reset in the queue, does not end Serve: the agent
// would end with it.
func TestTemporaryAcceptErrorIsRetried(t *testing.T) {
	of := func(n syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", n)}
	}
	ln := &failingListener{errs: []error{of(syscall.EMFILE), of(syscall.ENFILE), of(syscall.ENOBUFS), of(syscall.ECONNABORTED), net.ErrClosed}}
	if err := (&Server{}).Serve(ln); err != nil {
		t.Errorf("Serve ended: %v", err)
	}
	if len(ln.errs) > 0 {
		t.Errorf("%d accepts were not made", len(ln.errs))
	}
	if err := (&Server{}).Serve(&failingListener{errs: []error{of(syscall.EINVAL)}}); err == nil {
		t.Error("a listener that can't be used returns no error")
	}
}

// lateListener is a listener whose last accept is still under way when Close returns, and ends a moment later.
type lateListener struct {
	net.Listener
	accepting, closed chan struct{}
	accepted          atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.closed
	l.accepted.Store(true)
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error {
	time.AfterFunc(50*time.Millisecond, func() { close(l.closed) })
	return nil
}

// Shutdown returns only once nothing more is accepted: a connection in the accept queue would be left to the end of the
// process, which resets it.
func TestShutdownWaitsForTheLastAccept(t *testing.T) {
	ln := &lateListener{accepting: make(chan struct{}), closed: make(chan struct{})}
	s := &Server{Linger: time.Nanosecond}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	<-ln.accepting
	s.Shutdown(ln, time.Second)
	if !ln.accepted.Load() {
		t.Error("Shutdown has returned while a connection could still be accepted")
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
