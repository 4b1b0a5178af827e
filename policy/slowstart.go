package policy

import (
	"math"
)

const (
	// coldBurst bounds the slow-start tokens that a server saves up, in mean requests. An agent with sparse
	// traffic saves up to twice as many.
	coldBurst = 1.0
	// coldMargin divides the share of a server in slow start: warm servers save up to three quarters of the
	// work by the keys they know, and the requests of an agent come in bursts.
	coldMargin = 4.0
	// slimMargin replaces it for sparse traffic, where chance evens out the bursts of many agents.
	slimMargin = 2.5
	// coldSpill is how many times its share an agent with sparse traffic earns a server: tokens for just
	// the share are often full when none of its keys comes, and missing when one does.
	coldSpill = 4.0
	// fewSends is the number of requests to a server during one slow start at which traffic counts as
	// half sparse.
	fewSends = 8.0
)

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) ramp(s *server) float64 {
	c := &b.set.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.startedAt != s.listedAt && age > c.PollIntervalMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*max(age, 0)/c.SlowStartMs
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted
// once for all decisions of a moment.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	b.warm, b.warmAt, b.warmEpoch = 0, b.now, b.epoch
	for _, s := range b.servers {
		if s.usable && s.state <= Unknown && b.ramp(s) == 1 {
			b.warm += s.weight
		}
	}
	return b.warm
}

// coldShare is the part of an even share that a server may be sent: of a cold one
// what keeps the contract, so that its keys move to it as it warms up, instead of
// waiting for it.
func (b *Balancer) coldShare(s *server) float64 {
	if k := b.ramp(s); k < 1 {
		return k * min(b.set.Contract.OverloadFactor/(coldMargin-(coldMargin-slimMargin)*b.few(s)), 1)
	}
	return 1
}

// few tells, from 0 to 1, how much this agent is one of many that send such a server few requests each.
// Who has sent nothing yet cannot tell.
func (b *Balancer) few(s *server) float64 {
	if b.flow <= 0 {
		return 0
	}
	return 1 / (1 + b.flow*s.weight/fewSends)
}

// earn keeps each cold server's credit: for all that warm servers have served it may
// get its share by weight and ramp. Then the servers' shares of all agents together
// stay in proportion to what they can do, without any agreement. What was only sent
// does not count: in a crowd it is many times what gets done (ifa9784: 6 attempts a
// request, most turned away, and 4 times its capacity sent to a cold server).
func (b *Balancer) earn(s *server, cost float64) {
	warm := b.warmWeight()
	if b.ramp(s) < 1 || warm == 0 {
		return
	}
	b.flow = b.flow*math.Exp((b.flowAt-b.now)/b.set.Contract.SlowStartMs) + cost/warm
	b.flowAt = b.now
	for _, o := range b.servers {
		if b.ramp(o) < 1 {
			few := b.few(o)
			earned := (1 + (coldSpill-1)*few) * cost * b.coldShare(o) * o.weight / warm
			o.credit = min(o.credit+earned, coldBurst*(1+few))
		}
	}
}

// wakes tells, where all servers are cold, whether one may get the request: as much of this agent as a warm
// one last got by its share, from the time before its start in which it could fall on, or, as one that has
// just started cannot know that, one at a time of all agents, by an answer's time and the server's share,
// each at a moment of its own. Without it such an agent refused all until the first server was warm.
func (b *Balancer) wakes(s *server, r *request) bool {
	share, cost := b.coldShare(s), b.cost(r)
	waited := b.now - max(s.sentAt, s.since-b.set.Contract.OverloadWindowMs)
	if max(s.credit, 0)+waited*b.flow*s.weight*share/b.set.Contract.SlowStartMs >= cost {
		return true
	}
	gap := float64(b.agents()) * max(b.expected(r), 1) / share
	return s.credit+(b.now-max(s.sentAt, s.since))/gap >= cost
}
