package lab

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Effect is what a repeat of an operation does.
type Effect string

// The effects, as clients know them.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack time.Duration // rule 1: after the client's time
	KeyWindow   time.Duration // rule 2: how long servers drop repeats of a key
	DrainGrace  time.Duration // rule 3: after a drain was told
	ColdFor     time.Duration // rule 4: how long a started server is cold
	ColdFrom    float64       // part of its capacity at its start
	Multiple    float64       // of what it can do then, that it may be sent
	Window      time.Duration // in any such time
	Burst       float64       // requests beyond, for chance
}

// DefaultRules are those of the brief.
func DefaultRules() Rules {
	return Rules{AnswerSlack: 70 * time.Millisecond, KeyWindow: 1200 * time.Millisecond,
		DrainGrace: 250 * time.Millisecond, ColdFor: 8600 * time.Millisecond, ColdFrom: 0.31,
		Multiple: 2.5, Window: time.Second, Burst: 4}
}

// Ledger keeps what clients and servers saw and checks the four rules on it. It knows nothing of the
// system between them. It may be used from any goroutine.
type Ledger struct {
	rules Rules

	mu      sync.Mutex
	ops     map[string]*op
	servers map[string]*account
	broken  []string
	count   [5]int // breaches by rule
	Totals  Totals
}

// Totals are counted over all operations.
type Totals struct {
	Tries, Served, Refused, Failed, Late, Begun int
	LatestAfterDrain                            time.Duration // of all that began at a server that had been told away
}

type op struct {
	effect  Effect
	key     string
	until   time.Time // of the try that is open
	open    bool
	runs    []time.Time // when it took effect
	mayRun  bool        // some try ended in a way that promises nothing
	promise bool        // the last try ended in a refusal: it never ran
}

type account struct {
	away     time.Time // told to drain or gone; zero: in service
	started  time.Time
	capacity float64 // requests a second when warm
	begun    []time.Time
}

// NewLedger returns a ledger for these rules.
func NewLedger(rules Rules) *Ledger {
	return &Ledger{rules: rules, ops: map[string]*op{}, servers: map[string]*account{}}
}

func (l *Ledger) breach(rule int, format string, args ...any) {
	l.count[rule]++
	if len(l.broken) < 20 {
		l.broken = append(l.broken, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, args...))
	}
}

func (l *Ledger) server(id string) *account {
	a := l.servers[id]
	if a == nil {
		a = &account{}
		l.servers[id] = a
	}
	return a
}

// Asked notes a client's try of an operation, and when its time is over.
func (l *Ledger) Asked(id string, effect Effect, key string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil {
		o = &op{effect: effect, key: key}
		l.ops[id] = o
	}
	l.Totals.Tries++
	o.until, o.open, o.promise = until, true, false
}

// Verdict is how a try ended for its client.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
)

// Answered notes the answer of the try that is open.
func (l *Ledger) Answered(id string, v Verdict, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil || !o.open {
		l.breach(1, "%s: answered without being asked", id)
		return
	}
	o.open = false
	if late := at.Sub(o.until); late > l.rules.AnswerSlack {
		l.Totals.Late++
		l.breach(1, "%s: answered %v after the client's time", id, late)
	}
	switch v {
	case Served:
		l.Totals.Served++
		if len(o.runs) == 0 {
			l.breach(1, "%s: served by nobody", id)
		}
	case Refused:
		l.Totals.Refused++
		o.promise = true
		if o.effect == Unsafe && len(o.runs) > 0 {
			l.breach(2, "%s: refused after it had run", id)
		}
	case Failed:
		l.Totals.Failed++
	}
}

// Unanswered notes that a try's connection ended without an answer.
func (l *Ledger) Unanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.ops[id]; o != nil && o.open {
		o.open = false
		l.breach(1, "%s: no answer", id)
	}
}

// Began notes that the first byte of a request came to a server.
func (l *Ledger) Began(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.server(server)
	l.Totals.Begun++
	a.begun = append(a.begun, at)
	if !a.away.IsZero() {
		after := at.Sub(a.away)
		l.Totals.LatestAfterDrain = max(l.Totals.LatestAfterDrain, after)
		if after > l.rules.DrainGrace {
			l.breach(3, "%s: a request %v after it was told away", server, after)
		}
	}
}

// Ran notes that an operation took effect at a server. A key's repeat inside the window is dropped by
// the servers and is no effect.
func (l *Ledger) Ran(server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.ops[id]
	if o == nil {
		l.breach(2, "%s: ran at %s, asked by nobody", id, server)
		return
	}
	if len(o.runs) > 0 {
		since := at.Sub(o.runs[0])
		switch {
		case o.effect == Unsafe:
			l.breach(2, "%s: ran twice, the second time at %s", id, server)
		case o.effect == Keyed && since <= l.rules.KeyWindow:
			return
		case o.effect == Keyed:
			l.breach(2, "%s: ran again %v after its first run", id, since)
		}
	}
	if o.promise && o.effect == Unsafe {
		l.breach(2, "%s: ran after it was refused", id)
	}
	o.runs = append(o.runs, at)
}

// Told notes that a server was told to drain or gone; Up that it is in service again.
func (l *Ledger) Told(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).away = at
}

// Up notes that a server is in service.
func (l *Ledger) Up(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(server).away = time.Time{}
}

// Started notes that a server's process started cold.
func (l *Ledger) Started(server string, at time.Time, capacity float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.server(server)
	a.started, a.capacity, a.begun = at, capacity, nil
}

// Coldest returns the most that was begun at a started server in any window, as a multiple of what it
// could do then.
func (l *Ledger) Coldest() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	worst := 0.0
	for _, a := range l.servers {
		worst = max(worst, l.multiple(a))
	}
	return worst
}

func (l *Ledger) multiple(a *account) float64 {
	if a.started.IsZero() || a.capacity <= 0 {
		return 0
	}
	worst := 0.0
	slices.SortFunc(a.begun, func(x, y time.Time) int { return x.Compare(y) })
	for i, j := 0, 0; i < len(a.begun); i++ {
		for a.begun[i].Sub(a.begun[j]) > l.rules.Window {
			j++
		}
		age := a.begun[i].Sub(a.started)
		if age > l.rules.ColdFor {
			break
		}
		ramp := l.rules.ColdFrom + (1-l.rules.ColdFrom)*float64(age)/float64(l.rules.ColdFor)
		able := a.capacity * ramp * l.rules.Window.Seconds()
		worst = max(worst, (float64(i-j+1)-l.rules.Burst)/able)
	}
	return worst
}

// Breaches closes the ledger: it returns the number of breaches of each rule, by its number, and the
// first of them in words. Tries that are open and past their time count as lost.
func (l *Ledger) Breaches(now time.Time) (map[int]int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, o := range l.ops {
		if o.open && now.Sub(o.until) > l.rules.AnswerSlack {
			o.open = false
			l.breach(1, "%s: never answered", id)
		}
	}
	for id, a := range l.servers {
		if m := l.multiple(a); m > l.rules.Multiple {
			l.breach(4, "%s: sent %.2f times what it could do when cold, %v allowed", id, m, l.rules.Multiple)
		}
	}
	out := map[int]int{}
	for rule, n := range l.count {
		if n > 0 {
			out[rule] = n
		}
	}
	return out, slices.Clone(l.broken)
}
