// Package client carries an agent's asks to the keepers and what they grant back, as JSON over HTTP/1.1. It owns the
// calls, their bounds and the agent's count of its lease; what a lease permits is decided in agree, what the agent
// does under it in core.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// The calls that a keeper answers.
const (
	PathRenew   = "/v1/renew"
	PathPublish = "/v1/publish"
	PathCordon  = "/v1/ban"
	PathHistory = "/v1/history"
	PathVersion = "/v1/version"
	PathStatus  = "/v1/status"
	PathMembers = "/v1/members"
)

// RelayedHeader marks an ask that a peer carried, ForwardedHeader one that a keeper did: neither is carried a second time.
const RelayedHeader, ForwardedHeader = "Ringtrack-Relayed", "Ringtrack-Forwarded"

// MaxResponseBytes bounds an answer, in bytes: a book and its heads.
const MaxResponseBytes = sharedconfig.MaxBytes + 1<<20

// RenewRequest is an ask for a lease.
type RenewRequest struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"inc"`
	Epoch       uint64  `json:"has"`
	Problem     string  `json:"unable,omitempty"`
	WaitMs      float64 `json:"wait_ms"`
}

// RenewResponse is a grant. Terms come where the stage is another than the one that the holder has.
type RenewResponse struct {
	Epoch       uint64          `json:"stage"`
	LeaseMs     float64         `json:"lease_ms"`
	EndpointsMs float64         `json:"list_ms"` // for how long behind it the word on servers may be gone by
	Config      json.RawMessage `json:"book,omitempty"`
}

// CordonRequest is an operator's word on a server.
type CordonRequest struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
}

// PublishRequest is a new version.
type PublishRequest struct {
	ID     string          `json:"id"`
	Parent uint64          `json:"parent"`
	Config json.RawMessage `json:"book"`
	Author string          `json:"author"`
	Reason string          `json:"reason"`
}

// PublishResponse says which version came of a publish or a ban.
type PublishResponse struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// HistoryResponse lists versions without their books, and the stage in force.
type HistoryResponse struct {
	Epoch    uint64                 `json:"stage"`
	Dropped  uint64                 `json:"dropped"`
	Versions []sharedconfig.Version `json:"versions"`
}

// Status is what a keeper says of itself and of the holders.
type Status struct {
	Name        string            `json:"name"`
	ID          uint64            `json:"id"`
	Leader      string            `json:"leader"` // by name; "": none is known
	Term        uint64            `json:"term"`
	Applied     uint64            `json:"applied"`
	Epoch       uint64            `json:"stage"`
	Last        uint64            `json:"last"`
	Members     []string          `json:"members"`
	Holders     map[string]uint64 `json:"holders,omitempty"` // the leader's: stage that each acts on
	BlockedBy   []string          `json:"held_up,omitempty"` // whom the next stage waits for
	Unreachable map[string]string `json:"refused,omitempty"` // keepers that are not heard, and why
	Loop        EventLoopStatus   `json:"loop"`
}

// EventLoopStatus is what held a keeper up since its start, and how often it began or brought about an election.
type EventLoopStatus struct {
	LongestMs   map[string]float64 `json:"longest_ms"` // by kind, see docs/operators/agreed.md
	LostTicks   int64              `json:"lost_ticks"`
	Queue       int                `json:"queue"`        // the most calls that waited for the loop
	Elections   int64              `json:"elections"`    // that it began, for it had not heard a leader
	SteppedDown int64              `json:"stepped_down"` // times that it led and did no more
}

// StatusError is an answer that is no 200.
type StatusError struct {
	Status int
	Text   string
}

func (f *StatusError) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Text) }

// Caller makes calls to one address after another.
type Caller struct{ Client *http.Client }

// MaxConns is the most connections that an agent's caller has to an address.
const MaxConns = 8

// NewCaller returns one with few connections, as an agent needs.
func NewCaller() *Caller { return NewCallerWithConns(MaxConns) }

// NewCallerWithConns returns one that makes so many calls at once to an address, for a keeper that carries others' asks.
func NewCallerWithConns(most int) *Caller {
	return &Caller{&http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: max(most/4, 2), MaxConnsPerHost: most, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
}

// Call posts a JSON text, or gets one where in is nil, and reads the JSON answer into out. A Failure is an answer; any
// other error leaves open whether the call was heard.
func (c *Caller) Call(ctx context.Context, addr, path string, header http.Header, in, out any) error {
	method, body := http.MethodGet, io.Reader(nil)
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		method, body = http.MethodPost, bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	switch {
	case err != nil:
		return err
	case len(text) > MaxResponseBytes:
		return errors.New("the answer is too long")
	case resp.StatusCode != http.StatusOK:
		return &StatusError{resp.StatusCode, string(bytes.TrimSpace(text[:min(len(text), 512)]))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}
