package acceptance

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// crowdKind is what else is connected while an agent ends.
type crowdKind int

const (
	noCrowd   crowdKind = iota
	idleCrowd           // connections that bring nothing, or half a head
	busyCrowd           // clients like all others
	crowds
)

// soakPlan is what the seed draws for a soak.
type soakPlan struct {
	deadline   time.Duration
	crowd      crowdKind
	hanging    int  // servers that take requests and say nothing, of soakServers
	successors bool // each next process starts before the last one is signaled to end
}

const soakServers = 6

// drawSoak draws what is beside the ends of a soak.
func drawSoak(rng *rand.Rand) soakPlan {
	deadlines := []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}
	return soakPlan{
		deadline:   deadlines[rng.IntN(len(deadlines))],
		crowd:      crowdKind(rng.IntN(int(crowds))),
		hanging:    rng.IntN(soakServers / 2),
		successors: rng.IntN(3) == 0,
	}
}

// drawSignals draws the series of signals that ends a process, for which it has this long.
func drawSignals(rng *rand.Rand, within time.Duration) []signalAfter {
	some := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
	var series []signalAfter
	for range rng.IntN(3) {
		series = append(series, signalAfter{time.Duration(rng.IntN(10)) * time.Millisecond, syscall.SIGHUP})
	}
	series = append(series, signalAfter{time.Duration(rng.IntN(10)) * time.Millisecond, some[rng.IntN(2)]})
	switch rng.IntN(3) {
	case 0: // a few close behind it
		for range rng.IntN(4) {
			series = append(series, signalAfter{time.Duration(rng.IntN(20)) * time.Millisecond, some[rng.IntN(3)]})
		}
	case 1: // on and on, until it has ended
		const every = 5 * time.Millisecond
		for range within / every {
			series = append(series, signalAfter{every, some[rng.IntN(3)]})
		}
	}
	return series
}
