package xdsproxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Outcome is how an attempt ended, as a proxy knows it.
type Outcome int

// The endings.
const (
	OK            Outcome = iota
	Answer5xx             // a 5xx that says nothing more
	NotStarted            // one that says it never ran
	ConnectFailed         // no connection came up
	RefusedStream
	Reset
	TimedOut
)

// MayRetry tells whether a route lets a proxy try again after an ending, as Envoy's page on the router's
// x-envoy-retry-on has it.
func (r *Route) MayRetry(e Outcome, tries int) bool {
	if tries > r.MaxRetries {
		return false
	}
	on := func(word string) bool {
		for w := range strings.SplitSeq(r.RetryOn, ",") {
			if w == word {
				return true
			}
		}
		return false
	}
	switch e {
	case Answer5xx:
		return on("5xx")
	case NotStarted:
		return on("5xx") || on("retriable-headers") && r.NotStartedHeader != ""
	case ConnectFailed: // Envoy counts these as 5xx too
		return on("5xx") || on("connect-failure")
	case RefusedStream:
		return on("5xx") || on("refused-stream")
	case Reset:
		return on("5xx") || on("reset")
	}
	return false // the route's time is over
}

var transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
	DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext, DisableCompression: true}

// Result is how a call through the proxy ended for its client.
type Result struct {
	Status     int // 503 also for what was never sent
	Attempts   int
	MayHaveRun bool // an attempt may have run
}

// Call passes one request on as the proxy's configuration says. body names the operation.
func (p *Proxy) Call(ctx context.Context, class, key, body string) Result {
	t, _ := p.Table()
	r := t.Route(class)
	if r == nil || rand.Float64() < t.DropFraction {
		return Result{Status: http.StatusServiceUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	out := Result{}
	avoid := map[string]bool{}
	for {
		t, _ = p.Table() // as it is when it is sent
		addr := t.Pick(key, p.open, avoid)
		if addr == "" {
			out.Status = http.StatusServiceUnavailable
			return out
		}
		avoid[addr] = true
		out.Attempts++
		end, status := p.attempt(ctx, addr, key, body)
		out.Status = status
		if end != NotStarted && end != ConnectFailed {
			out.MayHaveRun = true
		}
		if end == OK || !r.MayRetry(end, out.Attempts) {
			return out
		}
		select {
		case <-time.After(rand.N(20 * time.Millisecond)):
		case <-ctx.Done():
			out.Status = http.StatusGatewayTimeout
			return out
		}
	}
}

func (p *Proxy) open(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inflight[addr]
}

func (p *Proxy) attempt(ctx context.Context, addr, key, body string) (end Outcome, status int) {
	p.mu.Lock()
	s := p.stats[addr]
	if s == nil {
		s = &stat{}
		p.stats[addr] = s
	}
	s.issued++
	s.open++
	p.inflight[addr]++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.open--
		if p.inflight[addr]--; p.inflight[addr] == 0 {
			delete(p.inflight, addr)
		}
		if end == OK {
			s.ok++
		} else {
			s.failed++
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api/"+key, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return ConnectFailed, http.StatusServiceUnavailable
	}
	req.ContentLength = int64(len(body)) // a body that can't be read again: nothing is sent twice unseen
	resp, err := transport.RoundTrip(req)
	if err != nil {
		var op *net.OpError
		switch {
		case ctx.Err() != nil:
			return TimedOut, http.StatusGatewayTimeout
		case errors.As(err, &op) && op.Op == "dial":
			return ConnectFailed, http.StatusServiceUnavailable
		}
		return Reset, http.StatusServiceUnavailable
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Reset, http.StatusServiceUnavailable
	}
	switch {
	case resp.StatusCode < 500:
		return OK, resp.StatusCode
	case resp.Header.Get("Not-Started") == "1":
		return NotStarted, resp.StatusCode
	}
	return Answer5xx, resp.StatusCode
}

// RecordServed counts a request at a server as sent and served, without sending any: for proofs that only
// look at where requests would go.
func (p *Proxy) RecordServed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats[addr]
	if s == nil {
		s = &stat{}
		p.stats[addr] = s
	}
	s.issued++
	s.ok++
}
