package peers

import (
	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/policy"
)

const (
	// blackoutMs is the time from a server's first load report until its weight is used.
	blackoutMs = 10_000
	// minWeightedServers is the number of servers with a weight below which all servers get the same weight.
	minWeightedServers = 2
)

// Indexes in a load report.
const (
	reportQPS = iota
	reportUtilization
	reportErrorsPerS
	reportLength
)

// weightedState is WeightedRoundRobin's state of a server.
type weightedState struct {
	qps           float64 // of the last load report, like utilization and errorsPerS
	utilization   float64
	errorsPerS    float64
	firstReportAt float64 // ms; 0: none
	current       float64 // current weight of the smooth weighted round robin
}

// WeightedRoundRobin is gRPC's client-side weighted round robin (gRFC A58): the weight is qps divided by the
// sum of utilization and error rate (errors per second divided by qps, with the penalty 1.0). A weight is
// used after a blackout period of 10 s; a server without one gets the mean. gRPC updates weights once a
// second, this balancer with each load report. Outlier detection is Envoy's.
func WeightedRoundRobin(settings policy.Settings, seed uint64) (emulator.Balancer, error) {
	b := newEnvoyBalancer(settings, seed)
	b.observe = func(s *server, ev *policy.Event) { s.wrr.observe(b.now, ev.Report) }
	b.pick = func(r *request) *server { return b.pickWeighted(b.usable(r.tried)) }
	return b, nil
}

func (w *weightedState) observe(now float64, report []float32) {
	if len(report) != reportLength {
		return
	}
	w.qps = float64(report[reportQPS])
	w.utilization = float64(report[reportUtilization])
	w.errorsPerS = float64(report[reportErrorsPerS])
	if w.firstReportAt == 0 && w.utilization > 0 {
		w.firstReportAt = now
	}
}

// weight is the weight of a server, or 0 if it has none yet.
func (w *weightedState) weight(now float64) float64 {
	if w.firstReportAt == 0 || now-w.firstReportAt < blackoutMs || w.utilization <= 0 || w.qps <= 0 {
		return 0
	}
	return w.qps / (w.utilization + w.errorsPerS/w.qps)
}

// pickWeighted does one step of smooth weighted round robin.
func (b *balancer) pickWeighted(servers []*server) *server {
	mean, weighted := b.meanWeight(servers)
	total := 0.0
	var best *server
	for _, s := range servers {
		weight := s.wrr.weight(b.now)
		if weight <= 0 || weighted < minWeightedServers {
			weight = mean
		}
		s.wrr.current += weight
		total += weight
		if best == nil || s.wrr.current > best.wrr.current {
			best = s
		}
	}
	if best != nil {
		best.wrr.current -= total
	}
	return best
}

// meanWeight returns the mean weight of the servers that have one, and the number of these servers.
func (b *balancer) meanWeight(servers []*server) (float64, int) {
	sum := 0.0
	weighted := 0
	for _, s := range servers {
		if weight := s.wrr.weight(b.now); weight > 0 {
			sum += weight
			weighted++
		}
	}
	if weighted < minWeightedServers {
		return 1, weighted
	}
	return sum / float64(weighted), weighted
}
