package cluster

import (
	"net"
	"syscall"
	"testing"
)

// A gate that could not accept a connection accepts the next, until its listener is closed.
func TestGateGoesOnBehindAFailedAccept(t *testing.T) {
	g, tried := &gate{}, 0
	g.accept(func() (*net.TCPConn, error) {
		if tried++; tried < 3 {
			return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
		}
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	})
	if tried != 3 {
		t.Errorf("tried %d times", tried)
	}
}
