package limits

// maxBalance bounds what a flow may save up or owe, in requests. With a larger one a flow that was idle would
// displace all others when it returns; with a smaller one chance would decide.
const maxBalance = 5.0

// underQuotaBalance is the balance from which a flow is well under its quota.
const underQuotaBalance = 0.8 * maxBalance

// FairShare divides what is served among flows by weighted max-min fairness: a flow that requests less than its
// weight gives it is served all, and what it does not use goes to the others by their weights. It is deficit
// round robin (Shreedhar and Varghese, 1995) on what was served, not on what was requested, so that clients
// that retry get no more than others. It needs neither rates nor a clock: a flow that was served pays one
// request, which is divided among all flows that have not saved up maxBalance.
type FairShare struct {
	balances []float64
}

// NewFairShare returns a FairShare of so many flows, with nothing saved up.
func NewFairShare(flows int) *FairShare { return &FairShare{balances: make([]float64, flows)} }

// Served charges the flow one request. weights has one value for each flow, of any scale; one that is negative
// or NaN counts as 0. A flow that does not exist is ignored. It takes time by the number of flows.
func (f *FairShare) Served(flow int, weights []float64) {
	if flow < 0 || flow >= len(f.balances) || len(weights) != len(f.balances) {
		return
	}
	f.balances[flow] = max(f.balances[flow]-1, -maxBalance)
	total := 0.0
	for i, balance := range f.balances {
		if weight := weights[i]; balance < maxBalance && weight > 0 {
			total += weight
		}
	}
	if !(total > 0) {
		return
	}
	for i := range f.balances {
		if weight := weights[i]; f.balances[i] < maxBalance && weight > 0 {
			f.balances[i] = min(f.balances[i]+weight/total, maxBalance)
		}
	}
}

// OverQuota reports whether the flow was served more than its quota.
func (f *FairShare) OverQuota(flow int) bool {
	return flow >= 0 && flow < len(f.balances) && f.balances[flow] < 0
}

// UnderQuota reports whether the flow was served well under its quota.
func (f *FairShare) UnderQuota(flow int) bool {
	return flow >= 0 && flow < len(f.balances) && f.balances[flow] >= underQuotaBalance
}
