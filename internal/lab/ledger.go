package lab

import (
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/invariant"
)

// What the book knows, by the lab's names.
type (
	Effect  = invariant.Effect
	Outcome = invariant.Outcome
	Rules   = invariant.Rules
)

// The effects and verdicts.
const (
	Idempotent      = invariant.Idempotent
	IdempotentByKey = invariant.IdempotentByKey
	NonIdempotent   = invariant.NonIdempotent

	Served   = invariant.Served
	Rejected = invariant.Rejected
	Failed   = invariant.Failed
)

// DefaultRules are those of the brief.
func DefaultRules() Rules { return invariant.DefaultRules() }

// Ledger keeps what clients and servers saw, by their names, and checks the four rules on it. It knows
// nothing of the system between them. It may be used from any goroutine.
type Ledger struct {
	mu sync.Mutex
	invariant.Checker
	ops     map[string]*invariant.Operation
	servers map[string]*invariant.Server
}

// NewLedger returns a ledger for these rules.
func NewLedger(rules Rules) *Ledger {
	return &Ledger{Checker: invariant.Checker{Rules: rules}, ops: map[string]*invariant.Operation{}, servers: map[string]*invariant.Server{}}
}

func (l *Ledger) server(id string) *invariant.Server {
	a := l.servers[id]
	if a == nil {
		a = &invariant.Server{Name: id}
		l.servers[id] = a
	}
	return a
}

func (l *Ledger) op(id string) *invariant.Operation {
	if o := l.ops[id]; o != nil {
		return o
	}
	return &invariant.Operation{Name: id} // that nobody asked for
}

// AttemptStarted notes a client's try of an operation, and when its time is over.
func (l *Ledger) AttemptStarted(id string, effect Effect, key string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil {
		o = &invariant.Operation{Name: id, Effect: effect}
		l.ops[id] = o
	}
	l.Checker.AttemptStarted(o, until)
}

// Answered notes the answer of the try that is open.
func (l *Ledger) Answered(id string, v Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Answered(l.op(id), v, at)
}

// Unanswered notes that a try's connection ended without an answer.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Unanswered(l.op(id))
}

// RequestReceived notes that the first byte of a request came to a server.
func (l *Ledger) RequestReceived(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.RequestReceived(l.server(server), at)
}

// Executed notes that an operation took effect at a server.
func (l *Ledger) Executed(server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.ops[id]; o != nil {
		l.Checker.Executed(l.server(server), o, at)
	} else {
		l.UnknownRequest(l.server(server), id)
	}
}

// SetZone notes the zone that a server is in.
func (l *Ledger) SetZone(server, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).Zone = zone
}

// NotifiedDraining notes that a server was told to drain or gone; Up that it is in service again.
func (l *Ledger) NotifiedDraining(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).NotifiedDraining(at)
}

// InService notes that a server is in service.
func (l *Ledger) InService(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).InService()
}

// Started notes that a server's process started cold.
func (l *Ledger) Started(server string, at time.Time, capacity float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Started(l.server(server), at, capacity)
}

// MaxOverload returns the most that was begun at a started server in any window, as a multiple of what it
// could do then.
func (l *Ledger) MaxOverload() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	worst := 0.0
	for _, a := range l.servers {
		worst = max(worst, l.Overload(a))
	}
	return worst
}

// Violations closes the ledger: it returns the number of breaches of each rule, by its number, and the
// first of them in words. Tries that are open and past their time count as lost.
func (l *Ledger) Violations(now time.Time) (map[int]int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.ops {
		l.Close(o, now)
	}
	for _, a := range l.servers {
		l.CheckSlowStart(a)
	}
	return l.Checker.Violations()
}
