package concurrency

import "math"

const (
	// idleUtilization is the core utilization under which a server is idle. Noise and the delay of the report
	// lie between this and a server without a free core.
	idleUtilization = 0.9
	// maxReportAgeMs is how old a report may be to count.
	maxReportAgeMs = 3000.0
	// absent is the index of a field that reports do not have.
	absent = -1
)

// ReportFields knows where the values of a load report stand. Values with unknown names are ignored.
type ReportFields struct {
	utilization, inflight int // index, or absent
}

// NewReportFields finds the fields by the names of the values.
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

// Inflight returns the number of requests in the server, of all agents, and false if the report has none or it
// is not valid.
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

// LoadReport is the last load report of a server. The zero value has none.
type LoadReport struct {
	utilization float64
	updatedAt   float64
	known       bool
}

// Update takes the report of an answer. One without a valid utilization changes nothing.
func (l *LoadReport) Update(now float64, fields ReportFields, report []float32) {
	if utilization, ok := reportValue(report, fields.utilization); ok {
		l.utilization = utilization
		l.updatedAt = now
		l.known = true
	}
}

// Idle reports whether the server likely has a free core, by its last report. A server without a report, or
// with an old one, is idle unless it has rejected attempts lately, which the caller says. A report that is wrong
// does no harm, as the caller checks the Limit too.
func (l *LoadReport) Idle(now float64, recentlyRejected bool) bool {
	if !l.known || now-l.updatedAt > maxReportAgeMs {
		return !recentlyRejected
	}
	return l.utilization < idleUtilization
}
