package emulator

// KeyCache is the work that servers save on keys of recent requests.
type KeyCache struct {
	SavedFraction float64 `toml:"gain"`   // of the work
	TTLMs         float64 `toml:"for_ms"` // since the last request with the key
	KeysPerWorker int     `toml:"keys"`   // maximum that is cached
}

// recentKeys are the keys that a server has cached; the oldest is evicted first.
type recentKeys struct {
	lastSeen map[uint64]Time
}

// observe records a request and returns the part of its work that has to be done.
func (r *recentKeys) observe(cache *KeyCache, workers int, now Time, key uint64) float64 {
	if cache.SavedFraction <= 0 || key == 0 {
		return 1
	}
	if r.lastSeen == nil {
		r.lastSeen = map[uint64]Time{}
	}
	last, cached := r.lastSeen[key]
	r.lastSeen[key] = now
	if len(r.lastSeen) > max(cache.KeysPerWorker*workers, 1) {
		r.evict(key)
	}
	if cached && now-last < fromMs(cache.TTLMs) {
		return 1 - cache.SavedFraction
	}
	return 1
}

// evict removes the oldest key, of several the smallest, but not the present one.
func (r *recentKeys) evict(present uint64) {
	oldest := present
	for key, seen := range r.lastSeen {
		if key == present {
			continue
		}
		oldestSeen := r.lastSeen[oldest]
		if oldest == present || seen < oldestSeen || seen == oldestSeen && key < oldest {
			oldest = key
		}
	}
	delete(r.lastSeen, oldest)
}
