package policy

import "math"

const (
	// slowStartBurst bounds the slow-start tokens that a server saves up, in mean requests. An agent with
	// sparse traffic saves up to twice as many.
	slowStartBurst = 1.0
	// slowStartMargin divides the share of a server in slow start: the others save up to three quarters
	// of the work by the keys they know, and the requests of an agent come in bursts.
	slowStartMargin = 4.0
	// sparseSlowStartMargin replaces it for sparse traffic, where chance evens out the bursts of many
	// agents.
	sparseSlowStartMargin = 2.5
	// sparseEarnFactor is how many times its share an agent with sparse traffic earns a server: tokens for
	// just the share are often full when none of its keys comes, and missing when one does.
	sparseEarnFactor = 4.0
	// sparseRequestsPerServer is the number of requests to a server during one slow start at which traffic
	// counts as half sparse.
	sparseRequestsPerServer = 8.0
)

// slowStartState is what the tokens of servers in slow start are computed from.
type slowStartState struct {
	// flow is the work, in mean requests, served by a server of weight one that is not in slow start, as a
	// moving sum that decays over the slow-start time.
	flow   float64
	flowAt float64 // last change of flow

	// The weight of all healthy servers that are not in slow start, counted once for all decisions of a
	// time.
	establishedWeight     float64
	establishedAt         float64
	establishedGeneration uint64
}

// recordServed notes work served by servers of the given total weight.
func (st *slowStartState) recordServed(now, work, weight, slowStartMs float64) {
	st.flow = st.flow*math.Exp((st.flowAt-now)/slowStartMs) + work/weight
	st.flowAt = now
}

// warmUpFraction returns the part of its capacity, 0 to 1, that a server has by the contract: it rises
// linearly over the slow-start time. A start that was assumed and that the endpoint list does not confirm
// within a poll interval does not count.
func (b *Balancer) warmUpFraction(s *server) float64 {
	contract := &b.settings.Contract
	age := b.now - s.startedAt
	unconfirmed := s.startedAt != s.listedStart && age > contract.PollIntervalMs
	if s.startedAt <= 0 || age >= contract.SlowStartMs || unconfirmed {
		return 1
	}
	return contract.SlowStartMinCapacity + (1-contract.SlowStartMinCapacity)*max(age, 0)/contract.SlowStartMs
}

// establishedWeight returns the weight of the servers of the best tier that are not in slow start. It is
// counted once for all decisions of a time.
func (b *Balancer) establishedWeight() float64 {
	st := &b.slowStart
	if st.establishedAt == b.now && st.establishedGeneration == b.tierGeneration {
		return st.establishedWeight
	}
	st.establishedWeight = 0
	st.establishedAt = b.now
	st.establishedGeneration = b.tierGeneration
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.warmUpFraction(s) == 1 {
			st.establishedWeight += s.weight
		}
	}
	return st.establishedWeight
}

// loadShare returns the part of an even share that a server may be sent. In slow start it keeps the
// overload factor of the contract; the keys of the server move to it as it warms up, instead of waiting for
// it.
func (b *Balancer) loadShare(s *server) float64 {
	if capacity := b.warmUpFraction(s); capacity < 1 {
		margin := slowStartMargin - (slowStartMargin-sparseSlowStartMargin)*b.trafficSparsity(s)
		return capacity * min(b.settings.Contract.OverloadFactor/margin, 1)
	}
	return 1
}

// trafficSparsity returns from 0, much traffic, to 1 how few requests this agent sends to such a server. An
// agent with sparse traffic is one of many. It is 0 while nothing was served.
func (b *Balancer) trafficSparsity(s *server) float64 {
	if b.slowStart.flow <= 0 {
		return 0
	}
	return 1 / (1 + b.slowStart.flow*s.weight/sparseRequestsPerServer)
}

// initialSlowStartTokens returns a random part of one request. Of many agents that never earn a complete
// one as many then send one as together have earned one.
func (b *Balancer) initialSlowStartTokens() float64 { return b.rng.Float64() }

// earnSlowStartTokens gives the servers in slow start tokens for work that a server out of slow start has
// served, by their weight and load share: so the shares that all agents send stay in proportion without any
// coordination. Attempts that are only sent do not count: under overload they are many times what is
// served.
func (b *Balancer) earnSlowStartTokens(s *server, work float64) {
	established := b.establishedWeight()
	if b.warmUpFraction(s) < 1 || established == 0 {
		return
	}
	b.slowStart.recordServed(b.now, work, established, b.settings.Contract.SlowStartMs)
	for _, starting := range b.servers {
		if b.warmUpFraction(starting) < 1 {
			sparsity := b.trafficSparsity(starting)
			factor := 1 + (sparseEarnFactor-1)*sparsity
			earned := factor * work * b.loadShare(starting) * starting.weight / established
			starting.slowStartTokens = min(starting.slowStartTokens+earned, slowStartBurst*(1+sparsity))
		}
	}
}

// allowedWhileAllSlowStart reports whether the server may get the request while all servers are in slow
// start and none earns tokens. It gets as much of this agent as its share of the recent flow. An agent that
// has just started and knows no flow sends one request at a time of all agents, by an answer time and the
// server's share; without that it would reject all until the first server has its full capacity.
func (b *Balancer) allowedWhileAllSlowStart(s *server, r *request) bool {
	share := b.loadShare(s)
	cost := b.workCost(r)
	contract := &b.settings.Contract
	waited := b.now - max(s.sentAt, s.stateSince-contract.OverloadWindowMs)
	earned := waited * b.slowStart.flow * s.weight * share / contract.SlowStartMs
	if max(s.slowStartTokens, 0)+earned >= cost {
		return true
	}
	interval := float64(b.replicas()) * max(b.expectedLatency(r), 1) / share
	return s.slowStartTokens+(b.now-max(s.sentAt, s.stateSince))/interval >= cost
}
