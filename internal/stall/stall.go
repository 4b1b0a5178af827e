// Package stall tells when the process did not run, as it was stopped or got no processor. What it notices afterwards may
// have happened at any time since: a signal that was sent, or bytes that have arrived.
package stall

import (
	"context"
	"sync"
	"time"
)

const (
	// interval is how often a Watcher notes that the process runs.
	interval = 20 * time.Millisecond
	// minStall is the shortest time between two notes that counts as a stall.
	minStall = 3 * interval
	// noticeTime is how long after a stall its events may still be noticed.
	noticeTime = 50 * time.Millisecond
)

// Watcher knows the last stall of the process. Its methods are safe for concurrent use. A nil Watcher knows of none.
type Watcher struct {
	mu        sync.Mutex
	lastNote  time.Time
	stalledAt time.Time // the beginning and the end of the last stall; zero: there was none
	endedAt   time.Time
	report    func(length time.Duration) // see Report; nil: nobody wants to know
	reported  time.Time                  // end of the last stall that was reported
}

// Watch returns a Watcher that watches until ctx ends.
func Watch(ctx context.Context) *Watcher {
	w := &Watcher{lastNote: time.Now()}
	go w.run(ctx)
	return w
}

func (w *Watcher) run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if length, report := w.tick(time.Now()); report != nil {
			report(length)
		}
	}
}

// tick records that the process runs, and returns the function to report a stall to, and its length; nil: there is none.
func (w *Watcher) tick(now time.Time) (length time.Duration, report func(time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(now)
	if w.report == nil || !w.endedAt.After(w.reported) {
		return 0, nil
	}
	w.reported = w.endedAt
	return w.endedAt.Sub(w.stalledAt), w.report
}

// Report makes the watcher call a function behind each stall that ends from now on, with the stall's length.
func (w *Watcher) Report(report func(length time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report = report
	w.reported = time.Now()
}

// note records that the process runs. The lock is held.
func (w *Watcher) note(now time.Time) {
	if now.Sub(w.lastNote) >= minStall {
		w.stalledAt = w.lastNote
		w.endedAt = now
	}
	w.lastNote = now
}

// Earliest returns the earliest time at which something may have happened that is noticed now: now itself, or the
// beginning of a stall that ends now.
func (w *Watcher) Earliest(now time.Time) time.Time {
	if w == nil {
		return now
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastNote) >= minStall {
		w.note(now)
	}
	if w.stalledAt.IsZero() || now.Sub(w.endedAt) > noticeTime {
		return now
	}
	return w.stalledAt
}
