// Package invariant checks the four rules of the system on what clients and servers observed, one operation and
// one server at a time. It knows nothing of the system between them, does no I/O and reads no clock. Callers
// hold the operations and servers and synchronize the calls: the lab's ledger beside sockets, the emulator in
// virtual time.
//
// The rules:
//
//  1. Each attempt of a client gets one answer, in the client's time; what is answered as served has run.
//  2. An operation that is not idempotent runs at most once, and not after its rejection; one with an
//     idempotency key takes effect once in the idempotency window; nothing runs that no client sent.
//  3. No request reaches a server later than the grace period after the drain was published.
//  4. A server in slow start gets at most a multiple of its capacity at the time.
package invariant

import (
	"fmt"
	"slices"
	"time"
)

// maxDescriptions bounds the violations that are described.
const maxDescriptions = 20

// The numbers of the rules.
const (
	ruleAnswer = iota + 1
	ruleExecution
	ruleDrain
	ruleSlowStart
)

// Rules has the limits of the four rules.
type Rules struct {
	AnswerSlack          time.Duration // rule 1: by which an answer may be late
	KeyWindow            time.Duration // rule 2: idempotency window of the servers
	DrainGrace           time.Duration // rule 3: grace period after a drain
	SlowStart            time.Duration // rule 4: length of slow start
	SlowStartMinCapacity float64       // rule 4: part of its capacity that a server has at its start
	OverloadFactor       float64       // rule 4: multiple of its present capacity that it may get
	Window               time.Duration // rule 4: in any window of this length
	Burst                float64       // rule 4: requests beyond, for random variation
	ByZone               bool          // rule 2: servers share deduplication in their own zone only
}

// DefaultRules returns the limits that the system is specified for.
func DefaultRules() Rules {
	return Rules{
		AnswerSlack:          70 * time.Millisecond,
		KeyWindow:            1200 * time.Millisecond,
		DrainGrace:           250 * time.Millisecond,
		SlowStart:            8600 * time.Millisecond,
		SlowStartMinCapacity: 0.31,
		OverloadFactor:       2.5,
		Window:               time.Second,
		Burst:                4,
	}
}

// Totals are counted over all operations.
type Totals struct {
	Attempts, Served, Rejected, Failed, Late, Received int
	// LatestAfterDrain is the longest time after a drain at which its server received a request.
	LatestAfterDrain time.Duration
}

// Checker counts violations of the rules. The zero value with Rules set is ready to use.
type Checker struct {
	Rules  Rules
	Totals Totals

	violations   [ruleSlowStart + 1]int // by rule
	descriptions []string
}

func (c *Checker) violate(rule int, format string, args ...any) {
	c.violations[rule]++
	if len(c.descriptions) < maxDescriptions {
		c.descriptions = append(c.descriptions, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations by rule, and the descriptions of the first of them.
func (c *Checker) Violations() (map[int]int, []string) {
	counts := map[int]int{}
	for rule, n := range c.violations {
		if n > 0 {
			counts[rule] = n
		}
	}
	return counts, slices.Clone(c.descriptions)
}
