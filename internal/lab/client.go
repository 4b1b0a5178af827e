package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Client is a scripted client of an agent that follows the HTTP protocol: it sends operations, retries
// where the answer says that this is safe, and records every attempt in the ledger.
type Client struct {
	Agent       string // host:port
	Ledger      *Ledger
	MaxAttempts int // per operation

	http *http.Client
}

// NewClient returns a client of the agent at addr. The caller closes it with Close.
func NewClient(addr string, ledger *Ledger) *Client {
	return &Client{Agent: addr, Ledger: ledger, MaxAttempts: 3, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

var lastRequestID atomic.Uint64

// Do sends one operation of a class, with retries, and returns the outcome of the last attempt.
func (c *Client) Do(ctx context.Context, op, class string, effect Effect, key string, timeout time.Duration) Outcome {
	deadline := time.Now().Add(timeout)
	outcome := Failed
	for attempt := range c.MaxAttempts {
		remaining := time.Until(deadline)
		if remaining < 20*time.Millisecond {
			break
		}
		var retryAfter time.Duration
		outcome, retryAfter = c.attempt(ctx, op, class, effect, key, remaining, attempt > 0)
		switch {
		case outcome == Served, outcome == Failed && effect == NonIdempotent:
			return outcome // a failed operation that is not idempotent may have run
		case outcome == Failed && effect == IdempotentByKey:
			retryAfter = 10 * time.Millisecond // servers deduplicate by the key
		}
		select {
		case <-time.After(retryAfter/2 + rand.N(retryAfter/2+time.Millisecond)):
		case <-ctx.Done():
			return outcome
		}
	}
	return outcome
}

// attempt sends one attempt and returns its outcome and how long to wait before a retry.
func (c *Client) attempt(ctx context.Context, op, class string, effect Effect, key string, remaining time.Duration, isRetry bool) (Outcome, time.Duration) {
	method, body, query := http.MethodPost, op+" ", ""
	if effect == Idempotent {
		method, body, query = http.MethodGet, "", "?op="+op
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Agent+"/api/"+key+query, strings.NewReader(body))
	if err != nil {
		return Failed, 0
	}
	if body == "" {
		req.Body = nil
	}
	req.Header.Set("Request-Id", fmt.Sprintf("%016x", lastRequestID.Add(1)))
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	if effect == IdempotentByKey {
		req.Header.Set("Idempotency-Key", op)
	}
	if isRetry {
		req.Header.Set("Client-Retry", "1")
	}
	c.Ledger.AttemptStarted(op, effect, op, time.Now().Add(remaining))
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			c.Ledger.Answered(op, Failed, time.Now()) // the client canceled the request itself
		} else {
			c.Ledger.Unanswered(op)
		}
		return Failed, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.Ledger.Unanswered(op)
		return Failed, 0
	}
	outcome, retryAfter := Failed, 10*time.Millisecond
	switch resp.StatusCode {
	case http.StatusOK:
		outcome = Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		outcome = Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	c.Ledger.Answered(op, outcome, time.Now())
	return outcome, retryAfter
}
