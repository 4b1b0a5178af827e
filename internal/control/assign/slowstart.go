package assign

import (
	"cmp"
	"math"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// assignSlowStartLevels divides the load allowed to each server in slow start over the proxies. It returns,
// by server ID, the level (1 to slowStartLevels) of its full weight in all assignments.
//
// The rule: all proxies together, each counted with the larger of what it holds and what it is about to
// get, send the server no more than loadShare of an even share. Level 0, a missing entry, means that no
// load is allowed: proxies on older assignments use all of it up, or the service has just started and
// does not know yet what proxies hold.
func (a *Assigner) assignSlowStartLevels(now float64, base []baseEndpoint) map[string]int {
	warming, warmWeight := splitBySlowStart(base)
	levels := make(map[string]int, len(warming))
	if len(warming) == 0 {
		return levels
	}
	// With no other server there is no even share to compare with, and nowhere else to send requests:
	// the warming servers divide them by their own limits.
	if warmWeight == 0 {
		for _, e := range warming {
			levels[e.ID] = max(int(e.loadShare*slowStartLevels), 1)
		}
		return levels
	}
	if now-a.startedMs < a.cfg.StartupHoldMs {
		return levels
	}
	senders, totalRate := a.senders()
	otherWeight := a.warmWeightByZone(base)
	slices.SortFunc(warming, func(x, y *baseEndpoint) int { return cmp.Compare(x.ID, y.ID) })
	for _, e := range warming {
		allowed := e.loadShare * e.fullWeight / warmWeight * totalRate
		for level := int(e.loadShare * slowStartLevels); level > 0; level-- {
			if a.maxRate(e, level, senders, otherWeight) <= allowed {
				levels[e.ID] = level
				break
			}
		}
	}
	return levels
}

// splitBySlowStart returns, of the healthy servers, those in slow start and the full weight of the others.
func splitBySlowStart(base []baseEndpoint) (warming []*baseEndpoint, warmWeight float64) {
	for i := range base {
		switch e := &base[i]; {
		case e.Draining || e.Tier != Healthy:
		case e.SlowStart:
			warming = append(warming, e)
		default:
			warmWeight += e.fullWeight
		}
	}
	return warming, warmWeight
}

// warmWeightByZone returns, for each group, the weight of the healthy servers that are not in slow start,
// locality weight included.
func (a *Assigner) warmWeightByZone(base []baseEndpoint) map[string]float64 {
	weights := make(map[string]float64, len(a.groups))
	for zone, g := range a.groups {
		for i := range base {
			if e := &base[i]; !e.Draining && e.Tier == Healthy && !e.SlowStart {
				weights[zone] += g.weight(zone, e.Zone, e.fullWeight)
			}
		}
	}
	return weights
}

// weight returns w as the proxies of the group's zone see it for a server of serverZone. The locality
// weight is rounded as in LocalityWeightPercent.
func (g *group) weight(zone, serverZone string, w float64) float64 {
	if serverZone == zone {
		w *= math.Round(g.localityWeight*10) / 10
	}
	return w
}

// maxRate returns the largest number of requests a second that all senders together may send a server in
// slow start while its new level propagates: each holds either its old assignment or the new one.
func (a *Assigner) maxRate(e *baseEndpoint, level int, senders []sender, otherWeight map[string]float64) float64 {
	rates := make([]float64, 0, len(senders))
	for i := range senders {
		s := &senders[i]
		others := otherWeight[s.zone]
		w := a.groups[s.zone].weight(s.zone, e.Zone, e.fullWeight*float64(level)/slowStartLevels)
		next := w / (w + others)
		current := s.acknowledged.Share(e.ID)
		switch {
		case s.foreign && s.acknowledged == nil:
			// It may hold the server at its full weight.
			full := e.fullWeight * maxLocalityWeight(e.Zone == s.zone)
			current = full / (full + others)
		case s.disconnected:
			next = 0
		}
		rates = append(rates, s.rate*max(next, current))
	}
	slices.Sort(rates) // so that the floating-point sum does not depend on the order of the senders
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return sum
}

// maxLocalityWeight is the largest locality weight that the balancer ever gives a server.
func maxLocalityWeight(sameZone bool) float64 {
	if sameZone {
		return policy.MaxLocalityWeight
	}
	return 1
}
