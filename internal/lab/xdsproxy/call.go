package xdsproxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	dialTimeout        = 300 * time.Millisecond
	idleTimeout        = 10 * time.Second
	maxIdleConnections = 64 // per server
	maxRetryBackoff    = 20 * time.Millisecond
)

// Outcome is how an attempt ended, as the proxy knows it.
type Outcome int

// The outcomes.
const (
	OK            Outcome = iota
	Answer5xx             // a 5xx answer without more information
	NotStarted            // a 5xx answer that says that the attempt never ran
	ConnectFailed         // the connection was not established
	RefusedStream
	Reset
	TimedOut
)

// MayRetry reports whether a route permits a retry after an outcome of the given number of attempts, by the
// documentation of Envoy's x-envoy-retry-on.
func (r *Route) MayRetry(outcome Outcome, attempts int) bool {
	if attempts > r.MaxRetries {
		return false
	}
	conditions := strings.Split(r.RetryOn, ",")
	on := func(condition string) bool { return slices.Contains(conditions, condition) }
	switch outcome {
	case Answer5xx:
		return on("5xx")
	case NotStarted:
		return on("5xx") || on("retriable-headers") && r.NotStartedHeader != ""
	case ConnectFailed: // 5xx includes all of the following
		return on("5xx") || on("connect-failure")
	case RefusedStream:
		return on("5xx") || on("refused-stream")
	case Reset:
		return on("5xx") || on("reset")
	}
	return false // the route's timeout has expired
}

var transport = &http.Transport{
	MaxIdleConnsPerHost: maxIdleConnections,
	IdleConnTimeout:     idleTimeout,
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableCompression:  true,
}

// Result is how a call through the proxy ended for its client.
type Result struct {
	Status     int // 503 also for a call that was never sent
	Attempts   int
	MayHaveRun bool
}

// Call forwards one request, routed by the current table. body names the operation.
func (p *Proxy) Call(ctx context.Context, class, key, body string) Result {
	t, _ := p.Table()
	route := t.Route(class)
	if route == nil || rand.Float64() < t.DropFraction {
		return Result{Status: http.StatusServiceUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, route.Timeout)
	defer cancel()
	result := Result{}
	avoid := map[string]bool{}
	for {
		t, _ = p.Table() // each attempt uses the current one
		addr := t.Pick(key, p.requestsInFlight, avoid)
		if addr == "" {
			result.Status = http.StatusServiceUnavailable
			return result
		}
		avoid[addr] = true
		result.Attempts++
		outcome, status := p.attempt(ctx, addr, key, body)
		result.Status = status
		if outcome != NotStarted && outcome != ConnectFailed {
			result.MayHaveRun = true
		}
		if outcome == OK || !route.MayRetry(outcome, result.Attempts) {
			return result
		}
		select {
		case <-time.After(rand.N(maxRetryBackoff)):
		case <-ctx.Done():
			result.Status = http.StatusGatewayTimeout
			return result
		}
	}
}

// requestsInFlight returns how many requests an address has from this proxy.
func (p *Proxy) requestsInFlight(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight[addr]
}

// attempt sends one attempt and counts it for the load report.
func (p *Proxy) attempt(ctx context.Context, addr, key, body string) (outcome Outcome, status int) {
	p.mu.Lock()
	load := p.load(addr)
	load.issued++
	load.inProgress++
	p.inFlight[addr]++
	p.mu.Unlock()
	outcome, status = send(ctx, addr, key, body)
	p.mu.Lock()
	defer p.mu.Unlock()
	load.inProgress--
	p.inFlight[addr]--
	if p.inFlight[addr] == 0 {
		delete(p.inFlight, addr)
	}
	if outcome == OK {
		load.served++
	} else {
		load.failed++
	}
	return outcome, status
}

// send sends one attempt to a server.
func send(ctx context.Context, addr, key, body string) (Outcome, int) {
	// The wrapper hides that the body can be read a second time, so that the transport never resends it.
	oneTimeBody := struct{ io.Reader }{strings.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api/"+key, oneTimeBody)
	if err != nil {
		return ConnectFailed, http.StatusServiceUnavailable
	}
	req.ContentLength = int64(len(body))
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
	case resp.StatusCode < http.StatusInternalServerError:
		return OK, resp.StatusCode
	case resp.Header.Get("Not-Started") == "1":
		return NotStarted, resp.StatusCode
	}
	return Answer5xx, resp.StatusCode
}
