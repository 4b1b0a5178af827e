package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// disconnectBound is how long after a client has disconnected its request may still be forwarded.
const disconnectBound = 300 * time.Millisecond

// The queued request of a client that disconnects, in whatever way, is dropped: it is not forwarded when a
// backend has capacity again. Two requests use up all capacity until the other clients have disconnected.
func TestDisconnectedClientIsNotForwarded(t *testing.T) {
	var mu sync.Mutex
	var sent []string
	gate := make(chan struct{})
	b := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		sent = append(sent, req.Header.Get("Request-Id"))
		unblock := gate
		mu.Unlock()
		<-unblock
		return echo(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), nil)
	fin := func(c net.Conn) { c.Close() }
	rst := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	half := func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }
	after := func(n int, disconnect func(net.Conn)) func(net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, strings.Repeat("x", n))
			disconnect(c)
		}
	}
	long := "Content-Length: " + fmt.Sprint(2<<20) + "\r\n"
	partialBody := strings.Repeat("b", 1<<20+1) // more than is buffered, so that the rest is streamed
	var delays []time.Duration
	disconnects := 0
	for _, way := range []struct {
		name, head, body string
		rounds           int
		disconnect       func(net.Conn)
	}{
		{"FIN", "Content-Length: 1\r\n", "b", 6, fin},
		{"RST", "Content-Length: 1\r\n", "b", 6, rst},
		{"half-closed", "Content-Length: 0\r\n", "", 6, half},
		{"FIN after one more byte", "Content-Length: 0\r\n", "", 6, after(1, fin)},
		{"RST after one more byte", "Content-Length: 0\r\n", "", 6, after(1, rst)},
		{"FIN after a partial request", "Content-Length: 1\r\n", "b", 6, after(3000, fin)},
		{"half-closed after a partial request", "Content-Length: 0\r\n", "", 6, after(300, half)},
		{"FIN after more than the agent reads", "Content-Length: 0\r\n", "", 2, after(moreThanReadAhead, fin)},
		{"FIN after more than the agent's socket holds", "Content-Length: 0\r\n", "", 2, after(moreThanSocketHolds, fin)},
		{"FIN after requests that the agent's socket can't hold", "Content-Length: 0\r\n", "", 2, func(c net.Conn) {
			request := rawOrder("/api/a1", "behind", "Content-Length: 0\r\n", "")
			io.WriteString(c, strings.Repeat(request, moreThanSocketHolds/len(request)))
			c.Close()
		}},
		{"FIN within a long body", long, partialBody, 1, fin},
		{"RST within a long body", long, partialBody, 1, rst},
	} {
		for range way.rounds {
			mu.Lock()
			gate = make(chan struct{})
			sent = nil
			mu.Unlock()
			before := a.stats()
			const occupying, disconnecting = 2, 25
			var conns []net.Conn
			send := func(kind, lines, body string) {
				c := a.dial()
				conns = append(conns, c)
				io.WriteString(c, rawOrder("/api/a1", fmt.Sprintf("%s-%d", kind, lastID.Add(1)), lines, body))
			}
			for i := range occupying {
				send("occupies", "Content-Length: 0\r\n", "")
				waitUntil(t, "the capacity is not used up", func() bool { mu.Lock(); defer mu.Unlock(); return len(sent) == i+1 })
			}
			n := disconnecting
			if way.head == long || strings.Contains(way.name, "agent's socket") {
				n = 4 // each buffers 1 MiB, or less
			}
			for range n {
				send("disconnects", way.head, way.body)
			}
			waitUntil(t, "not all were accepted", func() bool { return a.stats().Accepted == before.Accepted+occupying+n })
			from := time.Now()
			for _, c := range conns[occupying:] {
				way.disconnect(c)
			}
			for noticed := 0; noticed < n && time.Since(from) < disconnectBound; {
				// A request that was forwarded at once, and whose body then did not arrive, has failed.
				f := a.stats()
				now := f.Disconnected + f.Failed - before.Disconnected - before.Failed
				for ; noticed < now; noticed++ {
					delays = append(delays, time.Since(from))
				}
				time.Sleep(time.Millisecond)
			}
			// A request that was forwarded at once was not queued; its backend may read it late.
			waitUntil(t, "not all written requests have arrived", func() bool { return int64(b.count()) == a.loop.Counters().Written.Load() })
			mu.Lock()
			sent = nil
			close(gate)
			mu.Unlock()
			waitUntil(t, "some requests stay open", func() bool { return a.loop.Counters().Open.Load() == 0 })
			mu.Lock()
			for _, id := range sent {
				if strings.HasPrefix(id, "disconnects") {
					t.Errorf("%s: %s was forwarded %v after its client had disconnected", way.name, id, disconnectBound)
				}
			}
			mu.Unlock()
			disconnects += n
			for _, c := range conns {
				c.Close()
			}
		}
	}
	slices.Sort(delays)
	if len(delays) != disconnects || disconnects < 1000 {
		t.Fatalf("%d of %d disconnects were noticed within %v", len(delays), disconnects, disconnectBound)
	}
	t.Logf("%d disconnects, noticed after p50 %v, p99 %v, at most %v", disconnects, delays[disconnects/2], delays[disconnects*99/100], delays[disconnects-1])
}

// moreThanReadAhead is more than the downstream reads after an open request.
const moreThanReadAhead = 40 << 10

// moreThanSocketHolds is more than that and a socket's buffer together, which hides the end of the connection.
const moreThanSocketHolds = 300 << 10

// waitUntil waits for a condition.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}
