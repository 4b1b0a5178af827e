package policy

const (
	// probeCap bounds the health checks under way, and those saved up.
	probeCap = 2
	// probeShare is the number of health checks that a request earns.
	probeShare = 0.1
)

func (b *Balancer) onProbed(ev *Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probes--
	switch {
	case s.state != UnhealthyPending:
	case ev.Status == OK:
		b.heardFrom(s)
		b.enter(s, Connected)
	case ev.Status != Rejected && ev.Status != NotStarted:
		b.demote(s, true)
	}
}
