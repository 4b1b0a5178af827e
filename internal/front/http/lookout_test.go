package http

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A client that hung up behind more than is read ahead is told once, also where its answer won and the server reads on
// to the end: what is noticed a second time, by the end of the bytes, is the same leaving.
func TestLeavingIsToldOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := framedListener{ln}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c := nc.(*framedConn)
	c.lookout.begin()
	io.WriteString(client, strings.Repeat("x", mostAhead+1))
	client.(*net.TCPConn).CloseWrite()
	select {
	case <-c.lookout.left:
	case <-time.After(10 * time.Second):
		t.Fatal("nobody noticed")
	}
	one := make([]byte, 1) // as net/http's look reads: it begins to look ahead behind the last byte
	for n := 0; n <= mostAhead; n++ {
		if _, err := c.Read(one); err != nil {
			t.Fatalf("byte %d: %v", n, err)
		}
	}
	<-c.lookout.over // it has come to the end
	if n, err := c.Read(one); n != 0 || err != io.EOF {
		t.Errorf("behind the end: %d, %v", n, err)
	}
}
