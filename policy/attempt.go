package policy

import (
	"slices"
)

// attempt is one send of a request.
type attempt struct {
	r      *request
	s      *server
	index  int
	sentAt float64
	alone  bool // no other of this agent was out on its server
	cost   float64
	done   bool
	// writing: its body still comes. It is no work of the server's yet, and no silence of it.
	writing bool
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{r: r, s: s, index: len(r.attempts), alone: len(s.out) == 0, sentAt: b.now,
		cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky == 0 {
		r.ranAt, r.ranOn = b.now, s
	}
	r.risky++
	if a.writing = r.stream; !a.writing {
		s.out = append(s.out, a)
		b.inflight++
	}
	if s.sentAt > 0 {
		s.gap = mean(s.gap, b.now-s.sentAt, smooth)
	}
	if b.sentAt > 0 {
		b.gap = mean(b.gap, b.now-b.sentAt, slowSmooth)
	}
	s.sentAt, b.sentAt = b.now, b.now
	if b.ramp(s) < 1 {
		s.credit -= a.cost
	}
	b.warmed.Add(b.now, r.key)
	b.do(Action{Kind: ActionForward, Request: r.id, Server: s.id, DurationMs: r.deadline - b.now})
	return true
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.s
	a.done = true
	r.open--
	if !a.writing {
		b.inflight--
	}
	if i := slices.Index(s.out, a); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	if ev.Status.NeverRan() {
		r.risky--
	}
	r.wrote = r.wrote || ev.Status != ConnectFailed && ev.Status != NotStarted
	turned := 0.0
	if ev.Status == Rejected {
		turned = 1
	}
	b.turned += slowSmooth * (turned - b.turned)
	b.judge(a, ev)
	b.hangUp(s)
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.further(r, ev.Status)
	}
}

// judge takes what an attempt's end says about its server.
func (b *Balancer) judge(a *attempt, ev *Event) {
	s := a.s
	switch ev.Status {
	case OK:
		b.fails(s, 0)
		b.served(a, ev)
	case Error, Reset:
		b.fails(s, 1)
		s.heard = b.now
		b.demote(s, false)
	case ConnectFailed:
		// One that says no is there; one that lets the connect run out is not.
		b.fails(s, 1)
		b.demote(s, ev.LatencyMs >= b.set.Limits.ConnectTimeoutMs)
		if s.lostAt == 0 {
			s.lostAt = b.now
		}
	case Timeout:
		// A server that answered others meanwhile is not to blame for a costly
		// request; it counts as slow.
		b.weighZone(s, true)
		b.rest(s)
		if s.heard > a.sentAt {
			b.learnHint(a.r, ev.LatencyMs)
			b.learn(s, b.partOfAim(a.r, ev.LatencyMs))
		} else {
			b.demote(s, true)
		}
	case Rejected:
		// What it holds it still answers in time. An agent that is soon back follows it by its
		// window: to let it rest would move its keys to where they are cold, and turn those away
		// that are at home there (colombo-main: 31 % of attempts turned away, 21 % without).
		s.heard = b.now
		s.window.Rejected(b.now)
		if b.weighZone(s, true); b.gap*float64(len(b.servers)) > b.aimMin {
			b.rest(s)
		}
	}
}

func (b *Balancer) served(a *attempt, ev *Event) {
	s, r, rtt := a.s, a.r, ev.LatencyMs
	b.earn(s, a.cost)
	b.again = min(b.again+RetryTokensPerSuccess, againMost)
	b.learnHint(r, rtt)
	b.heardFrom(s)
	s.rtt = mean(s.rtt, rtt, smooth)
	c := &b.set.Classes[r.class]
	b.expect[r.class] = mean(b.expect[r.class], min(rtt, 2*c.LatencyObjectiveMs), 4*slowSmooth)
	gain := c.LateCredit
	if b.now <= r.aimAt {
		b.weighZone(s, false)
		b.won[r.class] += 1 - fade
		gain = 1
	}
	if !r.closed {
		b.gain(gain)
		b.portions.Served(r.flow, b.weights())
		b.patience.RequestEnded(true)
	}
	s.load.Update(b.now, b.fields, ev.Report)
	x := b.partOfAim(r, rtt)
	b.answers++
	b.fleetLat = mean(b.fleetLat, x, max(slowSmooth, 1/b.answers))
	switch {
	case b.answers <= learnFor:
		// One quick answer must not set the measure, nor a crowd at the start (id08146).
		b.calmLat = min(b.fleetLat, crowdShare/2)
	case b.fleetLat < b.calmLat:
		b.calmLat = mean(b.calmLat, b.fleetLat, slowSmooth)
	default:
		b.calmLat = mean(b.calmLat, b.fleetLat, b.calmRise(a))
	}
	b.learn(s, x)
	b.widen(x, rtt)
	if late := b.now > r.aimAt; b.crowded(s, ev.Report) || late {
		b.weighZone(s, true)
		b.rest(s)
	}
	limit := b.limit(s)
	if s.state == Unhealthy && a.sentAt < s.since && !s.silent {
		return // sent before the failure: says nothing about what came after
	}
	if s.state != Connected {
		b.enter(s, Connected)
	}
	s.forgive(1)
	switch {
	case s.lat > limit:
		least := 1.0
		if s.lat > tipFactor*limit {
			least = leastWindow
		}
		s.window.Decrease(b.now, rtt, windowCut, least)
	case s.lat < limit && float64(len(s.out)+2) > s.window.Size() && b.answers > learnFor:
		s.window.Increase(b.now)
	}
}
