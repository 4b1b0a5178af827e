package policy

// idlePriceFactor scales the price of an open connection to that of a handshake.
const idlePriceFactor = 100

// hangUp closes the connections to a server that idle where, by its prices, keeping them
// until the next attempt costs more than opening one: of a thousand agents each would
// hold some to a third of the servers (i29baa9: 23 points of service).
func (b *Balancer) hangUp(s *server) {
	p, n := &b.set.Prices, float64(len(b.servers))
	gap := s.gap
	if gap == 0 {
		gap = b.gap * n
	}
	if len(s.out) == 0 && p.Connection*gap*float64(b.set.Replicas) > idlePriceFactor*n*b.gap*p.Handshake {
		b.do(Action{Kind: ActionCloseIdle, Server: s.id})
	}
}
