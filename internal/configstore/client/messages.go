// Package client is the client of the configuration store: it calls the replicas with JSON over HTTP/1.1. A
// Renewer renews the lease of an agent; it makes the calls, bounds them and measures how long the lease
// lasts. Package lease decides what a lease permits, and package core what the agent does under it.
package client

import (
	"encoding/json"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Paths of the calls that a replica answers.
const (
	PathRenew   = "/v1/renew"
	PathPublish = "/v1/publish"
	PathCordon  = "/v1/ban"
	PathHistory = "/v1/history"
	PathVersion = "/v1/version"
	PathStatus  = "/v1/status"
	PathMembers = "/v1/members"
)

// Headers that mark a call as relayed or forwarded, so that it is not passed on a second time.
const (
	RelayedHeader   = "Ringtrack-Relayed"   // a peer agent relays the call
	ForwardedHeader = "Ringtrack-Forwarded" // a replica forwards the call to the leader
)

// MaxResponseBytes bounds the body of a response and of a PublishRequest: a configuration and the other
// fields.
const MaxResponseBytes = sharedconfig.MaxBytes + 1<<20

// RenewRequest requests a lease or its renewal.
type RenewRequest struct {
	Name        string  `json:"name"`             // of the agent
	Incarnation string  `json:"inc"`              // differs for each start of the agent
	Epoch       uint64  `json:"has"`              // the one that the agent has adopted
	Problem     string  `json:"unable,omitempty"` // why the last granted epoch could not be adopted
	WaitMs      float64 `json:"wait_ms"`          // how long the replica may wait for a new epoch
}

// RenewResponse is a granted lease. Config is set if its epoch differs from that of the request.
type RenewResponse struct {
	Epoch         uint64          `json:"stage"`
	LeaseMs       float64         `json:"lease_ms"`
	ServerRulesMs float64         `json:"list_ms"` // how long the epoch's server rules outlast the lease
	Config        json.RawMessage `json:"book,omitempty"`
}

// CordonRequest cordons a server or, without On, uncordons it.
type CordonRequest struct {
	ID     string `json:"id"` // chosen by the caller; a retry has the same
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
}

// PublishRequest publishes a version after Parent.
type PublishRequest struct {
	ID     string          `json:"id"` // chosen by the caller; a retry has the same
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
	Dropped  uint64                 `json:"dropped"` // number of old versions that are no longer retained
	Versions []sharedconfig.Version `json:"versions"`
}

// Status is the state of a replica as it sees it, without calls to others. The leader adds the lease holders.
type Status struct {
	Name        string            `json:"name"`
	ID          uint64            `json:"id"`
	Leader      string            `json:"leader"` // name of the leader; "": unknown
	Term        uint64            `json:"term"`
	Applied     uint64            `json:"applied"` // index of the last applied log entry
	Epoch       uint64            `json:"stage"`
	Last        uint64            `json:"last"` // number of the newest version
	Members     []string          `json:"members"`
	Holders     map[string]uint64 `json:"holders,omitempty"` // epochs of the lease holders (leader only)
	BlockedBy   []string          `json:"held_up,omitempty"` // who blocks the next epoch (leader only)
	Unreachable map[string]string `json:"refused,omitempty"` // replicas whose messages are rejected, and why
	Loop        EventLoopStatus   `json:"loop"`
	Panics      int64             `json:"panics,omitempty"` // number of recovered panics
}

// EventLoopStatus has the delays of a replica's event loop since its start, and its elections.
type EventLoopStatus struct {
	LongestMs   map[string]float64 `json:"longest_ms"`   // by kind of delay, see docs/operators/agreed.md
	LostTicks   int64              `json:"lost_ticks"`   // ticks that were skipped because the loop was late
	Queue       int                `json:"queue"`        // most functions that waited for the loop
	Elections   int64              `json:"elections"`    // elections that it started for lack of heartbeats
	SteppedDown int64              `json:"stepped_down"` // how often it stopped leading
}
