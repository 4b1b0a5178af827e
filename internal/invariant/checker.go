// Package invariant checks the four rules on what clients and servers saw, one operation and one server at a
// time. It knows nothing of the system between them, does no I/O and reads no clock; who holds operations
// and servers, and under which lock, is the caller's: the lab's ledger beside sockets, the emulator in
// virtual time.
package invariant

import (
	"fmt"
	"slices"
	"time"
)

// Effect is what a repeat of an operation does.
type Effect string

// The effects, as clients know them.
const (
	Idempotent      Effect = "safe"
	IdempotentByKey Effect = "keyed"
	NonIdempotent   Effect = "unsafe"
)

// Outcome is how a try ended for its client.
type Outcome int

// The verdicts.
const (
	Served Outcome = iota
	Rejected
	Failed
)

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack          time.Duration // rule 1: after the client's time
	KeyWindow            time.Duration // rule 2: how long servers drop repeats of a key
	DrainGrace           time.Duration // rule 3: after a drain was told
	SlowStart            time.Duration // rule 4: how long a started server is cold
	SlowStartMinCapacity float64       // part of its capacity at its start
	OverloadFactor       float64       // of what it can do then, that it may be sent
	Window               time.Duration // in any such time
	Burst                float64       // requests beyond, for chance
	ByZone               bool          // rule 2: servers of one zone only drop each other's repeats
}

// DefaultRules are those of the brief.
func DefaultRules() Rules {
	return Rules{AnswerSlack: 70 * time.Millisecond, KeyWindow: 1200 * time.Millisecond,
		DrainGrace: 250 * time.Millisecond, SlowStart: 8600 * time.Millisecond, SlowStartMinCapacity: 0.31,
		OverloadFactor: 2.5, Window: time.Second, Burst: 4}
}

// Totals are counted over all operations.
type Totals struct {
	Attempts, Served, Rejected, Failed, Late, Received int
	LatestAfterDrain                                   time.Duration // of all that began at a server that had been told away
}

// maxWords bounds the breaches that are kept in words.
const maxWords = 20

// Checker counts breaches.
type Checker struct {
	Rules  Rules
	Totals Totals

	count [5]int
	words []string
}

// Operation is an operation over all its tries.
type Operation struct {
	Name   string
	Effect Effect

	until   time.Time // of the try that is open
	open    bool
	promise bool // the last try ended in a refusal: it never ran
	runs    int
	ran     time.Time // first
	zone    string    // where
}

// Server is a server's.
type Server struct {
	Name string
	Zone string

	away     time.Time // told to drain or gone; zero: in service
	started  time.Time
	capacity float64 // requests a second when warm
	begun    []time.Time
}

func (b *Checker) breach(rule int, format string, args ...any) {
	b.count[rule]++
	if len(b.words) < maxWords {
		b.words = append(b.words, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, args...))
	}
}

// AttemptStarted notes a client's try of an operation, and when its time is over.
func (b *Checker) AttemptStarted(o *Operation, until time.Time) {
	b.Totals.Attempts++
	o.until, o.open, o.promise = until, true, false
}

// Answered notes the answer of the try that is open.
func (b *Checker) Answered(o *Operation, v Outcome, at time.Time) {
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
	case Rejected:
		b.Totals.Rejected++
		o.promise = true
		if o.Effect == NonIdempotent && o.runs > 0 {
			b.breach(2, "%s: refused after it had run", o.Name)
		}
	case Failed:
		b.Totals.Failed++
	}
}

// Unanswered notes that a try's connection ended without an answer.
func (b *Checker) Unanswered(o *Operation) {
	if o.open {
		o.open = false
		b.breach(1, "%s: no answer", o.Name)
	}
}

// Close looks whether the try that is open is past its time: then it is lost.
func (b *Checker) Close(o *Operation, now time.Time) {
	if o.open && now.Sub(o.until) > b.Rules.AnswerSlack {
		o.open = false
		b.breach(1, "%s: never answered", o.Name)
	}
}

// RequestReceived notes that the first byte of a request came to a server.
func (b *Checker) RequestReceived(a *Server, at time.Time) {
	b.Totals.Received++
	if !a.started.IsZero() && at.Sub(a.started) <= b.Rules.SlowStart {
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

// Executed notes that an operation took effect at a server. A key's repeat inside the window is dropped by
// the servers and is no effect.
func (b *Checker) Executed(a *Server, o *Operation, at time.Time) {
	if o.runs > 0 {
		since := at.Sub(o.ran)
		switch {
		case o.Effect == NonIdempotent:
			b.breach(2, "%s: ran twice, the second time at %s", o.Name, a.Name)
		case o.Effect == IdempotentByKey && b.Rules.ByZone && a.Zone != o.zone:
			b.breach(2, "%s: ran again in zone %s, first in %s", o.Name, a.Zone, o.zone)
		case o.Effect == IdempotentByKey && since <= b.Rules.KeyWindow:
			return
		case o.Effect == IdempotentByKey:
			b.breach(2, "%s: ran again %v after its first run", o.Name, since)
		}
	} else {
		o.ran, o.zone = at, a.Zone
	}
	if o.promise && o.Effect == NonIdempotent {
		b.breach(2, "%s: ran after it was refused", o.Name)
	}
	o.runs++
}

// UnknownRequest notes that something ran that nobody asked for.
func (b *Checker) UnknownRequest(a *Server, op string) {
	b.breach(2, "%s: ran at %s, asked by nobody", op, a.Name)
}

// NotifiedDraining notes that a server was told to drain or gone; Up that it is in service again.
func (a *Server) NotifiedDraining(at time.Time) { a.away = at }

// InService notes that a server is in service.
func (a *Server) InService() { a.away = time.Time{} }

// Started closes the account of a server's last process, and notes that another started cold.
func (b *Checker) Started(a *Server, at time.Time, capacity float64) {
	b.CheckSlowStart(a)
	a.started, a.capacity, a.begun = at, capacity, nil
}

// CheckSlowStart checks what a started server was sent.
func (b *Checker) CheckSlowStart(a *Server) {
	if m := b.Overload(a); m > b.Rules.OverloadFactor {
		b.breach(4, "%s: sent %.2f times what it could do when cold, %v allowed", a.Name, m, b.Rules.OverloadFactor)
	}
}

// Overload is the most that was begun at a started server in any window, as a multiple of what it could
// do then.
func (b *Checker) Overload(a *Server) float64 {
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
		ramp := b.Rules.SlowStartMinCapacity + (1-b.Rules.SlowStartMinCapacity)*float64(age)/float64(b.Rules.SlowStart)
		able := a.capacity * ramp * b.Rules.Window.Seconds()
		worst = max(worst, (float64(i-j+1)-b.Rules.Burst)/able)
	}
	return worst
}

// Violations returns the number of breaches of each rule, by its number, and the first of them in words.
func (b *Checker) Violations() (map[int]int, []string) {
	out := map[int]int{}
	for rule, n := range b.count {
		if n > 0 {
			out[rule] = n
		}
	}
	return out, slices.Clone(b.words)
}
