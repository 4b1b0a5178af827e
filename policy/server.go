package policy

import "ringtrack.example/ringtrack/internal/concurrency"

// server is the state of one server as known to the agent. Times are in milliseconds of the caller's clock.
type server struct {
	addr       Addr
	hash       uint64  // of the address
	ringOffset float64 // 0 to 1: place in the order for requests without a key

	// From the endpoint list.
	zone        int
	cell        int
	weight      float64
	listedStart float64 // start of its process
	ready       bool
	cordoned    bool // by an operator: it gets no new requests
	usable      bool // ready and not cordoned

	// Health.
	state              State
	stateSince         float64
	silent             bool    // ejected because it gave no answer at all
	connectFailedSince float64 // first failed connect since its last answer; 0: none
	ejections          int     // raised by ejections, lowered by served attempts; at most maxEjections
	successes          int     // served attempts since ejections changed
	checking           bool    // a health check is running
	failureRate        float64 // fraction of its attempts that fail
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
	deprioritizedUntil float64 // until then it is last in its tier

	// Slow start.
	startedAt       float64 // listedStart, or later if a restart is assumed
	slowStartTokens float64 // work that may be sent to it, in mean requests

	score float64 // scratch value of selectServer: the lowest is nearest to the request's key
}

// recordSend records an attempt that is sent to the server at now.
func (s *server) recordSend(now float64) {
	if s.sentAt > 0 {
		s.sendInterval = movingAverage(s.sendInterval, now-s.sentAt, serverAverageWeight)
	}
	s.sentAt = now
}

// recordLatency records an answer time as a fraction of the latency objective.
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

// recordResponse records an answer of the server. A server that could not be connected to for longer than the
// overload window may be a new process that the endpoint list does not show yet: its slow start begins now.
// Timeouts alone do not indicate that, as an overloaded server causes them too. Fast answers do not end the
// slow start: a server with little load is always fast.
func (b *Balancer) recordResponse(s *server) {
	if s.connectFailedSince > 0 && b.now-s.connectFailedSince > b.settings.Contract.OverloadWindowMs {
		s.startedAt = b.now
		s.slowStartTokens = 0
		s.limit.Reset(1)
	}
	s.respondedAt = b.now
	s.connectFailedSince = 0
}

// hashAddr returns the address as an integer. Servers are sorted by it.
func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}
