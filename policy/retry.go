package policy

const (
	// RetryTokensPerSuccess is the number of retries that a served request earns.
	RetryTokensPerSuccess = 0.25
	// againMost bounds the retries saved up. An agent starts with as many.
	againMost = 4.0
)

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt to a cold server is charged in send.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.open > 0 || b.now >= r.deadline ||
		len(r.attempts) >= b.set.Limits.MaxAttempts || r.stream && r.risky > 0 {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.risky == 0 {
		return true
	}
	c := &b.set.Classes[r.class]
	switch c.Effect {
	case Idempotent:
		return true
	case IdempotentByKey:
		if b.now-r.ranAt > c.IdempotencyWindowMs-2*b.set.BatchIntervalMs {
			return false
		}
		return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && s.zone == r.ranOn.zone ||
			c.DedupScope == ScopeCell && s.cell == r.ranOn.cell
	}
	return false
}

// further holds an unanswered request for another server where its class and time
// allow, and ends it otherwise. Further attempts are earned by served requests: where few
// are served they would only multiply the load (ia9314f, ifa9784: two to six attempts a
// request, most turned away).
func (b *Balancer) further(r *request, why Status) {
	c := &b.set.Classes[r.class]
	able := r.risky == 0 || c.Effect == Idempotent || c.Effect == IdempotentByKey
	earned := b.again >= 1 || why == NotStarted // which reached no server, and costs none
	if !able || !earned || len(r.attempts) >= b.set.Limits.MaxAttempts || b.now >= r.deadline {
		if why == Rejected || why == Timeout {
			b.gain(0) // errors and lost connections tell nothing of crowds
		}
		b.end(r)
		return
	}
	if why != NotStarted {
		b.again--
	}
	b.held = append(b.held, r)
}
