package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// fakeAgent knows the backends "s-1" and "s 2&x". A cordon of "s-busy" fails.
type fakeAgent struct {
	mu       sync.Mutex
	serving  bool
	cordoned map[string]bool
}

func (a *fakeAgent) Serving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.serving
}

func (a *fakeAgent) Stats() Stats {
	return Stats{Classes: []Class{{"read", 812, 3, 2}, {"order", 1, 0, 0}}, Written: 900, Open: 14, Listed: 12, Unavailable: 1}
}

func (a *fakeAgent) Cordon(id string, cordoned bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch id {
	case "s-1", "s 2&x":
		a.cordoned[id] = cordoned
		return nil
	case "s-busy":
		return errors.New("busy")
	}
	return ErrBackendNotFound
}

func startServer(t *testing.T) (*fakeAgent, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{cordoned: map[string]bool{}}
	s := New(a, MaxConnections)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return a, ln.Addr().String()
}

// call sends one request as raw bytes and returns the status and the body. It checks that the server then
// closes the connection.
func call(t *testing.T, addr, method, target string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n\r\n", method, target)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, target, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("%s %s: the connection is not closed: %v", method, target, err)
	}
	return resp.StatusCode, string(body)
}

func TestServerHandlesRequests(t *testing.T) {
	a, addr := startServer(t)
	for _, c := range []struct {
		method, target string
		status         int
	}{
		{"GET", "/admin/health", 503}, // not serving yet
		{"PUT", "/admin/cordon?name=s-1", 200},
		{"PUT", "/admin/cordon?name=s-1", 200},
		{"PUT", "/admin/cordon?name=s%202%26x", 200},
		{"PUT", "/admin/uncordon?name=s%202%26x", 200},
		{"PUT", "/admin/cordon?name=s-9", 404},
		{"PUT", "/admin/uncordon?name=s-9", 404},
		{"PUT", "/admin/cordon?name=s-busy", 500},
		{"PUT", "/admin/cordon", 400},
		{"PUT", "/admin/cordon?name=", 400},
		{"PUT", "/admin/cordon?name=s-1&name=s-1", 400},
		{"PUT", "/admin/cordon?name=%zz", 400},
		{"PUT", "/admin/cordon?name=" + strings.Repeat("s", maxIDBytes+1), 400},
		{"GET", "/admin/cordon?name=s-1", 405},
		{"PUT", "/admin/stats", 405},
		{"GET", "/admin", 404},
		{"GET", "/api/x", 404},
	} {
		if status, body := call(t, addr, c.method, c.target); status != c.status {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.target, status, body, c.status)
		}
	}
	a.mu.Lock()
	if a.serving = true; !a.cordoned["s-1"] || a.cordoned["s 2&x"] {
		t.Errorf("cordoned backends: %v, want only s-1", a.cordoned)
	}
	a.mu.Unlock()
	if status, _ := call(t, addr, "GET", "/admin/health"); status != 200 {
		t.Errorf("health of a serving agent: status %d, want 200", status)
	}
	want := "app.fulfilled.read=812\napp.throttled.read=3\napp.faulted.read=2\n" +
		"app.fulfilled.order=1\napp.throttled.order=0\napp.faulted.order=0\n" +
		"app.relayed=900\napp.open_requests=14\napp.registry_entries=12\napp.out_of_rotation=1\napp.recovered_panics=0\napp.framing_disagreements=0\n"
	if status, body := call(t, addr, "GET", "/admin/stats"); status != 200 || body != want {
		t.Errorf("stats: status %d, body %q", status, body)
	}
}

// More than MaxConnections connections without a complete request do not block a new connection: the oldest
// ones are closed.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	_, addr := startServer(t)
	var idle []net.Conn
	for i := range 2 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /admin/stats HTTP/1.1\r\nHo")
		}
		idle = append(idle, c)
	}
	if status, _ := call(t, addr, "GET", "/admin/stats"); status != 200 {
		t.Errorf("stats with idle connections open: status %d, want 200", status)
	}
	idle[0].SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := idle[0].Read(make([]byte, 1)); err == nil || timedOut(err) {
		t.Errorf("the oldest connection was not closed: %v", err)
	}
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// A request of very many lines ends its connection before they are kept.
func TestRequestOfManyLinesIsEnded(t *testing.T) {
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
	nc, err := lineLimitedListener{ln}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for _, lines := range []int{maxRequestLines, 1} {
		io.WriteString(client, strings.Repeat("\n", lines))
		n, err := io.ReadAtLeast(nc, make([]byte, lines), lines)
		if tooMany := lines == 1; tooMany != errors.Is(err, errTooManyLines) || !tooMany && n != lines {
			t.Errorf("%d lines: read %d bytes, error %v", lines, n, err)
		}
	}
}
