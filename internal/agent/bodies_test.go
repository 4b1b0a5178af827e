package agent

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// randomBytes returns n pseudo-random bytes, which depend only on n.
func randomBytes(n int) string {
	b := make([]byte, n)
	rand.New(rand.NewSource(int64(n))).Read(b)
	return string(b)
}

// respondWithHash answers with the length and hash of the request body.
func respondWithHash(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return writeResponse(c, 200, "", fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)))
}

// Bodies of all sizes, chunked or not, arrive unchanged, whether or not there is memory to buffer them. All
// memory is released.
func TestBodiesArriveUnchanged(t *testing.T) {
	for _, short := range []bool{false, true} {
		a, b := startWithBackend(t, respondWithHash)
		budget := a.cfg.bodyBudget()
		if short {
			if err := a.budget.Acquire(t.Context(), budget); err != nil {
				t.Fatal(err)
			}
		}
		n := 0
		for _, size := range []int{1, 4096, 4097, 64 << 10, 1<<20 - 1, 1 << 20, 1<<20 + 1, 5 << 20} {
			body := randomBytes(size)
			want := fmt.Sprintf("%d %x", size, sha256.Sum256([]byte(body)))
			for _, chunked := range []bool{false, true} {
				req := newRequest(a.addr, "order", body)
				if chunked {
					req.ContentLength = -1
					req.Body = io.NopCloser(struct{ io.Reader }{strings.NewReader(body)})
				}
				if size%2 == 0 {
					req.Header.Set("Expect", "100-continue")
				}
				status, _, got := a.roundTrip(req)
				if n++; status != 200 || got != want {
					t.Errorf("%d bytes, chunked %v, memory short %v: %d %.90q", size, chunked, short, status, got)
				}
			}
		}
		if b.count() != n {
			t.Errorf("%d of %d requests arrived at the backend", b.count(), n)
		}
		if f := a.stats(); f.Served != n || f.GuardViolations+f.DeadlineExceeded > 0 {
			t.Errorf("stats %+v", f)
		}
		if counters := a.loop.Counters(); counters.Written.Load() != int64(n) || counters.Open.Load() != 0 {
			t.Errorf("%d attempts written, %d requests open", counters.Written.Load(), counters.Open.Load())
		}
		if short {
			a.budget.Release(budget)
		}
		if err := a.budget.Acquire(t.Context(), budget); err != nil { // fails unless all of it was released
			t.Fatal(err)
		}
		a.budget.Release(budget)
	}
}

// The timeout of a request starts with its last byte, whether it is buffered or streamed: a request that
// takes longer than its timeout to arrive is served.
func TestTimeoutStartsWithTheLastByte(t *testing.T) {
	a, _ := startWithBackend(t, respondWithHash)
	for _, size := range []int{40 << 10, 1200 << 10} {
		body := randomBytes(size)
		c := a.dial()
		fmt.Fprint(c, strings.Replace(rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)),
			fmt.Sprintf("Content-Length: %d\r\n", size), ""), "4000", "300", 1))
		from := time.Now()
		for rest := body; rest != ""; {
			n := min(size/8, len(rest))
			io.WriteString(c, rest[:n])
			if rest = rest[n:]; rest != "" {
				time.Sleep(100 * time.Millisecond) // a slow client
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Errorf("%d bytes over %v: response %v, error %v", size, time.Since(from), resp, err)
		}
		c.Close()
	}
	if f := a.stats(); f.Served != 2 || f.DeadlineExceeded > 0 {
		t.Errorf("stats %+v", f)
	}
}

// A streamed request that breaks off before its last byte never ran: it is rejected and not retried. A client
// that does not send the complete body gets a bad request or a closed connection, and that does not count
// against the backend.
func TestBrokenRequestStreams(t *testing.T) {
	for _, test := range []struct {
		name   string
		client func(c net.Conn)
		server func(c net.Conn) // called after the header and a part of the body were read
		status int
	}{
		{"the backend resets", func(c net.Conn) { io.WriteString(c, randomBytes(8<<20)) }, func(c net.Conn) { resetConnection(c); c.Close() }, 503},
		{"the backend rejects it", func(c net.Conn) { io.WriteString(c, randomBytes(8<<20)) },
			func(c net.Conn) {
				writeResponse(c, 503, "Not-Started: 1\r\nConnection: close\r\n", "")
				c.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, c)
				c.Close()
			}, 503},
		{"the client stops", func(c net.Conn) { io.WriteString(c, randomBytes(3<<20)); c.(*net.TCPConn).CloseWrite() }, func(c net.Conn) { io.Copy(io.Discard, c); c.Close() }, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			accepted := make(chan struct{}, 10)
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					accepted <- struct{}{}
					go func() {
						io.ReadFull(c, make([]byte, 2<<20))
						test.server(c)
					}()
				}
			}()
			a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", ln.Addr().String())), nil)
			c := a.dial()
			go func() {
				fmt.Fprint(c, rawOrder("/api/a1", "stream", fmt.Sprintf("Content-Length: %d\r\n", 8<<20), ""))
				test.client(c)
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if test.status == 400 && err != nil {
				return // the agent may close the connection, as for any client that has disconnected
			}
			if err != nil || resp.StatusCode != test.status {
				t.Fatalf("%v, %v; want %d", resp, err, test.status)
			}
			if test.status == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("rejected without Retry-After")
			}
			if n := len(accepted); n != 1 {
				t.Errorf("%d connections to the backend, want 1", n)
			}
			if f := a.stats(); f.GuardViolations+f.DeadlineExceeded+f.Served > 0 {
				t.Errorf("stats %+v", f)
			}
		})
	}
}

// An error response with a body ends a streamed request only once and releases its memory.
func TestRequestStreamWithErrorResponse(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 500, "", randomBytes(20<<10)) })
	for range 2 {
		status, _, _ := a.roundTrip(newRequest(a.addr, "order", randomBytes(2<<20)))
		wantStatus(t, status, 502)
	}
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
	if !a.budget.TryAcquire(a.cfg.bodyBudget()) {
		t.Error("memory was not released")
	}
}

// A long response is streamed, whichever way HTTP delimits it: the client gets its first bytes before the
// backend has sent the rest, even if that takes longer than the request's timeout.
func TestLongResponsesAreStreamed(t *testing.T) {
	first, rest := randomBytes(100<<10), randomBytes(3<<20)
	for name, write := range map[string]func(c io.Writer, proceed <-chan struct{}){
		"length": func(c io.Writer, proceed <-chan struct{}) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(first)+len(rest), first)
			<-proceed
			io.WriteString(c, rest)
		},
		"chunks": func(c io.Writer, proceed <-chan struct{}) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(first), first)
			<-proceed
			fmt.Fprintf(c, "%x\r\n%s\r\n0\r\nT: x\r\n\r\n", len(rest), rest)
		},
		"few bytes first": func(c io.Writer, proceed <-chan struct{}) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n%s\r\n", first[:1])
			<-proceed
			fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(first)-1, first[1:], len(rest), rest)
		},
		"to the end of the connection": func(c io.Writer, proceed <-chan struct{}) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", first)
			<-proceed
			io.WriteString(c, rest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			a, b := startWithBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				if n > 0 {
					return echo(c, req, n)
				}
				write(c, proceed)
				return !strings.Contains(name, "connection")
			})
			req := newRequest(a.addr, "order", "x")
			req.Header.Set("Request-Timeout-Ms", "400")
			resp, err := testClient.Do(req)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("response %v, error %v", resp, err)
			}
			head := make([]byte, 1)
			if _, err := io.ReadFull(resp.Body, head); err != nil {
				t.Fatal(err)
			}
			if open := a.loop.Counters().Open.Load(); open != 1 {
				t.Errorf("%d requests open while the response is streamed, want 1", open)
			}
			time.Sleep(500 * time.Millisecond) // longer than the request's timeout
			close(proceed)
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(head)+string(got) != first+rest {
				t.Errorf("%d bytes of the body arrived, error %v", len(got)+1, err)
			}
			for end := time.Now().Add(testTimeout); a.loop.Counters().Open.Load() != 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if c := &a.loop.Counters().Classes[2]; c.Served.Load() != 1 || c.Failed.Load() != 0 {
				t.Errorf("%d requests served, %d failed", c.Served.Load(), c.Failed.Load())
			}
			// The connection is used for the next request, unless its close delimited the response.
			status, _, _ := a.roundTrip(newRequest(a.addr, "order", "y"))
			wantStatus(t, status, 200)
			want := 1
			if strings.Contains(name, "connection") {
				want = 2
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if opened := b.conns + len(b.ended); opened != want {
				t.Errorf("%d connections to the backend, want %d", opened, want)
			}
		})
	}
}

// When a long response breaks off, the client's connection is closed before the end of the response,
// whichever way HTTP delimits it, and the request counts as failed.
func TestTruncatedLongResponses(t *testing.T) {
	for name, head := range map[string]string{
		"length":                       fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20),
		"chunks":                       "Transfer-Encoding: chunked\r\n\r\n80000\r\n",
		"to the end of the connection": "Connection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startWithBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s", head, randomBytes(200<<10))
				time.Sleep(300 * time.Millisecond) // until the client has received a part of it
				return resetConnection(c)
			})
			resp, err := testClient.Do(newRequest(a.addr, "order", "x"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("the client received the truncated response as complete")
			}
			until := time.Now().Add(testTimeout)
			c := &a.loop.Counters().Classes[2]
			for c.Failed.Load() != 1 && time.Now().Before(until) {
				time.Sleep(time.Millisecond)
			}
			if c.Served.Load() != 0 || c.Failed.Load() != 1 || b.count() != 1 || a.loop.Counters().Open.Load() != 0 {
				t.Errorf("served %d, failed %d, %d arrivals", c.Served.Load(), c.Failed.Load(), b.count())
			}
		})
	}
}

// When a client disconnects during a long response, the backend's connection is closed.
func TestDisconnectDuringLongResponse(t *testing.T) {
	a, b := startWithBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 60<<20)
		_, err := io.WriteString(c, randomBytes(60<<20))
		return err == nil
	})
	c := a.dial()
	fmt.Fprint(c, rawOrder("/api/a1", "disconnects", "Content-Length: 0\r\n", ""))
	if _, err := io.ReadFull(c, make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	resetConnection(c)
	c.Close()
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Error("the backend's connection is not closed")
	}
}
