package leasemodel

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Violation describes a run that violated an invariant.
type Violation struct {
	Reason string
	Steps  []string // names of the events that led to it
}

// check returns how an invariant of package lease is violated, or "" if all hold. It records the highest
// epoch that each holder acted on.
func (w *world) check() string {
	if w.indexDiff != "" {
		return w.indexDiff
	}
	log := w.currentLeader().log // contains every epoch so far
	first, last := len(log.epochs), 0
	minRules, maxRules := uint64(1<<62), uint64(0)
	for i := range w.holders {
		h := &w.holders[i]
		epoch := h.lease.Epoch
		if h.lease.HoldsServerRules(w.clock(i)) {
			minRules = min(minRules, log.serverRulesOf(epoch))
			maxRules = max(maxRules, log.serverRulesOf(epoch))
		}
		if !h.lease.Holds(w.clock(i)) {
			continue
		}
		first = min(first, log.position(epoch))
		last = max(last, log.position(epoch))
		if epoch < h.highest {
			return fmt.Sprintf("invariant 2: holder %d acts on epoch %d after epoch %d", i, epoch, h.highest)
		}
		h.highest = epoch
	}
	if first < last && last-first > 1 {
		return fmt.Sprintf("invariant 1: epochs %d and %d are acted on at the same time", log.epochs[first], log.epochs[last])
	}
	if minRules < maxRules && maxRules-minRules > 1 {
		return fmt.Sprintf("invariant 1: server rules %d and %d are in use at the same time", minRules, maxRules)
	}
	return ""
}

// stateHash identifies a state: of a million states two share a hash of 128 bits with a chance under 1e-26.
type stateHash [16]byte

func (w *world) hash() stateHash {
	sum := sha256.Sum256([]byte(w.fingerprint()))
	return stateHash(sum[:16])
}

// Exhaust visits the states that can be reached within the bounds, at most limit of them. It returns the
// number of states visited, whether that is all of them, and the first violation.
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

// Random makes random walks through the model: runs of them, with at most steps events each, drawn from a
// seed. It returns the number of events applied and the first violation.
func Random(b Bounds, d Defect, runs, steps int, seed uint64) (applied int, violation *Violation) {
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
				w.now += rng.Float64() - 0.5 // so that times are not multiples of a tick
			}
			names = append(names, e.name)
			applied++
			if reason := w.check(); reason != "" {
				return applied, &Violation{Reason: reason, Steps: names}
			}
		}
	}
	return applied, nil
}
