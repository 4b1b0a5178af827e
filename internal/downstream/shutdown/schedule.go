// Package shutdown has the times of a graceful shutdown, which all downstreams of an agent share.
package shutdown

import "time"

const (
	// PollInterval is how often a downstream that shuts down looks at its connections.
	PollInterval = 10 * time.Millisecond
	// FirstBytesTime is how long a new connection may be silent though its downstream shuts down: its client may just be
	// sending a request, which a close would leave without an answer.
	FirstBytesTime = 250 * time.Millisecond
	// minListen is how long new connections are accepted at least once the signal is noticed.
	minListen = 50 * time.Millisecond
)

// Plan has the steps of a shutdown, as durations from the signal that asks for it.
type Plan struct {
	// Serve is how long connections stay open between requests. From then on each ends with its next answer.
	Serve time.Duration
	// Listen is how long new connections are accepted. A signal that is noticed late leaves minListen for those that wait.
	Listen time.Duration
	// Read is how long requests may take to arrive. What arrives later is rejected, and what is incomplete then is not
	// read. A new connection has FirstBytesTime.
	Read time.Duration
	// Partial is how long a request may be incomplete, counted from the drain's begin or from its own. It is
	// rejected then.
	Partial time.Duration
	// Answer is by when every request has its answer.
	Answer time.Duration
	// Abort is when the connections are closed whose answers have begun, or are not owed.
	Abort time.Duration
}

// Schedule has the times of a Plan.
type Schedule struct {
	SignaledAt  time.Time
	ServeUntil  time.Time
	ListenUntil time.Time
	ReadUntil   time.Time
	DrainFrom   time.Time
	Partial     time.Duration
	AnswerBy    time.Time
	AbortAt     time.Time
}

// Schedule returns the times of a shutdown whose signal was sent at one time and noticed at another.
func (p Plan) Schedule(signaledAt, noticedAt time.Time) Schedule {
	s := Schedule{
		SignaledAt:  signaledAt,
		ServeUntil:  signaledAt.Add(p.Serve),
		ListenUntil: later(signaledAt.Add(p.Listen), noticedAt.Add(min(p.Listen, minListen))),
		ReadUntil:   signaledAt.Add(p.Read),
		DrainFrom:   later(noticedAt, signaledAt.Add(p.Serve)),
		Partial:     p.Partial,
		AnswerBy:    signaledAt.Add(p.Answer),
		AbortAt:     signaledAt.Add(p.Abort),
	}
	return s
}

// PartialUntil returns until when a request may be incomplete that began at a time.
func (s *Schedule) PartialUntil(begun time.Time) time.Time {
	until := later(begun, s.DrainFrom).Add(s.Partial)
	if until.After(s.ReadUntil) {
		return s.ReadUntil
	}
	return until
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
