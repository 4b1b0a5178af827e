package emulator

// delay returns the one-way delay of a message between two zones, or false if the message is lost.
func (w *World) delay(from, to int, answer bool) (Time, bool) {
	network := &w.scenario.Network
	ms := network.LocalMs
	if from != to {
		if w.partitioned[from] || w.partitioned[to] {
			return 0, false
		}
		ms = network.CrossMs
		if w.graph != nil {
			ms = w.graph.oneWayMs(from, to)
		}
	}
	if network.JitterMs > 0 {
		ms += network.JitterMs * w.netRng.ExpFloat64()
	}
	delay := fromMs(ms)
	if answer {
		delay += w.answerDelay[from]
	}
	return delay, true
}
