package core

import (
	"sync/atomic"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// Counters counts what the agent has done since its start, for operators. It may be read and written from any
// goroutine. A request counts once, when its one answer is given, or when a streamed answer has ended.
type Counters struct {
	Classes []ClassCounters // in the order of the settings
	Written atomic.Int64    // attempts written whole to backends
	Open    atomic.Int64    // requests taken that have no answer yet
}

// ClassCounters counts the answers to requests of one class.
type ClassCounters struct {
	Name                     string
	Served, Rejected, Failed atomic.Int64
}

func newCounters(classes []policy.Class) *Counters {
	t := &Counters{Classes: make([]ClassCounters, len(classes))}
	for i, c := range classes {
		t.Classes[i].Name = c.Name
	}
	return t
}

// Count counts one answer to a request of a class.
func (t *Counters) Count(class int, v Outcome) {
	c := &t.Classes[class]
	switch v {
	case Served:
		c.Served.Add(1)
	case Rejected:
		c.Rejected.Add(1)
	case Failed:
		c.Failed.Add(1)
	}
}

// CountStreamed counts a streamed answer, which has ended now.
func (t *Counters) CountStreamed(class int, v Outcome) {
	t.Count(class, v)
	t.Open.Add(-1)
}

// Rotation is how many backends there are and how many of them the agent avoids.
type Rotation struct {
	Listed      int
	Unavailable int // told to drain, banned by an operator, or held Unhealthy by the module
}

// Counters is the loop's count. It may be called from any goroutine.
func (l *EventLoop) Counters() *Counters { return l.counters }

// Rotation is how many backends there were publishEvery ago at the most, where the loop is Watched. It may be called from any goroutine, and
// waits for nobody.
func (l *EventLoop) Rotation() Rotation {
	if r := l.rotation.Load(); r != nil {
		return *r
	}
	return Rotation{}
}

// publishRotation counts backends as they are now.
func (l *EventLoop) publishRotation() {
	r := l.countRotation()
	l.rotation.Store(&r)
}

func (l *EventLoop) countRotation() (r Rotation) {
	avoided := map[policy.Addr]bool{}
	for _, v := range l.balancer.View(l.now(), nil) {
		avoided[v.Server] = v.State == policy.Unhealthy
	}
	for _, b := range l.endpoints.byID {
		if b.removed {
			continue
		}
		r.Listed++
		if b.unavailable.Load() || avoided[b.name] {
			r.Unavailable++
		}
	}
	return r
}

// Endpoints is all that is listed now, in no order, and the ids that were once. It is called in the loop.
func (l *EventLoop) Endpoints() (list membership.List, seen []string) {
	return l.endpoints.list(l.revision)
}

// Known tells whether a backend of this id is, or was ever, listed. It is called in the loop.
func (l *EventLoop) Known(id string) bool { return l.endpoints.known(id) }

// Cordon has nothing new sent to a backend, or ends that; a ban holds whatever the list says of the backend
// meanwhile. It is called in the loop.
func (l *EventLoop) Cordon(id string, on bool) {
	b := l.endpoints.cordon(id, on)
	if b == nil {
		return
	}
	l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateOtherSource, Endpoints: []policy.Endpoint{l.endpoints.endpoint(b)}})
	if on {
		l.closeIdle(b)
	}
	l.handlePending()
	l.publishRotation()
}

// SetCordoned makes the given ids the banned ones: another process of this agent may have been told. It is
// called in the loop.
func (l *EventLoop) SetCordoned(ids []string) {
	banned := map[string]bool{}
	for _, id := range ids {
		banned[id] = true
		l.Cordon(id, true)
	}
	for id := range l.endpoints.cordoned {
		if !banned[id] {
			l.Cordon(id, false)
		}
	}
}
