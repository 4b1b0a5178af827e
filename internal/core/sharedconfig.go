package core

import (
	"bytes"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// SharedConfig has the loop act by the configuration that all agents share, for as long as it holds a lease on it.
type SharedConfig struct {
	// RejectOnExpiry: requests are rejected once the endpoint list has expired, too. Else they are forwarded by the
	// last known list.
	RejectOnExpiry bool
}

// sharedConfigState is the loop's state of the shared configuration. A nil state means that there is none.
type sharedConfigState struct {
	SharedConfig
	own               policy.Settings // of the agent's file
	narrowed          policy.Settings // of the agent's file, narrowed by the shared configuration
	epoch             uint64
	serving           bool      // requests may be served: there was a lease, or none is needed
	strict            bool      // the settings in use are the strictest
	leaseExpiry       time.Time // zero: there was no lease
	serverRulesExpiry time.Time // until when the configuration's server rules may be used
	expiryTimer       *time.Timer
	expirations       int
	cordonReleases    map[string]uint64 // by id: the epoch at which a cordon of this agent ends; see ReleaseCordon
}

// beforeAnyTime is a deadline that has always passed.
var beforeAnyTime = time.Unix(1, 0)

// idleTimer is the first duration of a timer that is stopped at once.
const idleTimer = time.Hour

// initSharedConfig starts the loop without a lease: it rejects requests, or serves by the strictest form of its file.
func (l *EventLoop) initSharedConfig() {
	l.shared = &sharedConfigState{
		SharedConfig:   *l.cfg.SharedConfig,
		own:            l.cfg.Settings,
		narrowed:       l.cfg.Settings,
		cordonReleases: map[string]uint64{},
	}
	l.shared.expiryTimer = time.AfterFunc(idleTimer, func() { l.Post(l.leaseExpired) })
	l.shared.expiryTimer.Stop()
	l.shared.serving = !l.shared.RejectOnExpiry
	l.useSettings(sharedconfig.Strict(l.cfg.Settings), true)
}

// rejecting reports whether requests are rejected, since the endpoint list has expired.
func (s *sharedConfigState) rejecting(now time.Time) bool {
	return s != nil && s.RejectOnExpiry && !now.Before(s.serverRulesExpiry)
}

// startDeadline returns until when an attempt may begin: a retry within the lease, and any attempt before the server
// rules expire where RejectOnExpiry is set. The earlier of that and retryUntil counts; zero is no bound.
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
	if deadline.IsZero() { // there was no lease
		deadline = beforeAnyTime
	}
	if !retryUntil.IsZero() && retryUntil.Before(deadline) {
		return retryUntil
	}
	return deadline
}

// AdoptConfig has the loop act by the configuration of an epoch until leaseExpiry, and select backends by it until
// serverRulesExpiry. With a nil config the agent's own file holds. It is called in the loop.
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

// RenewLease extends the lease and the use of the endpoint list. It is called in the loop.
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

// leaseExpired uses the strictest settings once the lease has expired. The guard has enforced the end of the lease by
// then; this lets the balancer plan by it.
func (l *EventLoop) leaseExpired() {
	s := l.shared
	if s.strict || time.Now().Before(s.leaseExpiry) {
		return
	}
	s.expirations++
	l.useSettings(sharedconfig.Strict(s.narrowed), true)
}

// useSettings has the loop and the balancer act by these settings. An open request keeps the strictest rules that
// applied since it was submitted: what was sent under a wider rule is retried under the stricter of both.
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

// classRules returns the rules of a class in the form that narrows others.
func classRules(c *policy.Class) sharedconfig.Class {
	rules := sharedconfig.Class{Effect: c.Effect}
	if c.Effect == policy.IdempotentByKey {
		rules.DedupScope = c.DedupScope
		rules.IdempotencyWindowMs = c.IdempotencyWindowMs
	}
	return rules
}

// applyServerRules applies what the shared configuration says of servers, and notifies the balancer of the backends
// for which that has changed.
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

// SharedConfigStats are for operators.
type SharedConfigStats struct {
	Epoch       uint64
	Strict      bool // no lease is held: nothing is retried
	Rejecting   bool // requests are rejected, since the endpoint list has expired
	Expirations int  // of leases
}

// SharedConfigStats returns the state of the shared configuration; ok is false where there is none. It is called in
// the loop.
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
