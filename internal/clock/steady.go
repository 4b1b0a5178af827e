package clock

import "time"

var begun = time.Now()

// rate is by how much the steady clock runs faster than the machine's; a lab build changes it (lab.go).
var rate = 1.0

// offset is added to the steady clock, ms; a lab build changes it, also while the process runs.
var offset = func() float64 { return 0 }

// Steady is a time in ms that leases are counted by: it has no relation to the wall clock or to any other process and
// only advances, also while the process is stopped. A machine that is suspended stops it.
func Steady() float64 {
	return float64(time.Since(begun).Microseconds())/1000*rate + offset()
}

// At is when the steady clock will have reached ms, as timers have it.
func At(ms float64) time.Time {
	return time.Now().Add(time.Duration((ms - Steady()) / rate * float64(time.Millisecond)))
}
