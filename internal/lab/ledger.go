package lab

import (
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/invariant"
)

// The types of the invariant checker that users of the ledger need.
type (
	Effect  = invariant.Effect
	Outcome = invariant.Outcome
	Rules   = invariant.Rules
)

// The effects and outcomes.
const (
	Idempotent      = invariant.Idempotent
	IdempotentByKey = invariant.IdempotentByKey
	NonIdempotent   = invariant.NonIdempotent

	Served   = invariant.Served
	Rejected = invariant.Rejected
	Failed   = invariant.Failed
)

// DefaultRules returns the limits that the invariants are checked against by default.
func DefaultRules() Rules { return invariant.DefaultRules() }

// Ledger records what stand-in clients and servers observe, by operation and server name, and checks the
// four invariants on it. It takes no data from the system under test. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	invariant.Checker
	ops     map[string]*invariant.Operation
	servers map[string]*invariant.Server
}

// NewLedger returns an empty ledger that checks against these rules.
func NewLedger(rules Rules) *Ledger {
	return &Ledger{Checker: invariant.Checker{Rules: rules}, ops: map[string]*invariant.Operation{}, servers: map[string]*invariant.Server{}}
}

func (l *Ledger) server(id string) *invariant.Server {
	s := l.servers[id]
	if s == nil {
		s = &invariant.Server{Name: id}
		l.servers[id] = s
	}
	return s
}

func (l *Ledger) op(id string) *invariant.Operation {
	if o := l.ops[id]; o != nil {
		return o
	}
	return &invariant.Operation{Name: id} // an operation that no client sent
}

// AttemptStarted records a client's attempt of an operation and the attempt's deadline.
func (l *Ledger) AttemptStarted(id string, effect Effect, key string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil {
		o = &invariant.Operation{Name: id, Effect: effect}
		l.ops[id] = o
	}
	l.Checker.AttemptStarted(o, deadline)
}

// Answered records the answer to the open attempt of an operation.
func (l *Ledger) Answered(id string, outcome Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Answered(l.op(id), outcome, at)
}

// Unanswered records that the connection of an attempt ended without an answer.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Unanswered(l.op(id))
}

// RequestReceived records that the first byte of a request arrived at a server.
func (l *Ledger) RequestReceived(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.RequestReceived(l.server(server), at)
}

// Executed records that an operation took effect at a server.
func (l *Ledger) Executed(server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.ops[id]; o != nil {
		l.Checker.Executed(l.server(server), o, at)
	} else {
		l.UnknownRequest(l.server(server), id)
	}
}

// SetZone sets the zone of a server.
func (l *Ledger) SetZone(server, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).Zone = zone
}

// NotifiedDraining records that the proxies were notified that a server is draining or gone. InService
// reverts it.
func (l *Ledger) NotifiedDraining(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).DrainPublished(at)
}

// InService records that a server is in service.
func (l *Ledger) InService(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).InService()
}

// Started records that a server's process started, which begins its slow start, and its full capacity.
func (l *Ledger) Started(server string, at time.Time, capacity float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Started(l.server(server), at, capacity)
}

// ServedSoFar returns how many attempts have been answered as served.
func (l *Ledger) ServedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.Totals.Served)
}

// MaxOverload returns the maximum over all servers in slow start and all windows of the requests received
// in a window, as a multiple of the server's capacity at that time.
func (l *Ledger) MaxOverload() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0.0
	for _, s := range l.servers {
		most = max(most, l.Overload(s))
	}
	return most
}

// Violations closes the ledger and returns the number of violations by rule number, with descriptions of the
// first of them. Attempts that are open and past their deadline count as never answered.
func (l *Ledger) Violations(now time.Time) (map[int]int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.ops {
		l.Close(o, now)
	}
	for _, s := range l.servers {
		l.CheckSlowStart(s)
	}
	return l.Checker.Violations()
}
