package core

import (
	"time"

	"ringtrack.example/ringtrack/policy"
)

// ShutDownBy bounds all deadlines by the end of the process: requests that are open, and those submitted later, are
// answered by then whatever their clients allow. It is called in the loop.
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

// limitToShutdown returns a deadline, or the end of the process where that is earlier.
func (l *EventLoop) limitToShutdown(deadline time.Time) time.Time {
	if l.shutdownDeadline.IsZero() {
		return deadline
	}
	return earliest(deadline, l.shutdownDeadline)
}
