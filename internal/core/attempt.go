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

// cancelAttempt cancels an attempt of a request, where that is in flight.
func (l *EventLoop) cancelAttempt(id policy.RequestID, index int) {
	r := l.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) {
		return
	}
	r.attempts[index].cancelIfInFlight()
}

// forward begins an attempt, if the guard allows it. One that it does not allow ends as NotStarted.
func (l *EventLoop) forward(action *policy.Action) {
	r := l.requests[action.Request]
	if r == nil {
		// The request is answered and forgotten: there is nothing that the attempt could be counted on.
		l.reportViolation(ViolationCompleted)
		return
	}
	index := len(r.attempts)
	backend := l.endpoints.byAddr[action.Server]
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
	// No attempt is in flight that could read these two.
	r.call.RetryBefore = l.shared.startDeadline(index, retryUntil)
	r.call.Superseded.Store(false)
	l.startAttempt(r, index, now, until)
}

// startAttempt has the upstream make an attempt in a goroutine of its own.
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

// doAttempt makes an attempt. One whose code panics may have run, and its body can't be sent again.
func doAttempt(ctx context.Context, b *Backend, addr string, c *Call, now, until time.Time) (result Result) {
	defer panics.Recover("attempt", addr, func() {
		result = Result{Status: policy.Reset, LatencyMs: msFromDuration(time.Since(now)), BodyConsumed: c.TimeAfterBody > 0}
	})
	return c.Upstream.Do(ctx, b, addr, c, now, until)
}

// attemptNotAllowed ends an attempt that the guard does not allow. Beyond MaxForwardActions the request fails.
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

// violation checks the last attempt of a request against the contract before it begins. retryUntil is until when it
// may repeat an attempt that may have run; zero: it repeats none, or may do so at any time.
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

// attemptEnded takes the result of an attempt. A final one completes the request; the balancer decides on the rest.
func (l *EventLoop) attemptEnded(r *Request, index int, result *Result) {
	a := r.attempts[index]
	a.done = true
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
		Server:    a.backend.name,
		Status:    result.Status,
		LatencyMs: result.LatencyMs,
		Final:     r.answered,
		Report:    result.Report,
	})
	l.forget(r)
	l.endpoints.forget(a.backend)
}

// completeByResult completes a request whose attempt leaves nothing to decide. Memory reserved for the reply passes
// to the answer, or is released.
func (l *EventLoop) completeByResult(r *Request, result *Result) {
	switch {
	case r.answered:
		l.bodyBudget.Release(result.ReservedBytes)
		closeReply(result.Reply)
	case result.ClientDisconnected:
		// The downstream notices as well, but later.
		l.ClientDisconnected(r)
	case result.Status == policy.OK:
		l.complete(r, Answer{Outcome: Served, Reply: result.Reply, ReservedBytes: result.ReservedBytes})
	case result.Status == policy.Cancelled && result.NoReplyExpected:
		l.complete(r, Answer{Outcome: Served})
	case result.Status == policy.Cancelled && result.BadRequest:
		// Any other backend would answer the same.
		l.complete(r, Answer{Outcome: Failed, Reason: BadRequest, Reply: result.Reply, ReservedBytes: result.ReservedBytes})
	case result.IncompleteRequest:
		l.bodyBudget.Release(result.ReservedBytes)
		l.complete(r, Answer{Outcome: Failed, Reason: IncompleteRequest})
	case result.BodyConsumed:
		// No other attempt can be made.
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
