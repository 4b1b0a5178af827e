// Package limits decides how much of what there is goes to whom, and how long one may wait for it: Portions
// shares out what is served, Levels refuses what is worth least, Patience bounds the wait for room.
//
// It has no I/O, no clock, no goroutine and no randomness: times come in as arguments, in milliseconds of one
// clock that never goes back. Nothing in it is safe for concurrent use.
package limits

// portionDepth bounds what a flow may save up or owe, in requests: a tenth of a second's worth of a busy
// agent. Deeper, one that was idle would push all others aside when it returns; shallower, chance decides.
const portionDepth = 5.0

// FairShare shares out what is served over flows, by weighted max-min fairness: a flow that asks for less
// than its weight gives it is served all, and what it leaves goes to the others by their weights. It is deficit
// round robin (Shreedhar and Varghese, 1995) on what was served, not on what was asked, so that clients
// that try again get no more than others, and needs neither rates nor a clock: who was served pays one,
// which all that have not saved up portionDepth share.
type FairShare struct {
	due []float64
}

// NewFairShare makes so many flows, of which none has anything due.
func NewFairShare(flows int) *FairShare { return &FairShare{due: make([]float64, flows)} }

// Served charges the flow one request. weights are the flows', one each, of any scale; what is negative or no
// number counts as 0. A flow that does not exist charges nobody. It takes time by the number of flows.
func (p *FairShare) Served(flow int, weights []float64) {
	if flow < 0 || flow >= len(p.due) || len(weights) != len(p.due) {
		return
	}
	p.due[flow] = max(p.due[flow]-1, -portionDepth)
	open := 0.0
	for i, due := range p.due {
		if w := weights[i]; due < portionDepth && w > 0 {
			open += w
		}
	}
	if !(open > 0) {
		return
	}
	for i := range p.due {
		if w := weights[i]; p.due[i] < portionDepth && w > 0 {
			p.due[i] = min(p.due[i]+w/open, portionDepth)
		}
	}
}

// OverQuota tells whether the flow has been served its portion and more.
func (p *FairShare) OverQuota(flow int) bool {
	return flow >= 0 && flow < len(p.due) && p.due[flow] < 0
}

// UnderQuota tells whether the flow has been served well under its portion.
func (p *FairShare) UnderQuota(flow int) bool {
	return flow >= 0 && flow < len(p.due) && p.due[flow] >= 0.8*portionDepth
}
