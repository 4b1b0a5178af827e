package policy

const (
	// maxHealthChecks bounds the running health checks and the saved tokens.
	maxHealthChecks = 2
	// healthChecksPerRequest is the number of health checks that a request earns.
	healthChecksPerRequest = 0.1
)

// healthCheckBudget limits health checks to a fraction of the arriving requests.
type healthCheckBudget struct {
	running int
	tokens  float64 // health checks that may be started
}

func newHealthCheckBudget() healthCheckBudget { return healthCheckBudget{tokens: maxHealthChecks} }

func (h *healthCheckBudget) earn() { h.tokens = min(h.tokens+healthChecksPerRequest, maxHealthChecks) }

func (h *healthCheckBudget) available() bool { return h.tokens >= 1 && h.running < maxHealthChecks }

func (h *healthCheckBudget) start() {
	h.running++
	h.tokens--
}

func (h *healthCheckBudget) end() { h.running-- }

// checkHealth starts a health check of a server that is UnhealthyPending, if the deployment and the budget
// permit it.
func (b *Balancer) checkHealth(s *server) {
	pending := s.state == UnhealthyPending && s.usable
	if pending && b.settings.Limits.HealthChecks && !s.checking && b.healthChecks.available() {
		s.checking = true
		b.healthChecks.start()
		b.emit(Action{Kind: ActionHealthCheck, Server: s.addr})
	}
}

// onHealthCheckEnded readmits or ejects the server that was checked. A rejected check changes nothing.
func (b *Balancer) onHealthCheckEnded(ev *Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.checking {
		return
	}
	s.checking = false
	b.healthChecks.end()
	switch {
	case s.state != UnhealthyPending:
	case ev.Status == OK:
		b.recordResponse(s)
		b.setState(s, Connected)
	case ev.Status != Rejected && ev.Status != NotStarted:
		b.eject(s, true)
	}
}
