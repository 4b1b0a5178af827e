package policy

// Observe takes what others saw of servers, each named once, and lets the states go on:
// demotion on failure, return through validation by what was served, or by lapse: an
// Unhealthy server is pending after lapseMs, doubled with each further strike, and a
// pending one of which nothing is heard ranks as Unknown after as long again.
func (b *Balancer) Observe(now, lapseMs float64, seen []Evidence) {
	b.now, b.lapse, b.out = now, lapseMs, b.out[:0]
	var all Evidence // first the whole, against which each is judged
	for i := range seen {
		all.Served += finite(seen[i].Served)
		all.Failed += finite(seen[i].Failed)
		all.Rejected += finite(seen[i].Rejected)
	}
	b.gainMany(all.Served+all.Rejected, all.Served)
	b.failing = partOf(b.failing, all.Failed, all.Served, slowSmooth)
	for i := range seen {
		e, s := &seen[i], b.byAddr[seen[i].Server]
		served, failed, turned := finite(e.Served), finite(e.Failed), finite(e.Rejected)
		if s == nil || served+failed+turned == 0 {
			continue
		}
		if served+turned > 0 {
			b.heardFrom(s)
		}
		s.failing = partOf(s.failing, failed, served, straySmooth)
		silent := e.Silent && served+turned == 0
		switch {
		case failed > 0 && (served == 0 || !b.stray(s)):
			if silent && s.lostAt == 0 {
				s.lostAt = now
			}
			b.demote(s, silent)
		case served > 0:
			if s.state != Connected {
				b.enter(s, Connected)
			}
			s.forgive(int(min(served, 1e6)))
		}
	}
	b.revalidate()
	for _, s := range b.servers {
		if s.state == UnhealthyPending && now-s.since >= b.holdFor(s) {
			b.enter(s, Unknown)
		}
	}
}

// View appends what the module holds of each listed server, in the order of addresses.
func (b *Balancer) View(now float64, out []View) []View {
	b.now = now
	for _, s := range b.servers {
		out = append(out, View{Server: s.id, State: s.state, StateSinceMs: s.since, StartedMs: s.startedAt,
			Usable: s.usable, Zone: s.zone, Cell: s.cell, Weight: s.weight, Capacity: b.ramp(s),
			LoadShare: b.coldShare(s), ConsecutiveFailures: s.strikes})
	}
	return out
}
