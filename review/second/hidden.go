//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
)

func init() { cases["hidden"] = hidden }

const hiddenTries = 10

// hidden has a bad client send a request with a length of many digits, and behind it one with both a length and a coding,
// which hides a third one in its body.
func hidden(r *rig) int {
	backends := []*backend{r.newBackend("s-1", time.Millisecond, true), r.newBackend("s-2", time.Millisecond, true)}
	discovery, err := lab.NewDiscoveryService(entry("s-1", backends[0].addr), entry("s-2", backends[1].addr))
	r.must(err)
	defer discovery.Close()
	a := r.newAgent("n1", discovery.Addr)
	r.startAgentReady(a)
	for try := range hiddenTries {
		head := func(id, lengths string) string {
			return fmt.Sprintf("POST /api/%016x HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 1200\r\n%s\r\n", try+1, id, lengths)
		}
		concealed := head(fmt.Sprintf("hidden-%d", try), "Content-Length: 5\r\n") + "hello"
		outer := "0\r\n\r\n" + concealed
		second := head(fmt.Sprintf("outer-%d", try), fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(outer))) + outer
		body := "POST /api/1 HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
		length := fmt.Sprint(len(body))
		if r.trouble {
			length = strings.Repeat("0", 300) + length // a length that a reader may take for another one
		}
		first := head(fmt.Sprintf("first-%d", try), "Content-Length: "+length+"\r\n") + body
		conn, err := net.Dial("tcp", a.listen)
		r.must(err)
		conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		r.note("try %d: sent %q", try, first)
		io.WriteString(conn, first)
		time.Sleep(200 * time.Millisecond)
		r.note("try %d: sent %q", try, second)
		io.WriteString(conn, second)
		text, err := io.ReadAll(conn)
		conn.Close()
		r.note("try %d: answered %q, %v", try, text, err)
	}
	ran, outers := 0, 0
	for _, b := range backends {
		for _, run := range b.since(r.start) {
			if strings.HasPrefix(run.id, "hidden-") {
				ran++
			}
			if strings.HasPrefix(run.id, "outer-") {
				outers++
			}
		}
	}
	r.log("servers ran %d requests that were hidden in a body, and %d that had a length and a coding", ran, outers)
	if ran > 0 {
		return broken
	}
	return held
}
