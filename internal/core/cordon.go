package core

import "ringtrack.example/ringtrack/policy"

// Cordon stops new attempts to a backend, or permits them again. A cordon holds whatever the endpoint list says of
// the backend. It is called in the loop.
func (l *EventLoop) Cordon(id string, cordoned bool) {
	b := l.endpoints.setCordoned(id, cordoned)
	if b == nil {
		return
	}
	l.handle(&policy.Event{
		Kind:      policy.EventEndpointUpdate,
		Update:    policy.UpdateOtherSource,
		Endpoints: []policy.Endpoint{l.endpoints.endpoint(b)},
	})
	if cordoned {
		l.closeIdle(b)
	}
	l.handlePending()
	l.publishRotation()
}

// SetCordoned makes the given ids the cordoned ones, as another process of this agent has them. It is called in the
// loop.
func (l *EventLoop) SetCordoned(ids []string) {
	cordoned := map[string]bool{}
	for _, id := range ids {
		cordoned[id] = true
		l.Cordon(id, true)
	}
	for id := range l.endpoints.cordoned {
		if !cordoned[id] {
			l.Cordon(id, false)
		}
	}
}

// ReleaseCordon ends a cordon of this agent at the epoch whose shared configuration contains it, or has ended it. It
// is called in the loop.
func (l *EventLoop) ReleaseCordon(id string, epoch uint64) {
	if l.shared.epoch < epoch {
		l.shared.cordonReleases[id] = epoch
		return
	}
	l.Cordon(id, false)
}
