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

// Client is a scripted client of an agent, as the protocol page has it: it sends operations, comes
// back where it is told that this is harmless, and tells the ledger.
type Client struct {
	Agent       string // host:port
	Ledger      *Ledger
	MaxAttempts int // of an operation at the most

	http *http.Client
}

// NewClient returns a client of the agent at addr. Close its connections with Close.
func NewClient(addr string, ledger *Ledger) *Client {
	return &Client{Agent: addr, Ledger: ledger, MaxAttempts: 3, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

var lastID atomic.Uint64

// Do carries out one operation of a class and returns how it ended at last.
func (c *Client) Do(ctx context.Context, op, class string, effect Effect, key string, within time.Duration) Outcome {
	until := time.Now().Add(within)
	v := Failed
	for try := range c.MaxAttempts {
		left := time.Until(until)
		if left < 20*time.Millisecond {
			break
		}
		var after time.Duration
		v, after = c.try(ctx, op, class, effect, key, left, try > 0)
		switch {
		case v == Served, v == Failed && effect == NonIdempotent:
			return v // a failed unsafe one may have run
		case v == Failed && effect == IdempotentByKey:
			after = 10 * time.Millisecond // servers drop the repeat
		}
		select {
		case <-time.After(after/2 + rand.N(after/2+time.Millisecond)):
		case <-ctx.Done():
			return v
		}
	}
	return v
}

func (c *Client) try(ctx context.Context, op, class string, effect Effect, key string, left time.Duration, again bool) (Outcome, time.Duration) {
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
	req.Header.Set("Request-Id", fmt.Sprintf("%016x", lastID.Add(1)))
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if effect == IdempotentByKey {
		req.Header.Set("Idempotency-Key", op)
	}
	if again {
		req.Header.Set("Client-Retry", "1")
	}
	c.Ledger.AttemptStarted(op, effect, op, time.Now().Add(left))
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			c.Ledger.Answered(op, Failed, time.Now()) // it left by itself
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
	v, after := Failed, 10*time.Millisecond
	switch resp.StatusCode {
	case http.StatusOK:
		v = Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		v = Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			after = time.Duration(s * float64(time.Second))
		}
	}
	c.Ledger.Answered(op, v, time.Now())
	return v, after
}
