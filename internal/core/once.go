package core

import (
	"hash/maphash"
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// dedupWindow is for how long, at the least, the id of a request that may have run is known: the longest time
	// that a client may give one (README, "Limits of the agent").
	dedupWindow = time.Minute
	// maxRecentIDs bounds the ids that are known at once, in two halves: with more than onceMost/2 of them in
	// onceFor the oldest are forgotten sooner. Each takes some 20 bytes.
	maxRecentIDs = 1 << 16
)

// recentIDs knows the ids of requests that are over and may have run, and must not run again. An id belongs to one
// request (protocol page, "The application to its agent"); a client that brings one a second time, by mistake or
// because it never read its answer, must not have the work done twice. It keeps hashes, in two halves of which
// the older is dropped as a whole. It belongs to the loop; the time is an argument.
type recentIDs struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	currentSince      time.Time // when now was begun
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// applies tells whether the id of a call may come again, and its work must not run twice.
func (o *recentIDs) applies(class *policy.Class, c *Call) bool {
	return class.Effect != policy.Idempotent && !c.Unique
}

// add notes an id.
func (o *recentIDs) add(now time.Time, id string) {
	o.rotate(now)
	o.current[maphash.String(o.seed, id)] = struct{}{}
}

// contains tells whether an id was noted.
func (o *recentIDs) contains(now time.Time, id string) bool {
	if o.rotate(now); len(o.current) == 0 && len(o.previous) == 0 {
		return false
	}
	h := maphash.String(o.seed, id)
	_, new := o.current[h]
	_, old := o.previous[h]
	return new || old
}

// rotate drops the older half once the younger one is full, or as old as ids are to be known.
func (o *recentIDs) rotate(now time.Time) {
	age := now.Sub(o.currentSince)
	if age < dedupWindow && len(o.current) < maxRecentIDs/2 {
		return
	}
	if o.previous = o.current; age >= 2*dedupWindow {
		o.previous = nil // the youngest of them is older than onceFor
	}
	o.current, o.currentSince = map[uint64]struct{}{}, now
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

// claimID takes a request's id from the agent's other processes, where there may be any.
func (l *EventLoop) claimID(r *Request) bool {
	if l.cfg.SharedIDs == nil || !l.dedup.applies(l.class(r), r.call) {
		return true
	}
	r.idClaimed = l.cfg.SharedIDs.Claim(r.call.ID)
	return r.idClaimed
}

// releaseID gives the id of a request back that has not run.
func (l *EventLoop) releaseID(r *Request) {
	if r.idClaimed {
		l.cfg.SharedIDs.Release(r.call.ID)
	}
}

// retainID has the id of a request known that is over and may have run.
func (l *EventLoop) retainID(r *Request) {
	if r.idClaimed {
		l.cfg.SharedIDs.Retain(r.call.ID)
	}
}
