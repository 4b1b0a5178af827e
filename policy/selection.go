package policy

import (
	"math"
)

const (
	// BoundedLoadFactor is the constant c of consistent hashing with bounded loads: how far above its even
	// share of the agent's attempts a server may go before a request moves on to the next server in hash
	// order.
	BoundedLoadFactor = 3.0
	// leastCap is the lower bound of that factor while servers reject attempts.
	leastCap = 1.1
	// turnedWeight is how steeply the factor falls with the part of attempts that are rejected.
	turnedWeight = 60.0
	// keyWait is the part of its time to the objective that a request waits for one of the servers
	// nearest its key before it takes any other.
	keyWait = 0.25
	// keyServers is the number of those servers.
	keyServers = 2
	// passes is the number of passes over the servers: two for each of the three tiers.
	passes = 6
)

// rank is the server's tier for the request.
func (b *Balancer) rank(s *server, r *request) int {
	switch s.state {
	case Unhealthy:
		return 2
	case UnhealthyPending:
		// What must not run twice does not check a server while others are healthy.
		once := b.set.Classes[r.class].Effect == NonIdempotent && !b.stray(s)
		if once || b.set.Limits.HealthChecks && b.now-s.since < b.aimMin {
			return 1
		}
	}
	return 0
}

// pick walks the best tier that has anyone in the order of the key's hash and
// takes the first server that is under its cap and has room. Only servers that
// matter are scored, and none are sorted: with hundreds of them that took more than
// the agent's CPU share.
func (b *Balancer) pick(r *request) *server {
	if r.key == 0 && float64(b.inflight) >= b.most && b.now-b.sentAt < b.trickle() {
		return nil
	}
	waits := b.waits(r)
	for pass := range passes {
		// Of each tier those that rest come last, unless most do: then all are crowded.
		rank, rest := pass/2, pass%2 == 0
		tier, resting := b.tier[:0], 0.0
		r.tierWeight = 0
		var near [keyServers]*server
		for _, s := range b.servers {
			if b.rank(s, r) != rank || !b.maySend(r, s) {
				continue
			}
			if r.anywhere && !s.load.Idle(b.now, s.window.RecentlyRejected(b.now)) {
				continue
			}
			r.tierWeight += s.weight * b.ramp(s)
			if rest && b.now < s.restUntil {
				resting += s.weight * b.ramp(s)
				continue
			}
			if !waits && !b.hasRoom(s, r) {
				continue
			}
			s.score = b.score(r, s)
			tier = append(tier, s)
			for i, at := 0, s; i < keyServers && at != nil; i++ {
				if near[i] == nil || at.score < near[i].score {
					near[i], at = at, near[i]
				}
			}
		}
		b.tier = tier
		if r.tierWeight == 0 || rest && (len(tier) == 0 || resting > r.tierWeight/2) {
			continue // an empty tier passes down
		}
		if waits && len(tier) > keyServers {
			r.near, r.epoch = near, b.epoch
			tier = near[:]
		}
		var best *server
		for _, s := range tier {
			if (best == nil || s.score < best.score) && b.takes(s, r) {
				best = s
			}
		}
		return best
	}
	return nil
}

// waits tells whether the request still waits for the servers nearest its key.
func (b *Balancer) waits(r *request) bool {
	return r.key != 0 && !r.anywhere && len(r.attempts) == 0 && b.now-r.arrived < keyWait*(r.aimAt-r.arrived)
}

// takes tells whether the server is under its cap in the tier of the request's
// last pick and has room.
func (b *Balancer) takes(s *server, r *request) bool {
	share := s.weight * b.ramp(s) / r.tierWeight
	c := max(BoundedLoadFactor/(1+turnedWeight*b.turned), leastCap)
	return float64(len(s.out)) < math.Ceil(c*float64(b.inflight+1)*share) && b.hasRoom(s, r)
}

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and a cold server's credit, also for that one: all agents validate it.
func (b *Balancer) hasRoom(s *server, r *request) bool {
	switch {
	case s.state >= UnhealthyPending && (len(s.out) == 0 || !b.stray(s)):
		if len(s.out) > 0 {
			return false
		}
	case !s.window.Admits(len(s.out), b.now-s.sentAt, s.rtt):
		return false
	}
	return b.ramp(s) == 1 || s.credit >= b.cost(r) || b.warmWeight() == 0 && b.wakes(s, r)
}
