// Package tcppair connects pairs of TCP sockets over loopback, for tests.
package tcppair

import (
	"net"
	"testing"
)

// New returns both ends of a connection, which the end of the test closes.
func New(t testing.TB) (accepted, dialed *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server.(*net.TCPConn), client.(*net.TCPConn)
}
