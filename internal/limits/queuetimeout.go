package limits

// QueueTimeout bounds how long a request waits for room, as a part of its aim, by whether the queue is a burst or
// stands: a burst passes, and waiting it out serves all; in a queue that stands every request waits as long as
// it may, and then comes too late or is refused when its client has no time left to come back. It is the
// rule of adaptive LIFO with controlled delay ("Fail at Scale", ACM Queue 13(8), 2015): who finds a queue
// that has not been empty of late waits a few service times only.
//
// How far it goes to that depends on how much is refused: where a few in a hundred are, the queue is about to pass
// and to wait serves more (a full-size day at nine tenths of its capacity lost 2 points of 100 without this).
type QueueTimeout struct {
	emptyAt float64
	lost    float64 // part of the tries that ended unserved
}

const (
	// longest is the part of its aim that a request may wait in a burst: the rest is for its answer.
	longest = 0.4
	// serviceTimes is what it may wait in a queue that stands, in calm answer times.
	serviceTimes = 3.0
	// deep is the part of tries refused from which a queue that stands has the short wait, lostWeight the weight
	// of one try in it: the last 500 or so count.
	deep, lostWeight = 0.5, 0.002
)

// RequestEnded notes that a try ended, and whether it was served.
func (p *QueueTimeout) RequestEnded(served bool) {
	if served {
		p.lost -= lostWeight * p.lost
	} else {
		p.lost += lostWeight * (1 - p.lost)
	}
}

// QueueLength notes the queue's length after a decision.
func (p *QueueTimeout) QueueLength(now float64, length int) {
	if length == 0 {
		p.emptyAt = now
	}
}

// Standing tells whether the queue has not been empty for spanMs.
func (p *QueueTimeout) Standing(now, spanMs float64) bool { return now-p.emptyAt >= spanMs }

// Fraction is the part of its aim for which a request may wait: spanMs is how long a queue must last to count as
// standing, calm the mean answer time of uncrowded servers as a part of the aim, 0 while it is not known.
func (p *QueueTimeout) Fraction(now, spanMs, calm float64) float64 {
	if !(calm > 0) || !p.Standing(now, spanMs) {
		return longest
	}
	short := min(longest, serviceTimes*calm)
	return short + (longest-short)*max(1-p.lost/deep, 0)
}
