package leasemodel

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// replicatedLog is the replicas' history and all its epochs in order. It is immutable, as several worlds
// share it: changes are made to a copy.
type replicatedLog struct {
	history     history.History
	epochs      []uint64
	serverRules []uint64 // for each epoch, a number that increases when the server rules change
}

func newReplicatedLog() *replicatedLog {
	return &replicatedLog{epochs: []uint64{0}, serverRules: []uint64{0}}
}

func (l *replicatedLog) clone() *replicatedLog {
	c := *l
	c.history.Versions = slices.Clone(l.history.Versions)
	c.epochs = slices.Clone(l.epochs)
	c.serverRules = slices.Clone(l.serverRules)
	return &c
}

// position returns the index of an epoch in the order of all.
func (l *replicatedLog) position(epoch uint64) int { return slices.Index(l.epochs, epoch) }

// serverRulesOf returns the number of an epoch's server rules.
func (l *replicatedLog) serverRulesOf(epoch uint64) uint64 { return l.serverRules[l.position(epoch)] }

// publish returns the log with one more version. Every third version has the server rules of the one before.
func (l *replicatedLog) publish() *replicatedLog {
	c := l.clone()
	number := c.history.Last() + 1
	cordoned := number
	if number%3 == 2 {
		cordoned--
	}
	publish := &history.Publish{
		ID:     fmt.Sprint(number),
		Parent: number - 1,
		Config: &sharedconfig.Config{Cordoned: []string{fmt.Sprint(cordoned)}},
	}
	if _, err := c.history.Apply(&history.Command{Publish: publish}); err != nil {
		panic(err)
	}
	return c
}

// advance returns the log with the next epoch in force.
func (l *replicatedLog) advance(d Defect) *replicatedLog {
	c := l.clone()
	c.advanceOnce()
	if d == NoIntersection && c.history.Epoch%2 == 1 {
		c.advanceOnce()
	}
	return c
}

func (l *replicatedLog) advanceOnce() {
	var previous *sharedconfig.Config
	if t := l.history.Transition(); t != nil {
		previous = t.Config
	}
	epoch := l.history.Epoch
	l.history.Apply(&history.Command{Advance: &epoch})
	serverRules := l.serverRules[len(l.serverRules)-1]
	if previous == nil || !previous.SameServerRules(l.history.Transition().Config) {
		serverRules++
	}
	l.epochs = append(l.epochs, l.history.Epoch)
	l.serverRules = append(l.serverRules, serverRules)
}

// serverRulesDiffer returns the function by which a lessor learns whether server rules differ between epochs.
func (l *replicatedLog) serverRulesDiffer(d Defect) lease.ServerRulesDiffer {
	return func(from, to uint64) bool { return d != IgnoreServerRules && l.history.ServerRulesDiffer(from, to) }
}
