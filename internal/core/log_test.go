package core

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/policy"
)

// A blocked log writer, such as a pipe that is not read, does not block the loop.
func TestLogNeverBlocksTheLoop(t *testing.T) {
	u := stub{func(context.Context, *Backend, *Call) Result { return Result{Status: policy.OK} }}
	l := startTestLoop(t, u)
	unblock, writing := make(chan struct{}), make(chan struct{})
	l.logLines <- func() { close(writing); <-unblock }
	defer close(unblock)
	<-writing
	done := make(chan struct{})
	l.Post(func() {
		l.logLimiter.SetLimit(rate.Inf)
		for range 2 * cap(l.logLines) {
			l.log(slog.LevelDebug, "line")
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the loop is blocked by the log")
	}
	if a := l.roundTrip(t, newCall(u, "1", 2)); a.Outcome != Served {
		t.Errorf("the call was answered with %+v", a)
	}
}
