package policy

// idlePriceFactor converts the price of an open connection, which is per 100 servers, to that of a handshake.
const idlePriceFactor = 100

// closeConnections closes the idle connections to a server if keeping them open until its next attempt costs
// more than a new handshake. The agents of a large fleet would otherwise keep too many open together.
func (b *Balancer) closeConnections(s *server) {
	prices := &b.settings.Prices
	servers := float64(len(b.servers))
	interval := s.sendInterval
	if interval == 0 {
		interval = b.fleet.sendInterval * servers
	}
	keepCost := prices.Connection * interval * float64(b.settings.Replicas)
	openCost := idlePriceFactor * servers * b.fleet.sendInterval * prices.Handshake
	if len(s.inflight) == 0 && keepCost > openCost {
		b.emit(Action{Kind: ActionCloseIdle, Server: s.addr})
	}
}
