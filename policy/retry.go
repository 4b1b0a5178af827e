package policy

const (
	// RetryTokensPerSuccess is the number of retries that a served request earns.
	RetryTokensPerSuccess = 0.25
	// maxRetryTokens bounds the saved retry tokens. It is also their initial number.
	maxRetryTokens = 4.0
)

// retryBudget holds the tokens for retries. Served requests earn them: while few requests are served, retries
// would only multiply the load.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

func (r *retryBudget) earn() { r.tokens = min(r.tokens+RetryTokensPerSuccess, maxRetryTokens) }

func (r *retryBudget) available() bool { return r.tokens >= 1 }

func (r *retryBudget) spend() { r.tokens-- }

// maySend reports whether an attempt, the first or a retry, is permitted: the server is usable, the request
// is open with time and attempts left, and it may run once more. hasCapacity checks the limit of a server in
// slow start.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.responseStarted || r.openAttempts > 0 || b.now >= r.deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts || r.streamedBody && r.mayHaveRun > 0 {
		return false
	}
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // a retry goes to a different server
		}
	}
	return r.mayHaveRun == 0 || b.mayRunAgain(r, s)
}

// mayRunAgain reports whether a request that may have run may be sent to the server. An idempotent request
// may go to any server, one with an idempotency key only to servers that drop the repeat, within the
// idempotency window.
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

// retry queues a request whose attempt was not served for another attempt, if its class, its time and the
// retry budget permit it, and finishes it otherwise. An attempt that was never started costs no token.
// maySend checks the idempotency window and scope when a server is selected.
func (b *Balancer) retry(r *request, status Status) {
	class := &b.settings.Classes[r.class]
	retryable := r.mayHaveRun == 0 || class.Effect == Idempotent || class.Effect == IdempotentByKey
	withinBudget := b.retryBudget.available() || status == NotStarted
	reason := ReasonNone
	switch {
	case !retryable:
		reason = ReasonNotRetryable
	case len(r.attempts) >= b.settings.Limits.MaxAttempts || b.now >= r.deadline:
		reason = ReasonAttempts
	case !withinBudget:
		reason = ReasonRetryBudget
	}
	if reason != ReasonNone {
		if status == Rejected || status == Timeout {
			b.goodput.record(0) // unlike errors and lost connections, these are signs of overload
		}
		b.rejectOrFail(r, reason)
		return
	}
	if status != NotStarted {
		b.retryBudget.spend()
	}
	b.queued = append(b.queued, r)
}
