package core

import (
	"log/slog"
	"time"
)

const (
	// logLinesPerSecond and logBurst limit the loop's log lines; lines beyond them are dropped.
	logLinesPerSecond = 5
	logBurst          = 50
	// logBacklog bounds the lines that wait for writeLog; lines beyond it are dropped.
	logBacklog = 64
)

// reportViolation counts and logs a decision of the balancer that the loop did not carry out. Operators match the
// complete line, so that the violation is part of the message.
func (l *EventLoop) reportViolation(v Violation) {
	l.stats.GuardViolations++
	l.log(slog.LevelError, "guard: "+string(v))
}

// unservedLogInterval is how often requests that were not served are logged, by the rules that ended them.
const unservedLogInterval = 10 * time.Second

// logUnserved logs which rules have ended requests since it last did.
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

// writeLog writes the queued log lines until the loop's context ends. It has a goroutine of its own, since a log
// that nobody reads blocks its writer.
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
