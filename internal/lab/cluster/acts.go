package cluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/intersect"
	"ringtrack.example/ringtrack/policy"
)

// AttemptLog is what the stand-in servers saw, and what was published and said to be in force when. It judges whether any
// act was one that no stage permits that may have been in force then. It may be used from any goroutine.
type AttemptLog struct {
	// Slack is what may pass between an agent's last look and the stand-in's first byte.
	Slack time.Duration
	// AgentSettings is what the agents' files permit.
	AgentSettings policy.Settings
	Zone          map[string]string // of servers

	mu       sync.Mutex
	acts     []act
	versions []version
	force    []inForce
	froms    map[uint64]uint64 // which version each that came in force was stepped to from
	stages   []uint64          // all there were, in order
}

// SetHistory tells which versions were gone to, and from which: those between never were in force.
func (a *AttemptLog) SetHistory(all []sharedconfig.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.froms, a.stages = map[uint64]uint64{}, []uint64{0}
	for _, v := range all {
		if v.Transitioned {
			a.froms[v.Number] = v.From
			a.stages = append(a.stages, sharedconfig.EpochOf(v.Number)-1, sharedconfig.EpochOf(v.Number))
		}
	}
}

// mostActs bounds what is kept.
const mostActs = 4 << 20

type act struct {
	server, op string
	at         time.Time
}

type version struct {
	number uint64
	book   *sharedconfig.Config
	sent   time.Time
	forced time.Time // zero: not yet
}

type inForce struct {
	stage uint64
	at    time.Time
}

// Record notes that a request came to a server.
func (a *AttemptLog) Record(server, op string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.acts) < mostActs {
		a.acts = append(a.acts, act{server, op, at})
	}
}

// Len is the number of acts so far, By how many since the from-th came to a server, by agent.
func (a *AttemptLog) Len() int { a.mu.Lock(); defer a.mu.Unlock(); return len(a.acts) }

// CountByAgent implements the other half of Len.
func (a *AttemptLog) CountByAgent(server string, from int) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for _, x := range a.acts[from:] {
		if x.server == server {
			name, _, _ := strings.Cut(x.op, "-")
			out[name]++
		}
	}
	return out
}

// Published notes a version whose publish was begun at sent.
func (a *AttemptLog) Published(number uint64, b *sharedconfig.Config, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions = append(a.versions, version{number: number, book: b, sent: sent})
	slices.SortFunc(a.versions, func(x, y version) int { return int(x.number) - int(y.number) })
}

// InForce notes that a keeper has said, at this time, that nobody acts on a stage before this one.
func (a *AttemptLog) InForce(stage uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.force); n > 0 && a.force[n-1].stage >= stage {
		return
	}
	a.force = append(a.force, inForce{stage, at})
	for i := range a.versions {
		if v := &a.versions[i]; v.forced.IsZero() && sharedconfig.EpochOf(v.number) <= stage {
			v.forced = at
		}
	}
}

// PublishLatencies is how long each version took from its publish until it was said to be in force, sorted, and how many were not.
func (a *AttemptLog) PublishLatencies() (took []time.Duration, not int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.versions {
		if v.forced.IsZero() {
			not++
		} else {
			took = append(took, v.forced.Sub(v.sent))
		}
	}
	slices.Sort(took)
	return took, not
}

// Class is the class of an operation, by its name: AGENT-CLASS-N.
func Class(op string) string {
	parts := strings.Split(op, "-")
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

// Violation is an act that no stage permitted which may have been in force.
type Violation struct {
	At   time.Time
	Op   string
	Text string
	// Late is how long before the act the last stage that permits it had ceased to be in force; 0: none ever permitted it.
	Late time.Duration
}

// Verdict is what came of all acts.
type Verdict struct {
	Attempts, Retries int
	Violations        []Violation
	// Staleness is how long after a version's publish the last act came that it forbids, one a version that had any, sorted.
	Staleness []time.Duration
}

// Check judges all acts so far. There has to be, for each moment, one stage S that only grows, such that every act is
// permitted by S or S+1 and S is no lower than what was said to be in force: then no two agents acted on rules that
// contradict each other. Slack is granted between an act and its arrival at a stand-in.
func (a *AttemptLog) Check() (j Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortStableFunc(a.acts, func(x, y act) int { return x.at.Compare(y.at) })
	terms := map[uint64]*sharedconfig.Config{}
	last := map[uint64]time.Duration{}
	tries := map[string][]act{}
	type needs struct {
		at    time.Time
		stage uint64
		by    act
	}
	var by act
	var recent []needs // acts that are younger than the slack, and the least S that each needs
	forced := uint64(0)
	for _, x := range a.acts {
		j.Attempts++
		before := tries[x.op]
		tries[x.op] = append(before, x)
		if len(before) > 0 {
			j.Retries++
		}
		for len(recent) > 0 && recent[0].at.Add(a.Slack).Before(x.at) {
			if recent[0].stage > forced {
				forced, by = recent[0].stage, recent[0].by
			}
			recent = recent[1:]
		}
		low, high := a.between(x.at)
		permits := func(s uint64) bool {
			b, known := terms[s]
			if !known || a.incomplete(s) {
				b = a.terms(s)
				terms[s] = b
			}
			return a.permits(b, before, x) == ""
		}
		need, ok := uint64(0), false
		for i, s := range a.stages {
			if s < max(low, forced) || s > high || ok {
				continue
			}
			next := i+1 < len(a.stages) && a.stages[i+1] <= high
			if permits(s) || next && permits(a.stages[i+1]) {
				need, ok = s, true
			}
		}
		for i := range a.versions {
			if v := &a.versions[i]; v.sent.Before(x.at) && (i+1 == len(a.versions) || x.at.Before(a.versions[i+1].sent)) && a.permits(v.book, before, x) != "" {
				last[v.number] = x.at.Sub(v.sent)
			}
		}
		if ok {
			if need > forced {
				recent = append(recent, needs{x.at, need, x})
			}
			continue
		}
		b := Violation{At: x.at, Op: x.op, Text: fmt.Sprintf("%s at %s, try %d: %s; in force were stages %d to %d, acted on from %d on (%s at %s %v before)", x.op, x.server, len(before)+1,
			a.permits(a.terms(max(low, forced)), before, x), low, high, forced, by.op, by.server, x.at.Sub(by.at).Round(time.Millisecond))}
		for _, s := range slices.Backward(a.stages) {
			if s < low && a.permits(a.terms(s), before, x) == "" {
				for _, f := range a.force {
					if f.stage > s {
						b.Late = x.at.Sub(f.at)
						break
					}
				}
				break
			}
		}
		j.Violations = append(j.Violations, b)
	}
	for _, d := range last {
		j.Staleness = append(j.Staleness, d)
	}
	slices.Sort(j.Staleness)
	return j
}

// incomplete tells whether a stage needs a version that was not published.
func (a *AttemptLog) incomplete(stage uint64) bool { return a.book((stage+1)/2) == nil }

// between are the lowest and the highest stage that may have been acted on at a time.
func (a *AttemptLog) between(t time.Time) (low, high uint64) {
	for _, f := range a.force {
		if f.at.Add(a.Slack).Before(t) {
			low = f.stage
		}
	}
	for _, v := range a.versions {
		if v.sent.Before(t) {
			high = max(high, sharedconfig.EpochOf(v.number))
		}
	}
	return low, max(low, high)
}

func (a *AttemptLog) book(n uint64) *sharedconfig.Config {
	for i := range a.versions {
		if a.versions[i].number == n {
			return a.versions[i].book
		}
	}
	return nil
}

func (a *AttemptLog) terms(stage uint64) *sharedconfig.Config {
	if stage%2 == 0 {
		return a.book(stage / 2)
	}
	return intersect.Intersect(a.book(a.froms[stage/2+1]), a.book(stage/2+1))
}

// permits says by itself why a book forbids an act; "": it does not.
func (a *AttemptLog) permits(b *sharedconfig.Config, before []act, x act) string {
	if b == nil {
		b = &sharedconfig.Config{}
	}
	if slices.Contains(b.Cordoned, x.server) {
		return "banned"
	}
	if _, in := b.Servers[x.server]; b.Listed && !in {
		return "not in service"
	}
	if len(before) == 0 {
		return ""
	}
	if b.MaxAttempts > 0 && len(before)+1 > b.MaxAttempts || len(before)+1 > a.AgentSettings.Limits.MaxAttempts {
		return "too many attempts"
	}
	var own policy.Class
	for _, c := range a.AgentSettings.Classes {
		if c.Name == Class(x.op) {
			own = c
		}
	}
	for _, c := range []sharedconfig.Class{{Effect: own.Effect, DedupScope: own.DedupScope, IdempotencyWindowMs: own.IdempotencyWindowMs}, b.Classes[own.Name]} {
		switch c.Effect {
		case policy.NonIdempotent:
			return "a repeat of what must not run twice"
		case policy.IdempotentByKey:
			if c.IdempotencyWindowMs > 0 && x.at.Sub(before[0].at) > time.Duration(c.IdempotencyWindowMs*float64(time.Millisecond)) {
				return "a repeat past its window"
			}
			if c.DedupScope == policy.ScopeZone && a.Zone[x.server] != a.Zone[before[0].server] {
				return "a repeat in another zone"
			}
		}
	}
	return ""
}
