package policy

const (
	// MinLocalityWeight and MaxLocalityWeight bound the factor by which the weight of a server of the agent's
	// own zone is increased in a key's order.
	MinLocalityWeight = 1.5
	MaxLocalityWeight = 8.0
	// initialLocalityWeight is the initial factor if crossing zones has a price.
	initialLocalityWeight = 4.0
	// localityWeightStep is the relative change of the factor per attempt.
	localityWeightStep = 0.1
)

// localityWeight is the factor by which a server of the agent's own zone is preferred to one of another zone.
// It falls while the own zone serves badly: one zone may have more traffic than its servers can handle.
type localityWeight struct {
	weight float64
}

func newLocalityWeight(crossZonePrice float64) localityWeight {
	if crossZonePrice > 0 {
		return localityWeight{weight: initialLocalityWeight}
	}
	return localityWeight{weight: MinLocalityWeight}
}

// record counts an attempt in the own zone; missed says that it was not served in time.
func (l *localityWeight) record(crossZonePrice float64, missed bool) {
	missedFraction := 0.0
	if missed {
		missedFraction = 1
	}
	l.weight = NextLocalityWeight(l.weight, crossZonePrice, missedFraction)
}

// NextLocalityWeight returns the weight of the own zone after attempts there of which the fraction missed, 0
// to 1, was not served in time. The weight rises while missed is below the price of crossing zones, and falls
// while it is above.
func NextLocalityWeight(weight, crossZonePrice, missed float64) float64 {
	moved := weight * (1 + localityWeightStep*(crossZonePrice-missed))
	return min(max(moved, MinLocalityWeight), MaxLocalityWeight)
}

// recordLocality counts an attempt on the server in the weight of the own zone, if the server is there.
func (b *Balancer) recordLocality(s *server, missed bool) {
	if s.zone == b.settings.Zone {
		b.locality.record(b.settings.Prices.CrossZone, missed)
	}
}
