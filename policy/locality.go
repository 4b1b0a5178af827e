package policy

const (
	// MinLocalityWeight and MaxLocalityWeight bound how much more a server of the agent's own zone weighs
	// in a key's order.
	MinLocalityWeight = 1.5
	MaxLocalityWeight = 8.0
	// initialLocalityWeight is the weight at start where crossing zones has a price.
	initialLocalityWeight = 4.0
	// localityWeightStep is how fast the weight moves.
	localityWeightStep = 0.1
)

// localityWeight is how much more a server of the agent's own zone weighs than one of another zone. It
// falls while the own zone serves badly: one zone may have more traffic than its servers can carry.
type localityWeight struct {
	weight float64
}

func newLocalityWeight(crossZonePrice float64) localityWeight {
	if crossZonePrice > 0 {
		return localityWeight{weight: initialLocalityWeight}
	}
	return localityWeight{weight: MinLocalityWeight}
}

// record notes an attempt in the own zone and whether it was missed, that is not served in time.
func (l *localityWeight) record(crossZonePrice float64, missed bool) {
	part := 0.0
	if missed {
		part = 1
	}
	l.weight = NextLocalityWeight(l.weight, crossZonePrice, part)
}

// NextLocalityWeight returns the weight of the own zone after attempts there of which the given part, 0 to
// 1, was not served in time. It rises while that part is under the price of crossing zones, and falls above
// it.
func NextLocalityWeight(weight, crossZonePrice, missed float64) float64 {
	moved := weight * (1 + localityWeightStep*(crossZonePrice-missed))
	return min(max(moved, MinLocalityWeight), MaxLocalityWeight)
}

// recordLocality notes an attempt on the server for the weight of the own zone.
func (b *Balancer) recordLocality(s *server, missed bool) {
	if s.zone == b.settings.Zone {
		b.locality.record(b.settings.Prices.CrossZone, missed)
	}
}
