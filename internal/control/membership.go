package control

import (
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

// discoverySource is the name of service discovery in the admin report.
const discoverySource = "roster"

// updateDiscovery handles a watch event of service discovery: a new endpoint list, an error, or neither,
// which confirms the last list. It may be called from any goroutine.
func (p *publisher) updateDiscovery(list *membership.List, err error) {
	p.post(func() {
		now := p.clock.Ms()
		if p.merge != nil {
			switch {
			case err != nil:
				p.merge.DiscoveryLost(err)
			case list == nil:
				p.merge.DiscoveryAlive(now)
			default:
				p.merge.UpdateDiscovery(now, list)
			}
			p.applyMerge(now)
			return
		}
		switch {
		case err != nil:
			p.discovered.Lost(discoverySource, err)
		case list == nil:
			p.discovered.Alive(discoverySource, now)
		case p.discovered.Update(discoverySource, now, list):
			p.assigner.UpdateMembership(now, p.discovered.Entries())
		}
	})
}

// updateRegistry handles an update of the instance registry. It may be called from any goroutine.
func (p *publisher) updateRegistry(u ephemeral.Update) {
	p.post(func() {
		now := p.clock.Ms()
		u.Apply(p.merge, now)
		p.applyMerge(now)
	})
}

// applyMerge passes the merged membership to the assigner if it changed.
func (p *publisher) applyMerge(now float64) {
	if len(p.merge.Changes(now)) > 0 {
		p.assigner.UpdateMembership(now, p.merge.Entries())
	}
}

// entries returns the entries of the current membership.
func (p *publisher) entries() []membership.Entry {
	if p.merge != nil {
		return p.merge.Entries()
	}
	return p.discovered.Entries()
}

// membershipStatus returns the status of each source of the membership.
func (p *publisher) membershipStatus(now float64) []membership.Status {
	if p.merge != nil {
		return p.merge.Status(now)
	}
	return p.discovered.Status(now)
}
