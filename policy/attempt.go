package policy

import "slices"

// attempt is one transmission of a request to a server.
type attempt struct {
	request      *request
	server       *server
	index        int // in the request's attempts
	sentAt       float64
	onlyInflight bool    // this agent had no other attempt in flight on the server
	work         float64 // in mean requests
	done         bool
	// bodyPending says that a streamed body has not been sent completely. Until then the attempt does not
	// count as load of its server, and the server is not expected to answer.
	bodyPending bool
}

// send forwards the request to the server if maySend permits it, and reports whether it did.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{
		request:      r,
		server:       s,
		index:        len(r.attempts),
		sentAt:       b.now,
		onlyInflight: len(s.inflight) == 0,
		work:         b.workCost(r),
		bodyPending:  r.streamedBody,
	}
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if r.mayHaveRun == 0 {
		r.firstRunAt = b.now
		r.firstRunServer = s
	}
	r.mayHaveRun++
	if !a.bodyPending {
		b.addInflight(a)
	}
	s.recordSend(b.now)
	b.fleet.recordSend(b.now)
	if b.warmUpFraction(s) < 1 {
		s.slowStartTokens -= a.work
	}
	b.recentKeys.Add(b.now, r.key)
	b.emit(Action{Kind: ActionForward, Request: r.id, Server: s.addr, DurationMs: r.deadline - b.now})
	return true
}

// addInflight counts the attempt as load of its server.
func (b *Balancer) addInflight(a *attempt) {
	a.server.inflight = append(a.server.inflight, a)
	b.inflight++
}

// removeInflight removes an ended attempt from the load of its server.
func (b *Balancer) removeInflight(a *attempt) {
	if !a.bodyPending {
		b.inflight--
	}
	if i := slices.Index(a.server.inflight, a); i >= 0 {
		a.server.inflight = slices.Delete(a.server.inflight, i, i+1)
	}
}

// openAttempt returns the attempt that the event refers to, or nil if its request is unknown or it has ended.
func (b *Balancer) openAttempt(ev *Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return nil
	}
	return r.attempts[ev.Attempt]
}

// onAttemptEnded records the outcome of an attempt for its server, and finishes or retries its request.
func (b *Balancer) onAttemptEnded(ev *Event) {
	a := b.openAttempt(ev)
	if a == nil {
		return
	}
	r := a.request
	a.done = true
	r.openAttempts--
	b.removeInflight(a)
	if ev.Status.NeverRan() {
		r.mayHaveRun--
	}
	r.reachedServer = r.reachedServer || ev.Status != ConnectFailed && ev.Status != NotStarted
	rejected := 0.0
	if ev.Status == Rejected {
		rejected = 1
	}
	b.fleet.rejectionRate += fleetAverageWeight * (rejected - b.fleet.rejectionRate)
	b.recordOutcome(a, ev)
	b.closeConnections(a.server)
	if r.closed || r.responseStarted || ev.Final || ev.Status == OK {
		b.finish(r)
	} else {
		b.retry(r, ev.Status)
	}
}

// recordOutcome records the outcome of an attempt for its server.
func (b *Balancer) recordOutcome(a *attempt, ev *Event) {
	s := a.server
	switch ev.Status {
	case OK:
		b.recordFailure(s, 0)
		b.onServed(a, ev)
	case Error, Reset:
		b.recordFailure(s, 1)
		s.respondedAt = b.now
		b.eject(s, false)
	case ConnectFailed:
		// A host that refuses the connection is reachable; one that lets the connect time out is silent.
		b.recordFailure(s, 1)
		b.eject(s, ev.LatencyMs >= b.settings.Limits.ConnectTimeoutMs)
		if s.connectFailedSince == 0 {
			s.connectFailedSince = b.now
		}
	case Timeout:
		b.onTimeout(a, ev.LatencyMs)
	case Rejected:
		b.onServerRejected(s)
	}
}

// onTimeout records a timeout. A server that answered other attempts meanwhile is slow, not silent.
func (b *Balancer) onTimeout(a *attempt, latencyMs float64) {
	s := a.server
	b.recordLocality(s, true)
	b.deprioritize(s)
	if s.respondedAt > a.sentAt {
		b.hints.record(a.request.workHintMs, latencyMs)
		s.recordLatency(b.objectiveFraction(a.request, latencyMs))
	} else {
		b.eject(s, true)
	}
}

// onServerRejected records that the server rejected an attempt. The server still answers in time what it has
// accepted. An agent that sends it the next attempt soon adapts by the concurrency limit alone:
// deprioritizing the server would move its keys to servers that do not have them cached, and evict other keys
// there.
func (b *Balancer) onServerRejected(s *server) {
	s.respondedAt = b.now
	s.limit.Rejected(b.now)
	b.recordLocality(s, true)
	if b.fleet.sendInterval*float64(len(b.servers)) > b.minObjectiveMs {
		b.deprioritize(s)
	}
}

// onServed records a served attempt in the budgets and averages, then in the state and limit of its server.
func (b *Balancer) onServed(a *attempt, ev *Event) {
	s := a.server
	rttMs := ev.LatencyMs
	late := b.now > a.request.objectiveAt
	b.earnSlowStartTokens(s, a.work)
	b.retryBudget.earn()
	b.hints.record(a.request.workHintMs, rttMs)
	b.recordResponse(s)
	s.meanRTT = movingAverage(s.meanRTT, rttMs, serverAverageWeight)
	b.recordServedRequest(a, rttMs, late)
	s.loadReport.Update(b.now, b.reportFields, ev.Report)
	latency := b.objectiveFraction(a.request, rttMs)
	b.fleet.recordLatency(latency, b.baselineRiseWeight(a))
	s.recordLatency(latency)
	b.adjustKeylessLimit(latency, rttMs)
	if b.overloaded(s, ev.Report) || late {
		b.recordLocality(s, true)
		b.deprioritize(s)
	}
	if s.state == Unhealthy && a.sentAt < s.stateSince && !s.silent {
		return // sent before the failure, so it is no evidence that the server has recovered
	}
	if s.state != Connected {
		b.setState(s, Connected)
	}
	s.recordSuccesses(1)
	b.adjustLimit(s, rttMs, b.latencyLimit(s))
}

// recordServedRequest records a served attempt for the request's class and tenant and the server's zone.
func (b *Balancer) recordServedRequest(a *attempt, rttMs float64, late bool) {
	r := a.request
	class := &b.settings.Classes[r.class]
	b.classes.recordLatency(r.class, rttMs, class.LatencyObjectiveMs)
	earned := class.LateCredit
	if !late {
		b.recordLocality(a.server, false)
		b.classes.recordInTime(r.class)
		earned = 1
	}
	if !r.closed {
		b.goodput.record(earned)
		b.fairShare.Served(r.flow, b.flowWeights())
		b.queueTimeout.RequestEnded(true)
	}
}
