package http

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/tcppair"
	"ringtrack.example/ringtrack/internal/socket"
)

// newDetectedConn returns both ends of a client's connection, whose disconnect detector is running.
func newDetectedConn(t *testing.T) (client *net.TCPConn, c *framedConn) {
	t.Helper()
	accepted, client := tcppair.New(t)
	c = newFramedConn(accepted)
	c.disconnect.start()
	return client, c
}

// The disconnect of a client that has sent more than is read ahead is notified once, although both the poll
// of the socket and the end of the bytes show it. Closing the channel twice would panic.
func TestDisconnectIsNotifiedOnce(t *testing.T) {
	client, c := newDetectedConn(t)
	io.WriteString(client, strings.Repeat("x", maxReadAheadBytes+1))
	client.CloseWrite()
	select {
	case <-c.disconnect.disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("the disconnect is not detected")
	}
	one := make([]byte, 1) // as net/http's own check reads: the detector starts after the last byte
	for n := 0; n <= maxReadAheadBytes; n++ {
		if _, err := c.Read(one); err != nil {
			t.Fatalf("reading byte %d: %v", n, err)
		}
	}
	<-c.disconnect.stopped // it has reached the end
	if n, err := c.Read(one); n != 0 || err != io.EOF {
		t.Errorf("after the end: read %d bytes, error %v", n, err)
	}
}

// The disconnect of a client during the second of several pipelined requests is detected, although net/http's
// own check then ends with a byte that had been read ahead.
func TestDisconnectDuringASecondPipelinedRequest(t *testing.T) {
	client, c := newDetectedConn(t)
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
		t.Fatalf("read %d bytes of the second request, error %v", n, err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil { // net/http's check during it
		t.Fatalf("read %d bytes during the second request, error %v", n, err)
	}
	client.Close()
	select {
	case <-c.disconnect.disconnected:
	case <-time.After(time.Second):
		t.Fatal("the disconnect is not detected")
	}
}

// A request that arrives just as the idle timeout of its connection expires is read. An incomplete request
// gets no more time by that.
func TestRequestAtTheIdleTimeoutIsRead(t *testing.T) {
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
		for end := time.Now().Add(10 * time.Second); socket.ReadState(nc) != socket.Unread && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // until it has arrived
		}
		got := make([]byte, 100)
		n, err := nc.Read(got)
		if want := []string{part, ""}[i]; string(got[:n]) != want || (err == nil) != (i == 0) {
			t.Errorf("read %q, error %v", got[:n], err)
		}
	}
}
