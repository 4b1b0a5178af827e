package policy

// maxObservedSuccesses bounds the served attempts of one observation before they are converted to an
// integer.
const maxObservedSuccesses = 1e6

// Observe updates the states of servers from the evidence of other agents, with at most one entry per server.
// Failures eject a server; served attempts or time readmit it: an Unhealthy server becomes UnhealthyPending
// after minEjectionMs, doubled with each further ejection, and a pending one without any evidence becomes
// Unknown after the same time again. Observe is called instead of Handle, by a caller that sends no requests
// of its own; the resulting actions are dropped.
func (b *Balancer) Observe(now, minEjectionMs float64, evidence []Evidence) {
	b.now = now
	b.minEjectionMs = minEjectionMs
	b.actions = b.actions[:0]
	var total Evidence // the sum, to compare each server with
	for i := range evidence {
		total.Served += nonNegative(evidence[i].Served)
		total.Failed += nonNegative(evidence[i].Failed)
		total.Rejected += nonNegative(evidence[i].Rejected)
	}
	b.goodput.recordMany(total.Served+total.Rejected, total.Served)
	b.fleet.failureRate = movingRate(b.fleet.failureRate, total.Failed, total.Served, fleetAverageWeight)
	for i := range evidence {
		if s := b.byAddr[evidence[i].Server]; s != nil {
			b.observeServer(s, &evidence[i])
		}
	}
	b.revalidateEjected()
	for _, s := range b.servers {
		if s.state == UnhealthyPending && now-s.stateSince >= b.ejectionTime(s) {
			b.setState(s, Unknown)
		}
	}
}

// observeServer applies the evidence about one server.
func (b *Balancer) observeServer(s *server, e *Evidence) {
	served := nonNegative(e.Served)
	failed := nonNegative(e.Failed)
	rejected := nonNegative(e.Rejected)
	if served+failed+rejected == 0 {
		return
	}
	answered := served+rejected > 0
	if answered {
		b.recordResponse(s)
	}
	s.failureRate = movingRate(s.failureRate, failed, served, failureRateWeight)
	switch {
	case failed > 0 && (served == 0 || !b.failureRateWithinBaseline(s)):
		silent := e.Silent && !answered
		if silent && s.connectFailedSince == 0 {
			s.connectFailedSince = b.now
		}
		b.eject(s, silent)
	case served > 0:
		if s.state != Connected {
			b.setState(s, Connected)
		}
		s.recordSuccesses(int(min(served, maxObservedSuccesses)))
	}
}

// View appends the state of each listed server to out, in the order of addresses.
func (b *Balancer) View(now float64, out []View) []View {
	b.now = now
	for _, s := range b.servers {
		out = append(out, View{
			Server:         s.addr,
			State:          s.state,
			StateSinceMs:   s.stateSince,
			StartedMs:      s.startedAt,
			Usable:         s.usable,
			Zone:           s.zone,
			Cell:           s.cell,
			Weight:         s.weight,
			WarmUpFraction: b.warmUpFraction(s),
			LoadShare:      b.loadShare(s),
			Ejections:      s.ejections,
		})
	}
	return out
}
