package membership

import "slices"

// expiry is the moment at which a server lost its last node.
type expiry struct {
	atMs   float64
	server *server
}

// holdMassExpiry records that a server lost its last node. If too many servers did so within
// MassExpiryWindowMs, a failure of the registry is more likely than one of the fleet: the server then keeps
// its state for MassExpiryHoldMs. Servers that expired before the limit was reached stay expired.
func (m *Merge) holdMassExpiry(now float64, s *server) {
	old := 0
	for old < len(m.recentExpiries) && now-m.recentExpiries[old].atMs > m.cfg.MassExpiryWindowMs {
		old++
	}
	m.recentExpiries = append(slices.Delete(m.recentExpiries, 0, old), expiry{now, s})
	expired := map[*server]bool{}
	for _, e := range m.recentExpiries {
		if e.server.nodelessSinceMs > 0 {
			expired[e.server] = true
		}
	}
	registeredBefore := func() int {
		registered := 0
		for _, s := range m.servers {
			if len(s.nodes) > 0 || expired[s] {
				registered++
			}
		}
		return registered
	}
	if m.cfg.isMass(len(expired), registeredBefore) {
		s.expiryHoldUntilMs = now + m.cfg.MassExpiryHoldMs
		m.withHolds[s.id] = s
	}
}

// isMass reports whether so many of the registered servers are affected that independent failures are
// unlikely. registered is called only if the number exceeds MassExpiryMin, as it iterates over all servers.
func (c *MergeConfig) isMass(servers int, registered func() int) bool {
	return servers > c.MassExpiryMin && float64(servers) > c.MassExpiryFraction*float64(registered())
}
