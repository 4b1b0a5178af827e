package membership

// UpdateDiscovery applies an update of the endpoint list. An empty complete list is ignored: a fault of
// discovery is more likely than a fleet without servers.
func (m *Merge) UpdateDiscovery(now float64, l *List) {
	m.discovery.recordContact(now)
	m.problems = nil
	if l.Full && len(l.Entries) == 0 {
		m.discovery.listedNothing(now)
		return
	}
	m.discovery.emptySinceMs = 0
	listed := make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		if m.applyEndpoint(l.Entries[i]) {
			listed[l.Entries[i].ID] = true
		}
	}
	if !l.Full {
		return
	}
	for id, s := range m.servers {
		if !listed[id] {
			m.removeEndpoint(s)
		}
	}
}

// applyEndpoint applies one entry of the endpoint list and reports whether the server is listed.
func (m *Merge) applyEndpoint(e Entry) (listed bool) {
	s := m.servers[e.ID]
	if err := e.Validate(); err != nil {
		m.problems.add(err)
		if s == nil || s.endpoint == nil {
			return false
		}
		// As in Set: the last valid entry stays, but as draining unless the invalid one says that it is up.
		if e.State != Up {
			s.endpoint.State = Draining
			m.markChanged(s)
		}
		return true
	}
	if e.State == Removed {
		m.removeEndpoint(s)
		return false
	}
	if s == nil && len(m.servers) >= MaxEntries {
		m.problems.add(errTooManyEntries(e.ID))
		return false
	}
	s = m.server(e.ID)
	m.unindexAddr(s)
	s.endpoint = &e
	s.delisted = false
	m.byAddr[e.Addr] = s
	m.adoptNodes(s, e.Addr)
	m.markChanged(s)
	return true
}

// removeEndpoint marks a server as no longer listed by discovery. s may be nil.
func (m *Merge) removeEndpoint(s *server) {
	if s == nil || s.endpoint == nil {
		return
	}
	m.unindexAddr(s)
	s.endpoint = nil
	s.delisted = true
	m.markChanged(s)
}

func (m *Merge) unindexAddr(s *server) {
	if s.endpoint != nil && m.byAddr[s.endpoint.Addr] == s {
		delete(m.byAddr, s.endpoint.Addr)
	}
}

// adoptNodes moves nodes that named only an address to the server that discovery lists there.
func (m *Merge) adoptNodes(s *server, addr string) {
	unnamed := m.servers[addrID(addr)]
	if unnamed == nil || unnamed == s {
		return
	}
	for name, node := range unnamed.nodes {
		s.nodes[name] = node
		m.byNode[name] = s
	}
	s.everHadNode = true
	s.process.adopt(&unnamed.process)
	clear(unnamed.nodes)
	m.markChanged(unnamed)
}

// DiscoveryLost records a failed call to discovery. Its entries stay.
func (m *Merge) DiscoveryLost(err error) { m.discovery.lastError = err.Error() }

// DiscoveryAlive records a response of discovery without an update.
func (m *Merge) DiscoveryAlive(now float64) { m.discovery.recordContact(now) }
