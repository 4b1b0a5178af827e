package core

import (
	"sync/atomic"

	"ringtrack.example/ringtrack/policy"
)

// Stats are the loop's totals, which the agent logs when it ends.
type Stats struct {
	Accepted         int // calls submitted
	Served           int
	Rejected         int
	Failed           int
	Disconnected     int // their client disconnected before the answer
	DeadlineExceeded int // completed by the deadline timer instead of the balancer
	GuardViolations  int // decisions of the balancer that the guard did not allow
}

// Stats returns the totals so far. It is called in the loop, or after Run has returned.
func (l *EventLoop) Stats() Stats { return l.stats }

// Counters count requests since the start of the agent. They may be read and written from any goroutine. A request
// counts once: when it is answered, or when its streamed reply has ended.
type Counters struct {
	Classes []ClassCounters // in the order of the settings
	Written atomic.Int64    // attempts completely written to backends
	Open    atomic.Int64    // requests without an answer
	// Unserved counts the answers by the rule that ended their requests; ReasonNone is not to be read.
	Unserved [policy.NumRejectReasons]atomic.Int64
}

// ClassCounters count the answers to requests of one class.
type ClassCounters struct {
	Name                     string
	Served, Rejected, Failed atomic.Int64
}

func newCounters(classes []policy.Class) *Counters {
	c := &Counters{Classes: make([]ClassCounters, len(classes))}
	for i, class := range classes {
		c.Classes[i].Name = class.Name
	}
	return c
}

// Count counts one answer to a request of a class.
func (c *Counters) Count(class int, outcome Outcome) {
	counters := &c.Classes[class]
	switch outcome {
	case Served:
		counters.Served.Add(1)
	case Rejected:
		counters.Rejected.Add(1)
	case Failed:
		counters.Failed.Add(1)
	}
}

// CountStreamed counts a streamed reply that has ended.
func (c *Counters) CountStreamed(class int, outcome Outcome) {
	c.Count(class, outcome)
	c.Open.Add(-1)
}

// unservedSince returns attributes for the log, the rules that have ended requests since the counts of before, with their
// number, and brings these up to date.
func (c *Counters) unservedSince(before *[policy.NumRejectReasons]int64) (rules []any) {
	for reason := policy.ReasonNone + 1; reason < policy.NumRejectReasons; reason++ {
		count := c.Unserved[reason].Load()
		if count > before[reason] {
			rules = append(rules, reason.String(), count-before[reason])
		}
		before[reason] = count
	}
	return rules
}

// Counters returns the loop's counters. It may be called from any goroutine.
func (l *EventLoop) Counters() *Counters { return l.counters }
