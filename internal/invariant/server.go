package invariant

import (
	"slices"
	"time"
)

// Server is the state of one server over all of its processes.
type Server struct {
	Name string
	Zone string

	drainedAt time.Time // when its drain was published; zero: in service
	startedAt time.Time // zero: unknown, slow start is not checked
	capacity  float64   // requests per second after slow start
	received  []time.Time
}

// DrainPublished records that the server's drain or removal was published.
func (s *Server) DrainPublished(at time.Time) { s.drainedAt = at }

// InService records that the server is in service.
func (s *Server) InService() { s.drainedAt = time.Time{} }

// RequestReceived records that the first byte of a request reached a server.
func (c *Checker) RequestReceived(s *Server, at time.Time) {
	c.Totals.Received++
	if !s.startedAt.IsZero() && at.Sub(s.startedAt) <= c.Rules.SlowStart {
		s.received = append(s.received, at)
	}
	if s.drainedAt.IsZero() {
		return
	}
	after := at.Sub(s.drainedAt)
	c.Totals.LatestAfterDrain = max(c.Totals.LatestAfterDrain, after)
	if after > c.Rules.DrainGrace {
		c.violate(ruleDrain, "%s: a request %v after its drain", s.Name, after)
	}
}

// Started checks the slow start of the previous process of a server, and records the start of the next one.
func (c *Checker) Started(s *Server, at time.Time, capacity float64) {
	c.CheckSlowStart(s)
	s.startedAt = at
	s.capacity = capacity
	s.received = nil
}

// CheckSlowStart checks the requests that a server received in slow start.
func (c *Checker) CheckSlowStart(s *Server) {
	if overload := c.Overload(s); overload > c.Rules.OverloadFactor {
		c.violate(ruleSlowStart, "%s: received %.2f times its capacity in slow start, %v allowed",
			s.Name, overload, c.Rules.OverloadFactor)
	}
}

// Overload returns the largest number of requests that a server received in any window of its slow start,
// as a multiple of its capacity at the end of that window.
func (c *Checker) Overload(s *Server) float64 {
	if s.startedAt.IsZero() || s.capacity <= 0 {
		return 0
	}
	slices.SortFunc(s.received, func(x, y time.Time) int { return x.Compare(y) })
	worst := 0.0
	first := 0 // index of the first request in the window that ends with request i
	for i, at := range s.received {
		for at.Sub(s.received[first]) > c.Rules.Window {
			first++
		}
		age := at.Sub(s.startedAt)
		fraction := c.Rules.SlowStartMinCapacity + (1-c.Rules.SlowStartMinCapacity)*float64(age)/float64(c.Rules.SlowStart)
		capacity := s.capacity * fraction * c.Rules.Window.Seconds()
		worst = max(worst, (float64(i-first+1)-c.Rules.Burst)/capacity)
	}
	return worst
}
