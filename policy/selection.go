package policy

import "math"

const (
	// BoundedLoadFactor is the constant c of consistent hashing with bounded loads: how far above its even
	// share of the agent's attempts a server may go before a request moves on to the next server in hash
	// order.
	BoundedLoadFactor = 3.0
	// minBoundedLoadFactor is the lower bound of that factor while servers reject attempts.
	minBoundedLoadFactor = 1.1
	// rejectionWeight is how steeply the factor falls with the part of attempts that are rejected.
	rejectionWeight = 60.0
	// nearestWaitFraction is the part of its time to the objective that a request waits for one of the
	// servers nearest its key before it takes any other.
	nearestWaitFraction = 0.25
	// nearestServers is the number of those servers.
	nearestServers = 2
)

// healthTier ranks servers for a request by their state. A tier is used if those before it are empty.
type healthTier int

const (
	tierHealthy healthTier = iota
	tierPending
	tierUnhealthy
	healthTiers // their number
)

// candidates are the servers of a tier that may get a request, as collectCandidates found them.
type candidates struct {
	servers             []*server
	nearest             [nearestServers]*server // of servers, by score
	deprioritizedWeight float64                 // weight of those passed over as deprioritized
}

// tier returns the server's tier for the request.
func (b *Balancer) tier(s *server, r *request) healthTier {
	switch s.state {
	case Unhealthy:
		return tierUnhealthy
	case UnhealthyPending:
		// A request that must not run twice does not validate a server while others are healthy.
		mayValidate := b.settings.Classes[r.class].Effect != NonIdempotent || b.failureRateWithinBaseline(s)
		if !mayValidate || b.settings.Limits.HealthChecks && b.now-s.stateSince < b.minObjectiveMs {
			return tierPending
		}
	}
	return tierHealthy
}

// selectServer returns the server for the request's next attempt, or nil if none has capacity: of the best
// tier that is not empty the first one in the order of the key's hash that is under its bounded load.
// Deprioritized servers come last in their tier, unless most of it is deprioritized: then all are
// overloaded.
func (b *Balancer) selectServer(r *request) *server {
	if r.key == 0 && float64(b.inflight) >= b.keyless.max && b.now-b.fleet.sentAt < b.keylessTrickleMs() {
		return nil
	}
	for tier := range healthTiers {
		for _, skipDeprioritized := range []bool{true, false} {
			found := b.collectCandidates(r, tier, skipDeprioritized)
			if r.tierWeight == 0 {
				continue
			}
			if skipDeprioritized && (len(found.servers) == 0 || found.deprioritizedWeight > r.tierWeight/2) {
				continue
			}
			return b.firstAccepting(r, &found)
		}
	}
	return nil
}

// collectCandidates finds and scores the servers of the tier that may get the request, and sets the
// request's tierWeight. Only servers with capacity are scored, and none are sorted: both take time by the
// number of servers. A request that waits for the servers nearest its key has to know them even without
// capacity.
func (b *Balancer) collectCandidates(r *request, tier healthTier, skipDeprioritized bool) candidates {
	waits := b.waitsForNearest(r)
	found := candidates{servers: b.candidateBuffer[:0]}
	r.tierWeight = 0
	for _, s := range b.servers {
		if b.tier(s, r) != tier || !b.maySend(r, s) {
			continue
		}
		if r.anyServer && !s.loadReport.Idle(b.now, s.limit.RecentlyRejected(b.now)) {
			continue
		}
		weight := s.weight * b.warmUpFraction(s)
		r.tierWeight += weight
		if skipDeprioritized && b.now < s.deprioritizedUntil {
			found.deprioritizedWeight += weight
			continue
		}
		if !waits && !b.hasCapacity(s, r) {
			continue
		}
		s.score = b.score(r, s)
		found.add(s)
	}
	b.candidateBuffer = found.servers
	return found
}

// add appends a scored server and keeps the nearest ones in order.
func (c *candidates) add(s *server) {
	c.servers = append(c.servers, s)
	for i, next := 0, s; i < nearestServers && next != nil; i++ {
		if c.nearest[i] == nil || next.score < c.nearest[i].score {
			c.nearest[i], next = next, c.nearest[i]
		}
	}
}

// firstAccepting returns the candidate with the lowest score that accepts the request, or nil. While the
// request waits for the servers nearest its key, only these are considered.
func (b *Balancer) firstAccepting(r *request, found *candidates) *server {
	servers := found.servers
	if b.waitsForNearest(r) && len(servers) > nearestServers {
		r.nearest = found.nearest
		r.nearestGeneration = b.tierGeneration
		servers = r.nearest[:]
	}
	var best *server
	for _, s := range servers {
		if (best == nil || s.score < best.score) && b.accepts(s, r) {
			best = s
		}
	}
	return best
}

// waitsForNearest reports whether the request still waits for the servers nearest its key. Moving on at
// once would lose what they have cached for the key, and cache it elsewhere, just when capacity is scarce.
func (b *Balancer) waitsForNearest(r *request) bool {
	return r.key != 0 && !r.anyServer && len(r.attempts) == 0 &&
		b.now-r.arrived < nearestWaitFraction*(r.objectiveAt-r.arrived)
}

// nearestAreFull reports whether the request waits for the servers nearest its key, as they were found when
// it was last tried to send it, and none of them accepts it. Until they are found, it does not.
func (b *Balancer) nearestAreFull(r *request) bool {
	found := r.nearest[0] != nil && r.nearestGeneration == b.tierGeneration
	if !found || !b.waitsForNearest(r) {
		return false
	}
	for _, s := range r.nearest {
		if b.accepts(s, r) {
			return false
		}
	}
	return true
}

// accepts reports whether the server has capacity and is under its bounded load in the tier of the
// request's last selection. While servers reject attempts the bound is lower: they have little capacity
// beyond it, and a key must move on before its server is full.
func (b *Balancer) accepts(s *server, r *request) bool {
	share := s.weight * b.warmUpFraction(s) / r.tierWeight
	factor := max(BoundedLoadFactor/(1+rejectionWeight*b.fleet.rejectionRate), minBoundedLoadFactor)
	return float64(len(s.inflight)) < math.Ceil(factor*float64(b.inflight+1)*share) && b.hasCapacity(s, r)
}

// hasCapacity reports whether the server may get one more request of this agent: one at a time until it is
// validated, then by its concurrency limit; in slow start also by its tokens, even to validate it, as all
// agents do.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	unvalidated := s.state >= UnhealthyPending && (len(s.inflight) == 0 || !b.failureRateWithinBaseline(s))
	switch {
	case unvalidated && len(s.inflight) > 0:
		return false
	case !unvalidated && !s.limit.Admits(len(s.inflight), b.now-s.sentAt, s.meanRTT):
		return false
	}
	if b.warmUpFraction(s) == 1 || s.slowStartTokens >= b.workCost(r) {
		return true
	}
	return b.establishedWeight() == 0 && b.allowedWhileAllSlowStart(s, r)
}
