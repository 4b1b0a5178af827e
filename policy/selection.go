package policy

import "math"

const (
	// BoundedLoadFactor is the constant c of consistent hashing with bounded loads: the multiple of its even
	// share of the agent's attempts that a server may have before a request moves on to the next server in
	// hash order.
	BoundedLoadFactor = 3.0
	// minBoundedLoadFactor is the lower bound of that factor while servers reject attempts.
	minBoundedLoadFactor = 1.1
	// rejectionWeight is how steeply the factor falls with the fraction of attempts that are rejected.
	rejectionWeight = 60.0
	// nearestWaitFraction is the fraction of its time to the objective for which a request waits for one of
	// the servers nearest its key before it may go to any other.
	nearestWaitFraction = 0.25
	// nearestServers is the number of servers nearest a key that its requests wait for.
	nearestServers = 2
)

// healthTier ranks servers for a request by their state. A tier is used if those before it are empty.
type healthTier int

const (
	tierHealthy healthTier = iota
	tierPending
	tierUnhealthy
	numHealthTiers // number of tiers
)

// candidates are the servers of a tier that may get a request, found by collectCandidates.
type candidates struct {
	servers             []*server
	nearest             [nearestServers]*server // those with the lowest scores, in order
	deprioritizedWeight float64                 // total weight of the deprioritized servers that were skipped
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

// selectServer returns the server for the request's next attempt, or nil if none has capacity: in the best
// tier that is not empty, the first server in hash order of the key that is under its bounded load.
// Deprioritized servers come last in their tier, unless most of the tier is deprioritized: then all of it is
// overloaded.
func (b *Balancer) selectServer(r *request) *server {
	if r.key == 0 && float64(b.inflight) >= b.keyless.max && b.now-b.fleet.sentAt < b.keylessProbeMs() {
		return nil
	}
	for tier := range numHealthTiers {
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
// request's tierWeight. To save time in large fleets only servers with capacity are scored, and none are
// sorted. For a request that waits for the servers nearest its key, servers without capacity are scored too.
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

// add appends a scored server and inserts it into the nearest ones.
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

// waitsForNearest reports whether the request still waits for the servers nearest its key. Moving on at once
// would not use what they have cached for the key, and would fill the caches of others while capacity is
// scarce.
func (b *Balancer) waitsForNearest(r *request) bool {
	return r.key != 0 && !r.anyServer && len(r.attempts) == 0 &&
		b.now-r.arrived < nearestWaitFraction*(r.objectiveAt-r.arrived)
}

// nearestAreFull reports whether the request waits for the servers nearest its key and none of them accepts
// it. The servers are those found by the request's last selection; it returns false until there was one.
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

// accepts reports whether the server has capacity and is under its bounded load in the tier of the request's
// last selection. While servers reject attempts the bound is lower: they have little spare capacity, and the
// requests of a key must move on before its server is full.
func (b *Balancer) accepts(s *server, r *request) bool {
	share := s.weight * b.warmUpFraction(s) / r.tierWeight
	factor := max(BoundedLoadFactor/(1+rejectionWeight*b.fleet.rejectionRate), minBoundedLoadFactor)
	return float64(len(s.inflight)) < math.Ceil(factor*float64(b.inflight+1)*share) && b.hasCapacity(s, r)
}

// hasCapacity reports whether the server may get one more request of this agent: one at a time until it is
// validated, then up to its concurrency limit. In slow start it needs tokens too, even to be validated, as
// all agents validate it at the same time.
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
