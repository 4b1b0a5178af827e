package core

import "ringtrack.example/ringtrack/policy"

// Cordon stops new attempts to a backend, or permits them again. A cordon applies whatever the endpoint
// list says about the backend. It must be called in the loop.
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

// SetCordoned replaces the set of cordoned ids with that of another process of this agent. It must be
// called in the loop.
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

// ReleaseCordon ends a cordon of this agent at the given epoch, whose shared configuration contains the
// cordon or has ended it. It must be called in the loop.
func (l *EventLoop) ReleaseCordon(id string, epoch uint64) {
	if l.shared.epoch < epoch {
		l.shared.cordonReleases[id] = epoch
		return
	}
	l.Cordon(id, false)
}
