package policy

import "math"

const (
	// shedWindowRequests is the number of ended requests over which the fraction served in time is averaged.
	shedWindowRequests = 20.0
	// shedThresholdFactor sets the threshold of load shedding: no request is shed while at least
	// 1/shedThresholdFactor of them are served in time.
	shedThresholdFactor = 1.5
	// maxShedFraction is the upper bound of the fraction of requests that is shed.
	maxShedFraction = 0.8
	// underQuotaWeight is the fraction of the worst tenant's weight that is added to a request whose tenant
	// and class have been served well under their quota.
	underQuotaWeight = 0.3
	// minTenantUsage is the lower bound of the tenant's share of the requests that divides this weight.
	minTenantUsage = 0.02
	// recentKeyMs is how long after a key was sent its next request is likely to cost the server less.
	recentKeyMs = 3000.0
	// maxRecentKeys is the number of recently sent keys that are stored.
	maxRecentKeys = 2048
	// recentKeyPriorityFactor multiplies the priority of a request whose key was sent within recentKeyMs.
	recentKeyPriorityFactor = 2.0
	// minLatencyFraction is the fraction of its hinted answer time that a request must have left to be
	// admitted. It is below 1 because hints are rough, a recent key saves work, and some servers are
	// faster.
	minLatencyFraction = 0.7
)

// goodput holds moving sums, over the last shedWindowRequests, of the ended requests and of the value they
// earned. It counts the outcomes that indicate whether there is overload: served, shed, disconnected after
// the objective, and not retried after a rejection or a timeout. Requests that end in the queue, by an error
// or by a lost connection are not counted.
type goodput struct {
	ended  float64
	earned float64 // 1 for a request served in time, less for a late one
}

func newGoodput() goodput {
	return goodput{ended: shedWindowRequests / 2, earned: shedWindowRequests / 2}
}

// record counts an ended request and the fraction of its value, 0 to 1, that it earned.
func (g *goodput) record(earned float64) {
	g.ended += 1 - g.ended/shedWindowRequests
	g.earned += earned - g.earned/shedWindowRequests
}

// recordMany counts n ended requests at once, of which earned were served.
func (g *goodput) recordMany(n, earned float64) {
	if n > 0 {
		weight := 1 - math.Pow(1-1/shedWindowRequests, n)
		g.ended += weight * (shedWindowRequests - g.ended)
		g.earned += weight * (earned/n*shedWindowRequests - g.earned)
	}
}

// shedFraction returns the fraction of the requests to shed, 0 to maxShedFraction. When many requests are
// served too late, the servers are overloaded and their work is wasted; they recover only under less load.
// An agent that sends few requests cannot detect this for a single server, but can from all its requests.
func (g *goodput) shedFraction() float64 {
	return min(max(g.ended-shedThresholdFactor*g.earned, 0)/(g.ended+1), maxShedFraction)
}

// ShedFraction returns the fraction of the arriving requests that is to be shed.
func (b *Balancer) ShedFraction() float64 { return b.goodput.shedFraction() }

// classStats holds moving averages for each class of requests.
type classStats struct {
	latencyMs    []float64 // mean answer time
	requestShare []float64 // fraction of the arriving requests
	inTimeShare  []float64 // fraction of the arriving requests that are of the class and served in time
	worst        int       // class with the lowest fraction served in time
	meanPriority float64   // mean priority weight of a request
}

func newClassStats(classes []Class) classStats {
	var c classStats
	for i := range classes {
		c.latencyMs = append(c.latencyMs, classes[i].LatencyObjectiveMs*maxLatencyFraction/2)
		c.requestShare = append(c.requestShare, 1)
		c.inTimeShare = append(c.inTimeShare, 1)
	}
	return c
}

// countRequest counts an arriving request of the class.
func (c *classStats) countRequest(class int, classes []Class) {
	c.meanPriority = 0
	for i := range classes {
		c.requestShare[i] *= shareDecay
		c.inTimeShare[i] *= shareDecay
		if i == class {
			c.requestShare[i] += 1 - shareDecay
		}
		c.meanPriority += c.requestShare[i] * classes[i].PriorityWeight
	}
}

// recordInTime counts a request of the class that was served in time.
func (c *classStats) recordInTime(class int) { c.inTimeShare[class] += 1 - shareDecay }

// updateWorst finds the class with the lowest fraction served in time; a tie leaves the present one.
func (c *classStats) updateWorst() {
	for i := range c.inTimeShare {
		if c.inTimeShare[i]*c.requestShare[c.worst] < c.inTimeShare[c.worst]*c.requestShare[i] {
			c.worst = i
		}
	}
}

// recordLatency records the answer time of a request of the class, capped at twice its objective.
func (c *classStats) recordLatency(class int, latencyMs, objectiveMs float64) {
	c.latencyMs[class] = movingAverage(c.latencyMs[class], min(latencyMs, 2*objectiveMs), classLatencyWeight)
}

// usageShares holds the fraction of the requests that each tenant sends.
type usageShares []float64

// count counts a request of the tenant; an unknown tenant changes nothing.
func (u usageShares) count(tenant int) {
	if tenant < 0 || tenant >= len(u) {
		return
	}
	for i := range u {
		u[i] *= shareDecay
	}
	u[tenant] += 1 - shareDecay
}

// admit rejects an arriving request if load shedding selects it, or if its hinted work cannot finish within
// the objective on any server: a costly request would only delay the others.
func (b *Balancer) admit(r *request) {
	class := &b.settings.Classes[r.class]
	shed := b.shedder.Sheds(b.priority(r), b.goodput.shedFraction(), b.rng.Float64())
	if shed && !b.fairShare.UnderQuota(r.flow) {
		b.goodput.record(0)
		b.rejectOrFail(r, ReasonShed)
		return
	}
	hinted := minLatencyFraction * b.hints.predict(r.workHintMs)
	if r.workHintMs > 0 && class.LateCredit == 0 && hinted > r.objectiveAt-b.now {
		b.rejectOrFail(r, ReasonHintedWork)
	}
}

// priority returns what the objective function gains per unit of server time spent on the request: from the
// total, from the class term if its class is the worst, and from the tenant term if its tenant is under its
// quota.
func (b *Balancer) priority(r *request) float64 {
	class := &b.settings.Classes[r.class]
	objective := &b.settings.Objective
	value := class.PriorityWeight * (objective.Total + objective.WorstWindow)
	if r.class == b.classes.worst {
		value += objective.WorstClass * b.classes.meanPriority / b.classes.requestShare[r.class]
	}
	if b.now+b.expectedLatency(r) > r.objectiveAt {
		value *= class.LateCredit + b.settings.Prices.LateFailure
	}
	switch {
	case b.fairShare.OverQuota(r.flow):
		value *= b.settings.OverQuotaWeight
	case b.fairShare.UnderQuota(r.flow):
		usage := max(b.tenantUsage[r.tenant], minTenantUsage)
		value += underQuotaWeight * objective.WorstTenant * class.PriorityWeight / usage
	}
	if b.settings.PriorityUnit != priorityByWork {
		value /= b.classes.latencyMs[r.class]
	}
	if r.recentKey {
		value *= recentKeyPriorityFactor
	}
	return value
}

// isRecentKey reports whether the request's key was sent so recently that it likely costs its server less.
func (b *Balancer) isRecentKey(r *request) bool {
	return b.settings.ServerInfo.CacheKeys && b.recentKeys.Contains(b.now, r.key)
}

// flowOf returns the request's flow in the fair share, or -1 for an unknown tenant. Each class of a tenant is
// a separate flow with a share of the tenant's quota: otherwise the class of the highest priority would use
// up the quota of the others.
func (b *Balancer) flowOf(r *request) int {
	if r.tenant < 0 || r.tenant >= len(b.settings.Tenants) {
		return -1
	}
	return r.tenant*len(b.settings.Classes) + r.class
}

// flowWeights returns the weights of all flows: the tenant's quota multiplied by the class's share of the
// requests. The slice is valid until the next call.
func (b *Balancer) flowWeights() []float64 {
	b.flowWeightBuffer = b.flowWeightBuffer[:0]
	for i := range b.settings.Tenants {
		quota := b.settings.Tenants[i].QuotaWeight
		for _, requests := range b.classes.requestShare {
			b.flowWeightBuffer = append(b.flowWeightBuffer, quota*requests)
		}
	}
	return b.flowWeightBuffer
}
