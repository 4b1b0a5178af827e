package conns

import (
	"context"
	"log/slog"
	"time"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

// attemptLog writes one debug line for each attempt: which connection it had, what that had carried before,
// and how the attempt ended.
type attemptLog struct {
	enabled   bool
	carried   int // requests that the connection had carried before
	age, idle time.Duration
}

// newAttemptLog notes the state of a connection before an attempt.
func newAttemptLog(ctx context.Context, cn *Conn) attemptLog {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return attemptLog{}
	}
	return attemptLog{enabled: true, carried: cn.carried, age: time.Since(cn.opened), idle: cn.idleTime()}
}

// ended writes the line. kept says whether the connection may carry another request.
func (l *attemptLog) ended(ctx context.Context, x *Exchange, cn *Conn, result *core.Result, kept bool) {
	if !l.enabled {
		return
	}
	attrs := []any{
		"request", x.ID, "backend", cn.addr, "status", statusNames[result.Status], "kept", kept,
		"connection", cn.id, "requests_carried", l.carried, "age", l.age, "idle", l.idle,
		"unread_behind", cn.Reader.Buffered(),
	}
	if !cn.written.IsZero() {
		attrs = append(attrs, "since_written", time.Since(cn.written))
	}
	slog.DebugContext(ctx, "attempt ended", attrs...)
}

var statusNames = map[policy.Status]string{
	policy.OK:            "served",
	policy.Error:         "error",
	policy.Rejected:      "rejected",
	policy.Timeout:       "timeout",
	policy.ConnectFailed: "connect failed",
	policy.Reset:         "reset",
	policy.Cancelled:     "cancelled",
	policy.NotStarted:    "not started",
}
