package emulator

import (
	"math"

	"ringtrack.example/ringtrack/internal/invariant"
)

const (
	// recoveredGoodput is the goodput of a second that counts as recovered.
	recoveredGoodput = 0.95
	// notRecovered is Result.RecoveryS of a run that ended before goodput recovered.
	notRecovered = -1
)

// Result is the measurements of a run. Operations that began in the warm-up are left out.
type Result struct {
	Scenario        string  `json:"scenario"`
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	Ops             int     `json:"ops"`
	Served          int     `json:"served"`  // within the client's timeout
	WithinObjective int     `json:"in_aim"`  // served within the latency objective of the class
	Rejected        int     `json:"refused"` // at the last attempt
	Failed          int     `json:"failed"`
	ClientAttempts  int     `json:"tries"`
	Attempts        int     `json:"attempts"` // sent by agents to servers
	Goodput         float64 `json:"goodput"`  // served operations as a fraction of all
	// WeightedGoodput is the priority weight of operations that were served within their latency objective,
	// as a fraction of the weight of all. Requests that exceed a tenant's quota count with a tenth of their
	// weight.
	WeightedGoodput float64 `json:"worth"`
	// Tenants is WeightedGoodput by tenant.
	Tenants []float64 `json:"tenants,omitempty"`
	// WastedWork is the fraction of the servers' work that was done for requests that had been answered or
	// had missed their latency objective.
	WastedWork float64 `json:"lost"`
	// RecoveryS is the number of seconds from the end of the last fault until goodput was back at 0.95 for
	// two seconds; -1 if it was not before the end of the run.
	RecoveryS int     `json:"back_s"`
	MeanMs    float64 `json:"mean_ms"`
	P50Ms     float64 `json:"p50_ms"`
	P99Ms     float64 `json:"p99_ms"`
	P999Ms    float64 `json:"p999_ms"`
	// Timeline is the goodput of the operations that began in each second.
	Timeline       []float64   `json:"timeline"`
	ByServer       []int       `json:"by_server"`
	Overloads      int         `json:"falls"` // restarts of servers by overload during slow start
	Violations     map[int]int `json:"breaches,omitempty"`
	ViolationTexts []string    `json:"words,omitempty"`
	// GuardViolations counts attempts that the guard of internal/core blocked.
	GuardViolations         int            `json:"guarded"`
	GuardViolationsByReason map[string]int `json:"guards,omitempty"`
	BackstopTimeouts        int            `json:"backstop"`
	Events                  uint64         `json:"events"`
	// Calls of a discovery service with a queue: total, failed, and the maximum in a second.
	DiscoveryCalls    int `json:"roster_calls,omitempty"`
	DiscoveryFailures int `json:"roster_failed,omitempty"`
	DiscoveryPeakPerS int `json:"roster_peak,omitempty"`
	// LastSubscribedS is the time of the last watch of the endpoint list that was accepted.
	LastSubscribedS float64 `json:"last_follow_s,omitempty"`
	LostWithAgent   int     `json:"killed,omitempty"` // client attempts that were open in killed agents
	Handshakes      int     `json:"handshakes"`       // connections that were opened after the warm-up
	// MeanConnections and MaxConnections are the connections of a server with all agents, idle or in use: the
	// mean over servers and seconds, and the maximum of any server in any second.
	MeanConnections float64 `json:"open_mean"`
	MaxConnections  int     `json:"open_most"`
	Path            *Path   `json:"path,omitempty"` // of a graph of services
}

// recordOperation counts an operation after its last answer.
func (w *World) recordOperation(o *operation, outcome invariant.Outcome) {
	totals := &w.totals
	totals.Attempts += o.serverAttempts
	// During the run the timeline has two counts for each second: ended and served operations.
	ended := 2 * int(o.startedAt/Second)
	served := ended + 1
	for len(totals.Timeline) <= served {
		totals.Timeline = append(totals.Timeline, 0)
	}
	totals.Timeline[ended]++
	switch {
	case outcome == invariant.Served && w.now <= o.deadline:
		totals.Served++
		totals.Timeline[served]++
		w.recordLatency(o)
	case outcome == invariant.Rejected:
		totals.Rejected++
	default:
		totals.Failed++
	}
}

func (w *World) recordLatency(o *operation) {
	latency := w.now - o.startedAt
	_ = w.latencies.RecordValue(min(max(latency/Microsecond, 1), maxLatencyUs)) // within the histogram's range
	if latency <= fromMs(w.scenario.Classes[o.class].LatencyObjectiveMs) {
		w.totals.WithinObjective++
		w.quotaAccounts[o.tenant].serve(w.now, w.settings.Classes[o.class].PriorityWeight)
	}
}

// summarize completes the result at the end of a run. It must be called only once.
func (w *World) summarize() *Result {
	r := &w.totals
	r.Ops = r.Served + r.Rejected + r.Failed // excludes operations that are still open
	r.Goodput = float64(r.Served) / float64(max(r.Ops, 1))
	r.MeanMs = w.latencies.Mean() / 1000
	r.P50Ms = w.latencyMs(50)
	r.P99Ms = w.latencyMs(99)
	r.P999Ms = w.latencyMs(99.9)
	w.summarizeTenants(r)
	w.summarizeServers(r)
	r.Timeline = goodputBySecond(r.Timeline)
	r.RecoveryS = w.scenario.recoveryS(r.Timeline)
	for _, g := range w.agents {
		r.GuardViolations += g.guardViolations
		r.BackstopTimeouts += g.backstopTimeouts
	}
	r.GuardViolationsByReason = w.violationsByReason
	r.Violations, r.ViolationTexts = w.checker.Violations()
	r.Events = w.fired
	r.Path = w.graph.summary()
	return r
}

func (w *World) latencyMs(quantile float64) float64 {
	return float64(w.latencies.ValueAtQuantile(quantile)) / 1000
}

func (w *World) summarizeTenants(r *Result) {
	offered := 0.0
	served := 0.0
	for i := range w.quotaAccounts {
		account := &w.quotaAccounts[i]
		offered += account.offeredWeight
		served += min(account.servedWeight, account.offeredWeight)
		if len(w.scenario.Tenants) > 0 {
			r.Tenants = append(r.Tenants, account.servedFraction())
		}
	}
	if offered > 0 {
		r.WeightedGoodput = served / offered
	}
}

func (w *World) summarizeServers(r *Result) {
	work := Time(0)
	wasted := Time(0)
	for _, s := range w.servers {
		work += s.work
		wasted += s.wastedWork
		r.ByServer = append(r.ByServer, s.served)
		r.Overloads += s.overloads
		w.checker.CheckSlowStart(&s.record)
	}
	r.WastedWork = float64(wasted) / float64(max(work, 1))
}

// goodputBySecond converts the pairs of ended and served operations to goodput; a second without operations
// has 1.
func goodputBySecond(counts []float64) []float64 {
	var out []float64
	for i := 0; i+1 < len(counts); i += 2 {
		goodput := 1.0
		if counts[i] > 0 {
			goodput = counts[i+1] / counts[i]
		}
		out = append(out, goodput)
	}
	return out
}

// recoveryS computes Result.RecoveryS; 0 if no fault ends.
func (s *Scenario) recoveryS(timeline []float64) int {
	end := 0.0
	for _, f := range s.Faults {
		if f.DurationS > 0 {
			end = max(end, f.StartS+f.DurationS)
		}
	}
	if end == 0 {
		return 0
	}
	first := int(math.Ceil(end))
	for i := first; i+1 < len(timeline); i++ {
		if timeline[i] >= recoveredGoodput && timeline[i+1] >= recoveredGoodput {
			return i - first
		}
	}
	return notRecovered
}

// connectionSampler is the World as the event that samples the connections of all servers once a second.
type connectionSampler World

func (c *connectionSampler) fire(uint8) {
	w := (*World)(c)
	w.after(Second, c, 0)
	if !w.warmedUp() {
		return
	}
	for _, s := range w.servers {
		open := s.busy + s.queueLength()
		for _, g := range w.agents {
			if g.connIncarnation[s.index] == s.incarnation {
				open += int(g.idleConns[s.index])
			}
		}
		w.sampledServers++
		w.totals.MeanConnections += (float64(open) - w.totals.MeanConnections) / float64(w.sampledServers)
		w.totals.MaxConnections = max(w.totals.MaxConnections, open)
	}
}
