package policy

import "slices"

// request is a request of the client. It is stored until it is answered and has no open attempt. Times are in
// milliseconds of the caller's clock.
type request struct {
	id         RequestID
	class      int
	tenant     int
	key        uint64 // 0: none
	workHintMs float64
	flow       int // in the fair share; -1: none

	// Times.
	arrived      float64
	firstArrival float64 // arrival of the client's first attempt, as far as known
	objectiveAt  float64
	deadline     float64 // less a margin

	// Attempts.
	attempts       []*attempt
	openAttempts   int
	mayHaveRun     int     // attempts that may have run
	firstRunAt     float64 // when the first of these was sent
	firstRunServer *server
	reachedServer  bool

	// Selection.
	hashKey           uint64 // the key, or one of the parts that it is split into
	nearest           [nearestServers]*server
	nearestGeneration uint64  // tierGeneration when nearest was set
	tierWeight        float64 // total weight of the tier of the last selection
	priority          float64
	recentKey         bool // the key was sent recently
	anyServer         bool // has waited long enough for the servers nearest its key

	closed          bool // answered
	streamedBody    bool // the body is forwarded as it arrives, so it can be sent only once
	responseStarted bool // the client has received a part of the answer
}

// unservedRequest is the record of a request that was not served, used to recognise its retry.
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

// newRequest creates the request of an EventRequest.
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

// deadlineIn returns the deadline of a request with the given time left, less a margin for the interval at
// which the agent handles events.
func (b *Balancer) deadlineIn(remainingMs float64) float64 {
	return b.now + remainingMs - min(b.settings.BatchIntervalMs, remainingMs/4)
}

// onResponseStarted records that the client has received a part of the answer: the request cannot be retried.
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

// onBodyWritten starts the time of a streamed request and its attempt, as the last byte has now been sent.
func (b *Balancer) onBodyWritten(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].bodyPending {
		return
	}
	a := r.attempts[ev.Attempt]
	a.bodyPending = false
	a.sentAt = b.now
	a.onlyInflight = len(a.server.inflight) == 0
	b.addInflight(a)
	r.arrived = b.now
	r.firstArrival = b.now
	r.firstRunAt = b.now
	r.deadline = b.deadlineIn(ev.RemainingMs)
	r.objectiveAt = min(b.now+b.settings.Classes[r.class].LatencyObjectiveMs, r.deadline)
}

// onDeadlineShortened brings the deadline of a request forward; a later deadline is ignored.
func (b *Balancer) onDeadlineShortened(ev *Event) {
	if r := b.requests[ev.Request]; r != nil {
		r.deadline = min(r.deadline, b.deadlineIn(ev.RemainingMs))
		r.objectiveAt = min(r.objectiveAt, r.deadline)
	}
}

// onClientDisconnected finishes a request abandoned by its client. It counts as not served only if it was
// late: a client that disconnects earlier is no sign of overload.
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

// rejectOrFail answers a request that is not served. It is rejected if a retry by the client is safe, and
// failed otherwise. After the idempotency window a repeat would run again.
func (b *Balancer) rejectOrFail(r *request, reason RejectReason) {
	if r.closed || r.responseStarted {
		return
	}
	b.rememberUnserved(r)
	b.queueTimeout.RequestEnded(false)
	class := &b.settings.Classes[r.class]
	deduplicated := class.Effect == IdempotentByKey && class.DedupScope == ScopeAll
	retryIsSafe := r.mayHaveRun == 0 || class.Effect == Idempotent ||
		deduplicated && b.now-r.firstRunAt < class.IdempotencyWindowMs
	b.finish(r)
	if retryIsSafe {
		retryAfterMs := b.settings.Limits.MaxRetryAfterMs
		b.emit(Action{Kind: ActionReject, Request: r.id, DurationMs: retryAfterMs, Reason: reason})
	} else {
		b.emit(Action{Kind: ActionFail, Request: r.id, Reason: reason})
	}
}

// finish closes a request and cancels its open attempts. The request is dropped once none is open.
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

// rememberUnserved stores when an unserved request first arrived, if clients mark their retries: the
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

// firstArrivalOf returns the arrival of the first attempt of a retry and removes the record of it. If there
// is none, it returns the arrival of the retry.
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

// expectedLatency returns the mean answer time in ms of the request's class or, with a hint, of its work.
func (b *Balancer) expectedLatency(r *request) float64 {
	expected := b.classes.latencyMs[r.class]
	if hinted := b.hints.predict(r.workHintMs); hinted > 0 {
		expected = max(hinted, expected/4)
	}
	return expected
}

// objectiveFraction returns an answer time as a fraction of the latency objective, at most 2. The answer time
// of a request with more than the mean hinted work is scaled down to mean work; that of a smaller one is not
// scaled up, as most of it is network time.
func (b *Balancer) objectiveFraction(r *request, rttMs float64) float64 {
	fraction := rttMs / b.settings.Classes[r.class].LatencyObjectiveMs
	if r.workHintMs > 0 {
		fraction *= min(b.hints.meanArriving/r.workHintMs, 1)
	}
	return min(fraction, 2)
}

// workCost returns the work of a request in mean requests, at least one: hints are rough, and a server in
// slow start could otherwise be overloaded by requests that are hinted as small but are not.
func (b *Balancer) workCost(r *request) float64 {
	if r.workHintMs > b.hints.meanArriving {
		return r.workHintMs / b.hints.meanArriving
	}
	return 1
}
