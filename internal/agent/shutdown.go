package agent

import "time"

const (
	// killGrace and maxKillDelay determine when SIGKILL may follow SIGTERM: killGrace after the longest
	// client timeout, of which at most maxKillDelay counts. The platform sets these times.
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	// killMargin is how long before that SIGKILL every request has to be answered. For the first
	// lateAnswerTime of it late answers may still be written; the rest is for the exit.
	killMargin     = 200 * time.Millisecond
	lateAnswerTime = 150 * time.Millisecond
	// finalDivisor and maxFinal determine the time that the last accepted requests have: the time from
	// SIGTERM to SIGKILL divided by finalDivisor, and at most maxFinal.
	finalDivisor = 4
	maxFinal     = 500 * time.Millisecond
	// minServe is the minimum time for which new connections are accepted after SIGTERM.
	minServe = 500 * time.Millisecond
	// minClientTimeout is the minimum that longestClientTimeout returns.
	minClientTimeout = 50 * time.Millisecond
)

// shutdownPlan returns the plan of a graceful shutdown, as durations from the signal: until when clients are
// served as before, and by when every request accepted after the signal is answered. Connections stay open at
// first, since the next process may not have started yet.
func (c *Config) shutdownPlan() (serve, answer time.Duration) {
	kill := min(c.longestClientTimeout(), maxKillDelay) + killGrace
	answer = kill - killMargin
	serve = max(answer-min(kill/finalDivisor, maxFinal), minServe)
	if c.serveAfterSignal > 0 {
		serve = c.serveAfterSignal
	}
	return serve, answer
}

// longestClientTimeout returns the longest client timeout of any class.
func (c *Config) longestClientTimeout() time.Duration {
	longest := minClientTimeout
	for _, class := range c.Settings.Classes {
		longest = max(longest, durationFromMs(class.ClientTimeoutMs))
	}
	return longest
}
