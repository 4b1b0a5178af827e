package emulator

// Warm is what servers save on keys that they met of late.
type Warm struct {
	Gain  float64 `toml:"gain"`   // part of the work that is saved
	ForMs float64 `toml:"for_ms"` // since it was last met
	Keys  int     `toml:"keys"`   // most that are remembered for each worker
}

// memory is a server's of keys, the oldest given up first.
type memory struct {
	at map[uint64]Time
}

// met notes a key and tells the part of its work that is left.
func (m *memory) met(w *Warm, workers int, now Time, key uint64) float64 {
	if w.Gain <= 0 || key == 0 {
		return 1
	}
	if m.at == nil {
		m.at = map[uint64]Time{}
	}
	last, ok := m.at[key]
	if m.at[key] = now; len(m.at) > max(w.Keys*workers, 1) {
		oldest, first := key, true
		for k, t := range m.at {
			if k != key && (first || t < m.at[oldest] || t == m.at[oldest] && k < oldest) {
				oldest, first = k, false
			}
		}
		delete(m.at, oldest)
	}
	if ok && now-last < ns(w.ForMs) {
		return 1 - w.Gain
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
