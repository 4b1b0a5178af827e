package policy

// idlePriceFactor scales the price of an open connection to that of a handshake.
const idlePriceFactor = 100

// closeConnections closes the idle connections to a server where keeping them until its next attempt costs
// more than opening one. In a large fleet all agents together would keep too many open.
func (b *Balancer) closeConnections(s *server) {
	prices := &b.settings.Prices
	servers := float64(len(b.servers))
	interval := s.sendInterval
	if interval == 0 {
		interval = b.fleet.sendInterval * servers
	}
	keeping := prices.Connection * interval * float64(b.settings.Replicas)
	opening := idlePriceFactor * servers * b.fleet.sendInterval * prices.Handshake
	if len(s.inflight) == 0 && keeping > opening {
		b.emit(Action{Kind: ActionCloseIdle, Server: s.addr})
	}
}
