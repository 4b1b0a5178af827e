package limits

const (
	// burstFraction is the part of its latency objective that a request may wait in a burst. The rest is for
	// its answer.
	burstFraction = 0.4
	// standingAnswerTimes is what it may wait in a standing queue, in answer times of servers that are not
	// overloaded.
	standingAnswerTimes = 3.0
	// standingUnservedRate is the part of requests not served from which a standing queue has that timeout.
	standingUnservedRate = 0.5
	// unservedRateWeight is the weight of one request in that part: about the last 500 count.
	unservedRateWeight = 0.002
)

// QueueTimeout bounds how long a request waits in the queue, by whether the queue is a burst or standing. A
// burst passes, and waiting serves all of it; in a standing queue every request waits as long as it may, and is
// then served too late, or rejected when its client has no time left to retry. The rule is that of adaptive
// LIFO with controlled delay ("Fail at Scale", ACM Queue 13(8), 2015): in a queue that has not been empty
// lately a request waits a few answer times only.
//
// The timeout gets shorter by the part of the requests that is not served: while few are not, the queue is
// about to pass, and waiting serves more.
type QueueTimeout struct {
	emptyAt      float64
	unservedRate float64 // part of the requests that ended unserved
}

// RequestEnded notes the end of a request, and whether it was served.
func (q *QueueTimeout) RequestEnded(served bool) {
	if served {
		q.unservedRate -= unservedRateWeight * q.unservedRate
	} else {
		q.unservedRate += unservedRateWeight * (1 - q.unservedRate)
	}
}

// QueueLength notes the length of the queue after a decision.
func (q *QueueTimeout) QueueLength(now float64, length int) {
	if length == 0 {
		q.emptyAt = now
	}
}

// Standing reports whether the queue has not been empty for spanMs.
func (q *QueueTimeout) Standing(now, spanMs float64) bool { return now-q.emptyAt >= spanMs }

// Fraction returns the part of its latency objective for which a request may wait. A queue that is not empty
// for spanMs is standing. baselineLatency is the mean answer time of servers that are not overloaded, as a
// fraction of the latency objective, or 0 while it is not known.
func (q *QueueTimeout) Fraction(now, spanMs, baselineLatency float64) float64 {
	if !(baselineLatency > 0) || !q.Standing(now, spanMs) {
		return burstFraction
	}
	standing := min(burstFraction, standingAnswerTimes*baselineLatency)
	return standing + (burstFraction-standing)*max(1-q.unservedRate/standingUnservedRate, 0)
}
