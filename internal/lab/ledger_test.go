package lab

import (
	"testing"
	"time"
)

// Guards against a checker that misses a violation or reports one where there is none.
func TestLedger(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		violatedRule int // 0: none
		record       func(*Ledger)
	}{
		"no violation": {0, func(l *Ledger) {
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
		"connection reset": {1, func(l *Ledger) {
			l.AttemptStarted("a", Idempotent, "", at(100))
			l.Unanswered("a")
		}},
		"served, but never executed": {1, func(l *Ledger) {
			l.AttemptStarted("a", Idempotent, "", at(100))
			l.Answered("a", Served, at(1))
		}},
		"non-idempotent operation executed twice": {2, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.Executed("s", "a", at(1))
			l.Executed("t", "a", at(2))
			l.Answered("a", Served, at(3))
		}},
		"rejected after it ran": {2, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.Executed("s", "a", at(1))
			l.Answered("a", Rejected, at(3))
		}},
		"ran after it was rejected": {2, func(l *Ledger) {
			l.AttemptStarted("a", NonIdempotent, "", at(100))
			l.Answered("a", Rejected, at(3))
			l.Executed("s", "a", at(4))
		}},
		"keyed operation repeated inside its window": {0, func(l *Ledger) {
			l.AttemptStarted("a", IdempotentByKey, "a", at(9000))
			l.Executed("s", "a", at(1))
			l.Executed("t", "a", at(1200))
			l.Answered("a", Served, at(1201))
		}},
		"keyed operation repeated outside its window": {2, func(l *Ledger) {
			l.AttemptStarted("a", IdempotentByKey, "a", at(9000))
			l.Executed("s", "a", at(1))
			l.Executed("t", "a", at(1300))
			l.Answered("a", Served, at(1301))
		}},
		"request within the drain grace": {0, func(l *Ledger) {
			l.NotifiedDraining("s", at(0))
			l.RequestReceived("s", at(250))
		}},
		"request after the drain grace": {3, func(l *Ledger) {
			l.NotifiedDraining("s", at(0))
			l.RequestReceived("s", at(251))
		}},
		"back in service": {0, func(l *Ledger) {
			l.NotifiedDraining("s", at(0))
			l.InService("s")
			l.RequestReceived("s", at(9000))
		}},
		"overloaded during slow start": {4, func(l *Ledger) {
			l.Started("s", at(0), 100)
			for i := range 100 { // 0.31 to 0.39 of 100 a second, times 2.5: under 100
				l.RequestReceived("s", at(500+i))
			}
		}},
		"not overloaded during slow start": {0, func(l *Ledger) {
			l.Started("s", at(0), 100)
			for i := range 70 {
				l.RequestReceived("s", at(500+i))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(DefaultRules())
			c.record(l)
			violations, descriptions := l.Violations(at(60_000))
			if c.violatedRule == 0 && len(violations) != 0 || c.violatedRule != 0 && (len(violations) != 1 || violations[c.violatedRule] == 0) {
				t.Errorf("violations by rule %v, want of rule %d only: %q", violations, c.violatedRule, descriptions)
			}
		})
	}
}
