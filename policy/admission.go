package policy

import (
	"math"
)

const (
	// shedMemory is the number of ended requests over which the part served in time is averaged.
	shedMemory = 20.0
	// shedFactor is how many times the served part must fall short of all before requests are shed:
	// none are shed while at least 1/shedFactor of them are served in time.
	shedFactor = 1.5
	// shedMost bounds the part of requests that is shed.
	shedMost = 0.8
	// shortWorth is the part of the worst tenant's weight that is added to a request whose tenant and class
	// have been served well under their quota.
	shortWorth = 0.3
	// shortUsage is the least part of the requests by which that weight is divided.
	shortUsage = 0.02
	// warmMs is how long after a key was sent its next request is likely to cost the server less.
	warmMs = 3000.0
	// warmKeys is the number of such keys remembered.
	warmKeys = 2048
	// warmWorth is the factor of priority for such a request.
	warmWorth = 2.0
)

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	o := &b.set.Objective
	v := c.PriorityWeight * (o.Total + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.credit / b.asked[r.class]
	}
	if b.now+b.expected(r) > r.aimAt {
		v *= c.LateCredit + b.set.Prices.LateFailure
	}
	switch {
	case b.portions.OverQuota(r.flow):
		v *= b.set.OverQuotaWeight
	case b.portions.UnderQuota(r.flow):
		v += shortWorth * o.WorstTenant * c.PriorityWeight / max(b.usage[r.tenant], shortUsage)
	}
	if b.set.PriorityUnit != "work" {
		v /= b.expect[r.class]
	}
	if r.warm {
		v *= warmWorth
	}
	return v
}

// shed is the part of requests to refuse at once. Where much is served too late the
// servers are crowded and work for nothing, and only less load lets them recover; an
// agent that sees little knows no server's crowd, but its own part served in time.
func (b *Balancer) shed() float64 {
	return min(max(b.tried-shedFactor*b.gained, 0)/(b.tried+1), shedMost)
}

// ShedFraction is the part of what comes that is to be refused at once.
func (b *Balancer) ShedFraction() float64 { return b.shed() }

// gain counts an ended try and the part of its worth that it earned.
func (b *Balancer) gain(part float64) {
	b.tried += 1 - b.tried/shedMemory
	b.gained += part - b.gained/shedMemory
}

// gainMany counts n ended tries at once, and how many of them earned their worth.
func (b *Balancer) gainMany(n, earned float64) {
	if n > 0 {
		k := 1 - math.Pow(1-1/shedMemory, n)
		b.tried += k * (shedMemory - b.tried)
		b.gained += k * (earned/n*shedMemory - b.gained)
	}
}

// count keeps the tenants' shares of this agent's requests.
func (b *Balancer) count(tenant int) {
	if tenant < 0 || tenant >= len(b.usage) {
		return
	}
	for i := range b.usage {
		b.usage[i] *= fade
	}
	b.usage[tenant] += 1 - fade
}

// tally keeps the classes' shares of requests and of those served in time.
func (b *Balancer) tally(class int) {
	b.credit = 0
	for i, c := range b.set.Classes {
		b.asked[i] *= fade
		b.won[i] *= fade
		if i == class {
			b.asked[i] += 1 - fade
		}
		b.credit += b.asked[i] * c.PriorityWeight
	}
}

// flowOf is the flow of portions that the request belongs to. Each class has a part of its tenant's
// portion, as it asks for: a portion spent on the class of most worth would leave the others with none.
func (b *Balancer) flowOf(r *request) int {
	if r.tenant < 0 || r.tenant >= len(b.set.Tenants) {
		return -1
	}
	return r.tenant*len(b.set.Classes) + r.class
}

// weights are the flows'.
func (b *Balancer) weights() []float64 {
	b.flows = b.flows[:0]
	for _, t := range b.set.Tenants {
		for _, asked := range b.asked {
			b.flows = append(b.flows, t.QuotaWeight*asked)
		}
	}
	return b.flows
}
