package thrift

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// queue is a listener that gives these errors, one after the other.
type queue struct {
	net.Listener
	errs []error
}

func (q *queue) Accept() (net.Conn, error) {
	err := q.errs[0]
	q.errs = q.errs[1:]
	return nil, err
}

// An accept for which there was no descriptor, or whose connection was broken off in the queue, is no end of service:
// the agent ends with its front.
func TestAnAcceptThatLacksSomethingIsTriedAgain(t *testing.T) {
	of := func(n syscall.Errno) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", n)}
	}
	ln := &queue{errs: []error{of(syscall.EMFILE), of(syscall.ENFILE), of(syscall.ENOBUFS), of(syscall.ECONNABORTED), net.ErrClosed}}
	if err := (&Server{}).Serve(ln); err != nil {
		t.Errorf("the front ended: %v", err)
	}
	if len(ln.errs) > 0 {
		t.Errorf("%d accepts were not made", len(ln.errs))
	}
	if err := (&Server{}).Serve(&queue{errs: []error{of(syscall.EINVAL)}}); err == nil {
		t.Error("a listener that can't be used ended with no error")
	}
}

// lastAccept is a listener whose last accept is still under way when Close returns, and ends a moment later.
type lastAccept struct {
	net.Listener
	accepting, closed chan struct{}
	over              atomic.Bool
}

func (l *lastAccept) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.closed
	l.over.Store(true)
	return nil, net.ErrClosed
}

func (l *lastAccept) Close() error {
	time.AfterFunc(50*time.Millisecond, func() { close(l.closed) })
	return nil
}

// The front ends only once nothing more is accepted: what stood in the accept queue as its listener closed was left to
// the process's end, which resets it.
func TestTheEndWaitsForTheLastAccept(t *testing.T) {
	ln := &lastAccept{accepting: make(chan struct{}), closed: make(chan struct{})}
	f := &Server{Linger: time.Nanosecond}
	served := make(chan error, 1)
	go func() { served <- f.Serve(ln) }()
	<-ln.accepting
	f.Shutdown(ln, time.Second)
	if !ln.over.Load() {
		t.Error("the front has ended while a connection could still be accepted")
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
