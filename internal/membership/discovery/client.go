// Package discovery is the membership source that polls the platform's endpoint list, which is JSON over
// HTTP/1.1: it fetches the complete list or watches it for changes.
//
// Client makes single calls and watches; its caller decides when to call again after a failure. Source
// follows the list on its own.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/panics"
)

const (
	// MaxListBytes bounds a response.
	MaxListBytes = 8 << 20
	// MaxConns bounds the connections of a client.
	MaxConns = 4

	endpointsPath   = "/api/targets"
	dialTimeout     = 1200 * time.Millisecond
	idleConnTimeout = time.Minute
	maxIdleConns    = 2

	// callsPerSecond and callBurst bound the rate of calls in case discovery answers watches without delay.
	callsPerSecond = 10
	callBurst      = 10
	// frequentCallsPerSecond is both the rate and the burst after PollFrequently.
	frequentCallsPerSecond = 50
)

// errSilent is wrapped by the error of a call that was not answered in time.
var errSilent = errors.New("discovery: no response")

// Client calls discovery and passes the responses to its callbacks. Except in Follow, it leaves the backoff
// after a failed call to its caller. The callbacks and the poll slot must be set before the first call; the
// callbacks run in the goroutine of the call.
type Client struct {
	// Addr is the host:port of discovery.
	Addr string
	// OnUpdate is called with each endpoint list, or with a nil list and the error of a call. watch reports
	// whether the call was part of a watch.
	OnUpdate func(l *membership.List, watch bool, err error)
	// OnAlive, if not nil, is called for each response of a watch, even one without changes.
	OnAlive func()
	// OnSilent, if not nil, is called when a watch got no response in time and is about to be reopened.
	OnSilent func(err error)

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	url        string
	httpClient *http.Client
	limiter    *rate.Limiter

	pollSlot  int // slot of this process, below pollSlots
	pollSlots int
	minWait   time.Duration // minWatchWait
	maxWait   time.Duration // maxWatchWait
	grace     time.Duration // watchGrace
}

// NewClient returns a client of discovery at addr, a host:port. Its calls end when ctx ends or with Close.
func NewClient(ctx context.Context, addr string) *Client {
	ctx, cancel := context.WithCancel(ctx)
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     MaxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{
		Addr:       addr,
		ctx:        ctx,
		cancel:     cancel,
		url:        "http://" + addr + endpointsPath,
		httpClient: &http.Client{Transport: transport},
		limiter:    rate.NewLimiter(callsPerSecond, callBurst),
		pollSlots:  1,
		minWait:    minWatchWait,
		maxWait:    maxWatchWait,
		grace:      watchGrace,
	}
}

// SetPollSlot sets the index of this process among all processes that watch, so that their calls do not all
// end at the same time. It must be called before the first call.
func (c *Client) SetPollSlot(index, processes int) {
	c.pollSlots = max(processes, 1)
	c.pollSlot = max(index, 0) % c.pollSlots
}

// PollFrequently raises the rate limit of calls so that the limiter does not delay the update with a drain.
// It is for a discovery service with few clients or on the local host, and must be called before the first
// call.
func (c *Client) PollFrequently() {
	c.limiter = rate.NewLimiter(frequentCallsPerSecond, frequentCallsPerSecond)
}

// Done is closed once the client is closed or its context has ended.
func (c *Client) Done() <-chan struct{} { return c.ctx.Done() }

// Close cancels all calls and closes idle connections.
func (c *Client) Close() {
	c.cancel()
	c.httpClient.CloseIdleConnections()
}

// get sends one request and returns the endpoint list of its response.
func (c *Client) get(query string, timeout time.Duration) (list *membership.List, err error) {
	defer panics.Recover("discovery", c.Addr, func() {
		list = nil
		err = fmt.Errorf("discovery: %w", panics.ErrRecovered)
	})
	if err := c.limiter.Wait(c.ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	status, body, err := c.fetchBody(ctx, c.url+query)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, fmt.Errorf("%w within %v: %s", errSilent, timeout, c.url+query)
	case err != nil:
		return nil, fmt.Errorf("discovery: %w", err)
	case status != http.StatusOK:
		return nil, fmt.Errorf("discovery: unexpected status %d", status)
	}
	var l membership.List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	l.RequestedAt = requestedAt
	return &l, nil
}

// fetchBody returns the status and the body of a response, of which it reads at most MaxListBytes.
func (c *Client) fetchBody(ctx context.Context, url string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, MaxListBytes))
	return resp.StatusCode, body, err
}

// backOff sleeps for a random time between half of maxBackoff and maxBackoff.
func (c *Client) backOff(maxBackoff time.Duration) {
	c.sleep(maxBackoff/2 + rand.N(maxBackoff/2+1))
}

// sleep sleeps for d or until the client is closed.
func (c *Client) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}
