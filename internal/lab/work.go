package lab

import (
	"sync/atomic"
	"time"
)

// Work simulates the time that a stand-in server takes for a request. The zero value takes no time.
type Work struct {
	base, tailEvery, tailExtra, count atomic.Int64 // base and tailExtra in nanoseconds
}

// SetWork sets how long each request takes.
func (w *Work) SetWork(d time.Duration) { w.base.Store(int64(d)) }

// SetTail adds extra time to one request per "every" requests, so that the latency has a tail; 0 turns this
// off.
func (w *Work) SetTail(every int64, extra time.Duration) {
	w.tailExtra.Store(int64(extra))
	w.tailEvery.Store(every)
}

// Do sleeps for the time of one request.
func (w *Work) Do() {
	d := time.Duration(w.base.Load())
	if every := w.tailEvery.Load(); every > 0 && w.count.Add(1)%every == 0 {
		d += time.Duration(w.tailExtra.Load())
	}
	if d > 0 {
		time.Sleep(d)
	}
}
