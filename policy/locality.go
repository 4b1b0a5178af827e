package policy

const (
	// MinLocalityWeight and MaxLocalityWeight bound how much more a server of the agent's own zone weighs
	// in a key's order.
	MinLocalityWeight = 1.5
	MaxLocalityWeight = 8.0
	// ownStart is the weight at start where crossing zones has a price.
	ownStart = 4.0
	// ownStep is how fast the weight moves.
	ownStep = 0.1
)

// weighZone moves the own zone's weight up while the part of what is sent there and not
// served in time is under the price of crossing, and down while it is above: one zone may
// have more traffic than its servers can carry.
func (b *Balancer) weighZone(s *server, missed bool) {
	if s.zone != b.set.Zone {
		return
	}
	part := 0.0
	if missed {
		part = 1
	}
	b.own = NextLocalityWeight(b.own, b.set.Prices.CrossZone, part)
}

// NextLocalityWeight is the next weight of the own zone after attempts there of which a part was
// not served in time, at this price of crossing.
func NextLocalityWeight(own, price, missed float64) float64 {
	return min(max(own*(1+ownStep*(price-missed)), MinLocalityWeight), MaxLocalityWeight)
}
