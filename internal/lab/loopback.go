package lab

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// loopbackCount is the number of addresses that UniqueLoopback has returned.
var loopbackCount atomic.Uint32

// UniqueLoopback returns a loopback address without a port that nothing else of this process uses, and that other
// processes are unlikely to use. The kernel assigns its ports to nothing else, outgoing connections included.
func UniqueLoopback() string {
	n := uint32(os.Getpid())*31 + loopbackCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+n>>14&127, n>>7&127+1, n&127+1)
}

// UnusedAddr returns an address on a loopback address of its own, for a process that is yet to listen there.
func UnusedAddr() (string, error) {
	ln, err := net.Listen("tcp", UniqueLoopback()+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
