package concurrency

// RecentKeys remembers which keys were lately sent, in bounded memory: at most twice the given number of keys.
type RecentKeys struct {
	spanMs    float64
	most      int
	now, last map[uint64]float64 // when a key was sent; the newer and the older half
	since     float64
}

// NewRecentKeys remembers keys for spanMs, and most of them in each of two halves: one more, and the older half goes.
func NewRecentKeys(spanMs float64, most int) *RecentKeys {
	return &RecentKeys{spanMs: spanMs, most: most, now: map[uint64]float64{}, last: map[uint64]float64{}}
}

// Add notes that the key was sent; 0 is no key.
func (w *RecentKeys) Add(now float64, key uint64) {
	if key == 0 {
		return
	}
	if _, ok := w.now[key]; !ok && len(w.now) >= w.most || now-w.since > w.spanMs {
		w.now, w.last, w.since = w.last, w.now, now
		clear(w.now)
	}
	w.now[key] = now
}

// Contains tells whether the key was sent within spanMs.
func (w *RecentKeys) Contains(now float64, key uint64) bool {
	at, ok := w.now[key]
	if !ok {
		at, ok = w.last[key]
	}
	return ok && now-at < w.spanMs
}
