package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

// ShutDownBy bounds all deadlines by that of the shutdown: open requests, and those submitted later, are
// answered by then even if their own deadlines are later. It must be called in the loop.
func (l *EventLoop) ShutDownBy(deadline time.Time) {
	l.shutdownDeadline = deadline
	left, untilDeadlineTimer := RequestTimeouts(time.Until(deadline))
	for _, r := range l.requests {
		if r.answered || !r.call.Deadline.After(deadline) {
			continue
		}
		r.call.Deadline = deadline
		r.deadlineShortened = true
		r.deadlineTimer.Reset(max(untilDeadlineTimer, 0))
		l.handle(&policy.Event{
			Kind:        policy.EventDeadlineShortened,
			Request:     r.id,
			RemainingMs: msFromDuration(max(left, 0)),
		})
	}
}

// limitToShutdown returns the deadline, or that of the shutdown if it is earlier.
func (l *EventLoop) limitToShutdown(deadline time.Time) time.Time {
	if l.shutdownDeadline.IsZero() {
		return deadline
	}
	return earliest(deadline, l.shutdownDeadline)
}
