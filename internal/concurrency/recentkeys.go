package concurrency

// RecentKeys remembers the keys that were sent recently. It has two generations of at most maxKeys keys
// each: when the current one is full or older than the span, it replaces the previous one, whose keys are
// dropped.
type RecentKeys struct {
	spanMs            float64
	maxKeys           int
	current, previous map[uint64]float64 // when a key was sent
	currentSince      float64
}

// NewRecentKeys returns a RecentKeys that remembers keys for spanMs, and at most 2*maxKeys of them.
func NewRecentKeys(spanMs float64, maxKeys int) *RecentKeys {
	return &RecentKeys{
		spanMs:   spanMs,
		maxKeys:  maxKeys,
		current:  map[uint64]float64{},
		previous: map[uint64]float64{},
	}
}

// Add records that the key was sent. Key 0, which means no key, is ignored.
func (r *RecentKeys) Add(now float64, key uint64) {
	if key == 0 {
		return
	}
	_, known := r.current[key]
	if !known && len(r.current) >= r.maxKeys || now-r.currentSince > r.spanMs {
		r.current, r.previous = r.previous, r.current
		r.currentSince = now
		clear(r.current)
	}
	r.current[key] = now
}

// Contains reports whether the key was sent within the span.
func (r *RecentKeys) Contains(now float64, key uint64) bool {
	sentAt, ok := r.current[key]
	if !ok {
		sentAt, ok = r.previous[key]
	}
	return ok && now-sentAt < r.spanMs
}
