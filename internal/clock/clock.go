// Package clock gives the time in the form that all deciders take it: Unix time in milliseconds that
// only advances, whatever is done to the wall clock.
package clock

import "time"

// Clock counts from the wall time of its making. The zero Clock is of no use; see New.
type Clock struct {
	started time.Time
	baseMs  float64
}

// New returns a clock that starts at the wall clock's present time.
func New() Clock {
	now := time.Now()
	return Clock{started: now, baseMs: float64(now.UnixMicro()) / 1000}
}

// Ms is Unix time in ms, with microseconds behind the point.
func (c Clock) Ms() float64 {
	return c.baseMs + float64(time.Since(c.started).Microseconds())/1000
}
