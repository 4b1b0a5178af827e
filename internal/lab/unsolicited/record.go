package unsolicited

import (
	"fmt"
	"net"
	"sync"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/socket"
)

// Violations counts broken rules.
type Violations struct {
	WrongResponses   int // a client was served a response that was made for no attempt of its request
	Repeated         int // a non-idempotent request was received again after an attempt that ran
	OutsideScope     int // a keyed request was received in another zone after an attempt that ran
	RejectedAfterRun int // a client was told that its request never ran, although an attempt ran
	Overlapping      int // an attempt was received while an earlier one was in flight on an open connection
	Unanswered       int // a request got no final answer in time
}

// Total returns the number of all violations.
func (v Violations) Total() int {
	return v.WrongResponses + v.Repeated + v.OutsideScope + v.RejectedAfterRun + v.Overlapping + v.Unanswered
}

// Totals counts the final answers.
type Totals struct{ Requests, Served, Rejected, Failed int }

// Record has what servers and clients observed of each request. It is safe for concurrent use.
type Record struct {
	mu         sync.Mutex
	requests   map[string]*request
	violations Violations
	totals     Totals
	details    []string
}

type request struct {
	effect   lab.Effect
	attempts []*attempt
}

// attempt is a complete request as a server received it.
type attempt struct {
	id       string
	zone     string
	conn     net.Conn
	first    bool   // the first request of its connection
	body     string // of its response
	rejected bool   // it never runs
	ended    bool
}

func (a *attempt) String() string {
	if a.first {
		return "first request of its connection"
	}
	return "reused connection"
}

// maxDetails bounds the descriptions of violations.
const maxDetails = 20

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{requests: map[string]*request{}} }

func (r *Record) violate(counter *int, format string, args ...any) {
	*counter++
	if len(r.details) < maxDetails {
		r.details = append(r.details, fmt.Sprintf(format, args...))
	}
}

// sent records that a client sends a request.
func (r *Record) sent(id string, effect lab.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &request{effect: effect}
	r.totals.Requests++
}

// received records the last byte of an attempt at a server. It is judged when it starts to run, as a server
// may reject it.
func (r *Record) received(id, zone string, conn net.Conn, first bool) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &attempt{id: id, zone: zone, conn: conn, first: first}
	q := r.requests[id]
	if q == nil {
		return a
	}
	for _, earlier := range q.attempts {
		switch {
		case earlier.rejected:
			continue
		case q.effect == lab.NonIdempotent:
			r.violate(&r.violations.Repeated, "%s: sent again after an attempt that ran (%v)", id, earlier)
		case q.effect == lab.IdempotentByKey && earlier.zone != zone:
			r.violate(&r.violations.OutsideScope, "%s: sent again in another zone (%v)", id, earlier)
		}
		if !earlier.ended && !socket.HungUp(earlier.conn) {
			r.violate(&r.violations.Overlapping, "%s: two attempts in flight (%v)", id, earlier)
		}
	}
	q.attempts = append(q.attempts, a)
	return a
}

// rejected records that an attempt never runs.
func (r *Record) rejected(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.rejected, a.ended = true, true
}

// started records that an attempt runs, and returns the body of its response.
func (r *Record) started(a *attempt) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.body = fmt.Sprintf("response to %s, attempt %p", a.id, a)
	return a.body
}

// ended records that the response to an attempt was sent, or could not be.
func (r *Record) ended(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.ended = true
}

// served records a 200 with a body.
func (r *Record) served(id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Served++
	for _, a := range r.requests[id].attempts {
		if a.body == body && body != "" {
			return
		}
	}
	r.violate(&r.violations.WrongResponses, "%s: served %q, which was not made for it", id, body)
}

// clientRejected records an answer which says that the request never ran.
func (r *Record) clientRejected(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Rejected++
	for _, a := range r.requests[id].attempts {
		if !a.rejected {
			r.violate(&r.violations.RejectedAfterRun, "%s: rejected, although an attempt ran (%v)", id, a)
			return
		}
	}
}

// failed records an answer that says nothing about whether the request ran.
func (r *Record) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Failed++
}

// unanswered records that a request got no final answer in time.
func (r *Record) unanswered(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(&r.violations.Unanswered, "%s: no answer: %v", id, err)
}

// Results returns the violations with descriptions of the first of them, and the totals.
func (r *Record) Results() (Violations, []string, Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations, r.details, r.totals
}
