package policy

import (
	"ringtrack.example/ringtrack/internal/concurrency"
)

// server is what the agent knows of one listed server.
type server struct {
	id        Addr
	hash      uint64
	ahead     float64 // how far on the agent's walk
	zone      int
	cell      int
	weight    float64
	listedAt  float64 // start of its process by the list
	startedAt float64 // the same, or later where a restart is assumed
	ready     bool    // listed as ready
	banned    bool    // by an operator
	usable    bool    // ready and not banned
	state     State
	since     float64 // when the state was entered
	silent    bool    // demoted for silence, not for an answer
	lostAt    float64 // first failed connect since it last answered; 0: none
	strikes   int     // how often it failed of late; sets the hold
	good      int     // served since the last change of strikes
	probing   bool
	out       []*attempt // attempts out, oldest first
	heard     float64    // when it last answered anything
	lat       float64    // mean answer time as a part of the aim
	samples   int
	window    concurrency.Limit
	load      concurrency.LoadReport
	sentAt    float64 // last attempt
	gap       float64 // mean time between attempts
	restUntil float64 // passed over in its tier
	rtt       float64 // mean answer time
	failing   float64 // part of its attempts that fail
	credit    float64 // work a cold server may still be sent
	score     float64 // place in a request's order; lower is nearer
}

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.epoch++
	}
	s.state, s.since = to, b.now
}

// heardFrom notes an answer. A server that no connect reached for long may be a new
// process, cold and not yet listed as such: it is ramped as if it had started now.
// Time-outs alone don't tell: crowded servers would be left to idle (i228a10).
// Quick answers do not clear it: a cold server is quick while it has little.
func (b *Balancer) heardFrom(s *server) {
	if s.lostAt > 0 && b.now-s.lostAt > b.set.Contract.OverloadWindowMs {
		s.startedAt, s.credit = b.now, 0
		s.window.Reset(1)
	}
	s.heard, s.lostAt = b.now, 0
}

func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}
