package core

import (
	"log/slog"
	"time"
)

const (
	// logLinesPerSecond and logBurst limit the loop's log lines; lines beyond them are dropped.
	logLinesPerSecond = 5
	logBurst          = 50
	// logBacklog bounds the lines queued for writeLog; lines beyond it are dropped.
	logBacklog = 64
)

// reportViolation counts and logs a decision of the balancer that the loop did not carry out. Operators
// match the complete message, so the violation is part of it instead of an attribute.
func (l *EventLoop) reportViolation(v Violation) {
	l.stats.GuardViolations++
	l.log(slog.LevelError, "guard: "+string(v))
}

// unservedLogInterval is how often the requests that were not served are logged, by the rule that ended
// them.
const unservedLogInterval = 10 * time.Second

// logUnserved logs how many requests each rule has ended since the last call.
func (l *EventLoop) logUnserved() {
	if rules := l.counters.unservedSince(&l.unservedLogged); len(rules) > 0 {
		l.log(slog.LevelInfo, "requests not served, by rule", rules...)
	}
}

// log queues a log line. It never blocks: a line over the limits is dropped.
func (l *EventLoop) log(level slog.Level, message string, args ...any) {
	if !l.logLimiter.Allow() {
		return
	}
	select {
	case l.logLines <- func() { slog.Log(l.ctx, level, message, args...) }:
	default:
	}
}

// writeLog writes the queued log lines until the loop's context ends. It runs in its own goroutine, as
// writing blocks if the reader of the log does not keep up.
func (l *EventLoop) writeLog() {
	for {
		select {
		case line := <-l.logLines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}
