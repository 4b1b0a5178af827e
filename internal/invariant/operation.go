package invariant

import "time"

// Effect describes whether an operation may be executed repeatedly.
type Effect string

// The effects, by the names that clients use.
const (
	Idempotent      Effect = "safe"
	IdempotentByKey Effect = "keyed"
	NonIdempotent   Effect = "unsafe"
)

// Outcome is how an attempt ended for its client.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
)

// Operation is the state of one operation over all attempts of its client.
type Operation struct {
	Name   string
	Effect Effect

	deadline   time.Time // of the attempt in flight
	inFlight   bool
	rejected   bool // the last attempt was rejected, which guarantees that the operation does not run
	executions int
	executedAt time.Time // of the first execution
	zone       string    // of the first execution
}

// AttemptStarted records that a client sent an attempt with the given deadline.
func (c *Checker) AttemptStarted(o *Operation, deadline time.Time) {
	c.Totals.Attempts++
	o.deadline = deadline
	o.inFlight = true
	o.rejected = false
}

// Answered records the answer to the attempt in flight.
func (c *Checker) Answered(o *Operation, outcome Outcome, at time.Time) {
	if !o.inFlight {
		c.violate(ruleAnswer, "%s: answered without an attempt in flight", o.Name)
		return
	}
	o.inFlight = false
	if late := at.Sub(o.deadline); late > c.Rules.AnswerSlack {
		c.Totals.Late++
		c.violate(ruleAnswer, "%s: answered %v after the deadline", o.Name, late)
	}
	switch outcome {
	case Served:
		c.Totals.Served++
		if o.executions == 0 {
			c.violate(ruleAnswer, "%s: answered as served, but never ran", o.Name)
		}
	case Rejected:
		c.Totals.Rejected++
		o.rejected = true
		if o.Effect == NonIdempotent && o.executions > 0 {
			c.violate(ruleExecution, "%s: rejected after it had run", o.Name)
		}
	case Failed:
		c.Totals.Failed++
	}
}

// Unanswered records that the connection of an attempt ended without an answer.
func (c *Checker) Unanswered(o *Operation) {
	if o.inFlight {
		o.inFlight = false
		c.violate(ruleAnswer, "%s: no answer before the connection ended", o.Name)
	}
}

// Close ends an attempt that is still in flight after its deadline and reports it as never answered.
func (c *Checker) Close(o *Operation, now time.Time) {
	if o.inFlight && now.Sub(o.deadline) > c.Rules.AnswerSlack {
		o.inFlight = false
		c.violate(ruleAnswer, "%s: never answered", o.Name)
	}
}

// Executed records that a server executed an operation. A repeat of an idempotency key within the window is
// deduplicated by the servers and does not count.
func (c *Checker) Executed(s *Server, o *Operation, at time.Time) {
	if o.executions > 0 {
		since := at.Sub(o.executedAt)
		switch {
		case o.Effect == NonIdempotent:
			c.violate(ruleExecution, "%s: ran twice, the second time at %s", o.Name, s.Name)
		case o.Effect == IdempotentByKey && c.Rules.ByZone && s.Zone != o.zone:
			c.violate(ruleExecution, "%s: ran a second time in zone %s, first in %s", o.Name, s.Zone, o.zone)
		case o.Effect == IdempotentByKey && since <= c.Rules.KeyWindow:
			return
		case o.Effect == IdempotentByKey:
			c.violate(ruleExecution, "%s: ran a second time %v after the first", o.Name, since)
		}
	} else {
		o.executedAt = at
		o.zone = s.Zone
	}
	if o.rejected && o.Effect == NonIdempotent {
		c.violate(ruleExecution, "%s: ran after it was rejected", o.Name)
	}
	o.executions++
}

// UnknownRequest records that a server ran an operation that no client sent.
func (c *Checker) UnknownRequest(s *Server, operation string) {
	c.violate(ruleExecution, "%s: ran at %s, sent by no client", operation, s.Name)
}
