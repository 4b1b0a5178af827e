package cluster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// maxAttempts bounds the recorded attempts; later ones are not checked.
const maxAttempts = 4 << 20

// AttemptLog records the attempts that reached the test servers, the versions that were published and the
// epochs that were reported in force. Check finds the attempts that no configuration permitted at their time.
// It is safe for concurrent use.
type AttemptLog struct {
	// Slack is the time allowed between an agent's last check and the first byte at the server.
	Slack time.Duration
	// AgentSettings are the settings in the agents' own files.
	AgentSettings policy.Settings
	// Zone is each server's zone, by server id.
	Zone map[string]string

	mu           sync.Mutex
	attempts     []attempt
	versions     []publishedVersion // sorted by number
	inForce      []inForceReport    // in the order of the reports; epochs ascend
	predecessors map[uint64]uint64  // version number to the number it replaced
	epochs       []uint64           // all epochs of the history, ascending
}

// attempt is one request as a server received it.
type attempt struct {
	server, op string
	at         time.Time
}

// publishedVersion is a version of the shared configuration.
type publishedVersion struct {
	number    uint64
	config    *sharedconfig.Config
	sent      time.Time
	inForceAt time.Time // zero: not yet reported in force
}

// inForceReport is a replica's statement that no agent acts on an epoch before this one.
type inForceReport struct {
	epoch uint64
	at    time.Time
}

// SetHistory sets the versions that the configuration store reports. Versions without a transition were never
// in force.
func (a *AttemptLog) SetHistory(versions []sharedconfig.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.predecessors = map[uint64]uint64{}
	a.epochs = []uint64{0}
	for _, v := range versions {
		if v.Transitioned {
			a.predecessors[v.Number] = v.From
			a.epochs = append(a.epochs, sharedconfig.EpochOf(v.Number)-1, sharedconfig.EpochOf(v.Number))
		}
	}
}

// Record records that a request arrived at a server. Beyond maxAttempts it does nothing.
func (a *AttemptLog) Record(server, op string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.attempts) < maxAttempts {
		a.attempts = append(a.attempts, attempt{server, op, at})
	}
}

// Len returns the number of attempts recorded so far.
func (a *AttemptLog) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.attempts)
}

// CountByAgent counts the attempts at a server by agent, beginning with the from-th attempt recorded.
func (a *AttemptLog) CountByAgent(server string, from int) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := map[string]int{}
	for _, x := range a.attempts[from:] {
		if x.server == server {
			counts[agentOf(x.op)]++
		}
	}
	return counts
}

// Published records a version whose publish was sent at the given time.
func (a *AttemptLog) Published(number uint64, config *sharedconfig.Config, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions = append(a.versions, publishedVersion{number: number, config: config, sent: sent})
	slices.SortFunc(a.versions, func(x, y publishedVersion) int { return int(x.number) - int(y.number) })
}

// InForce records a replica's report, requested at the given time, that no agent acts on an epoch before this
// one.
func (a *AttemptLog) InForce(epoch uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reachedEpoch(epoch) {
		return
	}
	a.inForce = append(a.inForce, inForceReport{epoch, at})
	for i := range a.versions {
		if v := &a.versions[i]; v.inForceAt.IsZero() && sharedconfig.EpochOf(v.number) <= epoch {
			v.inForceAt = at
		}
	}
}

// reached reports whether an epoch, or a later one, was reported in force.
func (a *AttemptLog) reached(epoch uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reachedEpoch(epoch)
}

// reachedEpoch is reached for callers that hold the lock.
func (a *AttemptLog) reachedEpoch(epoch uint64) bool {
	n := len(a.inForce)
	return n > 0 && a.inForce[n-1].epoch >= epoch
}

// PublishLatencies returns, sorted, the time of each version from its publish until it was reported in force,
// and the number of versions that never were.
func (a *AttemptLog) PublishLatencies() (latencies []time.Duration, notInForce int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.versions {
		if v.inForceAt.IsZero() {
			notInForce++
		} else {
			latencies = append(latencies, v.inForceAt.Sub(v.sent))
		}
	}
	slices.Sort(latencies)
	return latencies, notInForce
}

// agentOf returns the name of the agent that made an operation. Operations are named AGENT-CLASS-N.
func agentOf(op string) string {
	name, _, _ := strings.Cut(op, "-")
	return name
}

// Class returns the request class of an operation named AGENT-CLASS-N, or "" for any other name.
func Class(op string) string {
	parts := strings.Split(op, "-")
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}
