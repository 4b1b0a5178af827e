package emulator

// stalls are the periodic pauses of a server.
type stalls struct {
	every  Time // from the start of one pause to the start of the next
	length Time
	phase  Time
}

// duration is the elapsed time of work that begins now, including the pauses that interrupt it.
func (s *stalls) duration(now, work Time) Time {
	if s.every <= 0 || s.length <= 0 || s.length >= s.every {
		return work
	}
	elapsed := Time(0)
	for work > 0 {
		offset := (now + elapsed + s.phase) % s.every
		if offset < s.length { // paused
			elapsed += s.length - offset
			continue
		}
		step := min(work, s.every-offset)
		elapsed += step
		work -= step
	}
	return elapsed
}
