package assign

import (
	"cmp"
	"math"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// assignSlowStartLevels divides the load allowed to each server in slow start among the proxies. It returns,
// by server ID, the weight of the server in all assignments, as a level from 1 to slowStartLevels, where
// slowStartLevels is the full weight.
//
// All proxies together must send the server no more than loadShare of an even share, where each proxy counts
// with the larger of its current and its next assignment. A missing entry (level 0) means that no load is
// allowed: proxies with older assignments already use all of it, or the service has just started and does not
// know yet which assignments proxies have.
func (a *Assigner) assignSlowStartLevels(now float64, base []baseEndpoint) map[string]int {
	warming, warmWeight := splitBySlowStart(base)
	levels := make(map[string]int, len(warming))
	if len(warming) == 0 {
		return levels
	}
	// With no server outside slow start there is no even share to compare with and no alternative: the
	// warming servers divide the load in proportion to their own limits.
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

// splitBySlowStart returns the healthy servers in slow start, and the total full weight of the healthy
// servers outside it.
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

// warmWeightByZone returns, by the zone of each group, the total weight of the healthy servers that are not
// in slow start, locality weight included.
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

// weight returns w times the locality weight that the group's proxies, in zone, apply to a server in
// serverZone. The locality weight is rounded as in LocalityWeightPercent.
func (g *group) weight(zone, serverZone string, w float64) float64 {
	if serverZone == zone {
		w *= math.Round(g.localityWeight*10) / 10
	}
	return w
}

// maxRate returns the highest request rate, in requests per second, that all senders together may send a
// server in slow start while its new level propagates, when each sender uses either its old assignment or the
// new one.
func (a *Assigner) maxRate(e *baseEndpoint, level int, senders []sender, otherWeight map[string]float64) float64 {
	rates := make([]float64, 0, len(senders))
	for i := range senders {
		s := &senders[i]
		others := otherWeight[s.zone]
		w := a.groups[s.zone].weight(s.zone, e.Zone, e.fullWeight*float64(level)/slowStartLevels)
		next := w / (w + others)
		current := s.acknowledged.Share(e.ID)
		switch {
		case s.unknownAssignment && s.acknowledged == nil:
			// Its assignment may contain the server at full weight.
			full := e.fullWeight * maxLocalityWeight(e.Zone == s.zone)
			current = full / (full + others)
		case s.disconnected:
			next = 0
		}
		rates = append(rates, s.rate*max(next, current))
	}
	slices.Sort(rates) // makes the floating-point sum independent of the order of the senders
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return sum
}

// maxLocalityWeight returns the largest locality weight that the balancer can assign to a server.
func maxLocalityWeight(sameZone bool) float64 {
	if sameZone {
		return policy.MaxLocalityWeight
	}
	return 1
}
