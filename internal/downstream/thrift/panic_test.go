package thrift

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/internal/thriftwire"
)

// A panic in the goroutine that reads from a client closes only that client's connection. Here the missing
// table of methods causes it.
func TestPanicClosesItsConnectionOnly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Budget: semaphore.NewWeighted(1 << 20), MaxConns: 8, Limits: thriftwire.Limits{Size: 1 << 10, Depth: 8}}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	before := panics.Recovered()
	for i := range 3 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := conn.Write([]byte("\x80\x01\x00\x01\x00\x00\x00\x04ping\x00\x00\x00\x01\x00")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("connection %d was not closed: %v", i, err)
		}
		conn.Close()
	}
	if n := panics.Recovered() - before; n != 3 {
		t.Errorf("%d panics counted, want 3", n)
	}
	s.Shutdown(ln, shutdown.Plan{Answer: time.Second, Abort: time.Second}.Schedule(time.Now(), time.Now()))
	if err := <-served; err != nil {
		t.Error(err)
	}
}
