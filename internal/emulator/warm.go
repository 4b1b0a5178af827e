package emulator

// KeyCache is what servers save on keys that they met of late.
type KeyCache struct {
	SavedFraction float64 `toml:"gain"`   // part of the work that is saved
	TTLMs         float64 `toml:"for_ms"` // since it was last met
	KeysPerWorker int     `toml:"keys"`   // most that are remembered for each worker
}

// recentKeys is a server's of keys, the oldest given up first.
type recentKeys struct {
	lastSeen map[uint64]Time
}

// observe notes a key and tells the part of its work that is left.
func (m *recentKeys) observe(w *KeyCache, workers int, now Time, key uint64) float64 {
	if w.SavedFraction <= 0 || key == 0 {
		return 1
	}
	if m.lastSeen == nil {
		m.lastSeen = map[uint64]Time{}
	}
	last, ok := m.lastSeen[key]
	if m.lastSeen[key] = now; len(m.lastSeen) > max(w.KeysPerWorker*workers, 1) {
		oldest, first := key, true
		for k, t := range m.lastSeen {
			if k != key && (first || t < m.lastSeen[oldest] || t == m.lastSeen[oldest] && k < oldest) {
				oldest, first = k, false
			}
		}
		delete(m.lastSeen, oldest)
	}
	if ok && now-last < fromMs(w.TTLMs) {
		return 1 - w.SavedFraction
	}
	return 1
}

// stalls is a server that stands still for a while now and then.
type stalls struct {
	every, length, phase Time
}

// after is how long work takes that begins now, with the times at which the server stands still.
func (s *stalls) after(now, work Time) Time {
	if s.every <= 0 || s.length <= 0 || s.length >= s.every {
		return work
	}
	took := Time(0)
	for work > 0 {
		in := (now + took + s.phase) % s.every
		if in < s.length { // it stands still
			took += s.length - in
			continue
		}
		step := min(work, s.every-in)
		took += step
		work -= step
	}
	return took
}
