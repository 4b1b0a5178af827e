package membership

// forgetChecksPerPeriod is how many times within MemoryMs forgetUnlisted checks all servers.
const forgetChecksPerPeriod = 8

// processStart stores when the process of a server started, also while its node is absent: a server warms up
// again only if its process restarted. If that is unknown, the process counts as restarted.
type processStart struct {
	startedMs float64 // Unix ms; 0: unknown
	session   int64   // owner of the last node
	czxid     int64   // of the last node; 0: there was none
}

// nodeUpdated records the state of an existing node and reports whether it was created since the last call.
// synced says that all nodes of the registry were known before this one.
func (p *processStart) nodeUpdated(now float64, n *RegistryNode, synced bool) (created bool) {
	created = p.czxid != n.Czxid
	if n.Entry.StartedMs > 0 {
		p.startedMs = min(n.Entry.StartedMs, now)
	} else if created {
		p.estimate(now, n, synced)
	}
	if created {
		p.czxid = n.Czxid
		p.session = n.Owner
	}
	return created
}

// estimate sets the start time from a new node whose data has none.
func (p *processStart) estimate(now float64, n *RegistryNode, synced bool) {
	switch {
	case p.czxid != 0 && n.Owner != 0 && n.Owner == p.session:
		// A session belongs to one process: the same process has created its node again.
	case p.czxid == 0 && !synced:
		// The node existed before the first sync: the registry's clock says when it was created.
		p.startedMs = min(n.CtimeMs, now)
	default:
		p.startedMs = now
	}
}

// adopt takes over the start of a server entry that turned out to be the same server.
func (p *processStart) adopt(other *processStart) {
	p.startedMs = max(p.startedMs, other.startedMs)
	p.session = other.session
	p.czxid = other.czxid
}

// forgetUnlisted forgets servers that no source has listed for MemoryMs.
func (m *Merge) forgetUnlisted(now float64) {
	if m.nextForgetMs > now {
		return
	}
	m.nextForgetMs = now + m.cfg.MemoryMs/forgetChecksPerPeriod
	for id, s := range m.servers {
		if s.unlistedSinceMs > 0 && now-s.unlistedSinceMs > m.cfg.MemoryMs {
			delete(m.servers, id)
			delete(m.withHolds, id)
		}
	}
}
