package http

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

// watched is a client's connection at both ends, whose leaving is looked for.
func watched(t *testing.T) (client net.Conn, c *framedConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := framedListener{ln}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c = nc.(*framedConn)
	c.disconnect.start()
	return client, c
}

// A client that hung up behind more than is read ahead is told once, also where its answer won and the server reads on
// to the end: what is noticed a second time, by the end of the bytes, is the same leaving.
func TestLeavingIsToldOnce(t *testing.T) {
	client, c := watched(t)
	io.WriteString(client, strings.Repeat("x", maxReadAheadBytes+1))
	client.(*net.TCPConn).CloseWrite()
	select {
	case <-c.disconnect.disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("nobody noticed")
	}
	one := make([]byte, 1) // as net/http's look reads: it begins to look ahead behind the last byte
	for n := 0; n <= maxReadAheadBytes; n++ {
		if _, err := c.Read(one); err != nil {
			t.Fatalf("byte %d: %v", n, err)
		}
	}
	<-c.disconnect.stopped // it has come to the end
	if n, err := c.Read(one); n != 0 || err != io.EOF {
		t.Errorf("behind the end: %d, %v", n, err)
	}
}

// A client that leaves during the second of the requests that it sent together is noticed, where more stands behind
// that one: net/http's look then finds a byte that was read ahead before.
func TestLeavingBehindTheSecondOfMany(t *testing.T) {
	client, c := watched(t)
	io.WriteString(client, "three")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.disconnect.mu.Lock()
		n := len(c.disconnect.readAhead)
		c.disconnect.mu.Unlock()
		if n == len("three") {
			break
		}
	}
	if n, err := c.Read(make([]byte, 2)); n != 2 || err != nil { // the second request
		t.Fatalf("%d, %v", n, err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil { // the look during it
		t.Fatalf("%d, %v", n, err)
	}
	client.Close()
	select {
	case <-c.disconnect.disconnected:
	case <-time.After(time.Second):
		t.Fatal("nobody noticed")
	}
}

// A request that comes in the very moment in which its connection is to be closed as idle is read all the same; what
// has begun to come is not given more time by that.
func TestARequestAtTheEndOfItsIdleTimeIsRead(t *testing.T) {
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
	nc.SetReadDeadline(time.Unix(1, 0))
	for i, part := range []string{"GET /api HTTP/1.1\r\n", "Host: x\r\n"} {
		io.WriteString(client, part)
		for end := time.Now().Add(10 * time.Second); socket.Look(nc) != socket.Unread && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // until it has come
		}
		got := make([]byte, 100)
		n, err := nc.Read(got)
		if want := []string{part, ""}[i]; string(got[:n]) != want || (err == nil) != (i == 0) {
			t.Errorf("%q, %v", got[:n], err)
		}
	}
}
