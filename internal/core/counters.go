package core

import (
	"sync/atomic"

	"ringtrack.example/ringtrack/policy"
)

// Stats are the loop's totals, which the agent logs on exit.
type Stats struct {
	Accepted         int // calls submitted
	Served           int
	Rejected         int
	Failed           int
	Disconnected     int // the client disconnected before the answer
	DeadlineExceeded int // completed by the deadline timer instead of the balancer
	GuardViolations  int // decisions of the balancer that the guard blocked
}

// Stats returns the totals so far. It must be called in the loop, or after Run has returned.
func (l *EventLoop) Stats() Stats { return l.stats }

// Counters count requests since the start of the agent. They are safe for concurrent use. A request is
// counted once: when it is answered, or when its streamed reply ends.
type Counters struct {
	Classes []ClassCounters // in the order of the settings
	Written atomic.Int64    // attempts that were completely written to backends
	Open    atomic.Int64    // requests that are not answered yet
	// Unserved counts requests by the rule that ended them. The element of ReasonNone has no meaning.
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

// Count counts one answer to a request of the class.
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

// unservedSince returns, as log attributes, how many requests each rule has ended since the counts in
// before, and updates these.
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

// Counters returns the loop's counters. It is safe for concurrent use.
func (l *EventLoop) Counters() *Counters { return l.counters }
