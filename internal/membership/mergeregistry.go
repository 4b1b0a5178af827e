package membership

// RegistryNode is an ephemeral node of a registry: it exists while a process runs.
type RegistryNode struct {
	Name string // unique in the registry at any time
	// Entry is what the node's data says. Where its ID is empty, the node belongs to the server that discovery
	// lists at its address.
	Entry   Entry
	Czxid   int64   // the transaction that created the node; it distinguishes two nodes of one name
	CtimeMs float64 // when the node was created by the registry's clock, Unix ms
	Owner   int64   // the session that owns the node
}

// NodeUpdated takes a node that exists, as it is now.
func (m *Merge) NodeUpdated(now float64, n RegistryNode) {
	m.registryHeard(now)
	s := m.serverOf(&n)
	if s == nil {
		m.problems.add(errTooManyEntries("node " + n.Name))
		return
	}
	if old := m.byNode[n.Name]; old != nil && old != s {
		m.removeNode(now, old, n.Name) // its data names another server now
	}
	m.byNode[n.Name] = s
	hadNode := len(s.nodes) > 0
	s.nodes[n.Name] = &n
	m.markChanged(s)
	if s.process.nodeUpdated(now, &n, m.registrySynced) {
		s.delisted = false
	}
	if !hadNode {
		m.firstNodeCreated(now, s)
	}
}

// firstNodeCreated notes that a server that had no node has one.
func (m *Merge) firstNodeCreated(now float64, s *server) {
	if s.everHadNode && s.nodelessMs > 0 && s.expiryHoldUntilMs == 0 {
		m.nodeReturned(now, s)
	}
	s.everHadNode = true
	s.nodelessMs = 0
	s.expiryHoldUntilMs = 0
}

// NodeExpired takes the end of a node.
func (m *Merge) NodeExpired(now float64, name string) {
	m.registryHeard(now)
	if s := m.byNode[name]; s != nil {
		delete(m.byNode, name)
		m.removeNode(now, s, name)
	}
}

// removeNode takes a node from a server, which expires with its last one.
func (m *Merge) removeNode(now float64, s *server, name string) {
	delete(s.nodes, name)
	m.markChanged(s)
	if len(s.nodes) == 0 {
		s.nodelessMs = now
		m.holdMassExpiry(now, s)
	}
}

// serverOf returns the server that a node belongs to; nil: it would be one more than MaxEntries.
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

// addrID is the id of a server of which only the address is known.
func addrID(addr string) string { return "addr:" + addr }

// registeredServers is the number of servers with a node.
func (m *Merge) registeredServers() int {
	registered := 0
	for _, s := range m.servers {
		if len(s.nodes) > 0 {
			registered++
		}
	}
	return registered
}

// RegistrySynced notes that all nodes that exist have been taken.
func (m *Merge) RegistrySynced(now float64) {
	m.registryHeard(now)
	if !m.registrySynced {
		m.registrySynced = true
		m.markAllChanged()
	}
}

// RegistryAlive notes that the registry showed that it is alive, without an update.
func (m *Merge) RegistryAlive(now float64) { m.registryHeard(now) }

func (m *Merge) registryHeard(now float64) {
	m.registry.heard(now)
	m.lostSinceMs = 0
	if m.lostExpired {
		m.lostExpired = false
		m.markAllChanged()
	}
}

// RegistryLost notes that the registry is unreachable. Its nodes stay; after LostAfterMs the absence of a node
// counts less (see decide).
func (m *Merge) RegistryLost(now float64, err error) {
	m.registry.lastError = err.Error()
	if m.lostSinceMs == 0 {
		m.lostSinceMs = now
	}
}

// checkRegistryLost notes that the registry has been unreachable for LostAfterMs.
func (m *Merge) checkRegistryLost(now float64) {
	if m.lostSinceMs > 0 && !m.lostExpired && now-m.lostSinceMs >= m.cfg.LostAfterMs {
		m.lostExpired = true
		m.markAllChanged()
	}
}
