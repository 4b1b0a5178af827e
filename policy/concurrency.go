package policy

import (
	"math"
)

const (
	// firstWindow is the concurrency limit of a server of which nothing is known.
	firstWindow = 2.0
	// leastWindow is the lower bound of a limit: enough to see when the server recovers.
	leastWindow = 0.1
	// tipFactor is how many times the latency limit makes an overload severe: only then a limit may fall
	// below one attempt.
	tipFactor = 2.5
	// windowCut is the part of a limit that a decrease leaves.
	windowCut = 0.85
	// crowdShare is the part of the latency objective that the mean answer time of a server may take. The
	// rest is left for the spread around the mean.
	crowdShare = 0.5
	// crowdFactor is how many times the baseline latency makes a server overloaded.
	crowdFactor = 1.5
	// scarceFactor replaces it while requests find no capacity: then a queue costs less than a rejection.
	scarceFactor = 2.25
	// learnFor is the number of answers that set the baseline latency. No limit grows before.
	learnFor = 50
	// loadFactor is how many times the mean of the reported requests in flight makes a server overloaded.
	loadFactor = 1.5
	// trickleMost bounds the requests without a key that all agents together send to a server in one
	// latency objective while their limits are full.
	trickleMost = 2.0
)

// limit is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load, and need not fear to crowd a server that
// answers well within the aim; a calm taken too low would leave it idle. A cold server
// is slow before it is crowded (i5d0607: only cold ones were left). One that turns attempts away keeps its
// queue short by itself, and needs no bound but that.
func (b *Balancer) limit(s *server) float64 {
	if s.window.RecentlyRejected(b.now) {
		return crowdShare / b.ramp(s)
	}
	least, factor := 2*crowdShare/(2+float64(b.set.Replicas)), crowdFactor
	if b.scarce {
		factor = scarceFactor
	}
	return min(crowdShare, max(factor*b.calmLat, least)) / b.ramp(s)
}

// crowded tells whether a server reports well more requests than the mean of the others:
// the cap by what all agents have in flight there.
func (b *Balancer) crowded(s *server, report []float32) bool {
	x, told := b.fields.Inflight(report)
	if !told {
		return false
	}
	x /= s.weight
	b.load = mean(b.load, x, 4*slowSmooth)
	return x > loadFactor*b.load+1
}

// rest lets a crowded server miss about one turn of this agent. One that sees it twice a
// minute cannot follow its crowd by window; but all agents together send it less by the
// part of them that met it crowded.
func (b *Balancer) rest(s *server) {
	s.restUntil = b.now + min(b.gap*float64(len(b.servers)), b.set.Contract.SlowStartMs)*(0.5+b.rng.Float64())
}

// widen moves how many requests without a key this agent may have out in all. They go
// wherever there is room, so that an agent with few requests to each of many servers learns
// by all of them together what it learns of none alone: in a crowd each of hundreds of
// agents would else have one out at every server, and none of these would ever rest.
func (b *Balancer) widen(x, rtt float64) {
	b.lately = mean(b.lately, x, smooth/4)
	switch limit := min(crowdShare, crowdFactor*b.calmLat); {
	case b.answers <= learnFor:
	case b.lately > limit && b.now-b.mostAt > rtt:
		b.most, b.mostAt = max(min(b.most, float64(b.inflight+1))*windowCut, firstWindow), b.now
	case b.lately < limit && float64(b.inflight+2) > b.most:
		b.most += 1 / b.most
	}
}

// trickle is the time after which one more request without a key is sent though the window for them is
// full: what hangs in crowded servers up to its deadline tells nothing meanwhile, neither that they are
// calm again. All agents together send each server no more than trickleMost so in the least aim.
func (b *Balancer) trickle() float64 {
	n := float64(max(len(b.servers), 1))
	return b.aimMin * max(float64(b.agents())/(trickleMost*n), 1)
}

// calmRise is how fast calm follows longer answer times: hardly, or a crowd would
// become the measure. An attempt that was alone of its agent tells more the fewer
// agents there are, as those see most of the load: a lone agent that took quick first
// answers for calm would leave its servers idle for good.
func (b *Balancer) calmRise(a *attempt) float64 {
	if a.alone {
		return slowSmooth / min(2*math.Pow(float64(max(b.set.Replicas, 1)), 3), 250)
	}
	return slowSmooth / 250
}

// learn keeps a server's mean answer time.
func (b *Balancer) learn(s *server, x float64) {
	s.samples++
	s.lat = mean(s.lat, x, max(smooth, 1/float64(s.samples)))
}
