// Package closelog records why connections of clients were closed though a request on them may have got no answer.
package closelog

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Reason is why a connection was closed.
type Reason uint8

// The reasons.
const (
	NoRoom           Reason = iota // another connection took its place, and bytes of it were unread
	SlowReader                     // another connection took its place, and its client read the answer slowly, or it was late
	Truncated                      // the reply of the server broke off, or its client did not read it
	ShutdownDeadline               // the time of a shutdown was over
	reasons
)

var names = [reasons]string{"no room", "slow reader", "truncated", "shutdown deadline"}

// String returns the reason as it is logged.
func (r Reason) String() string { return names[r] }

const linesPerSecond, lineBurst = 2, 10

// Log counts closes by their reason, and logs a bounded number of them. It is safe for concurrent use.
type Log struct {
	listener string
	lines    *rate.Limiter
	counts   [reasons]atomic.Int64
}

// New returns a log for the connections of a listener.
func New(listener string) *Log {
	return &Log{listener: listener, lines: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Record records the close of a connection.
func (l *Log) Record(reason Reason, peer string) {
	l.counts[reason].Add(1)
	if l.lines.Allow() {
		slog.Warn("connection closed without a complete answer", "listener", l.listener, "reason", reason.String(), "peer", peer)
	}
}

// Count returns how many connections were closed for a reason.
func (l *Log) Count(reason Reason) int64 { return l.counts[reason].Load() }

// LogTotals logs the counts of all reasons, unless they are 0.
func (l *Log) LogTotals() {
	var attributes []any
	for reason := range reasons {
		if n := l.Count(reason); n > 0 {
			attributes = append(attributes, reason.String(), n)
		}
	}
	if len(attributes) > 0 {
		slog.Info("connections closed without a complete answer", append(attributes, "listener", l.listener)...)
	}
}
