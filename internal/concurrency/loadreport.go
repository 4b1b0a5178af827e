package concurrency

import "math"

const (
	// idleUtilization is the core utilization below which a server counts as idle. The margin to full
	// utilization covers noise and the delay of the report.
	idleUtilization = 0.9
	// maxReportAgeMs is the age beyond which a report is ignored.
	maxReportAgeMs = 3000.0
	// absent is the index of a field that reports do not have.
	absent = -1
)

// ReportFields holds the positions of the values in a load report. Values with unknown names are ignored.
type ReportFields struct {
	utilization, inflight int // index, or absent
}

// NewReportFields returns the positions of the known values, given the names of all values in order.
func NewReportFields(names []string) ReportFields {
	fields := ReportFields{utilization: absent, inflight: absent}
	for i, name := range names {
		switch name {
		case "util":
			fields.utilization = i
		case "inflight":
			fields.inflight = i
		}
	}
	return fields
}

// Inflight returns the number of requests in flight at the server, from all agents, and false if the report
// has no valid value for it.
func (f ReportFields) Inflight(report []float32) (float64, bool) {
	return reportValue(report, f.inflight)
}

// reportValue returns a value of a report, and false if it is missing, negative, infinite or NaN.
func reportValue(report []float32, index int) (float64, bool) {
	if index < 0 || index >= len(report) {
		return 0, false
	}
	value := float64(report[index])
	return value, value >= 0 && !math.IsInf(value, 0)
}

// LoadReport is the last load report of a server. The zero value has no report.
type LoadReport struct {
	utilization float64
	updatedAt   float64
	known       bool
}

// Update records the report in an answer. A report without a valid utilization is ignored.
func (l *LoadReport) Update(now float64, fields ReportFields, report []float32) {
	if utilization, ok := reportValue(report, fields.utilization); ok {
		l.utilization = utilization
		l.updatedAt = now
		l.known = true
	}
}

// Idle reports whether the server likely has a free core, by its last report. A server without a recent
// report counts as idle unless recentlyRejected is set. Wrong reports do no harm, as the caller checks the
// Limit as well.
func (l *LoadReport) Idle(now float64, recentlyRejected bool) bool {
	if !l.known || now-l.updatedAt > maxReportAgeMs {
		return !recentlyRejected
	}
	return l.utilization < idleUtilization
}
