package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	httpup "ringtrack.example/ringtrack/internal/upstream/http"
	"ringtrack.example/ringtrack/policy"
)

// startWithBackend starts an agent with one backend, which answers with the given function.
func startWithBackend(t *testing.T, answer func(c net.Conn, req *http.Request, n int) bool) (*testAgent, *fakeBackend) {
	t.Helper()
	b := newBackend(t, answer)
	return startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), nil), b
}

func TestRequestIsForwardedAndServed(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		seen = req.Header.Clone()
		mu.Unlock()
		return echo(c, req, n)
	})
	req := newRequest(a.addr, "send", "hello")
	req.URL.RawQuery = "a=1&b=%20"
	status, header, body := a.roundTrip(req)
	wantStatus(t, status, 200)
	if want := "POST /api/00000000000000a1?a=1&b=%20 hello"; body != want {
		t.Errorf("body %q, want %q", body, want)
	}
	if header.Get("Content-Length") != fmt.Sprint(len(body)) {
		t.Errorf("Content-Length %q is not the length of the body", header.Get("Content-Length"))
	}
	mu.Lock()
	defer mu.Unlock()
	if seen.Get("Request-Id") != "1" || seen.Get("Idempotency-Key") != "k1" {
		t.Errorf("the backend got %v", seen)
	}
	var left int
	if _, err := fmt.Sscan(seen.Get("Request-Timeout-Ms"), &left); err != nil || left < 1 || left > 4000 {
		t.Errorf("the backend got the timeout %q ms", seen.Get("Request-Timeout-Ms"))
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// The result of an attempt determines the answer to the client and how often the backend gets the request.
func TestAttemptResultsAndAnswers(t *testing.T) {
	always := func(status int, header, body string) func(net.Conn, *http.Request, int) bool {
		return func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, status, header, body) }
	}
	raw := func(text string, keepOpen bool) func(net.Conn, *http.Request, int) bool {
		return func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, text)
			return keepOpen
		}
	}
	for _, test := range []struct {
		name     string
		class    string
		answer   func(net.Conn, *http.Request, int) bool
		status   int
		arrivals int
	}{
		{"500 may have run", "order", always(500, "", ""), 502, 1},
		{"503 without proof may have run", "order", always(503, "", ""), 502, 1},
		{"reset after the last byte may have run", "order",
			func(c net.Conn, _ *http.Request, _ int) bool { return resetConnection(c) }, 502, 1},
		{"close after the last byte may have run", "order", raw("", false), 502, 1},
		{"incomplete body may have run", "order", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false), 502, 1},
		{"incomplete chunk may have run", "order",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false), 502, 1},
		{"response without a length may have run", "order", raw("HTTP/1.1 200 OK\r\n\r\nhalf", false), 502, 1},
		{"malformed header may have run", "order", raw("nonsense\r\n\r\n", true), 502, 1},
		{"body too large may have run", "order", raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", httpup.MaxResponseBodyBytes+1), true), 502, 1},
		{"large response", "order", always(200, "", strings.Repeat("x", 400<<10)), 200, 1},
		{"large response in chunks", "order", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 400<<10, strings.Repeat("x", 400<<10)), true), 200, 1},
		{"response delimited by Connection: close", "order", raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall", false), 200, 1},
		{"bad request is not retried", "send", always(400, "", ""), 400, 1},
		{"429 of a backend may have run", "order", always(429, "", ""), 502, 1},
		{"503 with proof never ran", "order", always(503, "Not-Started: 1\r\n", ""), 503, 3},
		{"504 with proof never ran", "order", always(504, "Not-Started: 1\r\n", ""), 503, 3},
		{"error of a request with idempotency key is retried, at most three attempts", "send", always(500, "", ""), 503, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, b := startWithBackend(t, test.answer)
			status, header, _ := a.roundTrip(newRequest(a.addr, test.class, "x"))
			wantStatus(t, status, test.status)
			if b.count() != test.arrivals {
				t.Errorf("%d arrivals, want %d", b.count(), test.arrivals)
			}
			if status == 503 && header.Get("Retry-After") != "0.600" {
				t.Errorf("rejected with Retry-After %q, want 0.600", header.Get("Retry-After"))
			}
			if f := a.stats(); f.DeadlineExceeded+f.GuardViolations > 0 {
				t.Errorf("guard violations or missed deadlines: %+v", f)
			}
		})
	}
}

func TestRejectedAttemptIsRetried(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			return writeResponse(c, 503, "Not-Started: 1\r\n", "")
		}
		return echo(c, req, n)
	})
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

func TestInterimResponseIsSkipped(t *testing.T) {
	a, _ := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return echo(c, req, n)
	})
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", addr)), nil)
	status, header, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 503)
	if header.Get("Retry-After") == "" {
		t.Error("rejected without Retry-After")
	}
}

func TestConnectionIsReused(t *testing.T) {
	a, b := startWithBackend(t, echo)
	for range 3 {
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrivals != 3 || b.maxConns != 1 || len(b.ended) != 0 {
		t.Errorf("%d requests arrived over up to %d connections at once, %d connections ended", b.arrivals, b.maxConns, len(b.ended))
	}
}

// The agent notices that the backend has closed an idle connection before it writes a request to it. A
// non-idempotent request would fail on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		echo(c, req, n)
		return n > 0
	})
	wantServed := func() {
		t.Helper()
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	wantServed()
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Fatal("the backend did not close")
	}
	wantServed()
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// An idle connection breaks after the last byte of a request was written to it: the request may have run.
// Only the balancer decides on a retry, even where http.Transport would retry by itself.
func TestBrokenIdleConnectionIsNotRetried(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		return n == 0 && echo(c, req, n)
	})
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", ""))
	wantStatus(t, status, 200)
	status, _, _ = a.roundTrip(newRequest(a.addr, "order", ""))
	wantStatus(t, status, 502)
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// A request to a backend that does not answer fails in time, and its connection is closed: otherwise a late
// response would be taken for the response to the next request.
func TestSilentBackendFailsInTime(t *testing.T) {
	a, b := startWithBackend(t, func(net.Conn, *http.Request, int) bool { return true })
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	from := time.Now()
	status, _, _ := a.roundTrip(req)
	if status != 502 && status != 504 {
		t.Errorf("answered %d, want a failure", status)
	}
	if took := time.Since(from); took < 400*time.Millisecond {
		t.Errorf("failed after %v", took)
	}
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Error("the connection is not closed")
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// byMode runs a test for each discovery mode. With pushed updates the balancer requests no polls, but the
// agent still watches its discovery server.
func byMode(t *testing.T, test func(t *testing.T, change func(*Config))) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) { test(t, func(c *Config) { c.Settings.DiscoveryMode = mode }) })
	}
}

func TestDrainingBackendGetsNoRequests(t *testing.T) { byMode(t, testDrainingBackendGetsNoRequests) }

func testDrainingBackendGetsNoRequests(t *testing.T, setMode func(*Config)) {
	old, other := newBackend(t, echo), newBackend(t, echo)
	d := newDiscoveryServer(t, listedBackend("s-1", old.addr))
	a := startAgent(t, d, setMode)
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	d.Set(listedBackend("s-2", other.addr))
	draining := listedBackend("s-1", old.addr)
	draining.State = "draining"
	d.update(t, draining)
	before := old.count()
	for range 8 {
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if old.count() != before || other.count() < 8 {
		t.Errorf("%d requests arrived at the draining backend after the update, %d at the other", old.count()-before, other.count())
	}
	select { // its idle connection is closed
	case <-old.ended:
	case <-time.After(testTimeout):
		t.Error("the idle connection to the draining backend is not closed")
	}
}

func TestAddressChangeIsFollowed(t *testing.T) {
	old, moved := newBackend(t, echo), newBackend(t, echo)
	d := newDiscoveryServer(t, listedBackend("s-1", old.addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	d.update(t, listedBackend("s-1", moved.addr))
	status, _, _ = a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if old.count() != 1 || moved.count() != 1 {
		t.Errorf("%d requests arrived at the old address, %d at the new one", old.count(), moved.count())
	}
}

// While discovery is down the agent uses the current list and makes few calls. Afterwards it gets the
// changes.
func TestServesWhileDiscoveryIsDown(t *testing.T) { byMode(t, testServesWhileDiscoveryIsDown) }

func testServesWhileDiscoveryIsDown(t *testing.T, setMode func(*Config)) {
	first, second := newBackend(t, echo), newBackend(t, echo)
	d := newDiscoveryServer(t, listedBackend("s-1", first.addr))
	a := startAgent(t, d, setMode)
	d.wait(t, 1)
	d.SetDown(true)
	before := d.Calls()
	for d.Calls() == before { // the balancer decides when to poll
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	if n := d.Calls() - before; n > 4 {
		t.Errorf("%d calls at once to a discovery that is down", n)
	}
	d.SetDown(false)
	removed := listedBackend("s-1", first.addr)
	removed.State = "removed"
	d.Set(listedBackend("s-2", second.addr))
	d.update(t, removed)
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if second.count() == 0 {
		t.Error("the new backend is not used")
	}
}

// When a client disconnects, the attempt of its request is cancelled.
func TestDisconnectCancelsAttempt(t *testing.T) {
	arrived := make(chan struct{}, 10)
	a, b := startWithBackend(t, func(net.Conn, *http.Request, int) bool {
		arrived <- struct{}{}
		return true
	})
	ctx, disconnect := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		req := newRequest(a.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the cancellation
		_, err := testClient.Do(req.WithContext(ctx))
		failed <- err
	}()
	<-arrived
	disconnect()
	<-failed
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Fatal("the attempt was not cancelled")
	}
	if f := a.stats(); f.Disconnected != 1 || f.DeadlineExceeded != 0 {
		t.Errorf("stats %+v", f)
	}
}

// Connections of idle clients are closed in favour of new ones, so that they do not use up the descriptors.
func TestIdleClientsAreClosedForNewOnes(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		<-release
		return echo(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(c *Config) { c.Sockets = minSockets })
	maxIdle := a.cfg.maxIdleClients()
	for range 2 * maxIdle { // clients that stay connected and idle
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	close(release)
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

func TestUnknownTenantIsBadRequest(t *testing.T) {
	b := newBackend(t, echo)
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(c *Config) {
		c.Settings.Tenants = []policy.Tenant{{Name: "acme", QuotaWeight: 1}}
	})
	for name, want := range map[string]int{"acme": 200, "nobody": 400, "": 400} {
		req := newRequest(a.addr, "order", "x")
		req.Header.Set("Tenant", name)
		if status, _, _ := a.roundTrip(req); status != want {
			t.Errorf("tenant %q: answered %d, want %d", name, status, want)
		}
	}
}
