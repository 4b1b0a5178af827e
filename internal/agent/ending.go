package agent

import "time"

const (
	// killAfter and killLongest say when SIGKILL may follow SIGTERM: no sooner than the longest deadline,
	// killLongest at the most, and killAfter more (protocol page, "Figures"). killMargin is left of it: the
	// program is to end by itself.
	killAfter, killLongest, killMargin = 700 * time.Millisecond, 3 * time.Second, 200 * time.Millisecond
	// lastPart of that time, lastMost at the most, is what the last requests that are taken have.
	lastPart, lastMost = 4, 500 * time.Millisecond
	// serveLeast is for how long new connections come all the same.
	serveLeast = 500 * time.Millisecond
)

// ending is the plan of a planned end, in times from the signal: until when clients are served as ever, and
// by when all that is taken after the signal has its answer. An agent that closed its clients' connections
// at once would leave them with nobody until the next process is there, which comes no sooner for it.
func (c *Config) ending() (serve, answer time.Duration) {
	kill := min(c.longest(), killLongest) + killAfter
	answer = kill - killMargin
	serve = max(answer-min(kill/lastPart, lastMost), serveLeast)
	if c.linger > 0 {
		serve = c.linger
	}
	return serve, answer
}

// longest is the longest time that a client gives a request.
func (c *Config) longest() time.Duration {
	longest := 50 * time.Millisecond
	for _, class := range c.Settings.Classes {
		longest = max(longest, ms(class.ClientTimeoutMs))
	}
	return longest
}
