package membership

// Reasons in a Status other than the error of a call.
const (
	reasonNoContact = "nothing heard yet"
	reasonSilent    = "silent"
	reasonEmptyList = "it lists nothing, which is not believed" // quoted in docs/operators
)

// Status describes the freshness of a source.
type Status struct {
	Source   string   `json:"source"`
	Revision uint64   `json:"revision"`
	Entries  int      `json:"entries"`
	AgeMs    float64  `json:"age_ms"` // since the last contact with the source; -1: there was none
	Stale    bool     `json:"stale"`
	Reason   string   `json:"why,omitempty"` // why it is stale, or the error of its last call
	Problems []string `json:"problems,omitempty"`
}

// freshness records the last contact with a source. Losing a source affects only its freshness: its entries
// stay as they are.
type freshness struct {
	lastContactMs float64 // time of the last response or event of the source; -1: there was none
	lastError     string  // of the last call; empty if it succeeded
	emptySinceMs  float64 // since when its complete list is empty and therefore ignored; 0: it is not
}

// recordContact records a response or an event of the source.
func (f *freshness) recordContact(now float64) {
	f.lastContactMs = now
	f.lastError = ""
}

// listedNothing records that the source sent an empty complete list. Only the first one in a row sets the
// time.
func (f *freshness) listedNothing(now float64) {
	if f.emptySinceMs == 0 {
		f.emptySinceMs = now
	}
}

// fillStatus sets the fields of a status that follow from the freshness. A source is stale once it has been
// silent, or its list empty, for staleAfterMs.
func (f *freshness) fillStatus(status *Status, now, staleAfterMs float64) {
	status.AgeMs = -1
	if f.lastContactMs >= 0 {
		status.AgeMs = now - f.lastContactMs
	}
	status.Reason = f.lastError
	reason := ""
	switch {
	case f.lastContactMs < 0:
		status.Stale = true
		reason = reasonNoContact
	case f.emptySinceMs > 0:
		status.Stale = now-f.emptySinceMs >= staleAfterMs
		status.Reason = reasonEmptyList
	case status.AgeMs >= staleAfterMs:
		status.Stale = true
		reason = reasonSilent
	}
	if status.Reason == "" {
		status.Reason = reason
	}
}

// problemLog collects up to maxProblems problems for the status page.
type problemLog []string

func (p *problemLog) add(err error) {
	if len(*p) < maxProblems {
		*p = append(*p, err.Error())
	}
}
