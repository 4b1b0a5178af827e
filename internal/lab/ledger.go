package lab

import (
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/book"
)

// What the book knows, by the lab's names.
type (
	Effect  = book.Effect
	Verdict = book.Verdict
	Rules   = book.Rules
)

// The effects and verdicts.
const (
	Safe   = book.Safe
	Keyed  = book.Keyed
	Unsafe = book.Unsafe

	Served  = book.Served
	Refused = book.Refused
	Failed  = book.Failed
)

// DefaultRules are those of the brief.
func DefaultRules() Rules { return book.DefaultRules() }

// Ledger keeps what clients and servers saw, by their names, and checks the four rules on it. It knows
// nothing of the system between them. It may be used from any goroutine.
type Ledger struct {
	mu sync.Mutex
	book.Book
	ops     map[string]*book.Op
	servers map[string]*book.Account
}

// NewLedger returns a ledger for these rules.
func NewLedger(rules Rules) *Ledger {
	return &Ledger{Book: book.Book{Rules: rules}, ops: map[string]*book.Op{}, servers: map[string]*book.Account{}}
}

func (l *Ledger) server(id string) *book.Account {
	a := l.servers[id]
	if a == nil {
		a = &book.Account{Name: id}
		l.servers[id] = a
	}
	return a
}

func (l *Ledger) op(id string) *book.Op {
	if o := l.ops[id]; o != nil {
		return o
	}
	return &book.Op{Name: id} // that nobody asked for
}

// Asked notes a client's try of an operation, and when its time is over.
func (l *Ledger) Asked(id string, effect Effect, key string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil {
		o = &book.Op{Name: id, Effect: effect}
		l.ops[id] = o
	}
	l.Book.Asked(o, until)
}

// Answered notes the answer of the try that is open.
func (l *Ledger) Answered(id string, v Verdict, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Book.Answered(l.op(id), v, at)
}

// Unanswered notes that a try's connection ended without an answer.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Book.Unanswered(l.op(id))
}

// Began notes that the first byte of a request came to a server.
func (l *Ledger) Began(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Book.Began(l.server(server), at)
}

// Ran notes that an operation took effect at a server.
func (l *Ledger) Ran(server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.ops[id]; o != nil {
		l.Book.Ran(l.server(server), o, at)
	} else {
		l.Stray(l.server(server), id)
	}
}

// Placed notes the zone that a server is in.
func (l *Ledger) Placed(server, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).Zone = zone
}

// Told notes that a server was told to drain or gone; Up that it is in service again.
func (l *Ledger) Told(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).Told(at)
}

// Up notes that a server is in service.
func (l *Ledger) Up(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).Up()
}

// Started notes that a server's process started cold.
func (l *Ledger) Started(server string, at time.Time, capacity float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Book.Started(l.server(server), at, capacity)
}

// Coldest returns the most that was begun at a started server in any window, as a multiple of what it
// could do then.
func (l *Ledger) Coldest() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	worst := 0.0
	for _, a := range l.servers {
		worst = max(worst, l.Multiple(a))
	}
	return worst
}

// Breaches closes the ledger: it returns the number of breaches of each rule, by its number, and the
// first of them in words. Tries that are open and past their time count as lost.
func (l *Ledger) Breaches(now time.Time) (map[int]int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.ops {
		l.Close(o, now)
	}
	for _, a := range l.servers {
		l.Cold(a)
	}
	return l.Book.Breaches()
}
