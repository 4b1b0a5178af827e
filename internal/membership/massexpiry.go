package membership

import "slices"

// expiry is the moment at which a server lost its last node.
type expiry struct {
	atMs   float64
	server *server
}

// holdMassExpiry notes that a server lost its last node. If too many did within MassExpiryWindowMs, it is more
// likely the registry that failed than the fleet: the server then keeps its state for MassExpiryHoldMs. Those
// that expired before the limit was reached stay expired.
func (m *Merge) holdMassExpiry(now float64, s *server) {
	old := 0
	for old < len(m.recentExpiries) && now-m.recentExpiries[old].atMs > m.cfg.MassExpiryWindowMs {
		old++
	}
	m.recentExpiries = append(slices.Delete(m.recentExpiries, 0, old), expiry{now, s})
	expired := map[*server]bool{}
	for _, e := range m.recentExpiries {
		if e.server.nodelessMs > 0 {
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

// isMass says whether a number of servers is too large a part of the registered ones to have failed by
// themselves. registered is called only where the number exceeds MassExpiryMin, as it walks all servers.
func (c *MergeConfig) isMass(servers int, registered func() int) bool {
	return servers > c.MassExpiryMin && float64(servers) > c.MassExpiryFraction*float64(registered())
}
