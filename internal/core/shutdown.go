package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

// ShutDown bounds all deadlines by that of the shutdown: open requests, and those submitted later, are
// answered by answerBy even if their own deadlines are later. Calls that were received after acceptUntil are rejected. It
// must be called in the loop.
func (l *EventLoop) ShutDown(acceptUntil, answerBy time.Time) {
	l.acceptUntil = acceptUntil
	l.shutdownDeadline = answerBy
	for _, r := range l.requests {
		if r.call.Deadline.After(answerBy) {
			l.shortenDeadline(r, answerBy)
		}
	}
}

// EndNow ends the time of an open call, which is then answered as at its deadline. It has no effect on one that was
// answered. It must be called in the loop.
func (l *EventLoop) EndNow(c *Call) {
	if r := l.requestsByClientID[c.ID]; r != nil && r.call == c {
		l.shortenDeadline(r, time.Now())
	}
}

// shortenDeadline gives an open request an earlier deadline.
func (l *EventLoop) shortenDeadline(r *Request, deadline time.Time) {
	if r.answered {
		return
	}
	left, untilDeadlineTimer := RequestTimeouts(time.Until(deadline))
	r.call.Deadline = deadline
	r.deadlineShortened = true
	r.deadlineTimer.Reset(max(untilDeadlineTimer, 0))
	l.handle(&policy.Event{
		Kind:        policy.EventDeadlineShortened,
		Request:     r.id,
		RemainingMs: msFromDuration(max(left, 0)),
	})
}

// limitToShutdown returns the deadline, or that of the shutdown if it is earlier.
func (l *EventLoop) limitToShutdown(deadline time.Time) time.Time {
	if l.shutdownDeadline.IsZero() {
		return deadline
	}
	return earliest(deadline, l.shutdownDeadline)
}

// receivedTooLate reports whether a call was received after the shutdown accepts calls. Its answer could be held up until
// the process is killed.
func (l *EventLoop) receivedTooLate(c *Call) bool {
	return !l.acceptUntil.IsZero() && c.ReceivedAt.After(l.acceptUntil)
}
