package core

import (
	"bytes"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// SharedConfig makes the loop use the configuration shared by all agents while it has a lease on it.
type SharedConfig struct {
	// RejectOnExpiry rejects requests once the server rules have expired, too. Otherwise they are forwarded
	// by the last known rules.
	RejectOnExpiry bool
}

// sharedConfigState is the loop's state of the shared configuration. It is nil if the agent has none.
type sharedConfigState struct {
	SharedConfig
	own               policy.Settings // from the agent's file
	narrowed          policy.Settings // own, narrowed by the shared configuration
	epoch             uint64
	serving           bool      // requests may be served: a lease was granted, or none is required
	strict            bool      // the settings in use are the strictest
	leaseExpiry       time.Time // zero: no lease was granted yet
	serverRulesExpiry time.Time // until when the configuration's server rules may be used
	expiryTimer       *time.Timer
	expirations       int
	cordonReleases    map[string]uint64 // by id: the epoch at which a cordon ends; see ReleaseCordon
}

// distantPast is a deadline that has always passed.
var distantPast = time.Unix(1, 0)

// stoppedTimerDuration is the initial duration of a timer that is stopped right after its creation.
const stoppedTimerDuration = time.Hour

// initSharedConfig initializes the loop without a lease: it rejects requests, or serves by the strictest
// form of its own settings.
func (l *EventLoop) initSharedConfig() {
	l.shared = &sharedConfigState{
		SharedConfig:   *l.cfg.SharedConfig,
		own:            l.cfg.Settings,
		narrowed:       l.cfg.Settings,
		cordonReleases: map[string]uint64{},
	}
	l.shared.expiryTimer = time.AfterFunc(stoppedTimerDuration, func() { l.Post(l.leaseExpired) })
	l.shared.expiryTimer.Stop()
	l.shared.serving = !l.shared.RejectOnExpiry
	l.useSettings(sharedconfig.Strict(l.cfg.Settings), true)
}

// rejecting reports whether requests are rejected because the server rules have expired.
func (s *sharedConfigState) rejecting(now time.Time) bool {
	return s != nil && s.RejectOnExpiry && !now.Before(s.serverRulesExpiry)
}

// startDeadline returns the time before which an attempt has to start: a retry before the lease expires
// and, with RejectOnExpiry, a first attempt before the server rules expire. If retryUntil is earlier, it
// applies instead. Zero means no bound.
func (s *sharedConfigState) startDeadline(index int, retryUntil time.Time) time.Time {
	var deadline time.Time
	switch {
	case s == nil:
		return retryUntil
	case index > 0:
		deadline = s.leaseExpiry
	case s.RejectOnExpiry:
		deadline = s.serverRulesExpiry
	default:
		return retryUntil
	}
	if deadline.IsZero() { // no lease was granted yet
		deadline = distantPast
	}
	if !retryUntil.IsZero() && retryUntil.Before(deadline) {
		return retryUntil
	}
	return deadline
}

// AdoptConfig makes the loop use the configuration of an epoch until leaseExpiry, and its server rules
// until serverRulesExpiry. With a nil config the agent's own settings apply. It must be called in the loop.
func (l *EventLoop) AdoptConfig(epoch uint64, config *sharedconfig.Config, leaseExpiry, serverRulesExpiry time.Time) {
	s := l.shared
	settings := s.own
	if config != nil {
		settings = config.Settings(s.own)
	}
	s.epoch = epoch
	s.narrowed = settings
	l.RenewLease(leaseExpiry, serverRulesExpiry)
	l.useSettings(settings, false)
	l.applyServerRules(config)
}

// RenewLease extends the lease and the use of the server rules. It must be called in the loop.
func (l *EventLoop) RenewLease(leaseExpiry, serverRulesExpiry time.Time) {
	s := l.shared
	s.leaseExpiry = leaseExpiry
	s.serverRulesExpiry = serverRulesExpiry
	s.expiryTimer.Reset(time.Until(leaseExpiry))
	if s.strict {
		l.useSettings(s.narrowed, false)
	}
	if !s.serving {
		s.serving = true
		l.notifyReady()
	}
}

// leaseExpired switches to the strictest settings once the lease has expired. The guard already enforces
// the expiry; this makes the balancer take it into account.
func (l *EventLoop) leaseExpired() {
	s := l.shared
	if s.strict || time.Now().Before(s.leaseExpiry) {
		return
	}
	s.expirations++
	l.useSettings(sharedconfig.Strict(s.narrowed), true)
}

// useSettings applies settings to the loop and the balancer. An open request is subject to the strictest
// rules that applied since it was submitted: a request sent under wider rules is retried under the stricter
// of both.
func (l *EventLoop) useSettings(settings policy.Settings, strict bool) {
	previous := l.cfg.Settings
	l.cfg.Settings = settings
	l.shared.strict = strict
	l.balancer.UpdateSettings(settings)
	for _, r := range l.requests {
		before := previous.Classes[r.call.Class]
		if r.narrowestClass != nil {
			before = *r.narrowestClass
		}
		narrowed := classRules(&settings.Classes[r.call.Class]).Narrow(before)
		r.narrowestClass = &narrowed
		if narrowed != before && r.inFlight > 0 && len(r.attempts) > 1 {
			r.call.Superseded.Store(true)
		}
	}
}

// classRules returns the rules of a class in the form of the shared configuration, which can narrow other
// rules.
func classRules(c *policy.Class) sharedconfig.Class {
	rules := sharedconfig.Class{Effect: c.Effect}
	if c.Effect == policy.IdempotentByKey {
		rules.DedupScope = c.DedupScope
		rules.IdempotencyWindowMs = c.IdempotencyWindowMs
	}
	return rules
}

// applyServerRules applies the server rules of the shared configuration, and notifies the balancer of the
// backends that they change.
func (l *EventLoop) applyServerRules(config *sharedconfig.Config) {
	t := l.endpoints
	before := make(map[*Backend]policy.Endpoint, len(t.byID))
	for _, b := range t.byID {
		before[b] = t.endpoint(b)
	}
	t.config = config
	l.endReleasedCordons()
	var changed []policy.Endpoint
	for b, previous := range before {
		e := t.endpoint(b)
		if e == previous || b.removed || b.entry.ID == "" {
			continue
		}
		changed = append(changed, e)
		unavailable := isUnavailable(&e)
		if b.unavailable.Swap(unavailable) != unavailable && unavailable {
			l.closeIdle(b)
		}
	}
	if len(changed) > 0 {
		slices.SortFunc(changed, func(a, b policy.Endpoint) int { return bytes.Compare(a.Server[:], b.Server[:]) })
		l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateOtherSource, Endpoints: changed})
	}
	l.publishRotation()
	l.notifyReady()
}

// endReleasedCordons ends the cordons of this agent that the shared configuration has taken over.
func (l *EventLoop) endReleasedCordons() {
	for id, epoch := range l.shared.cordonReleases {
		if l.shared.epoch >= epoch {
			delete(l.shared.cordonReleases, id)
			delete(l.endpoints.cordoned, id)
		}
	}
}

// SharedConfigStats is the state of the shared configuration, for operators.
type SharedConfigStats struct {
	Epoch       uint64
	Strict      bool // no lease is held, so nothing is retried
	Rejecting   bool // requests are rejected because the server rules have expired
	Expirations int  // of leases
}

// SharedConfigStats returns the state of the shared configuration; ok is false if the agent has none. It
// must be called in the loop.
func (l *EventLoop) SharedConfigStats() (stats SharedConfigStats, ok bool) {
	s := l.shared
	if s == nil {
		return SharedConfigStats{}, false
	}
	return SharedConfigStats{
		Epoch:       s.epoch,
		Strict:      s.strict,
		Rejecting:   s.rejecting(time.Now()),
		Expirations: s.expirations,
	}, true
}
