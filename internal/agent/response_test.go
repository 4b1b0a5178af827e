package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// After a malformed response the request may have run: a non-idempotent one fails and is not retried. The
// connection is closed at once, and the next request gets its own response.
func TestMalformedResponses(t *testing.T) {
	good := "Content-Length: 4\r\nServer-Load: qps=1,util=0.5,eps=0\r\n\r\ngood"
	for name, text := range map[string]string{
		"not HTTP":                      "\xf8n;\xf9\xfd\r\n\r\n",
		"not HTTP, no end of line":      "\xf8n;\xf9\xfd",
		"another protocol":              "ICY 200 OK\r\n" + good,
		"status and reason swapped":     "HTTP/1.1 OK 200\r\n" + good,
		"status is not a number":        "HTTP/1.1 2x0 OK\r\n" + good,
		"header line without colon":     "HTTP/1.1 200 OK\r\nno colon here\r\n" + good,
		"header line without end":       "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("p", 1<<20),
		"header without end":            "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<16),
		"interim responses without end": strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 1<<16),
		"negative length":               "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n" + good,
		"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + good,
		"repeated length":               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + good,
		"length and chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"invalid chunk size":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
		"trailers end in a bare LF":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\n\r\n",
		"trailer line without colon":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nno colon\r\n\r\n",
		"trailer without end":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX: " + strings.Repeat("p", 1<<20),
		"body of 3 GB":                  "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20),
		"chunk of 3 GB":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\n" + strings.Repeat("x", 2<<20),
		"no length":                     "HTTP/1.1 200 OK\r\n\r\ngood",
		"switch to another protocol":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				if n > 0 {
					return echo(c, req, n)
				}
				io.WriteString(c, text)
				return true // the backend keeps the connection open
			})
			from := time.Now()
			status, _, body := a.roundTrip(newRequest(a.addr, "order", "x"))
			wantStatus(t, status, 502)
			if strings.Contains(body, "good") || b.count() != 1 {
				t.Errorf("body %q, %d requests arrived at the backend", body, b.count())
			}
			if took := time.Since(from); took > 2*time.Second { // half of the request's timeout
				t.Errorf("answered after %v: the agent waited for the rest of the response", took)
			}
			select {
			case <-b.ended:
			case <-time.After(testTimeout):
				t.Error("the connection is not closed")
			}
			status, _, body = a.roundTrip(newRequest(a.addr, "order", "y"))
			if status != 200 || !strings.HasSuffix(body, " y") {
				t.Errorf("the next request: status %d, body %q", status, body)
			}
		})
	}
}

// Bytes after a complete response are never taken for the next response: the connection is closed. Where the
// first response of a connection comes right after its opening, and another one later, either may be the one to
// the request: it may have run.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
	for name, test := range map[string]struct {
		work, later time.Duration // before the response, and before the second one
		statuses    []int
	}{
		"at once":                         {0, 0, []int{200, 200, 200}},
		"later":                           {60 * time.Millisecond, 20 * time.Millisecond, []int{200, 200, 200}},
		"later, behind an early response": {0, 20 * time.Millisecond, []int{502, 200, 200}},
	} {
		t.Run(name, func(t *testing.T) {
			came := make(chan struct{}, 8)
			a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				time.Sleep(test.work)
				if test.later == 0 {
					body := "first"
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, second)
					came <- struct{}{}
					return true
				}
				writeResponse(c, 200, "", "first")
				time.Sleep(test.later)
				io.WriteString(c, second)
				came <- struct{}{}
				return true
			})
			for _, want := range test.statuses {
				status, _, body := a.roundTrip(newRequest(a.addr, "order", "x"))
				if status != want || status == 200 && body != "first" {
					t.Errorf("status %d, body %q, want %d", status, body, want)
				}
				<-came
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.arrivals != len(test.statuses) {
				t.Errorf("%d arrivals, want %d", b.arrivals, len(test.statuses))
			}
		})
	}
}

// A backend that answers 400 is not considered faulty: it and its connection are used for the next request.
func TestBadRequestDoesNotAffectBackend(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		if n < 20 {
			return writeResponse(c, 400, "", "")
		}
		return echo(c, req, n)
	})
	for range 20 {
		status, _, _ := a.roundTrip(newRequest(a.addr, "send", "x"))
		wantStatus(t, status, 400)
	}
	from := time.Now()
	status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if b.count() != 21 || b.maxConns != 1 {
		t.Errorf("%d arrivals on %d connections, want 21 on one", b.count(), b.maxConns)
	}
	if took := time.Since(from); took > time.Second {
		t.Errorf("delayed for %v", took)
	}
}

// Connections that have been idle for a while are dead without notice: the next request on one is reset.
// After a few of these the agent opens new connections instead, and still reuses those that have been idle
// only briefly.
func TestDeadIdleConnectionsAreAvoided(t *testing.T) {
	var mu sync.Mutex
	last, resets := map[net.Conn]time.Time{}, 0
	a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		at, reused := last[c]
		if reused && time.Since(at) > 100*time.Millisecond {
			resets++
			return resetConnection(c)
		}
		last[c] = time.Now()
		return echo(c, req, n)
	})
	failed := 0
	for range 30 {
		time.Sleep(120 * time.Millisecond)
		if status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x")); status != 200 {
			failed++
		}
	}
	if failed == 0 || failed > 6 || failed != resets {
		t.Errorf("%d of 30 failed, %d connections were reset", failed, resets)
	}
	conns := len(last)
	for range 5 {
		a.roundTrip(newRequest(a.addr, "order", "x"))
	}
	mu.Lock()
	defer mu.Unlock()
	if len(last) > conns+1 {
		t.Errorf("%d new connections for requests without a pause, want at most 1", len(last)-conns)
	}
	if b.count() != 35 {
		t.Errorf("%d arrivals, want 35", b.count())
	}
}

// A response that the close of its connection delimits is not complete after a reset, wherever that comes:
// the request may have run, and no part of the response is served as complete. (TestTruncatedLongResponses
// covers a response that is already streamed.)
func TestResetDoesNotEndResponse(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, part := range map[string]string{"in the header": header[:20], "after the header": header, "in the body": header + "half", "in a longer body": header + strings.Repeat("x", 20<<10)} {
		for class, want := range map[string][2]int{"order": {502, 1}, "read": {503, 3}} {
			t.Run(name+"/"+class, func(t *testing.T) {
				a, b := startWithBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
					io.WriteString(c, part)
					return resetConnection(c)
				})
				status, _, body := a.roundTrip(newRequest(a.addr, class, "x"))
				wantStatus(t, status, want[0])
				if strings.Contains(body, "half") || strings.Contains(body, "xx") || b.count() != want[1] {
					t.Errorf("body %.20q, %d arrivals, want %d", body, b.count(), want[1])
				}
				if f := a.stats(); f.Served != 0 || f.GuardViolations != 0 {
					t.Errorf("stats %+v", f)
				}
			})
		}
	}
}
