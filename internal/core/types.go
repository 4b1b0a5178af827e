package core

import (
	"context"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// Call is a client's request as a downstream received it.
type Call struct {
	ID                string // unique among the open calls of all downstreams
	Class             int    // index of the settings' classes
	Tenant            int
	Key               uint64
	HintMs            float64 // expected work; see HasHint
	HasHint           bool
	Retry             bool // the client says that it is a retry
	Deadline          time.Time
	Upstream          Upstream
	Payload           any         // passed from the downstream to its upstream
	Answer            chan Answer // capacity 1, so that the loop never blocks on a client
	Unique            bool        // the downstream made the id, and never uses it again
	AtConnectionLimit bool        // the downstream is at its limit of connections: the call is rejected

	// TimeAfterBody, where it is not 0, makes this a streamed call: parts of its body arrive while it is sent. It is the
	// time that the call has from the last byte of its body on; Deadline then bounds all of it.
	TimeAfterBody time.Duration
	onBodyWritten func(at time.Time)

	// Disconnected, where it is set, reports whether the client has closed its connection, which the downstream may not
	// have noticed yet. An upstream calls it right before the first byte of an attempt. It may be called from any
	// goroutine, and never blocks.
	Disconnected func() bool

	// RetryBefore, where it is not zero, is until when the attempt that is in flight may begin to write: later its
	// idempotency key may be forgotten, or the lease on the shared configuration has expired. The loop writes it before
	// each attempt; the attempt's upstream reads it.
	RetryBefore time.Time
	// Superseded reports that the attempt in flight was decided by rules that no longer hold. If nothing of it is
	// written yet, nothing must be. The loop writes it; the attempt's upstream reads it.
	Superseded atomic.Bool
}

// BodyWritten notes that the last byte of a streamed call was written to a backend at a time, and returns the deadline
// of that attempt. An attempt's upstream calls it, at most once.
func (c *Call) BodyWritten(at time.Time) (until time.Time) {
	c.onBodyWritten(at)
	return at.Add(c.TimeAfterBody - deadlineTimerMargin)
}

// Outcome is how a call ends.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // a retry is harmless
	Failed           // it may have run
)

// FailureReason says why a call has failed, where a downstream has a status of its own for that.
type FailureReason uint8

// The reasons.
const (
	NoReason          FailureReason = iota
	Duplicate                       // its id is that of a call that is open, or that may have run and must not run again
	DeadlineExceeded                // the deadline timer ended it
	BadRequest                      // the backend found the request faulty
	IncompleteRequest               // the client did not send the complete body
)

// Answer is the final answer to a call.
type Answer struct {
	Outcome       Outcome
	RetryAfterMs  float64             // with Rejected: when the client may retry
	Reason        FailureReason       // with Failed
	Rule          policy.RejectReason // with Rejected or Failed: the rule that ended it, if one did
	Reply         any                 // passed from the upstream to its downstream: with Served, or Failed for BadRequest
	ReservedBytes int64               // of the memory for bodies; the downstream releases them once the answer is written
}

// StreamedReply is a reply of which parts still arrive. Its call is open until the downstream calls Close with whether
// the client has received all of it.
type StreamedReply interface{ Close(complete bool) }

// closeReply closes a reply that no client receives.
func closeReply(reply any) {
	if streamed, ok := reply.(StreamedReply); ok {
		streamed.Close(false)
	}
}

func isStreamed(reply any) bool {
	_, ok := reply.(StreamedReply)
	return ok
}

// Result is how an attempt ended.
type Result struct {
	Status     policy.Status
	LatencyMs  float64
	Report     []float32 // the backend's load report
	BadRequest bool      // with Cancelled: the backend found the request faulty
	// NoReplyExpected, with Cancelled: the request was written, and by its protocol gets no reply. The call is served.
	NoReplyExpected bool
	// BodyConsumed: a part of a streamed body was sent, so that no other attempt can be made.
	BodyConsumed bool
	// IncompleteRequest, with BodyConsumed: the client did not send the complete body.
	IncompleteRequest  bool
	ClientDisconnected bool // with NotStarted: the attempt was not begun, as the client has disconnected
	Reply              any
	ReservedBytes      int64 // of the memory for bodies, for the reply; whoever ends with the reply releases them
}

// Upstream makes attempts of one protocol. Its methods may be called from any goroutine.
type Upstream interface {
	// Do makes one attempt and returns how it ended. It never sends a request twice, and begins nothing once b is
	// Unavailable. Cancelling ctx cancels the attempt.
	Do(ctx context.Context, b *Backend, addr string, c *Call, sent, deadline time.Time) Result
	// CloseIdle closes the idle connections to a backend.
	CloseIdle(b *Backend)
	// CloseExpired closes connections that have idled too long. The loop calls it every second.
	CloseExpired()
}

// Backend is a listed server. Its fields belong to the loop, except for Unavailable.
type Backend struct {
	id          string
	name        policy.Addr      // the balancer's address of it
	addr        string           // host:port, as listed last
	entry       membership.Entry // as listed last
	removed     bool
	inFlight    int // attempts and health checks
	unavailable atomic.Bool
}

// Unavailable reports whether the backend is draining, removed or cordoned. An upstream checks it right before it
// writes. It may be called from any goroutine.
func (b *Backend) Unavailable() bool { return b.unavailable.Load() }

// MarkUnavailable makes Unavailable true. It is for tests of upstreams.
func (b *Backend) MarkUnavailable() { b.unavailable.Store(true) }

// Config is the configuration of an event loop.
type Config struct {
	Discovery       string          // host:port of the discovery server
	CachedEndpoints membership.List // the last list of an earlier process
	Settings        policy.Settings
	Seed            uint64 // of the balancer's random source
	Zones           []string
	MachineTypes    []string

	// HealthCheck checks a backend beside its requests and returns how that ended. It is called only where the settings
	// allow health checks. NotStarted says nothing of the backend.
	HealthCheck func(ctx context.Context, b *Backend, addr string, sent, deadline time.Time) Result

	SharedIDs SharedIDs // nil: the agent has no other process

	Cordoned []string // ids of backends that an operator has cordoned
	SeenIDs  []string // ids that an earlier process of this agent has seen listed

	// OnEndpointUpdate, where it is set, is called in the loop after each change of the endpoint list. It must not
	// block.
	OnEndpointUpdate func()
	// PublishRotation has Rotation computed every rotationInterval, which wakes an idle process. Else it is computed
	// when the endpoint list or a cordon changes.
	PublishRotation bool

	// DiscoveryStale, where it is set, is called in the loop with true when a watch is opened or breaks, and with false
	// when one is answered. It must not block.
	DiscoveryStale func(stale bool)

	// WatchNodes follows a registry of running servers until ctx ends, and passes each change to apply, which runs it
	// in the loop. nil: the discovery server alone lists the backends.
	WatchNodes func(ctx context.Context, apply func(change func(m *membership.Merge, now float64)))
	Merge      membership.MergeConfig // with WatchNodes

	// SharedConfig, where it is set, has the loop act by the shared configuration and a lease on it (AdoptConfig,
	// RenewLease). nil: by its own file alone.
	SharedConfig *SharedConfig
}
