package policy

import (
	"math"
)

const (
	// smooth is the weight of one value in the moving average of a server.
	smooth = 0.2
	// slowSmooth is the weight of one value in a moving average over all servers.
	slowSmooth = 0.005
	// fade is the decay of shares of requests by one request: about the last 500 count.
	fade = 0.998
)

// mean moves a running mean towards x; the first value is taken whole.
func mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// partOf moves a running part towards that of so many failed and served attempts.
func partOf(old, failed, served, weight float64) float64 {
	if n := failed + served; n > 0 {
		old += (1 - math.Pow(1-weight, n)) * (failed/n - old)
	}
	return old
}

// finite is the number, or 0 where it is negative or none.
func finite(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// finite is the event with numbers that make sense.
func (ev *Event) finite() *Event {
	e := *ev
	e.RemainingMs = finite(e.RemainingMs)
	e.WorkHintMs = finite(e.WorkHintMs)
	e.LatencyMs = finite(e.LatencyMs)
	return &e
}

// learnHint keeps the straight line of answer time over hinted work: the network's
// share does not grow with the work.
func (b *Balancer) learnHint(r *request, rtt float64) {
	if r.hint <= 0 {
		return
	}
	b.hints++
	w := max(slowSmooth, 1/b.hints)
	dh, dt := r.hint-b.hintMean, rtt-b.hintTime
	b.hintMean += w * dh
	b.hintTime += w * dt
	b.hintVar += w * (dh*dh*(1-w) - b.hintVar)
	b.hintCov += w * (dh*dt*(1-w) - b.hintCov)
}

// hintedTime is what the line says for the request; 0 while little is known.
func (b *Balancer) hintedTime(r *request) float64 {
	if r.hint <= 0 || b.hints < 1/(4*slowSmooth) || b.hintVar <= 0 {
		return 0
	}
	return max(b.hintTime+b.hintCov/b.hintVar*(r.hint-b.hintMean), 0)
}
