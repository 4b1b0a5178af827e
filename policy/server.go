package policy

import "ringtrack.example/ringtrack/internal/concurrency"

// server is what the agent knows of one server. Times are in milliseconds of the caller's clock.
type server struct {
	addr       Addr
	hash       uint64  // of the address
	walkOffset float64 // 0 to 1: place in the order for requests without a key

	// As listed.
	zone        int
	cell        int
	weight      float64
	listedStart float64 // start of its process by the endpoint list
	ready       bool
	cordoned    bool // an operator wants nothing new there
	usable      bool // ready and not cordoned

	// Health.
	state              State
	stateSince         float64
	silent             bool    // ejected because it gave no answer at all
	connectFailedSince float64 // first failed connect since it last answered; 0: none
	ejections          int     // raised by each ejection, lowered by served attempts, at most maxEjections
	successes          int     // served attempts since ejections changed
	checking           bool
	failureRate        float64 // part of its attempts that fail
	respondedAt        float64 // last answer of any kind

	// Load.
	inflight           []*attempt // oldest first
	latency            float64    // mean answer time as a fraction of the latency objective
	samples            int        // answers in latency
	meanRTT            float64    // mean answer time in ms
	limit              concurrency.Limit
	loadReport         concurrency.LoadReport
	sentAt             float64 // last attempt
	sendInterval       float64 // mean time between attempts, in ms
	deprioritizedUntil float64 // last in its tier until then

	// Slow start.
	startedAt       float64 // listedStart, or later where a restart is assumed
	slowStartTokens float64 // work that may be sent to it, in mean requests

	score float64 // scratch of selectServer: the lowest is the nearest to the request's key
}

// recordSend notes an attempt that is sent to the server at now.
func (s *server) recordSend(now float64) {
	if s.sentAt > 0 {
		s.sendInterval = movingAverage(s.sendInterval, now-s.sentAt, serverAverageWeight)
	}
	s.sentAt = now
}

// recordLatency notes an answer time as a fraction of the latency objective.
func (s *server) recordLatency(latency float64) {
	s.samples++
	s.latency = movingAverage(s.latency, latency, max(serverAverageWeight, 1/float64(s.samples)))
}

// setState changes the state of a server.
func (b *Balancer) setState(s *server, to State) {
	if s.state > Unknown || to > Unknown {
		b.tierGeneration++
	}
	s.state = to
	s.stateSince = b.now
}

// recordResponse notes an answer of the server. One that no connect reached for long may be a new process
// that is not listed as such yet: its slow start begins now. Timeouts alone are no sign of that, an
// overloaded server has them too. Fast answers do not end the slow start: a server is fast while it has
// little load.
func (b *Balancer) recordResponse(s *server) {
	if s.connectFailedSince > 0 && b.now-s.connectFailedSince > b.settings.Contract.OverloadWindowMs {
		s.startedAt = b.now
		s.slowStartTokens = 0
		s.limit.Reset(1)
	}
	s.respondedAt = b.now
	s.connectFailedSince = 0
}

// hashAddr returns the address as a number; servers are ordered by it.
func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}
