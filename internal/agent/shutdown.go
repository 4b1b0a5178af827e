package agent

import (
	"time"

	"ringtrack.example/ringtrack/internal/downstream/shutdown"
)

const (
	// killGrace and maxKillDelay determine when SIGKILL may follow SIGTERM: killGrace after the longest
	// client timeout, of which at most maxKillDelay counts. The platform sets these times.
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	// killMargin is how long before that SIGKILL every request has to be answered. For the first
	// lateAnswerTime of it late answers may still be written; the rest is for the exit.
	killMargin     = 200 * time.Millisecond
	lateAnswerTime = 150 * time.Millisecond
	// excusedTime is how long after SIGTERM the requests come of which SIGKILL may find some unanswered. The platform
	// sets it. Nothing is taken on in the last acceptMargin of it, as clients and this process measure it differently.
	excusedTime  = 700 * time.Millisecond
	acceptMargin = 50 * time.Millisecond
	// partialTime is how long a request may be incomplete during a shutdown: its client may end it after excusedTime.
	partialTime = 20 * time.Millisecond
	// listenTime is how long new connections are accepted after SIGTERM: clients open some for up to 0.4 s, and they may
	// wait in the accept queue for a while.
	listenTime = 450 * time.Millisecond
	// minClientTimeout is the minimum that longestClientTimeout returns.
	minClientTimeout = 50 * time.Millisecond
)

// shutdownPlan returns the plan of a graceful shutdown. Connections end with their next answer, and at once if they are
// idle: a request that comes later than excusedTime is lost if the process is stopped until SIGKILL, and a client that has
// no connection sends none. New connections are accepted for listenTime, since the next process may not have started yet.
func (c *Config) shutdownPlan() shutdown.Plan {
	answer := min(c.longestClientTimeout(), maxKillDelay) + killGrace - killMargin
	plan := shutdown.Plan{
		Listen:  listenTime,
		Read:    excusedTime - acceptMargin,
		Partial: partialTime,
		Answer:  answer,
		Abort:   answer + lateAnswerTime,
	}
	if c.serveAfterSignal > 0 {
		plan.Serve = c.serveAfterSignal
		plan.Listen = c.serveAfterSignal
		plan.Read += c.serveAfterSignal
		plan.Partial = plan.Read
	}
	return plan
}

// longestClientTimeout returns the longest client timeout of any class.
func (c *Config) longestClientTimeout() time.Duration {
	longest := minClientTimeout
	for _, class := range c.Settings.Classes {
		longest = max(longest, durationFromMs(class.ClientTimeoutMs))
	}
	return longest
}
