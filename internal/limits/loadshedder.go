package limits

import "math"

const (
	// comparedRequests is the number of requests that a new one is compared with: enough to shed fractions
	// in steps of one or two percent, few enough to follow changes within seconds at low request rates.
	comparedRequests = 64
	// minShedRun is the minimum number of requests shed in a row before one is admitted regardless of its
	// priority.
	minShedRun = 12
	// maxOmittedAdmissions is the number of requests in such a run that the fraction alone would have
	// admitted. Runs of this length rarely occur by chance.
	maxOmittedAdmissions = 2.4
	// omittedTolerance allows for rounding in the sum of omitted admissions.
	omittedTolerance = 1e-9
)

// LoadShedder sheds the given fraction of the requests, those of the lowest priority: admission by priority
// as in DAGOR (Zhou et al., SoCC 2018), with the threshold derived from the priorities of the last
// requests. While priorities fall, every request is lower than all before it and the threshold alone would
// admit none. Therefore at most max(minShedRun, maxOmittedAdmissions/(1-fraction)) requests are shed in a
// row: without admitted requests there would be no measurement that ends the shedding. The zero value has
// seen no requests.
type LoadShedder struct {
	priorities        [comparedRequests]float64
	seen              int
	shedRun           int     // requests shed in a row
	omittedAdmissions float64 // how many of these the fraction alone would have admitted
}

// Sheds records the priority of a request and reports whether to shed it, given the fraction of requests to
// shed, 0 to 1. Among requests of equal priority chance decides, a random number from 0 to 1. NaN is the
// lowest priority.
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

// compare counts the last requests with a lower and with an equal priority.
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
		l.seen = comparedRequests // prevents an overflow
	}
}
