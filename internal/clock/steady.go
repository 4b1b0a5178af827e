package clock

import "time"

var processStart = time.Now()

// rate is the speed of the steady clock relative to the machine's clock. Lab builds change it (lab.go).
var rate = 1.0

// offset returns the ms that are added to the steady clock. Lab builds change it, even while the process
// runs.
var offset = func() float64 { return 0 }

// Steady returns the monotonic time in ms that lease durations are measured with. It is unrelated to the wall
// clock and to the clocks of other processes. It advances while the process is stopped, but not while the
// machine is suspended.
func Steady() float64 {
	return float64(time.Since(processStart).Microseconds())/1000*rate + offset()
}

// At converts a time of the steady clock, in ms, to the time.Time that timers and contexts use.
func At(ms float64) time.Time {
	return time.Now().Add(time.Duration((ms - Steady()) / rate * float64(time.Millisecond)))
}
