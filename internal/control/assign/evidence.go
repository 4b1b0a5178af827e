package assign

import (
	"math"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

const (
	// maxReportedValue bounds the values in a report. No proxy makes that many attempts between two reports.
	maxReportedValue = 1e9
	// maxReportIntervalMs bounds the interval that a report states.
	maxReportIntervalMs = 1e9
	// hungWindows is the number of consecutive windows with requests in progress and none ended after which
	// a server counts as silent.
	hungWindows = 3
	// maxHungFailures bounds the number of failures that a silent server's requests in progress count as.
	maxHungFailures = 10
	// rateSmoothing is the weight of a new report in the moving average of a proxy's request rate.
	rateSmoothing = 0.3
)

// ServerLoad is the load of one server that a proxy observed since its last report.
type ServerLoad struct {
	Addr                       string // host:port
	Served, Failed, InProgress float64
	Issued                     float64
	Rejected                   float64 // from the named metric, if servers report it
}

// Report is a proxy's load report.
type Report struct {
	IntervalMs float64 // time since the last report, as stated by the proxy
	Issued     float64 // requests that are not broken down by server
	Loads      []ServerLoad
}

// EvidenceCounts counts the load reports and the parts of them that were not used. The JSON keys are those of
// the admin endpoint.
type EvidenceCounts struct {
	Reports      uint64 `json:"reports"`
	Invalid      uint64 `json:"absurd"`       // loads with a value out of range
	Late         uint64 `json:"late"`         // loads of a window that began before the ejection
	Contradicted uint64 `json:"contradicted"` // loads with failures that the majority of proxies did not see
	Unknown      uint64 `json:"unknown"`      // loads of unlisted servers, reports of unknown proxies
}

// evidenceWindow aggregates what proxies reported about a server since the evidence was last evaluated.
type evidenceWindow struct {
	loads map[string]ServerLoad // by proxy
	hung  int                   // consecutive windows with requests in progress and none ended
}

// Report records a load report. Reports of unknown proxies and loads of unlisted servers are counted and
// dropped.
func (a *Assigner) Report(now float64, id string, r *Report) {
	p := a.proxies[id]
	if p == nil {
		a.counts.Unknown++
		return
	}
	a.counts.Reports++
	if !(r.IntervalMs > 0) || r.IntervalMs > maxReportIntervalMs {
		r.IntervalMs = a.cfg.ReportMs
	}
	windowStart := now - r.IntervalMs
	issued := 0.0
	if valid(r.Issued) {
		issued = r.Issued
	}
	for _, load := range r.Loads {
		s := a.byAddr[load.Addr]
		switch {
		case !valid(load.Served, load.Failed, load.InProgress, load.Issued, load.Rejected):
			a.counts.Invalid++
			continue
		case s == nil:
			a.counts.Unknown++
			continue
		}
		issued += max(load.Issued, load.Served+load.Failed)
		a.dropLate(s, &load, windowStart)
		s.evidence.add(id, load)
	}
	p.updateRate(now, issued/r.IntervalMs*1000)
}

// valid reports whether all values are in range; NaN is not.
func valid(values ...float64) bool {
	return !slices.ContainsFunc(values, func(v float64) bool { return !(v >= 0 && v <= maxReportedValue) })
}

// dropLate discards the answers of an Unhealthy server where the reported window began before it became
// Unhealthy, since they may predate that change.
func (a *Assigner) dropLate(s *server, load *ServerLoad, windowStart float64) {
	since, unhealthy := a.unhealthySince[s.entry.ID]
	if !unhealthy || windowStart >= since {
		return
	}
	if load.Served > 0 {
		a.counts.Late++
	}
	load.Served = 0
	load.Rejected = 0
}

// add adds a load to the sum that the proxy reported in this window.
func (w *evidenceWindow) add(proxyID string, load ServerLoad) {
	if w.loads == nil {
		w.loads = map[string]ServerLoad{}
	}
	sum := w.loads[proxyID]
	sum.Served += load.Served
	sum.Failed += load.Failed
	sum.Rejected += load.Rejected
	sum.InProgress = load.InProgress
	w.loads[proxyID] = sum
}

// updateRate updates the moving average of the proxy's request rate.
func (p *proxy) updateRate(now, rate float64) {
	if p.reportedMs == 0 {
		p.rate = rate
	} else {
		p.rate += rateSmoothing * (rate - p.rate)
	}
	p.reportedMs = now
}

// evaluateEvidence passes the window's evidence to the balancer, one item per server in the order of IDs, and
// updates the locality weights.
func (a *Assigner) evaluateEvidence(now float64) {
	var evidence []policy.Evidence
	// Requests to the servers of a zone from proxies in the same zone, by zone.
	failed := map[string]float64{}
	ended := map[string]float64{}
	ids := make([]string, 0, len(a.servers))
	for id := range a.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := a.servers[id]
		if len(s.evidence.loads) == 0 {
			continue
		}
		e, contradicted := s.evidence.aggregate()
		a.counts.Contradicted += uint64(contradicted)
		e.Server = s.policyAddr
		for proxyID, load := range s.evidence.loads {
			if p := a.proxies[proxyID]; p != nil && p.zone == s.entry.Zone {
				failed[p.zone] += load.Failed
				ended[p.zone] += load.Served + load.Failed
			}
		}
		clear(s.evidence.loads)
		evidence = append(evidence, e)
	}
	for zone, g := range a.groups {
		if n := ended[zone]; n > 0 {
			g.localityWeight = policy.NextLocalityWeight(g.localityWeight, a.cfg.Settings.Prices.CrossZone, failed[zone]/n)
		}
	}
	a.balancer.Observe(now, a.cfg.EjectionMs, evidence)
	a.dirty = true
}

// aggregate combines the reports of all proxies about a server. Each proxy counts for at most the median
// number of requests, and the failures of a proxy that saw mostly failures count only if most proxies did.
func (w *evidenceWindow) aggregate() (e policy.Evidence, contradicted int) {
	var endedByProxy []float64
	failing := 0
	healthy := 0
	inProgress := 0.0
	for _, load := range w.loads {
		inProgress += load.InProgress
		n := load.ended()
		if n == 0 {
			continue
		}
		endedByProxy = append(endedByProxy, n)
		if load.Failed > n/2 {
			failing++
		} else {
			healthy++
		}
	}
	if len(endedByProxy) == 0 {
		return w.aggregateHung(inProgress), 0
	}
	w.hung = 0
	slices.Sort(endedByProxy)
	median := max(endedByProxy[len(endedByProxy)/2], 1)
	majorityFailing := 2*failing > failing+healthy
	for _, load := range w.loads {
		n := load.ended()
		if n == 0 {
			continue
		}
		scale := min(median/n, 1)
		e.Served += load.Served * scale
		e.Rejected += load.Rejected * scale
		if load.Failed > n/2 && !majorityFailing {
			contradicted++
			continue
		}
		e.Failed += load.Failed * scale
	}
	e.Silent = e.Served == 0 && e.Rejected == 0
	return e, contradicted
}

// aggregateHung returns the evidence of a window in which no request ended. Requests that stay in progress
// for several windows indicate that the server hangs.
func (w *evidenceWindow) aggregateHung(inProgress float64) (e policy.Evidence) {
	w.hung++
	if inProgress == 0 {
		w.hung = 0
	}
	if w.hung >= hungWindows {
		e.Failed = math.Min(inProgress, maxHungFailures)
		e.Silent = true
	}
	return e
}

// ended returns the number of requests that ended, with any outcome.
func (l *ServerLoad) ended() float64 { return l.Served + l.Failed + l.Rejected }
