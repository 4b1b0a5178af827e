package leasemodel

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// replicatedLog is the replicas' history, and the epochs that there were in order. It is not changed but copied, as
// worlds share it.
type replicatedLog struct {
	history   history.History
	epochs    []uint64
	endpoints []uint64 // of each epoch a number that grows when the endpoints change
}

func newReplicatedLog() *replicatedLog {
	return &replicatedLog{epochs: []uint64{0}, endpoints: []uint64{0}}
}

func (l *replicatedLog) clone() *replicatedLog {
	c := *l
	c.history.Versions = slices.Clone(l.history.Versions)
	c.epochs = slices.Clone(l.epochs)
	c.endpoints = slices.Clone(l.endpoints)
	return &c
}

// position is where an epoch stands in the order of all.
func (l *replicatedLog) position(epoch uint64) int { return slices.Index(l.epochs, epoch) }

// endpointsOf is the number of an epoch's endpoints.
func (l *replicatedLog) endpointsOf(epoch uint64) uint64 { return l.endpoints[l.position(epoch)] }

// publish returns the log with one more version; each third has the endpoints of the one before.
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
	endpoints := l.endpoints[len(l.endpoints)-1]
	if previous == nil || !previous.SameServerRules(l.history.Transition().Config) {
		endpoints++
	}
	l.epochs = append(l.epochs, l.history.Epoch)
	l.endpoints = append(l.endpoints, endpoints)
}

// endpointsChanged reports to a lessor whether endpoints change.
func (l *replicatedLog) endpointsChanged(d Defect) lease.ServerRulesDiffer {
	return func(from, to uint64) bool { return d != IgnoreServerRules && l.history.ServerRulesDiffer(from, to) }
}
