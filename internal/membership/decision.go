package membership

// decide returns the entry of a server as it is to be reported now; listed is false where no source lists it.
func (m *Merge) decide(now float64, s *server) (e Entry, listed bool) {
	node := s.newestNode()
	switch {
	case s.endpoint != nil:
		e = *s.endpoint
	case node != nil && node.Entry.Addr != "" && !s.delisted:
		e = node.Entry
	case s.listed && s.nodelessMs > 0 && s.expiryHoldUntilMs > now && !s.delisted:
		return s.reported, true // part of a mass expiry: as before
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

// newestNode returns the node that was created last, as the process before may have left its own behind; nil:
// there is none.
func (s *server) newestNode() *RegistryNode {
	var newest *RegistryNode
	for _, node := range s.nodes {
		if newest == nil || node.Czxid > newest.Czxid {
			newest = node
		}
	}
	return newest
}

// absenceMeansDown says whether the absence of a node means that the server does not run.
func (m *Merge) absenceMeansDown(s *server) bool {
	return s.everHadNode || m.cfg.AllRegistered && m.registrySynced
}

// running says whether the registry lets the server count as up.
func (m *Merge) running(now float64, s *server) bool {
	if len(s.nodes) > 0 {
		return s.flap.holdUntilMs <= now
	}
	if s.expiryHoldUntilMs > now {
		return true
	}
	// Without a registry nobody knows whether the process runs: discovery decides, if it was heard since.
	return m.lostExpired && m.discovery.heardMs > m.lostSinceMs
}
