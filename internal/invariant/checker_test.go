package invariant

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// at returns the time ms after the start of the test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestViolationsByRule(t *testing.T) {
	one, other := Server{Name: "s-1", Zone: "east"}, Server{Name: "s-2", Zone: "west"}
	for _, test := range []struct {
		name   string
		effect Effect
		byZone bool
		events func(c *Checker, o *Operation)
		want   map[int]int
	}{
		{"served in time", NonIdempotent, false, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Answered(o, Served, at(20))
		}, nil},
		{"answered within the slack", NonIdempotent, false, func(c *Checker, o *Operation) { c.Answered(o, Failed, at(1070)) }, nil},
		{"answered after the slack", NonIdempotent, false, func(c *Checker, o *Operation) { c.Answered(o, Failed, at(1071)) }, map[int]int{1: 1}},
		{"answered twice", NonIdempotent, false, func(c *Checker, o *Operation) {
			c.Answered(o, Failed, at(10))
			c.Answered(o, Failed, at(20))
		}, map[int]int{1: 1}},
		{"served without an execution", Idempotent, false, func(c *Checker, o *Operation) { c.Answered(o, Served, at(10)) }, map[int]int{1: 1}},
		{"never answered", Idempotent, false, func(c *Checker, o *Operation) { c.Close(o, at(1071)) }, map[int]int{1: 1}},
		{"still in flight", Idempotent, false, func(c *Checker, o *Operation) { c.Close(o, at(1070)) }, nil},
		{"connection ended", Idempotent, false, func(c *Checker, o *Operation) { c.Unanswered(o) }, map[int]int{1: 1}},
		{"ran twice, idempotent", Idempotent, false, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Executed(&other, o, at(20))
		}, nil},
		{"ran twice, not idempotent", NonIdempotent, false, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Executed(&other, o, at(20))
		}, map[int]int{2: 1}},
		{"key repeated in its window", IdempotentByKey, false, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Executed(&other, o, at(1210))
		}, nil},
		{"key repeated after its window", IdempotentByKey, false, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Executed(&other, o, at(1211))
		}, map[int]int{2: 1}},
		{"key repeated in another zone", IdempotentByKey, true, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Executed(&other, o, at(20))
		}, map[int]int{2: 1}},
		{"rejected after it ran", NonIdempotent, false, func(c *Checker, o *Operation) {
			c.Executed(&one, o, at(10))
			c.Answered(o, Rejected, at(20))
		}, map[int]int{2: 1}},
		{"ran after its rejection", NonIdempotent, false, func(c *Checker, o *Operation) {
			c.Answered(o, Rejected, at(10))
			c.Executed(&one, o, at(20))
		}, map[int]int{2: 1}},
		{"ran after its rejection and a retry", NonIdempotent, false, func(c *Checker, o *Operation) {
			c.Answered(o, Rejected, at(10))
			c.AttemptStarted(o, at(2000))
			c.Executed(&one, o, at(20))
		}, nil},
		{"ran without a client", NonIdempotent, false, func(c *Checker, o *Operation) { c.UnknownRequest(&one, "x") }, map[int]int{2: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := Checker{Rules: DefaultRules()}
			c.Rules.ByZone = test.byZone
			o := &Operation{Name: "op", Effect: test.effect}
			c.AttemptStarted(o, at(1000))
			test.events(&c, o)
			got, descriptions := c.Violations()
			if !maps.Equal(got, test.want) {
				t.Errorf("violations %v, want %v: %q", got, test.want, descriptions)
			}
		})
	}
}

func TestRequestsAfterADrain(t *testing.T) {
	c := Checker{Rules: DefaultRules()}
	s := &Server{Name: "s"}
	c.RequestReceived(s, at(0))
	s.DrainPublished(at(100))
	c.RequestReceived(s, at(350)) // the end of the grace period
	if got, descriptions := c.Violations(); len(got) != 0 {
		t.Errorf("violations in the grace period: %v, %q", got, descriptions)
	}
	c.RequestReceived(s, at(351))
	s.InService()
	c.RequestReceived(s, at(1000))
	if got, descriptions := c.Violations(); !maps.Equal(got, map[int]int{3: 1}) {
		t.Errorf("violations %v, want one of rule 3: %q", got, descriptions)
	}
	if c.Totals.LatestAfterDrain != 251*time.Millisecond || c.Totals.Received != 4 {
		t.Errorf("totals %+v", c.Totals)
	}
}

func TestRequestsInSlowStart(t *testing.T) {
	for _, test := range []struct {
		requests int // at once, at the start
		want     map[int]int
	}{
		// The capacity is 100 requests per second, 0.31 of that at the start; 2.5 times that and a burst of 4
		// are allowed.
		{81, nil},
		{82, map[int]int{4: 1}},
	} {
		t.Run(fmt.Sprint(test.requests), func(t *testing.T) {
			c := Checker{Rules: DefaultRules()}
			s := &Server{Name: "s"}
			c.Started(s, at(0), 100)
			for range test.requests {
				c.RequestReceived(s, at(0))
			}
			c.CheckSlowStart(s)
			if got, descriptions := c.Violations(); !maps.Equal(got, test.want) {
				t.Errorf("violations %v, want %v: %q", got, test.want, descriptions)
			}
		})
	}
}

func TestDescriptionsAreBounded(t *testing.T) {
	c := Checker{}
	for range 3 * maxDescriptions {
		c.UnknownRequest(&Server{Name: "s"}, "x")
	}
	if got, descriptions := c.Violations(); got[2] != 3*maxDescriptions || len(descriptions) != maxDescriptions {
		t.Errorf("%d violations, %d described", got[2], len(descriptions))
	}
}
