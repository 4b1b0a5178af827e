// Package client calls the replicas of the configuration store, as JSON over HTTP/1.1. Renewer keeps an agent's lease; it
// owns the calls, their bounds and the agent's count of its lease. What a lease permits is decided in package lease, what
// the agent does under it in package core.
package client

import (
	"encoding/json"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// The paths of the calls that a replica answers.
const (
	PathRenew   = "/v1/renew"
	PathPublish = "/v1/publish"
	PathCordon  = "/v1/ban"
	PathHistory = "/v1/history"
	PathVersion = "/v1/version"
	PathStatus  = "/v1/status"
	PathMembers = "/v1/members"
)

// Headers of calls that are not passed on a second time.
const (
	RelayedHeader   = "Ringtrack-Relayed"   // a peer agent relays the call
	ForwardedHeader = "Ringtrack-Forwarded" // a replica forwards the call to the leader
)

// MaxResponseBytes bounds the body of a response, and of a PublishRequest: a configuration and what goes with it.
const MaxResponseBytes = sharedconfig.MaxBytes + 1<<20

// RenewRequest asks for a lease, or for its renewal.
type RenewRequest struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"inc"`
	Epoch       uint64  `json:"has"`
	Problem     string  `json:"unable,omitempty"`
	WaitMs      float64 `json:"wait_ms"` // for how long the replica may wait for a new epoch
}

// RenewResponse is a granted lease. Config is set if the epoch is another than that of the request.
type RenewResponse struct {
	Epoch         uint64          `json:"stage"`
	LeaseMs       float64         `json:"lease_ms"`
	ServerRulesMs float64         `json:"list_ms"` // beyond LeaseMs, for which the epoch's server rules may be used
	Config        json.RawMessage `json:"book,omitempty"`
}

// CordonRequest cordons a server, or ends that.
type CordonRequest struct {
	ID     string `json:"id"` // drawn by the caller; a retry has the same
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
}

// PublishRequest publishes a version after Parent.
type PublishRequest struct {
	ID     string          `json:"id"` // drawn by the caller; a retry has the same
	Parent uint64          `json:"parent"`
	Config json.RawMessage `json:"book"`
	Author string          `json:"author"`
	Reason string          `json:"reason"`
}

// PublishResponse is the version that a PublishRequest or CordonRequest produced.
type PublishResponse struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// HistoryResponse lists versions without their configurations, and the epoch in force.
type HistoryResponse struct {
	Epoch    uint64                 `json:"stage"`
	Dropped  uint64                 `json:"dropped"` // number of versions that are no longer retained
	Versions []sharedconfig.Version `json:"versions"`
}

// Status is what a replica knows of itself, the other replicas and, as the leader, of the lease holders.
type Status struct {
	Name        string            `json:"name"`
	ID          uint64            `json:"id"`
	Leader      string            `json:"leader"` // by name; "": none is known
	Term        uint64            `json:"term"`
	Applied     uint64            `json:"applied"` // index of the last applied log entry
	Epoch       uint64            `json:"stage"`
	Last        uint64            `json:"last"` // number of the newest version
	Members     []string          `json:"members"`
	Holders     map[string]uint64 `json:"holders,omitempty"` // epoch that each acts on; the leader's only
	BlockedBy   []string          `json:"held_up,omitempty"` // who blocks the next epoch; the leader's only
	Unreachable map[string]string `json:"refused,omitempty"` // replicas whose messages are rejected, and why
	Loop        EventLoopStatus   `json:"loop"`
	Panics      int64             `json:"panics,omitempty"` // that the process has recovered from
}

// EventLoopStatus is what delayed a replica's event loop since its start, and the elections that it had part in.
type EventLoopStatus struct {
	LongestMs   map[string]float64 `json:"longest_ms"`   // by kind, see docs/operators/agreed.md
	LostTicks   int64              `json:"lost_ticks"`   // ticks that came too late to be made
	Queue       int                `json:"queue"`        // the most calls that waited at once
	Elections   int64              `json:"elections"`    // that it started, for want of a heartbeat
	SteppedDown int64              `json:"stepped_down"` // times that it ceased to lead
}
