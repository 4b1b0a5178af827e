package limits

import "math"

const (
	// comparedRequests is the number of requests whose priorities a new one is compared with: enough for steps
	// of one or two in a hundred, few enough to follow changes within seconds where few requests arrive.
	comparedRequests = 64
	// minShedRun is the least number of requests shed in a row before one is admitted whatever its priority.
	minShedRun = 12
	// maxOmittedAdmissions is the number of requests of such a row that would have been admitted by the
	// fraction alone. By chance few rows get so long.
	maxOmittedAdmissions = 2.4
	// omittedTolerance allows for rounding in the sum of omitted admissions.
	omittedTolerance = 1e-9
)

// LoadShedder sheds a fraction of the requests, those of the lowest priority: admission by priority as in DAGOR
// (Zhou et al., SoCC 2018), with the threshold taken from the priorities of the last requests. While priorities
// fall every request is lower than all before it, and by the threshold alone none would be admitted. Therefore
// at most max(minShedRun, maxOmittedAdmissions/(1-fraction)) are shed in a row: with nothing admitted nothing
// would be learned that ends the shedding. The zero value has seen no requests.
type LoadShedder struct {
	priorities        [comparedRequests]float64
	seen              int
	shedRun           int     // requests shed in a row
	omittedAdmissions float64 // how many of them the fraction would have admitted
}

// Sheds notes a request's priority and reports whether to shed it, where the given fraction, 0 to 1, is to be
// shed. Of requests with equal priority chance decides, a random number from 0 to 1. A priority of NaN is the
// lowest.
func (l *LoadShedder) Sheds(priority, fraction, chance float64) bool {
	if math.IsNaN(priority) {
		priority = math.Inf(-1)
	}
	compared := min(l.seen, comparedRequests)
	lower, equal := 0.0, 0.0
	if fraction > 0 {
		lower, equal = l.compare(priority, compared)
	}
	l.add(priority)
	longRun := l.shedRun >= minShedRun && l.omittedAdmissions >= maxOmittedAdmissions-omittedTolerance
	if fraction > 0 && !longRun && lower+chance*(equal+1) < fraction*float64(compared+1) {
		l.shedRun++
		l.omittedAdmissions += max(1-fraction, 0)
		return true
	}
	l.shedRun = 0
	l.omittedAdmissions = 0
	return false
}

// compare counts how many of the last requests have a lower priority, and how many an equal one.
func (l *LoadShedder) compare(priority float64, compared int) (lower, equal float64) {
	for _, other := range l.priorities[:compared] {
		switch {
		case other < priority:
			lower++
		case other == priority:
			equal++
		}
	}
	return lower, equal
}

// add replaces the oldest priority.
func (l *LoadShedder) add(priority float64) {
	l.priorities[l.seen%comparedRequests] = priority
	l.seen++
	if l.seen == 2*comparedRequests {
		l.seen = comparedRequests // so that it does not overflow
	}
}
