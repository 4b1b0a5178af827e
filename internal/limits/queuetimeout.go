package limits

const (
	// burstFraction is the fraction of its latency objective that a request may wait in a burst. The rest
	// is left for the attempt.
	burstFraction = 0.4
	// standingAnswerTimes is how long it may wait in a standing queue, in mean answer times of servers that
	// are not overloaded.
	standingAnswerTimes = 3.0
	// standingUnservedRate is the fraction of unserved requests from which on this limit applies fully.
	standingUnservedRate = 0.5
	// unservedRateWeight is the weight of one request in the moving average of that fraction, which spans
	// about the last 500 requests.
	unservedRateWeight = 0.002
)

// QueueTimeout bounds how long a request waits in the queue, depending on whether the queue is a burst or a
// standing queue. A burst drains, and all of its requests are served after a wait; in a standing queue
// every request waits for the maximum time and is then served too late, or rejected when its client has no
// time left to retry. The rule is that of adaptive LIFO with controlled delay ("Fail at Scale", ACM Queue
// 13(8), 2015): in a queue that has not been empty recently a request waits only a few answer times.
//
// The timeout decreases with the fraction of unserved requests: while only few are not served, the queue is
// likely to drain, and a longer wait serves more of them.
type QueueTimeout struct {
	emptyAt      float64
	unservedRate float64 // moving average of the fraction of requests that ended unserved
}

// RequestEnded records the end of a request and whether it was served.
func (q *QueueTimeout) RequestEnded(served bool) {
	if served {
		q.unservedRate -= unservedRateWeight * q.unservedRate
	} else {
		q.unservedRate += unservedRateWeight * (1 - q.unservedRate)
	}
}

// QueueLength records the length of the queue after a decision.
func (q *QueueTimeout) QueueLength(now float64, length int) {
	if length == 0 {
		q.emptyAt = now
	}
}

// Standing reports whether the queue has not been empty for spanMs.
func (q *QueueTimeout) Standing(now, spanMs float64) bool { return now-q.emptyAt >= spanMs }

// Fraction returns the fraction of its latency objective for which a request may wait. A queue that has not
// been empty for spanMs is standing. baselineLatency is the mean answer time of servers that are not
// overloaded, as a fraction of the latency objective, or 0 if it is not known yet.
func (q *QueueTimeout) Fraction(now, spanMs, baselineLatency float64) float64 {
	if !(baselineLatency > 0) || !q.Standing(now, spanMs) {
		return burstFraction
	}
	standing := min(burstFraction, standingAnswerTimes*baselineLatency)
	return standing + (burstFraction-standing)*max(1-q.unservedRate/standingUnservedRate, 0)
}
