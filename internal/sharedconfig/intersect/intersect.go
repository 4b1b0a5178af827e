// Package intersect computes the intersection of two configurations, which permits exactly what both
// permit. A change from version a to b passes through Intersect(a, b): at any time at most two neighbouring
// ones of these three are acted on, and one of two neighbours always permits a subset of the other. Online
// schema changes in F1 use intermediate states in the same way (VLDB 2013). The package is pure: it has no
// I/O and no clock.
//
// Invariants, which the tests refer to by number:
//  1. Intersect(a, b) permits nothing that a or b forbids.
//  2. It permits what both permit, except if two dedup scopes are not ordered: then nothing is repeated.
//  3. Intersect is commutative, associative and idempotent.
package intersect

import (
	"slices"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Nobody is a name that no agent has.
const Nobody = "\x00"

// Intersect returns the configuration that permits what a and b both permit. nil means no configuration,
// which forbids nothing.
func Intersect(a, b *sharedconfig.Config) *sharedconfig.Config {
	switch {
	case a == nil && b == nil:
		return &sharedconfig.Config{}
	case a == nil:
		return b.Clone()
	case b == nil:
		return a.Clone()
	}
	return &sharedconfig.Config{
		Classes:        intersectClasses(a.Classes, b.Classes),
		MaxAttempts:    sharedconfig.Stricter(a.MaxAttempts, b.MaxAttempts),
		DrainGraceMs:   sharedconfig.Stricter(a.DrainGraceMs, b.DrainGraceMs),
		OverloadFactor: sharedconfig.Stricter(a.OverloadFactor, b.OverloadFactor),
		Servers:        intersectServers(a, b),
		Listed:         a.Listed || b.Listed,
		Cordoned:       union(a.Cordoned, b.Cordoned),
		Agents:         intersectAgents(a.Agents, b.Agents),
	}
}

func intersectClasses(a, b map[string]sharedconfig.Class) map[string]sharedconfig.Class {
	out := map[string]sharedconfig.Class{}
	for _, classes := range []map[string]sharedconfig.Class{a, b} {
		for name := range classes {
			out[name] = sharedconfig.IntersectClass(a[name], b[name])
		}
	}
	return out
}

func intersectServers(a, b *sharedconfig.Config) map[string]sharedconfig.Server {
	out := map[string]sharedconfig.Server{}
	for _, config := range []*sharedconfig.Config{a, b} {
		for id := range config.Servers {
			if a.InService(id) && b.InService(id) {
				out[id] = sharedconfig.Server{Weight: sharedconfig.Stricter(a.Servers[id].Weight, b.Servers[id].Weight)}
			}
		}
	}
	return out
}

// intersectAgents returns the names in both sorted lists. As an empty list permits every agent, the result
// for two lists without a common name contains only Nobody.
func intersectAgents(a, b []string) []string {
	switch {
	case len(a) == 0:
		return slices.Clone(b)
	case len(b) == 0:
		return slices.Clone(a)
	}
	var both []string
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); found {
			both = append(both, name)
		}
	}
	if len(both) == 0 {
		return []string{Nobody}
	}
	return both
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
