// Package core is the loop that owns the decision module and all requests. It knows no protocol: fronts
// hand it calls and get one answer each, upstreams make attempts and return one ending each. It guards
// the contract whatever the module says, and decides nothing else.
package core

import (
	"context"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// Call is a client's request as a front took it, and where its answer goes.
type Call struct {
	ID            string // open once at a time over all fronts
	Class         int
	Tenant        int
	Key           uint64
	HintMs        float64
	HasHint       bool
	Retry         bool
	Deadline      time.Time
	Upstream      Upstream
	Payload       any         // the front's, for its upstream
	Answer        chan Answer // of capacity one: the loop never waits for a client
	Unique        bool        // the id is the front's own and never comes again
	NoConnections bool        // its front has no connections left for more: it is refused

	// RetryBefore, where it is not zero, is until when the attempt that is made now may be begun: it repeats one
	// that may have run, and behind that its key is no longer known; or behind that the agent's lease is over.
	// The loop's; an attempt's upstream reads it.
	RetryBefore time.Time
	// Superseded says that the attempt that is out was decided by rules that no longer stand: if nothing of it is
	// written yet, nothing is to be. The loop's; an attempt's upstream reads it.
	Superseded atomic.Bool
	// Disconnected, where it is set, asks the client's connection whether its client has left, which its front may not have
	// noticed yet. An attempt's upstream asks it right before the first byte; from any goroutine, and it never waits.
	Disconnected func() bool

	// TimeAfterBody, where it is not 0, is the time that a streamed call has from its last byte on: a part of it still
	// comes while it is sent. Deadline is then how long that may take in all.
	TimeAfterBody time.Duration
	onBodyWritten func(at time.Time)
}

// BodyWritten tells that the last byte of a streamed call has gone to a backend, and returns when an attempt that
// was written then is to end. Its upstream calls it, once an attempt.
func (c *Call) BodyWritten(at time.Time) (until time.Time) {
	c.onBodyWritten(at)
	return at.Add(c.TimeAfterBody - backstopMargin)
}

// Outcome is how a call ends.
type Outcome uint8

// The verdicts.
const (
	Served   Outcome = iota
	Rejected         // trying again is harmless
	Failed           // promises nothing
)

// FailureReason says why a call has failed, where a front has a word of its own for it.
type FailureReason uint8

// The faults.
const (
	NoReason          FailureReason = iota
	Duplicate                       // its id is that of a call that is open, may still run, or has run and must not again
	DeadlineExceeded                // the backstop ended it
	BadRequest                      // the backend found fault with the request
	IncompleteRequest               // its client did not bring it whole
)

// Answer is the one final answer to a call.
type Answer struct {
	Outcome       Outcome
	RetryAfterMs  float64       // Refused: when the client may come back
	Reason        FailureReason // Failed
	Reply         any           // the upstream's, for its front: Served, or Failed with Blamed
	ReservedBytes int64         // of the budget of memory; given back once the answer is written
}

// StreamedReply is a reply whose rest still comes. The call is open until the front has called Close, with whether the
// client has it whole.
type StreamedReply interface{ Close(whole bool) }

// closeReply ends with a reply that nobody will have.
func closeReply(reply any) {
	if o, ok := reply.(StreamedReply); ok {
		o.Close(false)
	}
}

// isStreamed tells whether a reply's rest still comes.
func isStreamed(reply any) bool {
	_, ok := reply.(StreamedReply)
	return ok
}

// Result is how one attempt ended.
type Result struct {
	Status     policy.Status
	LatencyMs  float64
	Report     []float32
	BadRequest bool // with Cancelled: the backend's word that the request is bad
	// NoReplyExpected, with Cancelled: written whole, and no answer will ever come, as the protocol has it.
	// It may have run, and for its client it is served.
	NoReplyExpected bool
	// BodyConsumed: a part of a streamed call has gone, and no other attempt can be made of it. IncompleteRequest: by its client's
	// fault.
	BodyConsumed, IncompleteRequest bool
	ClientDisconnected              bool // with Moot: nothing was begun, as the client has left
	Reply                           any
	ReservedBytes                   int64 // of the budget, for the reply; whoever ends with the reply gives it back
}

// Upstream makes attempts of one protocol. All methods may be called from any goroutine.
type Upstream interface {
	// Do makes one attempt and returns how it ended, exactly once. It never sends anything twice.
	// Cancelling ctx withdraws it. Nothing is begun once b.Closed.
	Do(ctx context.Context, b *Backend, addr string, c *Call, sent, deadline time.Time) Result
	// CloseIdle closes the idle connections to a backend.
	CloseIdle(b *Backend)
	// CloseExpired closes connections that have idled too long. It is called once a second.
	CloseExpired()
}

// Backend is one listed server. Its fields belong to the loop, but for what Closed tells.
type Backend struct {
	id          string
	name        policy.Addr      // what the module calls it
	addr        string           // where it listens, as told to this agent last
	entry       membership.Entry // as it was listed last
	removed     bool
	inFlight    int // attempts out
	unavailable atomic.Bool
}

// Unavailable tells whether the backend was told to drain or gone, or an operator banned it: asked just before a write.
func (b *Backend) Unavailable() bool { return b.unavailable.Load() }

// MarkUnavailable makes Closed true, as the loop does when it is told so. It is for tests of upstreams.
func (b *Backend) MarkUnavailable() { b.unavailable.Store(true) }

// Config is what the loop is told.
type Config struct {
	Discovery       string // host:port of the roster
	CachedEndpoints membership.List
	Settings        policy.Settings
	Seed            uint64
	Zones           []string
	MachineTypes    []string

	// HealthCheck asks a backend how it is, beside its requests, and returns how that ended, exactly once. It is
	// called only where the settings allow probes. What says nothing of the backend is Moot.
	HealthCheck func(ctx context.Context, b *Backend, addr string, sent, deadline time.Time) Result

	SharedIDs SharedIDs // nil: no other process can be this agent

	Cordoned []string // ids of backends that an operator wants left alone, from the start on
	SeenIDs  []string // ids that were listed once, as another process of this agent had it
	// EndpointsChanged, where it is set, is called in the loop after each change of the list. It is not to wait.
	EndpointsChanged func()
	// PublishRotation says that operators may ask for Rotation: it is counted anew each publishEvery, which wakes a process that
	// would rest, and else when the list or a ban changes.
	PublishRotation bool

	// DiscoveryStale, where it is set, is called in the loop when a call to a discovery that is asked goes out with no watch
	// open, or a watch breaks (true), and when a call is answered behind that (false). It is not to wait.
	DiscoveryStale func(stale bool)

	// WatchNodes follows a registry of what runs, until ctx ends, and has each thing it learns applied to the
	// merge, in the loop. nil: the roster alone says which backends there are.
	WatchNodes func(ctx context.Context, told func(apply func(m *membership.Merge, now float64)))
	Merge      membership.MergeConfig // with Nodes

	// SharedConfig, where it is set, has the loop act by a book of rules and a lease on it (Adopt, Renew). nil: by its own
	// file alone.
	SharedConfig *SharedConfig
}
