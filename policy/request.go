package policy

import "slices"

// request is a request of the client. It is known until it is answered and none of its attempts is open.
// Times are in milliseconds of the caller's clock.
type request struct {
	id         RequestID
	class      int
	tenant     int
	key        uint64 // 0: none
	workHintMs float64
	flow       int // of the fair share; -1: none

	// Times.
	arrived      float64
	firstArrival float64 // when the client's first attempt arrived, as far as known
	objectiveAt  float64
	deadline     float64 // with a margin taken off

	// Attempts.
	attempts       []*attempt
	openAttempts   int
	mayHaveRun     int     // attempts that may have run
	firstRunAt     float64 // when the first of those was sent
	firstRunServer *server
	reachedServer  bool

	// Selection.
	hashKey           uint64 // the key, or one of the parts that it is split into
	nearest           [nearestServers]*server
	nearestGeneration uint64  // tierGeneration of nearest
	tierWeight        float64 // of the tier in which a server was last selected
	priority          float64
	recentKey         bool // its key was sent lately
	anyServer         bool // has waited long enough for the servers nearest its key

	closed          bool // answered
	streamedBody    bool // its body is forwarded as it arrives, so it can be sent once only
	responseStarted bool // a part of the answer is with the client
}

// unservedRequest is what is remembered of a request that was not served, to recognise its retry.
type unservedRequest struct {
	class        int
	key          uint64
	firstArrival float64
}

// onRequest queues an arriving request, unless it is rejected at once.
func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) || b.requests[ev.Request] != nil {
		return
	}
	r := b.newRequest(ev)
	b.requests[r.id] = r
	b.tenantUsage.count(r.tenant)
	b.classes.countRequest(r.class, b.settings.Classes)
	b.classes.updateWorst()
	b.healthChecks.earn()
	b.revalidateEjected()
	b.queued = append(b.queued, r)
	b.admit(r)
}

// newRequest returns the request of an event.
func (b *Balancer) newRequest(ev *Event) *request {
	r := &request{
		id:           ev.Request,
		class:        ev.Class,
		tenant:       ev.Tenant,
		key:          ev.Key,
		arrived:      b.now,
		firstArrival: b.now,
		streamedBody: ev.StreamedBody,
	}
	if ev.HasWorkHint && ev.WorkHintMs > 0 {
		r.workHintMs = ev.WorkHintMs
		b.hints.recordArrival(r.workHintMs)
	}
	r.deadline = b.deadlineIn(max(ev.RemainingMs, 0))
	if ev.Retry {
		r.firstArrival = b.firstArrivalOf(r)
	}
	class := &b.settings.Classes[r.class]
	objectiveAt := r.firstArrival + class.LatencyObjectiveMs + class.ObjectiveWorkFactor*r.workHintMs
	r.objectiveAt = min(objectiveAt, r.deadline)
	r.hashKey = b.hashKey(r.key)
	r.flow = b.flowOf(r)
	r.recentKey = b.isRecentKey(r)
	return r
}

// deadlineIn returns the deadline of a request with so much time left. A margin is taken off for the
// interval in which the agent handles events.
func (b *Balancer) deadlineIn(remainingMs float64) float64 {
	return b.now + remainingMs - min(b.settings.BatchIntervalMs, remainingMs/4)
}

// onResponseStarted notes that the client has got a part of the answer: the request cannot be retried.
func (b *Balancer) onResponseStarted(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed {
		return
	}
	r.responseStarted = true
	if ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		r.attempts[ev.Attempt].server.respondedAt = b.now
	}
}

// onBodyWritten starts the time of a streamed request and of its attempt: the server has the last byte now.
func (b *Balancer) onBodyWritten(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].bodyPending {
		return
	}
	a := r.attempts[ev.Attempt]
	a.bodyPending = false
	a.sentAt = b.now
	a.alone = len(a.server.inflight) == 0
	b.addInflight(a)
	r.arrived = b.now
	r.firstArrival = b.now
	r.firstRunAt = b.now
	r.deadline = b.deadlineIn(ev.RemainingMs)
	r.objectiveAt = min(b.now+b.settings.Classes[r.class].LatencyObjectiveMs, r.deadline)
}

// onDeadlineShortened leaves the request less time than announced before.
func (b *Balancer) onDeadlineShortened(ev *Event) {
	if r := b.requests[ev.Request]; r != nil {
		r.deadline = min(r.deadline, b.deadlineIn(ev.RemainingMs))
		r.objectiveAt = min(r.objectiveAt, r.deadline)
	}
}

// onClientDisconnected finishes a request that its client has given up. Only one that was late counts as
// not served: a client that disconnects sooner is no sign of overload.
func (b *Balancer) onClientDisconnected(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed {
		return
	}
	b.rememberUnserved(r)
	if r.openAttempts > 0 && b.now > r.objectiveAt {
		b.goodput.record(0)
	}
	b.finish(r)
}

// rejectOrFail answers a request that is not served: it is rejected where its class permits to say that a
// retry is harmless, and failed otherwise. After the idempotency window a repeat would run again.
func (b *Balancer) rejectOrFail(r *request, reason RejectReason) {
	if r.closed || r.responseStarted {
		return
	}
	b.rememberUnserved(r)
	b.queueTimeout.RequestEnded(false)
	class := &b.settings.Classes[r.class]
	dropsRepeats := class.Effect == IdempotentByKey && class.DedupScope == ScopeAll
	harmless := r.mayHaveRun == 0 || class.Effect == Idempotent ||
		dropsRepeats && b.now-r.firstRunAt < class.IdempotencyWindowMs
	b.finish(r)
	if harmless {
		retryAfterMs := b.settings.Limits.MaxRetryAfterMs
		b.emit(Action{Kind: ActionReject, Request: r.id, DurationMs: retryAfterMs, Reason: reason})
	} else {
		b.emit(Action{Kind: ActionFail, Request: r.id, Reason: reason})
	}
}

// finish closes a request and cancels its open attempts. It is forgotten when none is open.
func (b *Balancer) finish(r *request) {
	r.closed = true
	if i := slices.Index(b.queued, r); i >= 0 {
		b.queued = slices.Delete(b.queued, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.settings.Limits.Cancelling {
			b.emit(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}

// rememberUnserved remembers when an unserved request first arrived, where clients mark retries: the
// objective of a retry runs from that time.
func (b *Balancer) rememberUnserved(r *request) {
	if !b.settings.Clients.MarksRetry {
		return
	}
	b.unserved = slices.DeleteFunc(b.unserved, func(u unservedRequest) bool {
		return b.now-u.firstArrival > b.settings.Classes[u.class].ClientTimeoutMs
	})
	if len(b.unserved) < maxQueued {
		b.unserved = append(b.unserved, unservedRequest{
			class:        r.class,
			key:          r.key,
			firstArrival: r.firstArrival,
		})
	}
}

// firstArrivalOf returns when the first attempt of a retry arrived, and forgets it; if it is unknown, when
// the retry arrived.
func (b *Balancer) firstArrivalOf(r *request) float64 {
	i := slices.IndexFunc(b.unserved, func(u unservedRequest) bool {
		return u.class == r.class && u.key == r.key
	})
	if i < 0 {
		return r.arrived
	}
	firstArrival := b.unserved[i].firstArrival
	b.unserved = slices.Delete(b.unserved, i, i+1)
	return firstArrival
}

// expectedLatency returns the mean answer time of the request's class or, with a hint, of its work, in ms.
func (b *Balancer) expectedLatency(r *request) float64 {
	expected := b.classes.latencyMs[r.class]
	if hinted := b.hints.predict(r.workHintMs); hinted > 0 {
		expected = max(hinted, expected/4)
	}
	return expected
}

// objectiveFraction returns an answer time as a fraction of the latency objective, at most 2. With hints a
// costly request counts as one of mean work; a small one is not scaled up, as most of its time is the
// network's.
func (b *Balancer) objectiveFraction(r *request, rttMs float64) float64 {
	fraction := rttMs / b.settings.Classes[r.class].LatencyObjectiveMs
	if r.workHintMs > 0 {
		fraction *= min(b.hints.meanArriving/r.workHintMs, 1)
	}
	return min(fraction, 2)
}

// workCost returns the work of a request in mean requests, and never less than one: hints are rough, and a
// server in slow start would be sent requests that only look small.
func (b *Balancer) workCost(r *request) float64 {
	if r.workHintMs > b.hints.meanArriving {
		return r.workHintMs / b.hints.meanArriving
	}
	return 1
}
