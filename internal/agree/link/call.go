// Package link carries an agent's asks to the keepers and what they grant back, as JSON over HTTP/1.1. It owns the
// calls, their bounds and the agent's count of its lease; what a lease permits is decided in agree, what the agent
// does under it in core.
package link

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

	"ringtrack.example/ringtrack/internal/rulebook"
)

// The calls that a keeper answers.
const (
	PathRenew   = "/v1/renew"
	PathPublish = "/v1/publish"
	PathBan     = "/v1/ban"
	PathHistory = "/v1/history"
	PathVersion = "/v1/version"
	PathStatus  = "/v1/status"
	PathMembers = "/v1/members"
)

// Relayed marks an ask that a peer carried, Forwarded one that a keeper did: neither is carried a second time.
const Relayed, Forwarded = "Ringtrack-Relayed", "Ringtrack-Forwarded"

// MostAnswer bounds an answer, in bytes: a book and its heads.
const MostAnswer = rulebook.MostBytes + 1<<20

// RenewCall is an ask for a lease.
type RenewCall struct {
	Name   string  `json:"name"`
	Inc    string  `json:"inc"`
	Has    uint64  `json:"has"`
	Unable string  `json:"unable,omitempty"`
	WaitMs float64 `json:"wait_ms"`
}

// RenewAnswer is a grant. Terms come where the stage is another than the one that the holder has.
type RenewAnswer struct {
	Stage   uint64          `json:"stage"`
	LeaseMs float64         `json:"lease_ms"`
	ListMs  float64         `json:"list_ms"` // for how long behind it the word on servers may be gone by
	Book    json.RawMessage `json:"book,omitempty"`
}

// BanCall is an operator's word on a server.
type BanCall struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
}

// PublishCall is a new version.
type PublishCall struct {
	ID     string          `json:"id"`
	Parent uint64          `json:"parent"`
	Book   json.RawMessage `json:"book"`
	Author string          `json:"author"`
	Reason string          `json:"reason"`
}

// PublishAnswer says which version came of a publish or a ban.
type PublishAnswer struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// HistoryAnswer lists versions without their books, and the stage in force.
type HistoryAnswer struct {
	Stage    uint64             `json:"stage"`
	Dropped  uint64             `json:"dropped"`
	Versions []rulebook.Version `json:"versions"`
}

// Status is what a keeper says of itself and of the holders.
type Status struct {
	Name    string            `json:"name"`
	ID      uint64            `json:"id"`
	Leader  string            `json:"leader"` // by name; "": none is known
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Stage   uint64            `json:"stage"`
	Last    uint64            `json:"last"`
	Members []string          `json:"members"`
	Holders map[string]uint64 `json:"holders,omitempty"` // the leader's: stage that each acts on
	HeldUp  []string          `json:"held_up,omitempty"` // whom the next stage waits for
	Refused map[string]string `json:"refused,omitempty"` // keepers that are not heard, and why
	Loop    Loop              `json:"loop"`
}

// Loop is what held a keeper up since its start, and how often it began or brought about an election.
type Loop struct {
	LongestMs   map[string]float64 `json:"longest_ms"` // by kind, see docs/operators/agreed.md
	LostTicks   int64              `json:"lost_ticks"`
	Queue       int                `json:"queue"`        // the most calls that waited for the loop
	Elections   int64              `json:"elections"`    // that it began, for it had not heard a leader
	SteppedDown int64              `json:"stepped_down"` // times that it led and did no more
}

// Failure is an answer that is no 200.
type Failure struct {
	Status int
	Text   string
}

func (f *Failure) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Text) }

// Caller makes calls to one address after another.
type Caller struct{ Client *http.Client }

// MaxConns is the most connections that an agent's caller has to an address.
const MaxConns = 8

// NewCaller returns one with few connections, as an agent needs.
func NewCaller() *Caller { return NewCallerOf(MaxConns) }

// NewCallerOf returns one that makes so many calls at once to an address, for a keeper that carries others' asks.
func NewCallerOf(most int) *Caller {
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, MostAnswer+1))
	switch {
	case err != nil:
		return err
	case len(text) > MostAnswer:
		return errors.New("the answer is too long")
	case resp.StatusCode != http.StatusOK:
		return &Failure{resp.StatusCode, string(bytes.TrimSpace(text[:min(len(text), 512)]))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}
