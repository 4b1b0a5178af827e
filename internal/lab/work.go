package lab

import (
	"sync/atomic"
	"time"
)

// Work is how long a stand-in server takes for a request. The zero value takes no time.
type Work struct {
	each, every, more, begun atomic.Int64 // each and more in ns
}

// SetWork changes how long each request takes.
func (w *Work) SetWork(d time.Duration) { w.each.Store(int64(d)) }

// SetTail has every nth request take more; 0: none does.
func (w *Work) SetTail(every int64, more time.Duration) {
	w.more.Store(int64(more))
	w.every.Store(every)
}

// Do takes one request's time.
func (w *Work) Do() {
	d := time.Duration(w.each.Load())
	if every := w.every.Load(); every > 0 && w.begun.Add(1)%every == 0 {
		d += time.Duration(w.more.Load())
	}
	if d > 0 {
		time.Sleep(d)
	}
}
