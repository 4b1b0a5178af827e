package core

import "ringtrack.example/ringtrack/policy"

// Rotation counts the listed backends, and those of them that get no requests.
type Rotation struct {
	Listed      int
	Unavailable int // draining, cordoned by an operator, or Unhealthy to the balancer
}

// Rotation returns the published counts, which are at most rotationInterval old if Config.PublishRotation
// is set. It is safe for concurrent use and never blocks.
func (l *EventLoop) Rotation() Rotation {
	if r := l.rotation.Load(); r != nil {
		return *r
	}
	return Rotation{}
}

// publishRotation computes and publishes the counts.
func (l *EventLoop) publishRotation() {
	r := l.countRotation()
	l.rotation.Store(&r)
}

func (l *EventLoop) countRotation() (r Rotation) {
	unhealthy := map[policy.Addr]bool{}
	for _, view := range l.balancer.View(l.now(), nil) {
		unhealthy[view.Server] = view.State == policy.Unhealthy
	}
	for _, b := range l.endpoints.byID {
		if b.removed {
			continue
		}
		r.Listed++
		if b.unavailable.Load() || unhealthy[b.policyAddr] {
			r.Unavailable++
		}
	}
	return r
}
