package core

import (
	"context"
	"time"

	"ringtrack.example/ringtrack/internal/panics"
	"ringtrack.example/ringtrack/policy"
)

// attempt is one forwarding of a request to a backend.
type attempt struct {
	backend *Backend
	cancel  context.CancelFunc // nil: the guard did not allow the attempt
	done    bool
}

func (a *attempt) cancelIfInFlight() {
	if !a.done && a.cancel != nil {
		a.cancel()
	}
}

// cancelAttempt cancels an attempt of a request if it is in flight.
func (l *EventLoop) cancelAttempt(id policy.RequestID, index int) {
	r := l.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) {
		return
	}
	r.attempts[index].cancelIfInFlight()
}

// forward starts an attempt if the guard allows it. An attempt that the guard blocks ends as NotStarted.
func (l *EventLoop) forward(action *policy.Action) {
	r := l.requests[action.Request]
	if r == nil {
		// The request was answered and dropped, so there is no state in which to count the attempt.
		l.reportViolation(ViolationCompleted)
		return
	}
	index := len(r.attempts)
	backend := l.endpoints.byPolicyAddr[action.Server]
	r.attempts = append(r.attempts, &attempt{backend: backend})
	until := r.call.Deadline.Add(-deadlineTimerMargin)
	now := time.Now()
	if action.DurationMs != 0 && r.call.TimeAfterBody == 0 {
		until = earliest(until, now.Add(durationFromMs(action.DurationMs)))
	}
	class := l.class(r)
	var retryUntil time.Time
	if r.mayHaveRun > 0 && class.Effect == policy.IdempotentByKey {
		retryUntil = r.firstSentAt.Add(RetryWindow(class))
	}
	if v := l.violation(r, backend, now, until, retryUntil); v != NoViolation {
		l.attemptNotAllowed(r, index, action.Server, v)
		return
	}
	if r.mayHaveRun == 0 && class.Effect == policy.IdempotentByKey {
		r.firstSentAt = now
		r.firstSentTo = l.endpoints.endpoint(backend)
	}
	// No attempt is in flight, so nothing reads these fields concurrently.
	r.call.RetryBefore = l.shared.startDeadline(index, retryUntil)
	r.call.Superseded.Store(false)
	r.call.Incarnation = backend.Incarnation()
	l.startAttempt(r, index, now, until)
}

// startAttempt runs an attempt of the upstream in a new goroutine.
func (l *EventLoop) startAttempt(r *Request, index int, now, until time.Time) {
	a := r.attempts[index]
	r.inFlight++
	r.mayHaveRun++
	a.backend.inFlight++
	ctx, cancel := context.WithCancel(l.ctx)
	a.cancel = cancel
	addr := a.backend.addr
	go func() {
		result := doAttempt(ctx, a.backend, addr, r.call, now, until)
		cancel()
		l.Post(func() { l.attemptEnded(r, index, &result) })
	}()
}

// doAttempt makes an attempt. If its code panics, the attempt may have run and its body can't be sent
// again.
func doAttempt(ctx context.Context, b *Backend, addr string, c *Call, now, until time.Time) (result Result) {
	defer panics.Recover("attempt", addr, func() {
		result = Result{Status: policy.Reset, LatencyMs: msFromDuration(time.Since(now)), BodyConsumed: c.TimeAfterBody > 0}
	})
	return c.Upstream.Do(ctx, b, addr, c, now, until)
}

// attemptNotAllowed ends an attempt that the guard blocked. Beyond MaxForwardActions the request fails.
func (l *EventLoop) attemptNotAllowed(r *Request, index int, server policy.Addr, v Violation) {
	l.reportViolation(v)
	r.attempts[index].done = true
	if len(r.attempts) > MaxForwardActions(l.cfg.Settings.Limits.MaxAttempts) {
		l.complete(r, Answer{Outcome: Failed})
		return
	}
	l.pendingEvents = append(l.pendingEvents, policy.Event{
		Kind:    policy.EventAttemptEnded,
		Request: r.id,
		Attempt: index,
		Server:  server,
		Status:  policy.NotStarted,
		Final:   r.answered,
	})
}

// violation checks the last attempt of a request against the contract before it starts. retryUntil is the
// time until which it may repeat an attempt that may have run; zero if it repeats none or has no such
// bound.
func (l *EventLoop) violation(r *Request, b *Backend, now, until, retryUntil time.Time) Violation {
	class := l.class(r)
	guard := Guard{
		Completed:    r.answered,
		Listed:       b != nil && b.addr != "",
		HasTime:      until.After(now),
		InFlight:     r.inFlight,
		MayHaveRun:   r.mayHaveRun,
		Attempts:     len(r.attempts),
		MaxAttempts:  l.cfg.Settings.Limits.MaxAttempts,
		Effect:       class.Effect,
		BodyConsumed: r.bodyConsumed,
	}
	guard.Unavailable = guard.Listed && b.unavailable.Load()
	if deadline := l.shared.startDeadline(len(r.attempts)-1, time.Time{}); !deadline.IsZero() {
		guard.LeaseExpired = !now.Before(deadline)
	}
	if guard.Listed && !retryUntil.IsZero() {
		to := l.endpoints.endpoint(b)
		guard.WindowExpired = now.After(retryUntil)
		guard.OutsideScope = !InDedupScope(class.DedupScope, &r.firstSentTo, &to)
	}
	return guard.Violation()
}

// attemptEnded handles the result of an attempt. A final result completes the request; the balancer decides
// about the others.
func (l *EventLoop) attemptEnded(r *Request, index int, result *Result) {
	a := r.attempts[index]
	a.done = true
	if result.Unconfirmed && l.class(r).Effect != policy.Idempotent {
		result.Status = policy.Error // it may have run
	}
	r.bodyConsumed = r.bodyConsumed || result.BodyConsumed
	a.backend.inFlight--
	r.inFlight--
	if result.Status.NeverRan() {
		r.mayHaveRun--
	}
	l.completeByResult(r, result)
	l.handle(&policy.Event{
		Kind:      policy.EventAttemptEnded,
		Request:   r.id,
		Attempt:   index,
		Server:    a.backend.policyAddr,
		Status:    result.Status,
		LatencyMs: result.LatencyMs,
		Final:     r.answered,
		Report:    result.Report,
	})
	l.forget(r)
	l.endpoints.forget(a.backend)
}

// completeByResult completes a request if the result of its attempt is final. Memory reserved for the reply
// is passed to the answer or released.
func (l *EventLoop) completeByResult(r *Request, result *Result) {
	switch {
	case r.answered:
		l.bodyBudget.Release(result.ReservedBytes)
		closeReply(result.Reply)
	case result.ClientDisconnected:
		// The downstream will detect the disconnect too, but later.
		l.ClientDisconnected(r)
	case result.Status == policy.OK:
		l.complete(r, Answer{Outcome: Served, Reply: result.Reply, ReservedBytes: result.ReservedBytes})
	case result.Status == policy.Cancelled && result.NoReplyExpected:
		l.complete(r, Answer{Outcome: Served})
	case result.Status == policy.Cancelled && result.BadRequest:
		// Every other backend would give the same answer.
		l.complete(r, Answer{Outcome: Failed, Reason: BadRequest, Reply: result.Reply, ReservedBytes: result.ReservedBytes})
	case result.IncompleteRequest:
		l.bodyBudget.Release(result.ReservedBytes)
		l.complete(r, Answer{Outcome: Failed, Reason: IncompleteRequest})
	case result.BodyConsumed:
		// The body is no longer available for another attempt.
		l.bodyBudget.Release(result.ReservedBytes)
		if MayReject(l.class(r), r.mayHaveRun) {
			l.complete(r, Answer{Outcome: Rejected, RetryAfterMs: l.cfg.Settings.Limits.MaxRetryAfterMs})
		} else {
			l.complete(r, Answer{Outcome: Failed})
		}
	default:
		l.bodyBudget.Release(result.ReservedBytes)
	}
}
