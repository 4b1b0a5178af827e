package policy

import "math"

const (
	// slowStartBurst bounds the slow-start tokens that a server saves up, in mean requests. For an agent with
	// sparse traffic the bound is up to twice as high.
	slowStartBurst = 1.0
	// slowStartMargin divides the share of a server in slow start: other servers save up to three quarters
	// of the work through their caches, and the requests of an agent arrive in bursts.
	slowStartMargin = 4.0
	// sparseSlowStartMargin replaces slowStartMargin for sparse traffic, where the bursts of many agents
	// average out.
	sparseSlowStartMargin = 2.5
	// sparseEarnFactor is the multiple of its share that a server in slow start earns from sparse traffic:
	// with tokens for just the share the bucket is often full while none of the server's keys is requested,
	// and empty when one is.
	sparseEarnFactor = 4.0
	// sparseRequestsPerServer is the number of requests to a server during one slow start at which the
	// sparsity of traffic is one half.
	sparseRequestsPerServer = 8.0
)

// slowStartState holds what the tokens of servers in slow start are computed from.
type slowStartState struct {
	// servedWork is the work, in mean requests, served by a server of weight one that is not in slow start,
	// as a moving sum that decays over the slow-start time.
	servedWork   float64
	servedWorkAt float64 // last change of servedWork

	// The weight of all healthy servers that are not in slow start, cached for all decisions at the same
	// time.
	establishedWeight     float64
	establishedAt         float64
	establishedGeneration uint64
}

// recordServed records work served by servers of the given total weight.
func (st *slowStartState) recordServed(now, work, weight, slowStartMs float64) {
	st.servedWork = st.servedWork*math.Exp((st.servedWorkAt-now)/slowStartMs) + work/weight
	st.servedWorkAt = now
}

// warmUpFraction returns the fraction of its capacity, 0 to 1, that a server has according to the contract:
// it rises linearly over the slow-start time. An assumed restart that the endpoint list does not confirm
// within a poll interval is ignored.
func (b *Balancer) warmUpFraction(s *server) float64 {
	contract := &b.settings.Contract
	age := b.now - s.startedAt
	unconfirmed := s.startedAt != s.listedStart && age > contract.PollIntervalMs
	if s.startedAt <= 0 || age >= contract.SlowStartMs || unconfirmed {
		return 1
	}
	return contract.SlowStartMinCapacity + (1-contract.SlowStartMinCapacity)*max(age, 0)/contract.SlowStartMs
}

// establishedWeight returns the weight of the healthy servers that are not in slow start. It is cached for
// all decisions at the same time.
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

// loadShare returns the fraction of an even share that a server may be sent. In slow start it stays below the
// overload factor of the contract; as it also reduces the server's weight in hash order, keys move to the
// server gradually instead of waiting for its capacity.
func (b *Balancer) loadShare(s *server) float64 {
	if capacity := b.warmUpFraction(s); capacity < 1 {
		margin := slowStartMargin - (slowStartMargin-sparseSlowStartMargin)*b.trafficSparsity(s)
		return capacity * min(b.settings.Contract.OverloadFactor/margin, 1)
	}
	return 1
}

// trafficSparsity returns how few requests this agent sends to a server of this weight, from 0 for heavy
// traffic to 1 for hardly any; an agent with sparse traffic is one of many. It is 0 until a request has been
// served.
func (b *Balancer) trafficSparsity(s *server) float64 {
	if b.slowStart.servedWork <= 0 {
		return 0
	}
	return 1 / (1 + b.slowStart.servedWork*s.weight/sparseRequestsPerServer)
}

// initialSlowStartTokens returns a random fraction of one request. Of many agents that each earn less than
// one request, the expected number that send one is then what all of them have earned together.
func (b *Balancer) initialSlowStartTokens() float64 { return b.rng.Float64() }

// earnSlowStartTokens gives the servers in slow start tokens for work that a server not in slow start has
// served, by their weight and load share: this keeps the shares sent by all agents in proportion without
// coordination. Attempts that are sent but not served do not count: under overload there are many times more
// of them.
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

// allowedWhileAllSlowStart reports whether the server may get the request while all servers are in slow start
// and none earns tokens. The server gets its share of the work that this agent's servers served recently. An
// agent that has just started has no such record: all agents together then send a server about one request
// per answer time and share. Without that the agent would reject all requests until the first server has its
// full capacity.
func (b *Balancer) allowedWhileAllSlowStart(s *server, r *request) bool {
	share := b.loadShare(s)
	cost := b.workCost(r)
	contract := &b.settings.Contract
	waited := b.now - max(s.sentAt, s.stateSince-contract.OverloadWindowMs)
	earned := waited * b.slowStart.servedWork * s.weight * share / contract.SlowStartMs
	if max(s.slowStartTokens, 0)+earned >= cost {
		return true
	}
	interval := float64(b.replicas()) * max(b.expectedLatency(r), 1) / share
	return s.slowStartTokens+(b.now-max(s.sentAt, s.stateSince))/interval >= cost
}
