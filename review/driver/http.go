//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// arrival is a request as a server got it.
type arrival struct {
	server, id string
	at         time.Time
}

// server is a stand-in for a server that speaks HTTP/1.1. It answers each request with 200 after a time.
type server struct {
	membership.Entry
	http *http.Server
}

// arrivals has the requests that all servers got.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

// newServer starts a server. The time of a request is that of its head, which is not earlier than its first
// byte.
func newServer(id, zone string, work time.Duration, to *arrivals) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{Entry: membership.Entry{ID: id, Addr: ln.Addr().String(), Zone: zone, Kind: "fast", State: membership.Up, Weight: 1}}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		at := time.Now()
		request := req.Header.Get("Request-Id")
		if request == "" {
			http.NotFound(w, req)
			return
		}
		to.add(arrival{id, request, at})
		io.Copy(io.Discard, req.Body)
		select {
		case <-time.After(work):
			io.WriteString(w, id+" "+request)
		case <-req.Context().Done():
		}
	})}
	go s.http.Serve(ln)
	return s, nil
}

// callers send requests to an agent until ctx ends, each one at a time with a pause.
type callers struct {
	mu       sync.Mutex
	statuses map[string]int
	run      *run
}

func (c *callers) start(ctx context.Context, agent string, n int, pause time.Duration) (wait func()) {
	c.statuses = map[string]int{}
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for k := 0; ctx.Err() == nil; k++ {
				c.send(client, agent, fmt.Sprintf("c%d-%d", i, k), k%3 == 0)
				select {
				case <-time.After(pause/2 + rand.N(pause)):
				case <-ctx.Done():
				}
			}
			client.CloseIdleConnections()
		})
	}
	return all.Wait
}

func (c *callers) send(client *http.Client, agent, id string, order bool) {
	class, timeout := "bulletin-send", 600*time.Millisecond
	if order {
		class, timeout = "point-order", 1200*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/api/k%d", agent, rand.IntN(500)), strings.NewReader("order "+id))
	if err != nil {
		return
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if !order {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	sent := time.Now()
	answer := "no answer"
	if response, err := client.Do(req); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			answer = fmt.Sprint(response.StatusCode)
			if response.StatusCode == http.StatusOK {
				answer += " by " + strings.Fields(string(body) + " ?")[0]
			}
		}
	}
	c.run.logAt(sent, "sent %s %s; answered %s after %.0f ms", class, id, answer, float64(time.Since(sent).Microseconds())/1000)
	c.mu.Lock()
	c.statuses[strings.Fields(answer)[0]]++
	c.mu.Unlock()
}
