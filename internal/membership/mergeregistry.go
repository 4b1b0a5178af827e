package membership

// RegistryNode is an ephemeral node of a registry: it exists while the process that registered it runs.
type RegistryNode struct {
	Name string // unique in the registry at any time
	// Entry is the content of the node's data. If its ID is empty, the node belongs to the server that
	// discovery lists at its address.
	Entry   Entry
	Czxid   int64   // the transaction that created the node; it distinguishes successive nodes of one name
	CtimeMs float64 // when the node was created by the registry's clock, Unix ms
	Owner   int64   // the session that owns the node
}

// NodeUpdated records the current state of an existing node.
func (m *Merge) NodeUpdated(now float64, n RegistryNode) {
	m.recordRegistryContact(now)
	s := m.serverOf(&n)
	if s == nil {
		m.problems.add(errTooManyEntries("node " + n.Name))
		return
	}
	if old := m.byNode[n.Name]; old != nil && old != s {
		m.removeNode(now, old, n.Name) // its data now names another server
	}
	m.byNode[n.Name] = s
	hadNode := len(s.nodes) > 0
	s.nodes[n.Name] = &n
	m.markChanged(s)
	knownStartMs := max(s.reported.StartedMs, s.process.startedMs)
	if s.process.nodeUpdated(now, &n, m.registrySynced) && knownStartMs > 0 && n.Entry.StartedMs > knownStartMs {
		s.delisted = false // another process than the one that discovery removed
	}
	if !hadNode {
		m.firstNodeCreated(now, s)
	}
}

// firstNodeCreated records that a server that had no node has one now.
func (m *Merge) firstNodeCreated(now float64, s *server) {
	if s.everHadNode && s.nodelessSinceMs > 0 && s.expiryHoldUntilMs == 0 {
		m.nodeReturned(now, s)
	}
	s.everHadNode = true
	s.nodelessSinceMs = 0
	s.expiryHoldUntilMs = 0
}

// NodeExpired records that a node no longer exists.
func (m *Merge) NodeExpired(now float64, name string) {
	m.recordRegistryContact(now)
	if s := m.byNode[name]; s != nil {
		delete(m.byNode, name)
		m.removeNode(now, s, name)
	}
}

// removeNode removes a node from a server, which expires with its last node.
func (m *Merge) removeNode(now float64, s *server, name string) {
	delete(s.nodes, name)
	m.markChanged(s)
	if len(s.nodes) == 0 {
		s.nodelessSinceMs = now
		m.holdMassExpiry(now, s)
	}
}

// serverOf returns the server that a node belongs to, or nil if it would exceed MaxEntries.
func (m *Merge) serverOf(n *RegistryNode) *server {
	id := n.Entry.ID
	if id == "" && n.Entry.Addr != "" {
		if s := m.byAddr[n.Entry.Addr]; s != nil {
			return s
		}
		id = addrID(n.Entry.Addr)
	}
	if id == "" {
		id = n.Name
	}
	if m.servers[id] == nil && len(m.servers) >= MaxEntries {
		return nil
	}
	return m.server(id)
}

// addrID returns the id of a server of which only the address is known.
func addrID(addr string) string { return "addr:" + addr }

// registeredServers returns the number of servers with a node.
func (m *Merge) registeredServers() int {
	registered := 0
	for _, s := range m.servers {
		if len(s.nodes) > 0 {
			registered++
		}
	}
	return registered
}

// RegistrySynced records that all existing nodes have been passed to NodeUpdated.
func (m *Merge) RegistrySynced(now float64) {
	m.recordRegistryContact(now)
	if !m.registrySynced {
		m.registrySynced = true
		m.markAllChanged()
	}
}

// RegistryAlive records a response of the registry without an update.
func (m *Merge) RegistryAlive(now float64) { m.recordRegistryContact(now) }

func (m *Merge) recordRegistryContact(now float64) {
	m.registry.recordContact(now)
	m.lostSinceMs = 0
	if m.lostLimitReached {
		m.lostLimitReached = false
		m.markAllChanged()
	}
}

// RegistryLost records that the registry is unreachable. Its nodes stay; after LostAfterMs a missing node no
// longer overrides discovery (see running).
func (m *Merge) RegistryLost(now float64, err error) {
	m.registry.lastError = err.Error()
	if m.lostSinceMs == 0 {
		m.lostSinceMs = now
	}
}

// checkRegistryLost checks whether the registry has been unreachable for LostAfterMs.
func (m *Merge) checkRegistryLost(now float64) {
	if m.lostSinceMs > 0 && !m.lostLimitReached && now-m.lostSinceMs >= m.cfg.LostAfterMs {
		m.lostLimitReached = true
		m.markAllChanged()
	}
}
