package control

import (
	"maps"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// publishDue publishes changed assignments, urgent changes at once and others in batches, and checks whether
// streams acknowledged the urgent ones in time.
func (p *publisher) publishDue() {
	now := p.clock.Ms()
	if changed := p.assigner.Tick(now); len(changed) > 0 {
		switch server := p.urgentChange(changed); {
		case server != "":
			p.publish(now, server)
		case p.batchDueMs == 0:
			p.batchDueMs = now + p.cfg().Proxies.DebounceMs
		}
	}
	if p.batchDueMs > 0 && now >= p.batchDueMs {
		p.publish(now, "")
	}
	if p.urgent.checkDueMs > 0 && now >= p.urgent.checkDueMs {
		p.checkAcknowledgements(now)
	}
}

// urgentChange returns the ID of a server that drains or was removed while the proxies of some zone still
// send it requests, or "" if there is none.
func (p *publisher) urgentChange(zones []string) string {
	for _, zone := range zones {
		snap := p.group(zone).current.Load()
		if snap == nil || snap.assignment == nil {
			continue
		}
		next := p.assigner.Assignment(p.clock.Ms(), zone)
		if id := removedServer(snap.assignment, next); id != "" {
			return id
		}
	}
	return ""
}

// removedServer returns the ID of a server that gets requests according to old and not according to next, or
// "" if there is none. Both assignments are sorted by ID.
func removedServer(old, next *assign.Assignment) string {
	j := 0
	for i := range old.Endpoints {
		e := &old.Endpoints[i]
		if e.Draining {
			continue
		}
		for j < len(next.Endpoints) && next.Endpoints[j].ID < e.ID {
			j++
		}
		if j == len(next.Endpoints) {
			return e.ID
		}
		if n := &next.Endpoints[j]; n.ID != e.ID || n.Draining || n.Addr != e.Addr {
			return e.ID
		}
	}
	return ""
}

// publish creates new snapshots of all groups and notifies their streams. server is the ID of the server
// whose drain or removal makes the publication urgent; "": it is not urgent.
func (p *publisher) publish(now float64, server string) {
	p.batchDueMs = 0
	p.seq++
	p.counts.published.Add(1)
	if server != "" {
		p.counts.urgent.Add(1)
		p.urgent.add(urgentUpdate{seq: p.seq, publishedMs: now, server: server}, p.cfg().Proxies.AckTimeoutMs)
	}
	p.groups.Range(func(zone, g any) bool {
		p.publishGroup(now, zone.(string), g.(*group))
		return true
	})
}

// publishGroup creates a new snapshot of a group and notifies its streams.
func (p *publisher) publishGroup(now float64, zone string, g *group) {
	assignment := p.assigner.Assignment(now, zone)
	old := g.current.Load()
	next := &snapshot{
		seq:        p.seq,
		urgentSeq:  p.urgent.last.seq,
		assignment: assignment,
		nonces:     p.nonces,
		frames:     map[frameKey]frame{},
	}
	if assignment != nil {
		if old != nil && old.assignment == assignment {
			next.endpoints = old.endpoints
		} else {
			endpoints, err := p.renderer.Render(assignment)
			if err != nil {
				p.log.Error("assignment could not be rendered; keeping the previous one", "zone", zone, "err", err)
				return
			}
			next.endpoints = endpoints
		}
		p.resizeRing(len(assignment.Endpoints))
	}
	next.sets = maps.Clone(p.static.sets)
	if next.endpoints != nil {
		next.sets[resource.Endpoints] = reuse(old, false, resource.NewSet(next.endpoints.Complete))
		next.byCollection = reuse(old, true, resource.NewSet(next.endpoints.ByCollection))
	}
	g.current.Store(next)
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.streams {
		s.notify()
	}
}

// reuse returns the endpoint set of the old snapshot if it equals next, so that an unchanged set is
// recognized without comparing its resources.
func reuse(old *snapshot, leds bool, next *resource.Set) *resource.Set {
	if old != nil {
		if set := old.set(resource.Endpoints, leds); set != nil && set.Version == next.Version {
			return set
		}
	}
	return next
}
