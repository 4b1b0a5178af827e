package acceptance

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// crowdKind is the kind of additional connections while an agent shuts down.
type crowdKind int

const (
	noCrowd   crowdKind = iota
	idleCrowd           // connections that send nothing, or half of a request header
	busyCrowd           // more clients that send requests
	crowdKinds
)

// soakPlan is the part of a soak that its seed selects.
type soakPlan struct {
	deadline   time.Duration
	crowd      crowdKind
	hanging    int  // how many of soakServers read requests and never answer
	successors bool // each next process starts before the last one is signaled to end
}

const soakServers = 6

// drawSoak draws a plan.
func drawSoak(rng *rand.Rand) soakPlan {
	deadlines := []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}
	return soakPlan{
		deadline:   deadlines[rng.IntN(len(deadlines))],
		crowd:      crowdKind(rng.IntN(int(crowdKinds))),
		hanging:    rng.IntN(soakServers / 2),
		successors: rng.IntN(3) == 0,
	}
}

// drawSignals draws the series of signals that ends a process, which may take up to within.
func drawSignals(rng *rand.Rand, within time.Duration) []signalAfter {
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
	var series []signalAfter
	for range rng.IntN(3) {
		series = append(series, signalAfter{time.Duration(rng.IntN(10)) * time.Millisecond, syscall.SIGHUP})
	}
	series = append(series, signalAfter{time.Duration(rng.IntN(10)) * time.Millisecond, signals[rng.IntN(2)]})
	switch rng.IntN(3) {
	case 0: // a few more soon after
		for range rng.IntN(4) {
			series = append(series, signalAfter{time.Duration(rng.IntN(20)) * time.Millisecond, signals[rng.IntN(3)]})
		}
	case 1: // more until the process has ended
		const every = 5 * time.Millisecond
		for range within / every {
			series = append(series, signalAfter{every, signals[rng.IntN(3)]})
		}
	}
	return series
}
