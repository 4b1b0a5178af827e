// Package book checks the four rules on what clients and servers saw, one operation and one server at a
// time. It knows nothing of the system between them, does no I/O and reads no clock; who holds operations
// and servers, and under which lock, is the caller's: the lab's ledger beside sockets, the emulator in
// virtual time.
package book

import (
	"fmt"
	"slices"
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

// Verdict is how a try ended for its client.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
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
	ByZone      bool          // rule 2: servers of one zone only drop each other's repeats
}

// DefaultRules are those of the brief.
func DefaultRules() Rules {
	return Rules{AnswerSlack: 70 * time.Millisecond, KeyWindow: 1200 * time.Millisecond,
		DrainGrace: 250 * time.Millisecond, ColdFor: 8600 * time.Millisecond, ColdFrom: 0.31,
		Multiple: 2.5, Window: time.Second, Burst: 4}
}

// Totals are counted over all operations.
type Totals struct {
	Tries, Served, Refused, Failed, Late, Begun int
	LatestAfterDrain                            time.Duration // of all that began at a server that had been told away
}

// maxWords bounds the breaches that are kept in words.
const maxWords = 20

// Book counts breaches.
type Book struct {
	Rules  Rules
	Totals Totals

	count [5]int
	words []string
}

// Op is an operation over all its tries.
type Op struct {
	Name   string
	Effect Effect

	until   time.Time // of the try that is open
	open    bool
	promise bool // the last try ended in a refusal: it never ran
	runs    int
	ran     time.Time // first
	zone    string    // where
}

// Account is a server's.
type Account struct {
	Name string
	Zone string

	away     time.Time // told to drain or gone; zero: in service
	started  time.Time
	capacity float64 // requests a second when warm
	begun    []time.Time
}

func (b *Book) breach(rule int, format string, args ...any) {
	b.count[rule]++
	if len(b.words) < maxWords {
		b.words = append(b.words, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, args...))
	}
}

// Asked notes a client's try of an operation, and when its time is over.
func (b *Book) Asked(o *Op, until time.Time) {
	b.Totals.Tries++
	o.until, o.open, o.promise = until, true, false
}

// Answered notes the answer of the try that is open.
func (b *Book) Answered(o *Op, v Verdict, at time.Time) {
	if !o.open {
		b.breach(1, "%s: answered without being asked", o.Name)
		return
	}
	o.open = false
	if late := at.Sub(o.until); late > b.Rules.AnswerSlack {
		b.Totals.Late++
		b.breach(1, "%s: answered %v after the client's time", o.Name, late)
	}
	switch v {
	case Served:
		b.Totals.Served++
		if o.runs == 0 {
			b.breach(1, "%s: served by nobody", o.Name)
		}
	case Refused:
		b.Totals.Refused++
		o.promise = true
		if o.Effect == Unsafe && o.runs > 0 {
			b.breach(2, "%s: refused after it had run", o.Name)
		}
	case Failed:
		b.Totals.Failed++
	}
}

// Unanswered notes that a try's connection ended without an answer.
func (b *Book) Unanswered(o *Op) {
	if o.open {
		o.open = false
		b.breach(1, "%s: no answer", o.Name)
	}
}

// Close looks whether the try that is open is past its time: then it is lost.
func (b *Book) Close(o *Op, now time.Time) {
	if o.open && now.Sub(o.until) > b.Rules.AnswerSlack {
		o.open = false
		b.breach(1, "%s: never answered", o.Name)
	}
}

// Began notes that the first byte of a request came to a server.
func (b *Book) Began(a *Account, at time.Time) {
	b.Totals.Begun++
	if !a.started.IsZero() && at.Sub(a.started) <= b.Rules.ColdFor {
		a.begun = append(a.begun, at)
	}
	if !a.away.IsZero() {
		after := at.Sub(a.away)
		b.Totals.LatestAfterDrain = max(b.Totals.LatestAfterDrain, after)
		if after > b.Rules.DrainGrace {
			b.breach(3, "%s: a request %v after it was told away", a.Name, after)
		}
	}
}

// Ran notes that an operation took effect at a server. A key's repeat inside the window is dropped by
// the servers and is no effect.
func (b *Book) Ran(a *Account, o *Op, at time.Time) {
	if o.runs > 0 {
		since := at.Sub(o.ran)
		switch {
		case o.Effect == Unsafe:
			b.breach(2, "%s: ran twice, the second time at %s", o.Name, a.Name)
		case o.Effect == Keyed && b.Rules.ByZone && a.Zone != o.zone:
			b.breach(2, "%s: ran again in zone %s, first in %s", o.Name, a.Zone, o.zone)
		case o.Effect == Keyed && since <= b.Rules.KeyWindow:
			return
		case o.Effect == Keyed:
			b.breach(2, "%s: ran again %v after its first run", o.Name, since)
		}
	} else {
		o.ran, o.zone = at, a.Zone
	}
	if o.promise && o.Effect == Unsafe {
		b.breach(2, "%s: ran after it was refused", o.Name)
	}
	o.runs++
}

// Stray notes that something ran that nobody asked for.
func (b *Book) Stray(a *Account, op string) {
	b.breach(2, "%s: ran at %s, asked by nobody", op, a.Name)
}

// Told notes that a server was told to drain or gone; Up that it is in service again.
func (a *Account) Told(at time.Time) { a.away = at }

// Up notes that a server is in service.
func (a *Account) Up() { a.away = time.Time{} }

// Started closes the account of a server's last process, and notes that another started cold.
func (b *Book) Started(a *Account, at time.Time, capacity float64) {
	b.Cold(a)
	a.started, a.capacity, a.begun = at, capacity, nil
}

// Cold checks what a started server was sent.
func (b *Book) Cold(a *Account) {
	if m := b.Multiple(a); m > b.Rules.Multiple {
		b.breach(4, "%s: sent %.2f times what it could do when cold, %v allowed", a.Name, m, b.Rules.Multiple)
	}
}

// Multiple is the most that was begun at a started server in any window, as a multiple of what it could
// do then.
func (b *Book) Multiple(a *Account) float64 {
	if a.started.IsZero() || a.capacity <= 0 {
		return 0
	}
	worst := 0.0
	slices.SortFunc(a.begun, func(x, y time.Time) int { return x.Compare(y) })
	for i, j := 0, 0; i < len(a.begun); i++ {
		for a.begun[i].Sub(a.begun[j]) > b.Rules.Window {
			j++
		}
		age := a.begun[i].Sub(a.started)
		ramp := b.Rules.ColdFrom + (1-b.Rules.ColdFrom)*float64(age)/float64(b.Rules.ColdFor)
		able := a.capacity * ramp * b.Rules.Window.Seconds()
		worst = max(worst, (float64(i-j+1)-b.Rules.Burst)/able)
	}
	return worst
}

// Breaches returns the number of breaches of each rule, by its number, and the first of them in words.
func (b *Book) Breaches() (map[int]int, []string) {
	out := map[int]int{}
	for rule, n := range b.count {
		if n > 0 {
			out[rule] = n
		}
	}
	return out, slices.Clone(b.words)
}
