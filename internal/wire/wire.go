// Package wire translates between the binary frames of the simulator and the events and actions of package
// policy. It maps the names of the simulator's protocol to those of policy and makes no decisions.
package wire

import (
	"encoding/binary"
	"math"

	"ringtrack.example/ringtrack/policy"
)

// Sizes of records, in bytes.
const (
	EventSize    = 48
	ActionSize   = 24
	endpointSize = 24
	clockSize    = 8
	headerSize   = 8
	// maxFrameBytes is the maximum size of a batch.
	maxFrameBytes = 1 << 30
)

// Codes of the events, by their names on the wire.
const (
	codeDropped  = 16 // EventClientDisconnected
	codeAsk      = 17 // EventRequest
	codeVerdict  = 18 // EventAttemptEnded
	codePool     = 19 // an endpoint table
	codeFlowing  = 20 // EventResponseStarted
	codeKilled   = 21 // Killed
	codeTargets  = 22 // EventEndpointUpdate
	codePeerData = 23 // EventPeerMessage
	codeHealth   = 24 // EventHealthCheckEnded
	codeBoot     = 25 // Boot
	codeFired    = 26 // EventTimer
)

// Codes of the actions, by their names on the wire.
const (
	codeHangUp      = 80 // ActionCloseIdle
	codeNotNow      = 81 // ActionReject
	codeTouch       = 82 // ActionHealthCheck
	codeFollow      = 83 // ActionWatchEndpoints
	codeCallOut     = 84 // ActionForward
	codeReadList    = 85 // ActionFetchEndpoints
	codeCrash       = 87 // Encoder.Crash
	codeNotifyMe    = 88 // ActionTimer
	codeRetract     = 89 // ActionCancel
	codeFinishError = 90 // ActionFail
	codeTrace       = 91 // ActionLog
)

// Kind says which fields of a Record are set.
type Kind uint8

// The kinds of records. The Decoder handles endpointTable itself and does not return it.
const (
	endpointTable Kind = iota
	Boot               // Instance, Seed, Settings
	Killed             // Instance
	Event              // Instance, Event
)

// Record is one record of a batch. References to endpoint tables are resolved.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings []byte // valid until the next batch
	Event    policy.Event
}

func getF64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

func putF64(raw []byte, v float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(v)) }
