package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dial opens a connection to the agent, on which a test writes raw bytes.
func (a *testAgent) dial() net.Conn {
	a.t.Helper()
	c, err := net.Dial("tcp", a.addr)
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// exchange writes text on a new connection and returns everything that is read until the connection is
// closed.
func (a *testAgent) exchange(text string) string {
	a.t.Helper()
	c := a.dial()
	io.WriteString(c, text)
	got, err := io.ReadAll(c)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.t.Errorf("the connection stays open after %.60q", text)
	}
	return string(got)
}

// rawOrder returns a non-idempotent request with additional header lines.
func rawOrder(target, id, lines, body string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\n" + lines + "\r\n" + body
}

// A bad request is answered with an error, and its connection is closed. It never reaches a backend, which
// would otherwise be considered faulty.
func TestBadRequestsAreRejectedAndClosed(t *testing.T) {
	a, b := startWithBackend(t, echo)
	get := func(lines string) string {
		return "GET /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: g\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 4000\r\n" + lines + "\r\n"
	}
	withKey := func(lines string) string {
		return strings.Replace(rawOrder("/api/a1", "k", lines, ""), "Class: order", "Class: send", 1)
	}
	smuggled := rawOrder("/api/a1", "smuggled", "Content-Length: 0\r\n", "")
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"not HTTP", "\x01\x02nonsense\r\n\r\n", 400},
		{"no version", "GET f919335c\r\n\r\n", 400},
		{"header line without colon", rawOrder("/api/a1", "1", "no colon\r\n", ""), 400},
		{"header too large", rawOrder("/api/a1", "1", "X: "+strings.Repeat("p", 32<<10)+"\r\n", ""), 431},
		{"HTTP/1.0", strings.Replace(rawOrder("/api/a1", "1", "Content-Length: 0\r\n", ""), "1.1", "1.0", 1), 505},
		{"length and chunked, with a smuggled request", rawOrder("/api/a1", "1",
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(smuggled)+5), "0\r\n\r\n"+smuggled), 411},
		{"chunked and a length, with a smuggled request", rawOrder("/api/a1", "1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+smuggled), 411},
		{"invalid chunk size", rawOrder("/api/a1", "1", "Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n0\r\n\r\n"), 400},
		{"two lengths", rawOrder("/api/a1", "1", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
		{"negative length", rawOrder("/api/a1", "1", "Content-Length: -4\r\n", "abcd"), 400},
		{"signed length", rawOrder("/api/a1", "1", "Content-Length: +4\r\n", "abcd"), 400},
		{"length of 600 MB without a body", rawOrder("/api/a1", "1", "Content-Length: 600000000\r\n", ""), 413},
		{"no id", strings.Replace(rawOrder("/api/a1", "1", "", ""), "Request-Id: 1\r\n", "", 1), 400},
		{"id with a space", rawOrder("/api/a1", "1 2", "", ""), 400},
		{"id too long", rawOrder("/api/a1", strings.Repeat("1", 129), "", ""), 400},
		{"two ids", rawOrder("/api/a1", "1", "Request-Id: 2\r\n", ""), 400},
		{"two timeouts", rawOrder("/api/a1", "1", "Request-Timeout-Ms: 5\r\n", ""), 400},
		{"signed timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "+480", 1), 400},
		{"timeout is not a number", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "soon", 1), 400},
		{"empty timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "", 1), 400},
		{"zero timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "0", 1), 400},
		{"negative timeout", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "-5", 1), 400},
		{"timeout out of range", strings.Replace(rawOrder("/api/a1", "1", "", ""), "4000", "99999999999999999999", 1), 400},
		{"unknown class", strings.Replace(rawOrder("/api/a1", "1", "", ""), "order", "orders", 1), 400},
		{"idempotency key in a class without one", rawOrder("/api/a1", "1", "Idempotency-Key: k\r\n", ""), 400},
		{"missing idempotency key", withKey(""), 400},
		{"empty idempotency key", withKey("Idempotency-Key: \r\n"), 400},
		{"GET with a body", get("Content-Length: 1\r\n") + "x", 400},
		{"GET of a non-idempotent class", strings.Replace(get(""), "read", "order", 1), 400},
		{"POST of an idempotent class", strings.Replace(rawOrder("/api/a1", "1", "", ""), "order", "read", 1), 400},
		{"unsupported method", strings.Replace(get(""), "GET", "DELETE", 1), 405},
		{"OPTIONS *", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", 405},
		{"absolute-form target", rawOrder("http://x/api/a1", "1", "", ""), 400},
		{"non-ASCII target", rawOrder("/api/\xc3\xa9", "1", "", ""), 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := a.exchange(test.text + get("")) // the second request must not be served
			want := fmt.Sprintf(" %d ", test.status)
			if len(got) < 8 || !strings.HasPrefix(got[8:], want) || strings.Count(got, "HTTP/1.") != 1 {
				t.Errorf("answered %.200q, want one response with status%s", got, want)
			}
		})
	}
	if n := b.count(); n != 0 {
		t.Errorf("%d requests arrived at the backend, want none", n)
	}
	if f := a.stats(); f.Accepted != 0 {
		t.Errorf("the balancer got %d requests", f.Accepted)
	}
}

// Connections with an incomplete header or body, or without any request, are closed within 3 s.
func TestIncompleteRequestsAreClosedInTime(t *testing.T) {
	a, b := startWithBackend(t, echo)
	complete := rawOrder("/api/a1", "1", "Content-Length: 9\r\n", "half")
	took := make(chan time.Duration)
	texts := []string{"", "POST /api", complete[:len(complete)-6], complete}
	for _, text := range texts {
		go func() {
			from := time.Now()
			a.exchange(text)
			took <- time.Since(from)
		}()
	}
	for range texts {
		// The bound is tight, since the time is what the test checks.
		if d := <-took; d > 3*time.Second {
			t.Errorf("closed only after %v", d)
		}
	}
	if n := b.count(); n != 0 {
		t.Errorf("%d requests arrived at the backend, want none", n)
	}
}

// Another request with the id of an open request is answered with a conflict.
func TestIDOfOpenRequestIsConflict(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			arrived <- struct{}{}
			<-release
		}
		return echo(c, req, n)
	})
	c := a.dial()
	fmt.Fprint(c, rawOrder("/api/a1", "same", "Content-Length: 0\r\n", ""))
	<-arrived
	if got := a.exchange(rawOrder("/api/b2", "same", "Content-Length: 0\r\n", "")); !strings.HasPrefix(got, "HTTP/1.1 409 ") {
		t.Errorf("answered %.100q, want 409", got)
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the first request: response %v, error %v", resp, err)
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
	if f := a.stats(); f.Failed != 1 || f.Served != 1 {
		t.Errorf("stats %+v, want one failed and one served request", f)
	}
}

// The target is forwarded byte for byte, since a normalized target could denote another resource.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	a, _ := startWithBackend(t, echo)
	for _, target := range []string{"/api/a%2Fb%7e", "//api//x", "/api/a;b?q=%zz&&=+", "/api/../x?", "/api/%41?a=b|c\"<>"} {
		got := a.exchange(rawOrder(target, fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\nConnection: close\r\n", ""))
		if !strings.Contains(got, "POST "+target+" ") {
			t.Errorf("request target %q was not forwarded unchanged: %.300q", target, got)
		}
	}
}

// A body of 1 MiB is buffered; if no memory is left, it is streamed. All memory is released afterwards.
func TestBodiesShareMemoryBudget(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, _ int) bool {
		body, _ := io.ReadAll(req.Body)
		return writeResponse(c, 200, "", fmt.Sprint(len(body)))
	})
	large := strings.Repeat("x", 1<<20)
	status, _, got := a.roundTrip(newRequest(a.addr, "order", large))
	if status != 200 || got != fmt.Sprint(1<<20) {
		t.Errorf("a large body: answered %d, arrived %s", status, got)
	}
	budget := a.cfg.bodyBudget()
	if err := a.budget.Acquire(t.Context(), budget); err != nil { // fails unless all of it was released
		t.Fatal(err)
	}
	if status, _, got = a.roundTrip(newRequest(a.addr, "order", large)); status != 200 || got != fmt.Sprint(1<<20) {
		t.Errorf("without memory: answered %d, arrived %s", status, got)
	}
	status, _, _ = a.roundTrip(newRequest(a.addr, "order", "small"))
	wantStatus(t, status, 200)
	a.budget.Release(budget)
	if b.count() != 3 {
		t.Errorf("%d arrivals, want 3", b.count())
	}
	if f := a.stats(); f.GuardViolations+f.DeadlineExceeded > 0 {
		t.Errorf("guard violations or missed deadlines: %+v", f)
	}
}

// Hundreds of idle connections do not block clients: an open connection stays usable, and a new one is
// served.
func TestIdleConnectionsDoNotBlockClients(t *testing.T) {
	a, _ := startWithBackend(t, echo)
	idle := 2 * a.cfg.maxIdleClients()
	first := a.dial()
	send := func(c net.Conn) error {
		fmt.Fprint(c, rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\n", ""))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && resp.StatusCode != 200 {
			err = fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
		return err
	}
	if err := send(first); err != nil {
		t.Fatal(err)
	}
	for range 2 * idle {
		a.dial()
	}
	if err := send(a.dial()); err != nil {
		t.Errorf("a request on a new connection: %v", err)
	}
	if err := send(first); err != nil {
		t.Errorf("a request on the first connection: %v", err)
	}
}

// Clients that have sent one request and keep their connection do not use up the connection limit of the
// application, a third of the descriptors: the agent closes the oldest connections in time.
func TestOldestIdleClientsAreClosed(t *testing.T) {
	a, _ := startWithBackend(t, echo)
	connections := a.cfg.Sockets / 3
	var conns []net.Conn
	for range connections {
		c := a.dial()
		conns = append(conns, c)
		fmt.Fprint(c, rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\n", ""))
		br := bufio.NewReader(c)
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	// The oldest are closed well before the idle timeout, which closes all of them.
	for _, c := range conns[:connections/8] {
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("an old idle connection is not closed, reading returned %v", err)
		}
	}
}

// A client that half-closes its connection after its request counts as disconnected and gets no response.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	began := make(chan struct{})
	a, _ := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		close(began)
		io.Copy(io.Discard, c) // until it is cancelled
		return false
	})
	c := a.dial()
	fmt.Fprint(c, rawOrder("/api/a1", "half", "Content-Length: 0\r\n", ""))
	<-began
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("a half-closed client was answered with %q", got)
	}
}
