// Package clock provides the time that decisions are based on: Unix time in milliseconds that never goes
// back, even if the wall clock is changed, and a monotonic clock for leases.
package clock

import "time"

// Clock reads the wall clock once, when it is created, and advances monotonically from there. Use New to
// create one; the zero Clock is not valid.
type Clock struct {
	started time.Time
	baseMs  float64
}

// New returns a clock that starts at the current wall clock time.
func New() Clock {
	now := time.Now()
	return Clock{started: now, baseMs: float64(now.UnixMicro()) / 1000}
}

// Ms returns Unix time in ms, with a resolution of 1 µs.
func (c Clock) Ms() float64 {
	return c.baseMs + float64(time.Since(c.started).Microseconds())/1000
}
