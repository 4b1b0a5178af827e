package membership

// decide returns the entry to report for a server now; listed is false if no source lists the server.
func (m *Merge) decide(now float64, s *server) (e Entry, listed bool) {
	node := s.newestNode()
	switch {
	case s.endpoint != nil:
		e = *s.endpoint
	case node != nil && node.Entry.Addr != "" && !s.delisted:
		e = node.Entry
	case s.listed && s.nodelessSinceMs > 0 && s.expiryHoldUntilMs > now && !s.delisted:
		return s.reported, true // part of a mass expiry: unchanged
	default:
		return e, false
	}
	e.ID = s.id
	e.StartedMs = max(e.StartedMs, s.process.startedMs)
	if node != nil && node.Entry.State != Up && node.Entry.State != "" && e.State == Up {
		e.State = Draining
	}
	if e.State == Up && m.absenceMeansDown(s) && !m.running(now, s) {
		e.State = Draining
	}
	return e, true
}

// newestNode returns the node that was created last, or nil if there is none. A server can have several nodes
// while the node of its previous process has not expired yet.
func (s *server) newestNode() *RegistryNode {
	var newest *RegistryNode
	for _, node := range s.nodes {
		if newest == nil || node.Czxid > newest.Czxid {
			newest = node
		}
	}
	return newest
}

// absenceMeansDown reports whether a server without a node is considered down.
func (m *Merge) absenceMeansDown(s *server) bool {
	return s.everHadNode || m.cfg.AllRegistered && m.registrySynced
}

// running reports whether the server may count as up as far as the registry is concerned.
func (m *Merge) running(now float64, s *server) bool {
	if len(s.nodes) > 0 {
		return s.flap.holdUntilMs <= now
	}
	if s.expiryHoldUntilMs > now {
		return true
	}
	// While the registry is unreachable, discovery decides, provided that it has responded since.
	return m.lostLimitReached && m.discovery.lastContactMs > m.lostSinceMs
}
