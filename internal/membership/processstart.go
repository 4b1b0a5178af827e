package membership

// forgetChecks is how many times within MemoryMs unlisted servers are looked for.
const forgetChecks = 8

// processStart remembers when the process of a server started, across the absence of its node: a server is
// warming up again only if its process restarted. Where that is unknown, it counts as restarted.
type processStart struct {
	startedMs float64 // Unix ms; 0: unknown
	session   int64   // that owned the last node
	czxid     int64   // of the last node; 0: there was none
}

// nodeUpdated takes a node that exists. It returns whether the node was created since the last call. synced
// says that the registry's nodes were complete before this one.
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

// estimate sets the start from a new node whose data does not name one.
func (p *processStart) estimate(now float64, n *RegistryNode, synced bool) {
	switch {
	case p.czxid != 0 && n.Owner != 0 && n.Owner == p.session:
		// A session belongs to one process, which created its node again.
	case p.czxid == 0 && !synced:
		// The node existed before this process looked: as old as it is by the registry's clock.
		p.startedMs = min(n.CtimeMs, now)
	default:
		p.startedMs = now
	}
}

// adopt takes over what is known of a server that turned out to be the same.
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
	m.nextForgetMs = now + m.cfg.MemoryMs/forgetChecks
	for id, s := range m.servers {
		if s.unlistedMs > 0 && now-s.unlistedMs > m.cfg.MemoryMs {
			delete(m.servers, id)
			delete(m.withHolds, id)
		}
	}
}
