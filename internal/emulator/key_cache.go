package emulator

// KeyCache describes the cache of a server: requests with a recently seen key take less work.
type KeyCache struct {
	SavedFraction float64 `toml:"gain"`   // fraction of the work that a hit saves
	TTLMs         float64 `toml:"for_ms"` // counted from the last request with the key
	KeysPerWorker int     `toml:"keys"`   // maximum number of cached keys
}

// recentKeys is the cache of a server; the least recently used key is evicted first.
type recentKeys struct {
	lastSeen map[uint64]Time
}

// observe records a request and returns the fraction of its work that remains to be done.
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

// evict removes the least recently used key except current; the smallest if there are several.
func (r *recentKeys) evict(current uint64) {
	oldest := current
	for key, seen := range r.lastSeen {
		if key == current {
			continue
		}
		oldestSeen := r.lastSeen[oldest]
		if oldest == current || seen < oldestSeen || seen == oldestSeen && key < oldest {
			oldest = key
		}
	}
	delete(r.lastSeen, oldest)
}
