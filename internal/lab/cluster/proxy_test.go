package cluster

import (
	"net"
	"syscall"
	"testing"
)

// An error of accept, such as too many open files, must not end the proxy: it accepts until its listener is
// closed.
func TestProxyContinuesAfterFailedAccept(t *testing.T) {
	p := &proxy{}
	calls := 0
	p.accept(func() (*net.TCPConn, error) {
		if calls++; calls < 3 {
			return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
		}
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	})
	if calls != 3 {
		t.Errorf("accept was called %d times, not 3", calls)
	}
}
