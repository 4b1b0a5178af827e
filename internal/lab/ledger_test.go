package lab

import (
	"testing"
	"time"
)

// Each breach is found, and what is allowed is none.
func TestLedger(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		rule int // 0: none is broken
		play func(*Ledger)
	}{
		"all well": {0, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.RequestReceived("s", at(1))
			l.Executed("s", "a", at(2))
			l.Answered("a", Served, at(3))
		}},
		"never answered": {1, func(l *Ledger) { l.AttemptStarted("a", Idempotent, "", at(100)) }},
		"answered late": {1, func(l *Ledger) {
			l.AttemptStarted("a", Idempotent, "", at(100))
			l.Answered("a", Failed, at(171))
		}},
		"answered twice": {1, func(l *Ledger) {
			l.AttemptStarted("a", Idempotent, "", at(100))
			l.Answered("a", Failed, at(1))
			l.Answered("a", Failed, at(2))
		}},
		"cut off": {1, func(l *Ledger) {
			l.AttemptStarted("a", Idempotent, "", at(100))
			l.Unanswered("a")
		}},
		"served by nobody": {1, func(l *Ledger) {
			l.AttemptStarted("a", Idempotent, "", at(100))
			l.Answered("a", Served, at(1))
		}},
		"unsafe twice": {2, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.Executed("s", "a", at(1))
			l.Executed("t", "a", at(2))
			l.Answered("a", Served, at(3))
		}},
		"refused though it ran": {2, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.Executed("s", "a", at(1))
			l.Answered("a", Rejected, at(3))
		}},
		"ran after it was refused": {2, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.Answered("a", Rejected, at(3))
			l.Executed("s", "a", at(4))
		}},
		"a key inside its window": {0, func(l *Ledger) {
			l.AttemptStarted("a", IdempotentByKey, "a", at(9000))
			l.Executed("s", "a", at(1))
			l.Executed("t", "a", at(1200))
			l.Answered("a", Served, at(1201))
		}},
		"a key outside its window": {2, func(l *Ledger) {
			l.AttemptStarted("a", IdempotentByKey, "a", at(9000))
			l.Executed("s", "a", at(1))
			l.Executed("t", "a", at(1300))
			l.Answered("a", Served, at(1301))
		}},
		"within the grace": {0, func(l *Ledger) {
			l.NotifiedDraining("s", at(0))
			l.RequestReceived("s", at(250))
		}},
		"after the grace": {3, func(l *Ledger) {
			l.NotifiedDraining("s", at(0))
			l.RequestReceived("s", at(251))
		}},
		"back in service": {0, func(l *Ledger) {
			l.NotifiedDraining("s", at(0))
			l.InService("s")
			l.RequestReceived("s", at(9000))
		}},
		"a cold server pushed over": {4, func(l *Ledger) {
			l.Started("s", at(0), 100)
			for i := range 100 { // 0.31 to 0.39 of 100 a second, times 2.5: under 100
				l.RequestReceived("s", at(500+i))
			}
		}},
		"a cold server spared": {0, func(l *Ledger) {
			l.Started("s", at(0), 100)
			for i := range 70 {
				l.RequestReceived("s", at(500+i))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(DefaultRules())
			c.play(l)
			broken, words := l.Violations(at(60_000))
			if c.rule == 0 && len(broken) != 0 || c.rule != 0 && (len(broken) != 1 || broken[c.rule] == 0) {
				t.Errorf("broken %v, want rule %d: %q", broken, c.rule, words)
			}
		})
	}
}
