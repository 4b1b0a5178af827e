package core

import (
	"hash/maphash"
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// onceFor is for how long, at the least, the id of a request that may have run is known: the longest time
	// that a client may give one (README, "Limits of the agent").
	onceFor = time.Minute
	// onceMost bounds the ids that are known at once, in two halves: with more than onceMost/2 of them in
	// onceFor the oldest are forgotten sooner. Each takes some 20 bytes.
	onceMost = 1 << 16
)

// once knows the ids of requests that are over and may have run, and must not run again. An id belongs to one
// request (protocol page, "The application to its agent"); a client that brings one a second time, by mistake or
// because it never read its answer, must not have the work done twice. It keeps hashes, in two halves of which
// the older is dropped as a whole. It belongs to the loop; the time is an argument.
type once struct {
	seed     maphash.Seed
	now, old map[uint64]struct{}
	since    time.Time // when now was begun
}

func newOnce() *once {
	return &once{seed: maphash.MakeSeed(), now: map[uint64]struct{}{}}
}

// concerns tells whether the id of a call may come again, and its work must not run twice.
func (o *once) concerns(class *policy.Class, c *Call) bool {
	return class.Effect != policy.Idempotent && !c.Unique
}

// add notes an id.
func (o *once) add(now time.Time, id string) {
	o.turn(now)
	o.now[maphash.String(o.seed, id)] = struct{}{}
}

// has tells whether an id was noted.
func (o *once) has(now time.Time, id string) bool {
	if o.turn(now); len(o.now) == 0 && len(o.old) == 0 {
		return false
	}
	h := maphash.String(o.seed, id)
	_, new := o.now[h]
	_, old := o.old[h]
	return new || old
}

// turn drops the older half once the younger one is full, or as old as ids are to be known.
func (o *once) turn(now time.Time) {
	age := now.Sub(o.since)
	if age < onceFor && len(o.now) < onceMost/2 {
		return
	}
	if o.old = o.now; age >= 2*onceFor {
		o.old = nil // the youngest of them is older than onceFor
	}
	o.now, o.since = map[uint64]struct{}{}, now
}

// SharedIDs are the ids of requests that any process of the agent has taken. Its methods never wait.
type SharedIDs interface {
	// Claim takes an id; false: a request of another process has it, or had it and may have run.
	Claim(id string) bool
	// Release gives an id back whose request has not run.
	Release(id string)
	// Retain has an id known for a minute more.
	Retain(id string)
}

// claim takes a request's id from the agent's other processes, where there may be any.
func (l *EventLoop) claim(r *Request) bool {
	if l.cfg.SharedIDs == nil || !l.once.concerns(l.class(r), r.call) {
		return true
	}
	r.claimed = l.cfg.SharedIDs.Claim(r.call.ID)
	return r.claimed
}

// release gives the id of a request back that has not run.
func (l *EventLoop) release(r *Request) {
	if r.claimed {
		l.cfg.SharedIDs.Release(r.call.ID)
	}
}

// keep has the id of a request known that is over and may have run.
func (l *EventLoop) keep(r *Request) {
	if r.claimed {
		l.cfg.SharedIDs.Retain(r.call.ID)
	}
}
