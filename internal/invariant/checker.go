// Package invariant checks the four rules of the system against the observations of clients and servers,
// one operation and one server at a time. It is independent of the system between them, does no I/O and
// reads no clock. Callers store the operations and servers and synchronize the calls: the lab's ledger does
// for real sockets, the emulator in virtual time.
//
// The rules:
//
//  1. Each attempt of a client gets one answer, before the client's deadline; a request answered as served
//     has run.
//  2. A non-idempotent operation runs at most once, and not after its rejection; an operation with an
//     idempotency key takes effect once within the idempotency window; no operation runs that no client sent.
//  3. No request reaches a server later than the grace period after the drain was published.
//  4. A server in slow start gets at most a fixed multiple of its current capacity.
package invariant

import (
	"fmt"
	"slices"
	"time"
)

// maxDescriptions bounds the number of violations that are described.
const maxDescriptions = 20

// The numbers of the rules.
const (
	ruleAnswer = iota + 1
	ruleExecution
	ruleDrain
	ruleSlowStart
)

// Rules has the parameters of the four rules.
type Rules struct {
	AnswerSlack          time.Duration // rule 1: how late an answer may be
	KeyWindow            time.Duration // rule 2: idempotency window of the servers
	DrainGrace           time.Duration // rule 3: grace period after a drain
	SlowStart            time.Duration // rule 4: length of slow start
	SlowStartMinCapacity float64       // rule 4: fraction of its capacity that a server has at its start
	OverloadFactor       float64       // rule 4: multiple of its current capacity that it may get
	Window               time.Duration // rule 4: length of the windows in which requests are counted
	Burst                float64       // rule 4: additional requests allowed for random variation
	ByZone               bool          // rule 2: servers share deduplication state only within their zone
}

// DefaultRules returns the parameters that the system is specified for.
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

// Totals are sums over all operations.
type Totals struct {
	Attempts, Served, Rejected, Failed, Late, Received int
	// LatestAfterDrain is the longest time after its drain at which a server received a request.
	LatestAfterDrain time.Duration
}

// Checker counts violations of the rules. The zero value is ready to use once Rules is set.
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

// Violations returns the number of violations by rule, and descriptions of the first maxDescriptions.
func (c *Checker) Violations() (map[int]int, []string) {
	counts := map[int]int{}
	for rule, n := range c.violations {
		if n > 0 {
			counts[rule] = n
		}
	}
	return counts, slices.Clone(c.descriptions)
}
