package limits

// maxBalance bounds the credit and the debt of a flow, in requests. With a larger bound a flow that was
// idle would displace all others when it returns; with a smaller one random arrival would decide.
const maxBalance = 5.0

// underQuotaBalance is the balance from which on a flow is well under its quota.
const underQuotaBalance = 0.8 * maxBalance

// FairShare divides the served requests among flows by weighted max-min fairness: a flow that requests less
// than its share by weight is served completely, and the unused part of its share goes to the others by
// their weights. It is deficit round robin (Shreedhar and Varghese, 1995) over served instead of received
// requests, so clients that retry get no more than others. It needs neither rates nor a clock: serving a
// flow costs it one request, which is credited to all flows below maxBalance by their weights.
type FairShare struct {
	balances []float64
}

// NewFairShare returns a FairShare for the given number of flows, each with a balance of 0.
func NewFairShare(flows int) *FairShare { return &FairShare{balances: make([]float64, flows)} }

// Served charges the flow one request. weights has one value for each flow, in any scale; negative values
// and NaN count as 0. A flow that does not exist is ignored. The cost is linear in the number of flows.
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
