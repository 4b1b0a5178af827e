package core

import (
	"log/slog"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// dispatch carries out the balancer's actions in order.
func (l *EventLoop) dispatch(actions []policy.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActionForward:
			l.forward(a)
		case policy.ActionCancel:
			l.cancelAttempt(a.Request, a.Attempt)
		case policy.ActionReject:
			if r := l.requests[a.Request]; r != nil {
				l.reject(r, a.DurationMs, a.Reason)
			}
		case policy.ActionFail:
			if r := l.requests[a.Request]; r != nil {
				l.complete(r, Answer{Outcome: Failed, Rule: a.Reason})
			}
		case policy.ActionTimer:
			l.startTimer(a.DurationMs, a.Token)
		case policy.ActionWatchEndpoints:
			if !l.watching {
				l.startWatch()
			}
		case policy.ActionFetchEndpoints:
			l.fetchEndpoints()
		case policy.ActionCloseIdle:
			if b := l.endpoints.byPolicyAddr[a.Server]; b != nil {
				l.closeIdle(b)
			}
		case policy.ActionLog:
			l.log(slog.LevelInfo, "balancer message", "text", a.Text)
		case policy.ActionHealthCheck:
			l.startHealthCheck(a.Server)
		}
	}
}

// startTimer raises EventTimer with the token after the given duration.
func (l *EventLoop) startTimer(durationMs float64, token uint32) {
	time.AfterFunc(durationFromMs(durationMs), func() {
		l.Post(func() { l.handle(&policy.Event{Kind: policy.EventTimer, Token: token}) })
	})
}

// closeIdle closes the idle connections to a backend.
func (l *EventLoop) closeIdle(b *Backend) {
	for _, u := range l.upstreams {
		u.CloseIdle(b)
	}
}
