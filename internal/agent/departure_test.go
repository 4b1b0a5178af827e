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

// goneWithin is when a request whose client has left is not to be sent on any more (mass page, and the operators' word).
const goneWithin = 300 * time.Millisecond

// A client that leaves while its request waits for a server, in whatever way, has it withdrawn: it is never sent on once
// a server has room again. The two requests that take all the room are held by their server until those have left.
func TestWhoLeavesWhileItWaitsIsNotSentOn(t *testing.T) {
	var mu sync.Mutex
	var sent []string
	gate := make(chan struct{})
	b := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		sent = append(sent, req.Header.Get("Request-Id"))
		held := gate
		mu.Unlock()
		<-held
		return echo(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), nil)
	fin := func(c net.Conn) { c.Close() }
	rst := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	half := func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }
	behind := func(n int, leave func(net.Conn)) func(net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, strings.Repeat("x", n))
			leave(c)
		}
	}
	long := "Content-Length: " + fmt.Sprint(2<<20) + "\r\n"
	part := strings.Repeat("b", 1<<20+1) // more than is held: the rest is passed on as it comes
	var delays []time.Duration
	departures := 0
	for _, way := range []struct {
		name, head, body string
		rounds           int
		leave            func(net.Conn)
	}{
		{"FIN", "Content-Length: 1\r\n", "b", 6, fin},
		{"RST", "Content-Length: 1\r\n", "b", 6, rst},
		{"half-closed", "Content-Length: 0\r\n", "", 6, half},
		{"FIN behind one more byte", "Content-Length: 0\r\n", "", 6, behind(1, fin)},
		{"RST behind one more byte", "Content-Length: 0\r\n", "", 6, behind(1, rst)},
		{"FIN behind a part of a request", "Content-Length: 1\r\n", "b", 6, behind(3000, fin)},
		{"half-closed behind a part of a request", "Content-Length: 0\r\n", "", 6, behind(300, half)},
		{"FIN behind more than is read", "Content-Length: 0\r\n", "", 2, behind(mostUnread, fin)},
		{"FIN within a long body", long, part, 1, fin},
		{"RST within a long body", long, part, 1, rst},
	} {
		for range way.rounds {
			mu.Lock()
			gate = make(chan struct{})
			sent = nil
			mu.Unlock()
			before := a.stats()
			const occupy, leaving = 2, 25
			var conns []net.Conn
			ask := func(kind, lines, body string) {
				c := a.dial()
				conns = append(conns, c)
				io.WriteString(c, rawOrder("/api/a1", fmt.Sprintf("%s-%d", kind, lastID.Add(1)), lines, body))
			}
			for i := range occupy {
				ask("stays", "Content-Length: 0\r\n", "")
				until(t, "the room is not taken", func() bool { mu.Lock(); defer mu.Unlock(); return len(sent) == i+1 })
			}
			n := leaving
			if way.head == long {
				n = 4 // each holds a MiB
			}
			for range n {
				ask("leaves", way.head, way.body)
			}
			until(t, "not all were taken", func() bool { return a.stats().Accepted == before.Accepted+occupy+n })
			from := time.Now()
			for _, c := range conns[occupy:] {
				way.leave(c)
			}
			for gone := 0; gone < n && time.Since(from) < goneWithin; {
				f := a.stats() // one that was sent at once, and whose body then did not come, has failed
				now := f.Disconnected + f.Failed - before.Disconnected - before.Failed
				for ; gone < now; gone++ {
					delays = append(delays, time.Since(from))
				}
				time.Sleep(time.Millisecond)
			}
			// What went at once did not wait; its server may read it late.
			until(t, "what was written has not come", func() bool { return int64(b.count()) == a.loop.Counters().Written.Load() })
			mu.Lock()
			sent = nil
			close(gate)
			mu.Unlock()
			until(t, "some stay open", func() bool { return a.loop.Counters().Open.Load() == 0 })
			mu.Lock()
			for _, id := range sent {
				if strings.HasPrefix(id, "leaves") {
					t.Errorf("%s: %s was sent on %v after its client left", way.name, id, goneWithin)
				}
			}
			mu.Unlock()
			departures += n
			for _, c := range conns {
				c.Close()
			}
		}
	}
	slices.Sort(delays)
	if len(delays) != departures || departures < 1000 {
		t.Fatalf("%d of %d departures were noticed within %v", len(delays), departures, goneWithin)
	}
	t.Logf("%d departures, noticed after p50 %v, p99 %v, at most %v", departures, delays[departures/2], delays[departures*99/100], delays[departures-1])
}

// mostUnread is more than the front reads of what comes behind an open request.
const mostUnread = 40 << 10

// until waits for something.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}
