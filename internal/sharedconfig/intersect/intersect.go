// Package intersect makes, of two neighbouring versions of the book of rules, the one that permits what both permit
// and nothing else. A change goes v, Meet(v, v'), v': at any time at most two neighbours of these are acted on, and
// of two neighbours one always permits a part of the other, so that nothing is done that the other forbids for
// longer than it takes to take one up. Known for schema changes from F1 (VLDB 2013); what is taken from there is the
// step between, not its states. Pure: no I/O, no clock.
//
// Invariants, which the tests name:
//  1. Meet(a, b) permits no act that a or b forbids.
//  2. What both permit it permits, but where two groups can't be compared: there nothing is repeated.
//  3. Meet is commutative, associative and idempotent.
package intersect

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Intersect is what a and b both permit. nil is the book before the first, which forbids nothing.
func Intersect(a, b *sharedconfig.Config) *sharedconfig.Config {
	switch {
	case a == nil && b == nil:
		return &sharedconfig.Config{}
	case a == nil:
		return b.Clone()
	case b == nil:
		return a.Clone()
	}
	m := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{}, Servers: map[string]sharedconfig.Server{},
		MaxAttempts:    sharedconfig.Stricter(a.MaxAttempts, b.MaxAttempts),
		DrainGraceMs:   sharedconfig.Stricter(a.DrainGraceMs, b.DrainGraceMs),
		OverloadFactor: sharedconfig.Stricter(a.OverloadFactor, b.OverloadFactor),
		Listed:         a.Listed || b.Listed,
	}
	for _, c := range []map[string]sharedconfig.Class{a.Classes, b.Classes} {
		for name := range c {
			m.Classes[name] = sharedconfig.IntersectClass(a.Classes[name], b.Classes[name])
		}
	}
	for _, of := range []*sharedconfig.Config{a, b} {
		for id := range of.Servers {
			if in(a, id) && in(b, id) {
				m.Servers[id] = sharedconfig.Server{Weight: sharedconfig.Stricter(a.Servers[id].Weight, b.Servers[id].Weight)}
			}
		}
	}
	m.Cordoned = union(a.Cordoned, b.Cordoned)
	// Who may act in both. No name at all permits everybody, so that two lists without a common name need one that
	// nobody has.
	switch {
	case len(a.Agents) == 0:
		m.Agents = slices.Clone(b.Agents)
	case len(b.Agents) == 0:
		m.Agents = slices.Clone(a.Agents)
	default:
		for _, n := range a.Agents {
			if _, both := slices.BinarySearch(b.Agents, n); both {
				m.Agents = append(m.Agents, n)
			}
		}
		if len(m.Agents) == 0 {
			m.Agents = []string{Nobody}
		}
	}
	return m
}

// Nobody is a name that no agent has.
const Nobody = "\x00"

func in(b *sharedconfig.Config, id string) bool {
	_, ok := b.Servers[id]
	return ok || !b.Listed
}

func union(a, b []string) []string {
	u := slices.Concat(a, b)
	slices.Sort(u)
	return slices.Compact(u)
}

// Capacity is the part of the servers that a change leaves in service while it is going on.
type Capacity struct{ Before, During, After int }

// CapacityOf counts the servers that a, the step between and b leave open. Where a book does not list them the number is
// not known, and Between is -1.
func CapacityOf(a, b *sharedconfig.Config) Capacity {
	if a == nil || b == nil || !a.Listed || !b.Listed {
		return Capacity{During: -1}
	}
	return Capacity{open(a), open(Intersect(a, b)), open(b)}
}

func open(b *sharedconfig.Config) (n int) {
	for id := range b.Servers {
		if b.Allows(id) {
			n++
		}
	}
	return n
}

// CheckTransition says why a change from a to b can't be made in one step; nil: it can. The step between needs half of the
// servers that the smaller of both has, and one at the least; b may ban the last one on purpose only by listing none.
func CheckTransition(a, b *sharedconfig.Config) error {
	r := CapacityOf(a, b)
	if r.During < 0 || r.After == 0 && r.Before == 0 {
		return nil
	}
	if r.After == 0 {
		return fmt.Errorf("rules: servers: none is left in service of %d", r.Before)
	}
	if least := max((min(r.Before, r.After)+1)/2, 1); r.During < least && r.Before > 0 {
		return fmt.Errorf("rules: servers: between both versions %d are in service, %d at the least are needed (%d before, %d after): publish it in steps",
			r.During, least, r.Before, r.After)
	}
	return nil
}
