package agent

import "time"

const (
	// killGrace and killLongest say when SIGKILL may follow SIGTERM: no sooner than the longest deadline,
	// killLongest at the most, and killAfter more (protocol page, "Figures"). killMargin is left of it: the
	// program is to end by itself.
	killGrace, maxKillDelay, killMargin = 700 * time.Millisecond, 3 * time.Second, 200 * time.Millisecond
	// finalFraction of that time, lastMost at the most, is what the last requests that are taken have.
	finalFraction, maxFinal = 4, 500 * time.Millisecond
	// minServe is for how long new connections come all the same.
	minServe = 500 * time.Millisecond
)

// shutdownPlan is the plan of a planned end, in times from the signal: until when clients are served as ever, and
// by when all that is taken after the signal has its answer. An agent that closed its clients' connections
// at once would leave them with nobody until the next process is there, which comes no sooner for it.
func (c *Config) shutdownPlan() (serve, answer time.Duration) {
	kill := min(c.longestClientTimeout(), maxKillDelay) + killGrace
	answer = kill - killMargin
	serve = max(answer-min(kill/finalFraction, maxFinal), minServe)
	if c.serveAfterSignal > 0 {
		serve = c.serveAfterSignal
	}
	return serve, answer
}

// longestClientTimeout is the longest time that a client gives a request.
func (c *Config) longestClientTimeout() time.Duration {
	longest := 50 * time.Millisecond
	for _, class := range c.Settings.Classes {
		longest = max(longest, durationFromMs(class.ClientTimeoutMs))
	}
	return longest
}
