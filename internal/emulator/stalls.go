package emulator

// stalls are the periodic pauses of a server.
type stalls struct {
	every  Time // from one beginning to the next
	length Time
	phase  Time
}

// after is how long work takes that begins now, with the pauses that fall into it.
func (s *stalls) after(now, work Time) Time {
	if s.every <= 0 || s.length <= 0 || s.length >= s.every {
		return work
	}
	elapsed := Time(0)
	for work > 0 {
		offset := (now + elapsed + s.phase) % s.every
		if offset < s.length { // in a pause
			elapsed += s.length - offset
			continue
		}
		step := min(work, s.every-offset)
		elapsed += step
		work -= step
	}
	return elapsed
}
