package thrift

import (
	"net"
	"os"
	"syscall"
	"testing"
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
	if err := (&Front{}).Serve(ln); err != nil {
		t.Errorf("the front ended: %v", err)
	}
	if len(ln.errs) > 0 {
		t.Errorf("%d accepts were not made", len(ln.errs))
	}
	if err := (&Front{}).Serve(&queue{errs: []error{of(syscall.EINVAL)}}); err == nil {
		t.Error("a listener that can't be used ended with no error")
	}
}
