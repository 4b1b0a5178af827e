package leasemodel

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Violation is a run that broke an invariant.
type Violation struct {
	Reason string
	Steps  []string
}

// check returns the invariant of package lease that does not hold, "" if all do, and records what holders act on.
func (w *world) check() string {
	if w.indexDiff != "" {
		return w.indexDiff
	}
	log := w.currentLeader().log // has every epoch there ever was
	first, last := len(log.epochs), 0
	minEndpoints, maxEndpoints := uint64(1<<62), uint64(0)
	for i := range w.holders {
		h := &w.holders[i]
		epoch := h.lease.Epoch
		if h.lease.HoldsServerRules(w.clock(i)) {
			minEndpoints = min(minEndpoints, log.endpointsOf(epoch))
			maxEndpoints = max(maxEndpoints, log.endpointsOf(epoch))
		}
		if !h.lease.Holds(w.clock(i)) {
			continue
		}
		first = min(first, log.position(epoch))
		last = max(last, log.position(epoch))
		if epoch < h.highest {
			return fmt.Sprintf("invariant 2: holder %d acts on epoch %d and did on %d", i, epoch, h.highest)
		}
		h.highest = epoch
	}
	if first < last && last-first > 1 {
		return fmt.Sprintf("invariant 1: epochs %d and %d are acted on", log.epochs[first], log.epochs[last])
	}
	if minEndpoints < maxEndpoints && maxEndpoints-minEndpoints > 1 {
		return fmt.Sprintf("invariant 1: endpoints %d and %d are in use", minEndpoints, maxEndpoints)
	}
	return ""
}

// stateHash identifies a state: of a million states two share a hash of 128 bits with a chance under 1e-26.
type stateHash [16]byte

func (w *world) hash() stateHash {
	sum := sha256.Sum256([]byte(w.fingerprint()))
	return stateHash(sum[:16])
}

// Exhaust visits every state within the bounds, up to limit. It returns how many there were, whether these are all, and
// the first violation.
func Exhaust(b Bounds, d Defect, limit int) (states int, complete bool, violation *Violation) {
	type node struct {
		w     *world
		steps []string
	}
	start := newWorld(b, d)
	seen := map[stateHash]struct{}{start.hash(): {}}
	stack := []node{{w: start}} // depth first, which needs little memory
	for len(stack) > 0 {
		current := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, e := range current.w.events() {
			next := current.w.clone()
			e.apply(next)
			steps := append(slices.Clip(current.steps), e.name)
			if reason := next.check(); reason != "" {
				return len(seen), false, &Violation{Reason: reason, Steps: steps}
			}
			hash := next.hash()
			if _, known := seen[hash]; known {
				continue
			}
			if len(seen) >= limit {
				return len(seen), false, nil
			}
			seen[hash] = struct{}{}
			stack = append(stack, node{w: next, steps: steps})
		}
	}
	return len(seen), true, nil
}

// Random walks runs of steps each, drawn from a seed. It returns how many steps were made and the first violation.
func Random(b Bounds, d Defect, runs, steps int, seed uint64) (made int, violation *Violation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range runs {
		w := newWorld(b, d)
		var names []string
		for range steps {
			events := w.events()
			if len(events) == 0 {
				break
			}
			e := events[rng.IntN(len(events))]
			e.apply(w)
			if e.name == tickEvent {
				w.now += rng.Float64() - 0.5 // times that are no multiples of a tick
			}
			names = append(names, e.name)
			made++
			if reason := w.check(); reason != "" {
				return made, &Violation{Reason: reason, Steps: names}
			}
		}
	}
	return made, nil
}
