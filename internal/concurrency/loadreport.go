package concurrency

import "math"

const (
	// idleUtil is the core use under which a server counts as idle: a little noise and one refresh of the
	// report's mean lie between this and a server that has none.
	idleUtil = 0.9
	// loadMs is how old a report may be to tell that: by then it has usually been refreshed twice.
	loadMs = 3000.0
)

// ReportFields says where in a report the values stand that are understood. Values of other names are passed over.
type ReportFields struct {
	util, inflight int // index, or -1
}

// NewReportFields finds them by the names that the settings list.
func NewReportFields(names []string) ReportFields {
	f := ReportFields{util: -1, inflight: -1}
	for i, name := range names {
		switch name {
		case "util":
			f.util = i
		case "inflight":
			f.inflight = i
		}
	}
	return f
}

// Inflight is the reported number of requests in the server, of all agents, and false where it is not told or
// makes no sense.
func (f ReportFields) Inflight(report []float32) (float64, bool) { return value(report, f.inflight) }

func value(report []float32, i int) (float64, bool) {
	if i < 0 || i >= len(report) {
		return 0, false
	}
	x := float64(report[i])
	return x, x >= 0 && !math.IsInf(x, 0)
}

// LoadReport is what a server last reported of itself. The zero value has heard nothing.
type LoadReport struct {
	util float64
	at   float64
	told bool
}

// Update takes the report of an answer. Without core use that makes sense nothing changes.
func (l *LoadReport) Update(now float64, f ReportFields, report []float32) {
	if x, ok := value(report, f.util); ok {
		l.util, l.at, l.told = x, now, true
	}
}

// Idle tells whether the server likely has cores without work: by what it reported lately. One that
// reports nothing, or not for long, idles unless it has turned attempts away of late, which bounded says. A fresh
// report is believed as it is: where it lies, the window, which the caller asks anyhow, is what bounds.
func (l *LoadReport) Idle(now float64, bounded bool) bool {
	if !l.told || now-l.at > loadMs {
		return !bounded
	}
	return l.util < idleUtil
}
