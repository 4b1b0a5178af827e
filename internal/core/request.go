package core

import (
	"log/slog"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// Request is a submitted call. The loop retains it until it is answered and no attempt is in flight.
type Request struct {
	id                policy.RequestID
	call              *Call
	answered          bool
	streaming         bool          // its reply is still being sent to the client
	narrowestClass    *policy.Class // strictest rules that applied since it was submitted; nil: never changed
	deadlineTimer     *time.Timer   // calls deadlineExceeded
	deadlineShortened bool          // by the shutdown of the process
	idClaimed         bool          // in Config.SharedIDs
	bodyPending       bool          // its streamed body has not been written completely

	attempts     []*attempt
	inFlight     int // attempts in flight
	mayHaveRun   int // attempts that are in flight or may have run
	bodyConsumed bool
	firstSentAt  time.Time       // with an idempotency key: when the first attempt that may have run was sent
	firstSentTo  policy.Endpoint // the endpoint of that attempt, as it was listed then
}

// class returns the class rules that apply to the request.
func (l *EventLoop) class(r *Request) *policy.Class {
	if r.narrowestClass != nil {
		return r.narrowestClass
	}
	return &l.cfg.Settings.Classes[r.call.Class]
}

// Submit passes a call to the balancer. A call with the id of another request fails. A call is rejected if
// its deadline has passed, if its downstream is at its connection limit, if it exceeds
// Limits.MaxOpenRequests, or if the server rules of the shared configuration have expired. It must be
// called in the loop.
func (l *EventLoop) Submit(c *Call) *Request {
	l.stats.Accepted++
	l.nextID++
	r := &Request{id: l.nextID, call: c}
	l.openRequests++
	l.counters.Open.Add(1)
	if l.requestsByClientID[c.ID] != nil || l.dedup.contains(time.Now(), c.ID) || !l.claimID(r) {
		l.complete(r, Answer{Outcome: Failed, Reason: Duplicate, Rule: policy.ReasonDuplicate})
		return r
	}
	c.Deadline = l.limitToShutdown(c.Deadline)
	left := time.Until(c.Deadline)
	if c.TimeAfterBody > 0 {
		left = c.TimeAfterBody
	}
	if reason := l.rejectAtArrival(r, left); reason != policy.ReasonNone {
		l.releaseID(r)
		l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs, reason)
		return r
	}
	l.requests[r.id] = r
	l.requestsByClientID[c.ID] = r
	left, untilDeadlineTimer := RequestTimeouts(left)
	if c.TimeAfterBody > 0 {
		r.bodyPending = true
		untilDeadlineTimer = l.untilBodyDeadline(c)
		c.onBodyWritten = func(deadline time.Time) { l.Post(func() { l.bodyWritten(r, deadline) }) }
	}
	r.deadlineTimer = time.AfterFunc(untilDeadlineTimer, func() {
		l.Post(func() { l.deadlineExceeded(r) })
	})
	l.handle(&policy.Event{
		Kind:         policy.EventRequest,
		Request:      r.id,
		Class:        c.Class,
		Tenant:       c.Tenant,
		Key:          c.Key,
		RemainingMs:  msFromDuration(left),
		WorkHintMs:   c.HintMs,
		HasWorkHint:  c.HasHint,
		Retry:        c.Retry,
		StreamedBody: c.TimeAfterBody > 0,
	})
	return r
}

// rejectAtArrival returns why a call is not passed to the balancer; ReasonNone: it is passed.
func (l *EventLoop) rejectAtArrival(r *Request, left time.Duration) policy.RejectReason {
	switch {
	case left <= 0:
		return policy.ReasonNoTime
	case l.receivedTooLate(r.call):
		return policy.ReasonShutdown
	case r.call.AtConnectionLimit:
		return policy.ReasonConnections
	case l.tooManyOpenRequests(), l.tooManyRecentIDs(r):
		return policy.ReasonOpenRequests
	case l.shared.rejecting(time.Now()):
		return policy.ReasonConfigExpired
	}
	return policy.ReasonNone
}

func (l *EventLoop) tooManyOpenRequests() bool {
	limit := l.cfg.Settings.Limits.MaxOpenRequests
	return limit > 0 && l.openRequests > limit
}

// tooManyRecentIDs reports whether the id of a request would have to be remembered, and there is no room for it.
func (l *EventLoop) tooManyRecentIDs(r *Request) bool {
	return l.dedup.mustTrack(l.class(r), r.call) && l.dedup.full(time.Now())
}

// untilBodyDeadline returns the time until the deadline of a streamed call whose body is not complete.
func (l *EventLoop) untilBodyDeadline(c *Call) time.Duration {
	deadline := c.Deadline
	if c.BodyDeadline != nil {
		deadline = earliest(deadline, c.BodyDeadline())
	}
	return time.Until(deadline) - deadlineTimerMargin
}

// bodyWritten sets the deadline of a streamed call, whose last byte was written to a backend.
func (l *EventLoop) bodyWritten(r *Request, deadline time.Time) {
	if r.answered {
		return
	}
	r.bodyPending = false
	r.call.Deadline = l.limitToShutdown(deadline)
	left, untilDeadlineTimer := RequestTimeouts(time.Until(r.call.Deadline))
	r.deadlineTimer.Reset(max(untilDeadlineTimer, 0))
	l.handle(&policy.Event{
		Kind:        policy.EventBodyWritten,
		Request:     r.id,
		Attempt:     len(r.attempts) - 1,
		RemainingMs: msFromDuration(max(left, 0)),
	})
}

// deadlineExceeded is called by the deadline timer. The balancer should have completed the request before,
// so this indicates a bug or a stall and is logged and counted, unless a shutdown shortened the deadline, or a backend
// did not read a streamed body.
func (l *EventLoop) deadlineExceeded(r *Request) {
	if r.answered {
		return
	}
	if left := l.untilBodyDeadline(r.call); r.bodyPending && left > 0 {
		r.deadlineTimer.Reset(left) // the client was waited for meanwhile
		return
	}
	if !r.deadlineShortened && !r.bodyPending {
		l.stats.DeadlineExceeded++
		l.log(slog.LevelWarn, "request deadline exceeded", "attempts", len(r.attempts), "in_flight", r.inFlight,
			"late_ms", msFromDuration(time.Since(r.call.Deadline.Add(-deadlineTimerMargin))))
	}
	l.complete(r, Answer{Outcome: Failed, Reason: DeadlineExceeded, Rule: policy.ReasonDeadline})
	l.abandon(r)
}

// ClientDisconnected ends a request whose client has closed its connection. It must be called in the loop.
func (l *EventLoop) ClientDisconnected(r *Request) {
	if r.answered {
		l.discardAnswer(r.call)
		return
	}
	l.stats.Disconnected++
	l.close(r)
	l.abandon(r)
}

// discardAnswer releases the resources of an answer that the downstream has not received.
func (l *EventLoop) discardAnswer(c *Call) {
	select {
	case a := <-c.Answer:
		l.bodyBudget.Release(a.ReservedBytes)
		if closeReply(a.Reply); isStreamed(a.Reply) {
			l.counters.CountStreamed(c.Class, Failed)
		}
	default:
	}
}

// abandon cancels the attempts of a request that was ended without the balancer, and notifies the balancer.
func (l *EventLoop) abandon(r *Request) {
	for _, a := range r.attempts {
		a.cancelIfInFlight()
	}
	l.handle(&policy.Event{Kind: policy.EventClientDisconnected, Request: r.id})
}

// reject answers a request as rejected, which tells the client that a retry is harmless. If an attempt may
// have run and a retry could do harm, the request fails instead.
func (l *EventLoop) reject(r *Request, retryAfterMs float64, reason policy.RejectReason) {
	if !MayReject(l.class(r), r.mayHaveRun) {
		l.reportViolation(ViolationRejectAfterRun)
		l.complete(r, Answer{Outcome: Failed})
		return
	}
	l.complete(r, Answer{Outcome: Rejected, RetryAfterMs: retryAfterMs, Rule: reason})
}

// complete sends the final answer. Only the first call for a request has an effect.
func (l *EventLoop) complete(r *Request, a Answer) {
	if r.answered {
		return
	}
	r.streaming = isStreamed(a.Reply)
	if !r.streaming { // a streamed reply is counted when it ends
		l.counters.Count(r.call.Class, a.Outcome)
	}
	l.counters.Unserved[a.Rule].Add(1)
	switch a.Outcome {
	case Served:
		l.stats.Served++
	case Rejected:
		l.stats.Rejected++
	case Failed:
		l.stats.Failed++
	}
	// The id is released first: a client may reuse it at another process as soon as it has the answer.
	l.close(r)
	r.call.Answer <- a
}

// close marks a request as answered and deletes it unless attempts are in flight.
func (l *EventLoop) close(r *Request) {
	if !r.answered {
		r.answered = true
		l.openRequests--
		if !r.streaming {
			l.counters.Open.Add(-1)
		}
	}
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	l.forget(r)
}

// forget deletes a request that is answered and has no attempt in flight. Its id is retained if it must not
// run again.
func (l *EventLoop) forget(r *Request) {
	if !r.answered || r.inFlight != 0 || l.requests[r.id] != r {
		return
	}
	delete(l.requests, r.id)
	delete(l.requestsByClientID, r.call.ID)
	if r.mayHaveRun > 0 && l.dedup.mustTrack(l.class(r), r.call) {
		l.dedup.add(time.Now(), r.call.ID)
		l.retainID(r)
	} else {
		l.releaseID(r)
	}
}
