package core

import (
	"hash/maphash"
	"time"

	"ringtrack.example/ringtrack/policy"
)

const (
	// dedupWindow is the minimum time for which the id of a request that may have run is remembered: the
	// longest deadline that a client may set.
	dedupWindow = time.Minute
	// maxRecentIDs bounds the ids in both generations. An id takes about 20 bytes.
	maxRecentIDs = 1 << 19
	// maxWindowIDs is the number of ids within dedupWindow, 3,276 a second, from which on requests are rejected: the ids of
	// those that are open still fit, and none is dropped early.
	maxWindowIDs = maxRecentIDs/2 - maxRecentIDs/8
)

// recentIDs remembers the ids of completed requests that may have run and must not run again. A client may
// repeat an id by mistake, or because it never read the answer. The ids are stored as hashes in two
// generations; the older one is dropped as a unit. It is accessed by the loop only.
type recentIDs struct {
	seed         maphash.Seed
	current      map[uint64]struct{}
	previous     map[uint64]struct{}
	currentSince time.Time
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// mustTrack reports whether the id of a call has to be remembered: a client may repeat it, and the request
// must not run twice.
func (r *recentIDs) mustTrack(class *policy.Class, c *Call) bool {
	return class.Effect != policy.Idempotent && !c.Unique
}

func (r *recentIDs) add(now time.Time, id string) {
	r.rotate(now)
	if len(r.current) >= maxRecentIDs/2 {
		r.beginGeneration(now)
	}
	r.current[maphash.String(r.seed, id)] = struct{}{}
}

func (r *recentIDs) contains(now time.Time, id string) bool {
	r.rotate(now)
	if len(r.current) == 0 && len(r.previous) == 0 {
		return false
	}
	hash := maphash.String(r.seed, id)
	_, inCurrent := r.current[hash]
	_, inPrevious := r.previous[hash]
	return inCurrent || inPrevious
}

// full reports whether the id of a further request could not be remembered for dedupWindow.
func (r *recentIDs) full(now time.Time) bool {
	r.rotate(now)
	return len(r.current) >= maxWindowIDs
}

// rotate starts a new generation once the current one is older than dedupWindow.
func (r *recentIDs) rotate(now time.Time) {
	age := now.Sub(r.currentSince)
	if age < dedupWindow {
		return
	}
	r.beginGeneration(now)
	if age >= 2*dedupWindow {
		r.previous = nil // its newest id is older than dedupWindow
	}
}

func (r *recentIDs) beginGeneration(now time.Time) {
	r.previous = r.current
	r.current = map[uint64]struct{}{}
	r.currentSince = now
}
