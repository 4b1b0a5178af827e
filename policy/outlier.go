package policy

import (
	"math"
)

const (
	// maxStrikes bounds the doubling of the ejection time.
	maxStrikes = 5
	// strayMost is the failure rate at which a server is an outlier, beyond strayFactor times that of all
	// servers: connections break, and answers come spoilt, from any server alike.
	strayMost = 0.2
	// strayFactor weighs the failure rate of all servers.
	strayFactor = 1.5
	// straySmooth is the weight of one attempt in the failure rate of a server.
	straySmooth = 0.15
	// silentAnswerTimes is the number of expected answer times after which a server without an answer is
	// silent; it is divided by its attempts in flight, up to silentMaxAttempts.
	silentAnswerTimes = 8
	// silentMaxAttempts bounds that divisor.
	silentMaxAttempts = 3
	// forgiveServed is the number of served attempts for each consecutive failure that takes one back.
	forgiveServed = 16
)

// demote makes a server Unhealthy. Failures of one moment count as one strike.
func (b *Balancer) demote(s *server, silent bool) {
	if s.state != Unhealthy {
		b.enter(s, Unhealthy)
		if s.silent = silent; silent || !b.stray(s) {
			s.strikes = min(s.strikes+1, maxStrikes)
			s.good, s.lat, s.samples = 0, 0, 0
			s.window.Halve()
		}
	}
	b.refetch()
}

// holdFor is how long a server stays Unhealthy before it is validated again: one
// aim for a stray failure, doubled with each further strike. While the others have
// no room there is none: a server that fails some requests is better than refusing
// them all. One that answers nothing is not.
func (b *Balancer) holdFor(s *server) float64 {
	if (b.scarce || b.stray(s)) && !s.silent {
		return b.lapse
	}
	return max(b.aimMin, b.lapse) * float64(int(1)<<max(s.strikes-1, 0))
}

// fails counts an attempt's end as a failure, or not, of the server and of them all.
func (b *Balancer) fails(s *server, x float64) {
	s.failing += straySmooth * (x - s.failing)
	b.failing += slowSmooth * (x - b.failing)
}

// stray tells whether the server fails no more than may happen to any.
func (b *Balancer) stray(s *server) bool {
	return s.failing < strayMost+strayFactor*b.failing
}

// forgive takes back strikes for n served attempts, and one for silence that has ended.
func (s *server) forgive(n int) {
	if s.silent {
		s.silent, s.strikes = false, max(s.strikes-1, 0)
	}
	if s.good += n; s.good >= forgiveServed*s.strikes {
		s.good, s.strikes = 0, max(s.strikes-1, 0)
	}
}

// watchSilence demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) watchSilence() {
	for _, s := range b.servers {
		if b.now >= b.silentSince(s) {
			b.demote(s, true)
		}
	}
}

// silentSince is when the server counts as silent, if it answers nothing until then.
func (b *Balancer) silentSince(s *server) float64 {
	if len(s.out) == 0 || s.state == Unhealthy {
		return math.Inf(1)
	}
	a := s.out[0]
	attempts := float64(min(len(s.out), silentMaxAttempts))
	return max(s.heard, a.sentAt) + b.expected(a.r)*silentAnswerTimes/attempts
}

// silentAt is when the first server does.
func (b *Balancer) silentAt() float64 {
	at := math.Inf(1)
	for _, s := range b.servers {
		at = min(at, b.silentSince(s))
	}
	return at
}

// revalidate is what each request triggers: servers that were Unhealthy long
// enough are refreshed to pending and validated in the background.
func (b *Balancer) revalidate() {
	for _, s := range b.servers {
		// One attempt that hangs must not keep out a server that answers the others.
		free := len(s.out) == 0 || !s.silent && b.stray(s)
		if s.state == Unhealthy && s.usable && free && b.now-s.since >= b.holdFor(s) {
			b.enter(s, UnhealthyPending)
			b.refetch()
		}
		pending := s.state == UnhealthyPending && s.usable
		if pending && b.set.Limits.HealthChecks && !s.probing && b.mayProbe >= 1 && b.probes < probeCap {
			s.probing = true
			b.probes++
			b.mayProbe--
			b.do(Action{Kind: ActionHealthCheck, Server: s.id})
		}
	}
}
