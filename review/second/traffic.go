//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for a server: it runs each request that has come whole and answers it with 200.
type backend struct {
	id, addr string
	rig      *rig
	server   *http.Server
	work     time.Duration
	recorded bool // each run is a line of the record

	mu   sync.Mutex
	runs []ran
}

// ran is one request that a server began.
type ran struct {
	id string
	at time.Time
}

func (r *rig) newBackend(id string, work time.Duration, recorded bool) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	b := &backend{id: id, addr: ln.Addr().String(), rig: r, work: work, recorded: recorded}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(ln)
	return b
}

func (b *backend) serve(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	id := req.Header.Get("Request-Id")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, ran{id, at})
	b.mu.Unlock()
	if b.recorded {
		b.rig.note("%s runs %s", b.id, id)
	}
	if b.work > 0 {
		time.Sleep(b.work)
	}
	fmt.Fprintf(w, "%s ran %s", b.id, id)
}

// since returns the requests that began after a time.
func (b *backend) since(t time.Time) (runs []ran) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.runs {
		if run.at.After(t) {
			runs = append(runs, run)
		}
	}
	return runs
}

// application is the agent's client: it keeps its connections and sends one request at a time on each.
type application struct {
	client *http.Client
	addr   string
}

func newApplication(addr string) *application {
	return &application{addr: addr, client: &http.Client{Transport: &http.Transport{
		MaxIdleConns: 256, MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// order sends a request that must not run twice, and returns the answer's status and body.
func (a *application) order(id, key string, timeout time.Duration) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.addr+"/api/"+key, bytes.NewReader([]byte("order "+id)))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", "order")
	req.Header.Set("Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// sendOrders sends orders at a rate until ctx ends, and returns the number of each status; 0: no answer.
func (r *rig) sendOrders(ctx context.Context, addr, prefix string, perSecond int) (wait func() map[int]int) {
	app := newApplication(addr)
	counts := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	all.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			all.Go(func() {
				id := fmt.Sprintf("%s-%d", prefix, n)
				r.note("%s is sent", id)
				status, body, _ := app.order(id, fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15), 1200*time.Millisecond)
				r.note("%s is answered %d %q", id, status, body)
				mu.Lock()
				counts[status]++
				mu.Unlock()
			})
		}
	})
	return func() map[int]int { all.Wait(); return counts }
}
