package thrift

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/shutdown"
)

// failingListener is a listener whose accepts return the errors of errs in order.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// An accept that fails for lack of descriptors, or because the connection was reset in the accept queue, does
// not end Serve, which would end the agent.
func TestTemporaryAcceptErrorIsRetried(t *testing.T) {
	acceptError := func(n syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", n)}
	}
	ln := &failingListener{errs: []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ENOBUFS), acceptError(syscall.ECONNABORTED), net.ErrClosed}}
	if err := (&Server{}).Serve(ln); err != nil {
		t.Errorf("Serve ended: %v", err)
	}
	if len(ln.errs) > 0 {
		t.Errorf("%d accepts were not made", len(ln.errs))
	}
	if err := (&Server{}).Serve(&failingListener{errs: []error{acceptError(syscall.EINVAL)}}); err == nil {
		t.Error("a permanent error of the listener is not returned")
	}
}

// lateListener is a listener whose Close returns while an accept is still running, which ends shortly after.
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

// Shutdown returns only after the last accept: otherwise a connection that is accepted last would not be
// served, and the end of the process would reset it.
func TestShutdownWaitsForTheLastAccept(t *testing.T) {
	ln := &lateListener{accepting: make(chan struct{}), closed: make(chan struct{})}
	s := &Server{}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	<-ln.accepting
	s.Shutdown(ln, shutdown.Plan{Answer: time.Second, Abort: time.Second}.Schedule(time.Now(), time.Now()))
	if !ln.accepted.Load() {
		t.Error("Shutdown has returned while a connection could still be accepted")
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
