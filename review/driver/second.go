//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// secondShare is the share of the answers that bring a second one.
	secondShare = 0.1
	// secondAfterMin and secondAfterMax are how late a second answer comes.
	secondAfterMin, secondAfterMax = 4 * time.Millisecond, 10 * time.Millisecond
	// farDelay is the time one way to a server in another data centre.
	farDelay = 10 * time.Millisecond
	// quiet is how long all answers are good at first.
	quiet = 8 * time.Second
)

func init() { cases["second"] = secondCase }

// secondCase: after a quiet time some answers of all servers bring a second copy of themselves, some milliseconds
// late, when nothing else waits on the connection. No client may be served with anything but the answer that was
// made for its request, and no unsafe request may run twice.
func secondCase(r *run) (broken bool, err error) {
	f := &doubles{run: r, ran: map[string]int{}}
	zones := []string{"kagoshima", "miyazaki", "nagasaki"}
	var entries []membership.Entry
	for i := range 6 {
		e, err := f.server(fmt.Sprintf("s-%d", i+1), zones[min(i, 1+i%2)])
		if err != nil {
			return false, err
		}
		if e.Zone != zones[0] { // all agents are in the first data centre
			if e.Addr, err = newLink(e.Addr, farDelay); err != nil {
				return false, err
			}
		}
		entries = append(entries, e)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var agents []*agent
	for i := range 5 {
		a, err := r.startAgent(fmt.Sprintf("edge-%d", i+1), discovery.Addr, discovery.List())
		if err != nil {
			return false, err
		}
		agents = append(agents, a)
	}
	var clients []*askers
	var waits []func()
	for _, a := range agents {
		if err := await("http://"+a.listen+"/-/ready", 20*time.Second); err != nil {
			return false, err
		}
		c := &askers{run: r, agent: a.name}
		clients = append(clients, c)
		waits = append(waits, c.start(ctx, a.listen, 28, 40*time.Millisecond))
	}
	time.Sleep(quiet)
	if r.trouble {
		f.spoilt.Store(true)
		r.logf("from now on %.0f%% of the answers bring a second copy, %v to %v late", 100*secondShare, secondAfterMin, secondAfterMax)
	}
	time.Sleep(8 * time.Second)
	stop()
	for _, wait := range waits {
		wait()
	}
	twice := f.judge()
	foreign := 0
	for i, a := range agents {
		if !a.runs() {
			return false, fmt.Errorf("%s has ended", a.name)
		}
		counts := clients[i].counts
		r.logf("answers at the clients of %s: %v", a.name, counts)
		if counts["200"] < 500 {
			return false, fmt.Errorf("only %d served by %s", counts["200"], a.name)
		}
		foreign += counts["foreign"]
	}
	r.logf("%d second answers; %d requests served with the answer to another one; %d unsafe requests ran twice", f.seconds.Load(), foreign, twice)
	r.say("%d second answers; %d requests served with the answer to another one; %d unsafe requests ran twice", f.seconds.Load(), foreign, twice)
	return foreign+twice > 0, nil
}

// doubles are stand-ins for servers that speak HTTP/1.1.
type doubles struct {
	run     *run
	spoilt  atomic.Bool
	seconds atomic.Int64

	mu  sync.Mutex
	ran map[string]int // how often each request ran
}

// server starts a server.
func (f *doubles) server(id, zone string) (membership.Entry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return membership.Entry{}, err
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(id, nc)
		}
	}()
	return membership.Entry{ID: id, Addr: ln.Addr().String(), Zone: zone, Kind: "fast", State: membership.Up, Weight: 1}, nil
}

// serve answers the requests of one connection in their order.
func (f *doubles) serve(server string, nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var write sync.Mutex
	var got atomic.Int64 // bytes of requests that have arrived
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		n := got.Add(1)
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		answer := f.answer(server, id)
		write.Lock()
		_, err = nc.Write(answer)
		write.Unlock()
		answered := time.Now()
		if err != nil {
			return
		}
		if !f.spoilt.Load() || rand.Float64() >= secondShare {
			continue
		}
		time.AfterFunc(secondAfterMin+rand.N(secondAfterMax-secondAfterMin), func() {
			write.Lock()
			defer write.Unlock()
			late := time.Since(answered)
			if got.Load() != n || late > secondAfterMax {
				return // something else waits on the connection, or the timer was late
			}
			f.seconds.Add(1)
			f.run.logf("%s answers %s a second time, %.1f ms late", server, id, float64(late.Microseconds())/1000)
			nc.Write(answer)
		})
	}
}

// answer runs a request and returns the answer.
func (f *doubles) answer(server, id string) []byte {
	f.run.logf("%s runs %s", server, id)
	f.mu.Lock()
	f.ran[id]++
	f.mu.Unlock()
	time.Sleep(20*time.Millisecond + rand.N(20*time.Millisecond))
	body := "answer to " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// judge returns how many unsafe requests ran more than once.
func (f *doubles) judge() (twice int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.ran {
		if n > 1 && strings.HasPrefix(id, "order-") {
			f.run.logf("BROKEN: the unsafe request %s ran %d times", id, n)
			twice++
		}
	}
	return twice
}

// askers send requests to an agent until ctx ends and compare each answer with its request.
type askers struct {
	run    *run
	agent  string
	mu     sync.Mutex
	counts map[string]int
}

func (c *askers) start(ctx context.Context, agent string, n int, pause time.Duration) (wait func()) {
	c.counts = map[string]int{}
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for k := 0; ctx.Err() == nil; k++ {
				class := "bulletin"
				if k%3 == 0 {
					class = "order"
				}
				c.ask(client, agent, fmt.Sprintf("%s-%s-c%d-%d", class, c.agent, i, k), class == "order")
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

func (c *askers) ask(client *http.Client, agent, id string, order bool) {
	class, timeout := "bulletin-send", 600*time.Millisecond
	if order {
		class, timeout = "point-order", 1200*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+answerGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/api/k%d", agent, rand.IntN(500)), strings.NewReader("do "+id))
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
	answer, text := "none", ""
	if response, err := client.Do(req); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			answer, text = fmt.Sprint(response.StatusCode), string(body)
		}
	}
	c.run.logAt(sent, "sent %s; answered %s %q after %.0f ms", id, answer, strings.TrimSpace(text), float64(time.Since(sent).Microseconds())/1000)
	if answer == "200" && text != "answer to "+id {
		c.run.logf("BROKEN: %s was served with %q", id, text)
		answer = "foreign"
	}
	c.mu.Lock()
	c.counts[answer]++
	c.mu.Unlock()
}
