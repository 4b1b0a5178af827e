package agent

import "time"

const (
	// killGrace and maxKillDelay bound when SIGKILL may follow SIGTERM: killGrace after the longest client timeout, of
	// which at most maxKillDelay counts (protocol page, "Figures").
	killGrace    = 700 * time.Millisecond
	maxKillDelay = 3 * time.Second
	// killMargin is left of that time at the process's own end. lateAnswerTime is the part of it in which answers that are
	// late may still be written; the rest is for the exit.
	killMargin     = 200 * time.Millisecond
	lateAnswerTime = 150 * time.Millisecond
	// finalFraction is the part of that time, as a divisor, and maxFinal the bound of it, that the last accepted requests
	// have.
	finalFraction = 4
	maxFinal      = 500 * time.Millisecond
	// minServe is the minimum time for which new connections are accepted after SIGTERM.
	minServe = 500 * time.Millisecond
	// minClientTimeout is the least that longestClientTimeout returns.
	minClientTimeout = 50 * time.Millisecond
)

// shutdownPlan returns the plan of a graceful shutdown, in times from the signal: until when clients are served as
// before, and by when everything accepted after the signal is answered. Connections stay open at first, since the next
// process may not be there yet.
func (c *Config) shutdownPlan() (serve, answer time.Duration) {
	kill := min(c.longestClientTimeout(), maxKillDelay) + killGrace
	answer = kill - killMargin
	serve = max(answer-min(kill/finalFraction, maxFinal), minServe)
	if c.serveAfterSignal > 0 {
		serve = c.serveAfterSignal
	}
	return serve, answer
}

// longestClientTimeout returns the longest time that clients give a request of any class.
func (c *Config) longestClientTimeout() time.Duration {
	longest := minClientTimeout
	for _, class := range c.Settings.Classes {
		longest = max(longest, durationFromMs(class.ClientTimeoutMs))
	}
	return longest
}
