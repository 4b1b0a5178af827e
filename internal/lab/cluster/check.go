package cluster

import (
	"fmt"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/intersect"
	"ringtrack.example/ringtrack/policy"
)

// Violation is an attempt that none of the epochs that may have been in force permitted.
type Violation struct {
	At   time.Time
	Op   string
	Text string
	// Late is the time between the end of the last epoch that permits the attempt and the attempt; 0: no
	// epoch permits it.
	Late time.Duration
}

// Verdict is the result of a check.
type Verdict struct {
	Attempts, Retries int
	Violations        []Violation
	// Staleness lists, sorted, the time from the publish of a version until the last attempt that the version
	// forbids, for each version with such attempts.
	Staleness []time.Duration
}

// epochBound is a lower bound of the epoch in use, proved by an attempt.
type epochBound struct {
	at    time.Time
	epoch uint64
	cause attempt
}

// checker holds the state of one check. Its methods need the lock of the log.
type checker struct {
	*AttemptLog
	verdict   Verdict
	configs   map[uint64]*sharedconfig.Config // by epoch
	earlier   map[string][]attempt            // by operation, the attempts already checked
	lastStale map[uint64]time.Duration        // by version number
	proven    epochBound                      // older than the slack, binding for later attempts
	recent    []epochBound                    // within the slack, not binding yet
}

// Check checks all attempts recorded so far. At each time there has to be an epoch E, which never decreases
// and is at least the epoch reported in force, such that E or E+1 permits every attempt: then no two agents
// acted on configurations that contradict each other. Slack allows for the time between the sending of an
// attempt and its arrival.
func (a *AttemptLog) Check() Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortStableFunc(a.attempts, func(x, y attempt) int { return x.at.Compare(y.at) })
	c := &checker{
		AttemptLog: a,
		configs:    map[uint64]*sharedconfig.Config{},
		earlier:    map[string][]attempt{},
		lastStale:  map[uint64]time.Duration{},
	}
	for _, x := range a.attempts {
		c.check(x)
	}
	for _, d := range c.lastStale {
		c.verdict.Staleness = append(c.verdict.Staleness, d)
	}
	slices.Sort(c.verdict.Staleness)
	return c.verdict
}

// check checks one attempt. Attempts are passed in the order of their times.
func (c *checker) check(x attempt) {
	c.verdict.Attempts++
	earlier := c.earlier[x.op]
	c.earlier[x.op] = append(earlier, x)
	if len(earlier) > 0 {
		c.verdict.Retries++
	}
	c.expireSlack(x.at)
	low, high := c.epochsAt(x.at)
	epoch, permitted := c.lowestPermitting(low, high, earlier, x)
	c.noteStale(earlier, x)
	if !permitted {
		c.verdict.Violations = append(c.verdict.Violations, c.violation(low, high, earlier, x))
		return
	}
	if epoch > c.proven.epoch {
		c.recent = append(c.recent, epochBound{x.at, epoch, x})
	}
}

// expireSlack makes those bounds binding that are older than the slack.
func (c *checker) expireSlack(now time.Time) {
	for len(c.recent) > 0 && c.recent[0].at.Add(c.Slack).Before(now) {
		if c.recent[0].epoch > c.proven.epoch {
			c.proven = c.recent[0]
		}
		c.recent = c.recent[1:]
	}
}

// lowestPermitting returns the lowest epoch E from low to high, no lower than the proven one, for which E or
// its successor permits the attempt.
func (c *checker) lowestPermitting(low, high uint64, earlier []attempt, x attempt) (epoch uint64, ok bool) {
	for i, e := range c.epochs {
		if e < max(low, c.proven.epoch) || e > high {
			continue
		}
		if c.permits(e, earlier, x) {
			return e, true
		}
		if i+1 < len(c.epochs) && c.epochs[i+1] <= high && c.permits(c.epochs[i+1], earlier, x) {
			return e, true
		}
	}
	return 0, false
}

func (c *checker) permits(epoch uint64, earlier []attempt, x attempt) bool {
	config, known := c.configs[epoch]
	if !known || c.incomplete(epoch) {
		config = c.configAt(epoch)
		c.configs[epoch] = config
	}
	return c.denial(config, earlier, x) == ""
}

// noteStale records the age of the version published last before the attempt if that version forbids the
// attempt.
func (c *checker) noteStale(earlier []attempt, x attempt) {
	for i := range c.versions {
		v := &c.versions[i]
		latest := i+1 == len(c.versions) || x.at.Before(c.versions[i+1].sent)
		if v.sent.Before(x.at) && latest && c.denial(v.config, earlier, x) != "" {
			c.lastStale[v.number] = x.at.Sub(v.sent)
		}
	}
}

func (c *checker) violation(low, high uint64, earlier []attempt, x attempt) Violation {
	reason := c.denial(c.configAt(max(low, c.proven.epoch)), earlier, x)
	cause := c.proven.cause
	text := fmt.Sprintf("%s at %s, attempt %d: %s; epochs %d to %d may be in force, epoch %d or later is in use (%s at %s %v earlier)",
		x.op, x.server, len(earlier)+1, reason, low, high, c.proven.epoch,
		cause.op, cause.server, x.at.Sub(cause.at).Round(time.Millisecond))
	return Violation{At: x.at, Op: x.op, Text: text, Late: c.lateness(low, earlier, x)}
}

// lateness returns the time since the end of the last epoch before low that permits the attempt; 0: there is
// none.
func (c *checker) lateness(low uint64, earlier []attempt, x attempt) time.Duration {
	for _, e := range slices.Backward(c.epochs) {
		if e >= low || c.denial(c.configAt(e), earlier, x) != "" {
			continue
		}
		for _, report := range c.inForce {
			if report.epoch > e {
				return x.at.Sub(report.at)
			}
		}
		return 0
	}
	return 0
}

// epochsAt returns the lowest and the highest epoch that agents may have acted on at a time.
func (a *AttemptLog) epochsAt(t time.Time) (low, high uint64) {
	for _, report := range a.inForce {
		if report.at.Add(a.Slack).Before(t) {
			low = report.epoch
		}
	}
	for _, v := range a.versions {
		if v.sent.Before(t) {
			high = max(high, sharedconfig.EpochOf(v.number))
		}
	}
	return low, max(low, high)
}

// incomplete reports whether the configuration of an epoch depends on a version that was not published.
func (a *AttemptLog) incomplete(epoch uint64) bool { return a.configOf((epoch+1)/2) == nil }

// configOf returns the configuration of a version; nil: it was not published.
func (a *AttemptLog) configOf(number uint64) *sharedconfig.Config {
	for i := range a.versions {
		if a.versions[i].number == number {
			return a.versions[i].config
		}
	}
	return nil
}

// configAt returns the configuration of an epoch: of a version, or of the transition between two.
func (a *AttemptLog) configAt(epoch uint64) *sharedconfig.Config {
	if epoch%2 == 0 {
		return a.configOf(epoch / 2)
	}
	next := epoch/2 + 1
	return intersect.Intersect(a.configOf(a.predecessors[next]), a.configOf(next))
}

// denial returns why a configuration forbids an attempt that follows earlier attempts of the same operation,
// or "" if it permits the attempt. It shares no code with the agents, so that a fault of theirs is not
// repeated here.
func (a *AttemptLog) denial(config *sharedconfig.Config, earlier []attempt, x attempt) string {
	if config == nil {
		config = &sharedconfig.Config{}
	}
	if slices.Contains(config.Cordoned, x.server) {
		return "server is cordoned"
	}
	if _, listed := config.Servers[x.server]; config.Listed && !listed {
		return "server is not in service"
	}
	if len(earlier) == 0 {
		return ""
	}
	number := len(earlier) + 1
	if config.MaxAttempts > 0 && number > config.MaxAttempts || number > a.AgentSettings.Limits.MaxAttempts {
		return "too many attempts"
	}
	local := a.classSettings(Class(x.op))
	localClass := sharedconfig.Class{Effect: local.Effect, DedupScope: local.DedupScope, IdempotencyWindowMs: local.IdempotencyWindowMs}
	for _, class := range []sharedconfig.Class{localClass, config.Classes[local.Name]} {
		if reason := a.retryDenial(class, earlier[0], x); reason != "" {
			return reason
		}
	}
	return ""
}

// classSettings returns the agents' settings of a class, or the zero value.
func (a *AttemptLog) classSettings(name string) (class policy.Class) {
	for _, c := range a.AgentSettings.Classes {
		if c.Name == name {
			class = c
		}
	}
	return class
}

// retryDenial returns why a class forbids a retry of an operation, or "" if it permits the retry.
func (a *AttemptLog) retryDenial(class sharedconfig.Class, first, retry attempt) string {
	switch class.Effect {
	case policy.NonIdempotent:
		return "retry of a non-idempotent request"
	case policy.IdempotentByKey:
		window := time.Duration(class.IdempotencyWindowMs * float64(time.Millisecond))
		if class.IdempotencyWindowMs > 0 && retry.at.Sub(first.at) > window {
			return "retry after the idempotency window"
		}
		if class.DedupScope == policy.ScopeZone && a.Zone[retry.server] != a.Zone[first.server] {
			return "retry in another zone"
		}
	}
	return ""
}
