package policy

const (
	// RetryTokensPerSuccess is the number of retries that a served request earns.
	RetryTokensPerSuccess = 0.25
	// maxRetryTokens bounds the retries saved up. An agent starts with as many.
	maxRetryTokens = 4.0
)

// retryBudget holds the retries that may be sent. Served requests earn them: while few are served, retries
// would only multiply the load.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

func (r *retryBudget) earn() { r.tokens = min(r.tokens+RetryTokensPerSuccess, maxRetryTokens) }

func (r *retryBudget) available() bool { return r.tokens >= 1 }

func (r *retryBudget) spend() { r.tokens-- }

// maySend is the check before every attempt, the first and retries: the server is usable, the request is
// open with time and attempts left, and it may run once more. The limit of a server in slow start is
// checked by hasCapacity.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.responseStarted || r.openAttempts > 0 || b.now >= r.deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts || r.streamedBody && r.mayHaveRun > 0 {
		return false
	}
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // a retry goes to another server
		}
	}
	return r.mayHaveRun == 0 || b.mayRunAgain(r, s)
}

// mayRunAgain reports whether a request that may have run may be sent to the server: an idempotent one to
// any, one with an idempotency key to those that would drop the repeat, within the idempotency window.
func (b *Balancer) mayRunAgain(r *request, s *server) bool {
	class := &b.settings.Classes[r.class]
	switch class.Effect {
	case Idempotent:
		return true
	case IdempotentByKey:
		if b.now-r.firstRunAt > class.IdempotencyWindowMs-2*b.settings.BatchIntervalMs {
			return false
		}
		return class.DedupScope == ScopeAll ||
			class.DedupScope == ScopeZone && s.zone == r.firstRunServer.zone ||
			class.DedupScope == ScopeCell && s.cell == r.firstRunServer.cell
	}
	return false
}

// retry queues a request whose attempt ended unserved for another attempt, where its class, its time and
// the retry budget permit, and finishes it otherwise. An attempt that never started costs no token. The
// idempotency window and scope are checked by maySend when a server is selected.
func (b *Balancer) retry(r *request, status Status) {
	class := &b.settings.Classes[r.class]
	repeatable := r.mayHaveRun == 0 || class.Effect == Idempotent || class.Effect == IdempotentByKey
	affordable := b.retryBudget.available() || status == NotStarted
	reason := ReasonNone
	switch {
	case !repeatable:
		reason = ReasonNotRetryable
	case len(r.attempts) >= b.settings.Limits.MaxAttempts || b.now >= r.deadline:
		reason = ReasonAttempts
	case !affordable:
		reason = ReasonRetryBudget
	}
	if reason != ReasonNone {
		if status == Rejected || status == Timeout {
			b.goodput.record(0) // errors and lost connections are no sign of overload
		}
		b.rejectOrFail(r, reason)
		return
	}
	if status != NotStarted {
		b.retryBudget.spend()
	}
	b.queued = append(b.queued, r)
}
