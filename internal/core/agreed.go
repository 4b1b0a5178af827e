package core

import (
	"bytes"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// SharedConfig says that the loop acts by a book of rules on which all agents agree, for as long as it holds a lease on it.
type SharedConfig struct {
	// RejectWhenStale: once the list is over, too, requests are refused with advice, instead of sent by what is known last.
	RejectWhenStale bool
}

// sharedConfigState is what the loop has of the book of rules. A nil one says that nothing is agreed on.
type sharedConfigState struct {
	SharedConfig
	own             policy.Settings // as the agent's file has them
	narrowed        policy.Settings // as the book narrows them
	epoch           uint64
	serving         bool      // there was a lease
	strict          bool      // the settings in use are the strictest
	leaseExpiry     time.Time // of the lease
	endpointsExpiry time.Time // until when servers are chosen by what is known
	expiryTimer     *time.Timer
	expirations     int
	cordonReleases  map[string]uint64 // bans of this agent's door, by id: at this stage the book has the word on them
}

// initSharedConfig has the loop begin as one that knows nothing yet: it refuses, or serves by the strictest form of its file.
func (l *EventLoop) initSharedConfig() {
	l.shared = &sharedConfigState{SharedConfig: *l.cfg.SharedConfig, own: l.cfg.Settings, narrowed: l.cfg.Settings, cordonReleases: map[string]uint64{}}
	l.shared.expiryTimer = time.AfterFunc(time.Hour, func() { l.Post(l.leaseExpired) })
	l.shared.expiryTimer.Stop()
	l.shared.serving = !l.shared.RejectWhenStale
	l.useSettings(sharedconfig.Strict(l.cfg.Settings), true)
}

// rejecting tells whether requests are refused, for nothing is known of servers that is young enough.
func (a *sharedConfigState) rejecting(now time.Time) bool {
	return a != nil && a.RejectWhenStale && !now.Before(a.endpointsExpiry)
}

// startDeadline is until when an attempt may be begun: behind the lease nothing is tried again, behind the list's end nothing is
// sent, if that is how it is to be. The earlier of it and window counts; zero is none.
func (a *sharedConfigState) startDeadline(index int, window time.Time) time.Time {
	var end time.Time
	switch {
	case a == nil:
		return window
	case index > 0:
		end = a.leaseExpiry
		if end.IsZero() {
			end = time.Unix(1, 0) // no lease yet
		}
	case a.RejectWhenStale:
		end = a.endpointsExpiry
		if end.IsZero() {
			end = time.Unix(1, 0)
		}
	}
	if end.IsZero() || !window.IsZero() && window.Before(end) {
		return window
	}
	return end
}

// AdoptConfig has the loop act by the book of a stage until the lease ends, and choose servers by it until lists. book is nil
// where there is none yet: then the agent's own file holds. It is called in the loop.
func (l *EventLoop) AdoptConfig(stage uint64, book *sharedconfig.Config, until, lists time.Time) {
	a := l.shared
	rules := a.own
	if book != nil {
		rules = book.Settings(a.own)
	}
	a.epoch, a.narrowed = stage, rules
	l.RenewLease(until, lists)
	l.useSettings(rules, false)
	l.applyServerRules(book)
}

// RenewLease has the lease end later. It is called in the loop.
func (l *EventLoop) RenewLease(until, lists time.Time) {
	a := l.shared
	a.leaseExpiry, a.endpointsExpiry = until, lists
	a.expiryTimer.Reset(time.Until(until))
	if a.strict {
		l.useSettings(a.narrowed, false)
	}
	if !a.serving {
		a.serving = true
		l.notifyReady()
	}
}

// leaseExpired makes the settings the strictest once the lease is over. The guard has forbidden what needs one from its very
// end on; this lets the module know.
func (l *EventLoop) leaseExpired() {
	if a := l.shared; !a.strict && !time.Now().Before(a.leaseExpiry) {
		a.expirations++
		l.useSettings(sharedconfig.Strict(a.narrowed), true)
	}
}

// useSettings has loop and module act by these settings. Requests that are open keep the narrowest that they had: one that was
// sent under a wider rule is repeated under the stricter of both.
func (l *EventLoop) useSettings(s policy.Settings, strict bool) {
	was := l.cfg.Settings
	l.cfg.Settings, l.shared.strict = s, strict
	l.balancer.UpdateSettings(s)
	for _, r := range l.requests {
		c := &s.Classes[r.call.Class]
		of := sharedconfig.Class{Effect: c.Effect}
		if c.Effect == policy.IdempotentByKey {
			of.DedupScope, of.IdempotencyWindowMs = c.DedupScope, c.IdempotencyWindowMs
		}
		was := was.Classes[r.call.Class]
		if r.narrowestClass != nil {
			was = *r.narrowestClass
		}
		n := of.Narrow(was)
		if r.narrowestClass = &n; n != was && r.inFlight > 0 && len(r.attempts) > 1 {
			r.call.Superseded.Store(true)
		}
	}
}

// ReleaseCordon has a ban that was told here end, as such, with the stage at which the book tells it. It is called in the loop.
func (l *EventLoop) ReleaseCordon(id string, stage uint64) {
	if l.shared.epoch < stage {
		l.shared.cordonReleases[id] = stage
		return
	}
	l.Cordon(id, false) // the book has it by now, or has ended it
}

// applyServerRules takes the book's word on servers and tells the module, and the connections, of those of which it says
// something else than before.
func (l *EventLoop) applyServerRules(book *sharedconfig.Config) {
	t := l.endpoints
	was := make(map[*Backend]policy.Endpoint, len(t.byID))
	for _, b := range t.byID {
		was[b] = t.endpoint(b)
	}
	t.config = book
	for id, stage := range l.shared.cordonReleases {
		if l.shared.epoch >= stage {
			delete(l.shared.cordonReleases, id)
			delete(t.cordoned, id)
		}
	}
	var entries []policy.Endpoint
	for b, before := range was {
		if e := t.endpoint(b); e != before && !b.removed && b.entry.ID != "" {
			entries = append(entries, e)
			if shut := t.shouldBeUnavailable(b); b.unavailable.Swap(shut) != shut && shut {
				l.closeIdle(b)
			}
		}
	}
	if len(entries) > 0 {
		slices.SortFunc(entries, func(a, b policy.Endpoint) int { return bytes.Compare(a.Server[:], b.Server[:]) })
		l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateOtherSource, Endpoints: entries})
	}
	l.publishRotation()
	l.notifyReady()
}

// SharedConfigStats are for operators.
type SharedConfigStats struct {
	Epoch       uint64
	Strict      bool // no lease holds: nothing is tried again
	Rejecting   bool // and requests are refused
	Expirations int
}

// SharedConfigStats tells how the loop stands to the book of rules; ok is false where nothing is agreed on. It is called in
// the loop.
func (l *EventLoop) SharedConfigStats() (f SharedConfigStats, ok bool) {
	if l.shared == nil {
		return f, false
	}
	a := l.shared
	return SharedConfigStats{Epoch: a.epoch, Strict: a.strict, Rejecting: a.rejecting(time.Now()), Expirations: a.expirations}, true
}
