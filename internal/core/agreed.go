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

// agreed is what the loop has of the book of rules. A nil one says that nothing is agreed on.
type agreed struct {
	SharedConfig
	own    policy.Settings // as the agent's file has them
	rules  policy.Settings // as the book narrows them
	stage  uint64
	known  bool      // there was a lease
	strict bool      // the settings in use are the strictest
	until  time.Time // of the lease
	lists  time.Time // until when servers are chosen by what is known
	lapse  *time.Timer
	lapses int
	yield  map[string]uint64 // bans of this agent's door, by id: at this stage the book has the word on them
}

// agree has the loop begin as one that knows nothing yet: it refuses, or serves by the strictest form of its file.
func (l *EventLoop) agree() {
	l.agreed = &agreed{SharedConfig: *l.cfg.SharedConfig, own: l.cfg.Settings, rules: l.cfg.Settings, yield: map[string]uint64{}}
	l.agreed.lapse = time.AfterFunc(time.Hour, func() { l.Post(l.lapsed) })
	l.agreed.lapse.Stop()
	l.agreed.known = !l.agreed.RejectWhenStale
	l.use(sharedconfig.Strict(l.cfg.Settings), true)
}

// shut tells whether requests are refused, for nothing is known of servers that is young enough.
func (a *agreed) shut(now time.Time) bool {
	return a != nil && a.RejectWhenStale && !now.Before(a.lists)
}

// by is until when an attempt may be begun: behind the lease nothing is tried again, behind the list's end nothing is
// sent, if that is how it is to be. The earlier of it and window counts; zero is none.
func (a *agreed) by(index int, window time.Time) time.Time {
	var end time.Time
	switch {
	case a == nil:
		return window
	case index > 0:
		end = a.until
		if end.IsZero() {
			end = time.Unix(1, 0) // no lease yet
		}
	case a.RejectWhenStale:
		end = a.lists
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
	a := l.agreed
	rules := a.own
	if book != nil {
		rules = book.Settings(a.own)
	}
	a.stage, a.rules = stage, rules
	l.RenewLease(until, lists)
	l.use(rules, false)
	l.reword(book)
}

// RenewLease has the lease end later. It is called in the loop.
func (l *EventLoop) RenewLease(until, lists time.Time) {
	a := l.agreed
	a.until, a.lists = until, lists
	a.lapse.Reset(time.Until(until))
	if a.strict {
		l.use(a.rules, false)
	}
	if !a.known {
		a.known = true
		l.tellReady()
	}
}

// lapsed makes the settings the strictest once the lease is over. The guard has forbidden what needs one from its very
// end on; this lets the module know.
func (l *EventLoop) lapsed() {
	if a := l.agreed; !a.strict && !time.Now().Before(a.until) {
		a.lapses++
		l.use(sharedconfig.Strict(a.rules), true)
	}
}

// use has loop and module act by these settings. Requests that are open keep the narrowest that they had: one that was
// sent under a wider rule is repeated under the stricter of both.
func (l *EventLoop) use(s policy.Settings, strict bool) {
	was := l.cfg.Settings
	l.cfg.Settings, l.agreed.strict = s, strict
	l.balancer.UpdateSettings(s)
	for _, r := range l.requests {
		c := &s.Classes[r.call.Class]
		of := sharedconfig.Class{Effect: c.Effect}
		if c.Effect == policy.IdempotentByKey {
			of.DedupScope, of.IdempotencyWindowMs = c.DedupScope, c.IdempotencyWindowMs
		}
		was := was.Classes[r.call.Class]
		if r.class != nil {
			was = *r.class
		}
		n := of.Narrow(was)
		if r.class = &n; n != was && r.out > 0 && len(r.attempts) > 1 {
			r.call.Superseded.Store(true)
		}
	}
}

// ReleaseCordon has a ban that was told here end, as such, with the stage at which the book tells it. It is called in the loop.
func (l *EventLoop) ReleaseCordon(id string, stage uint64) {
	if l.agreed.stage < stage {
		l.agreed.yield[id] = stage
		return
	}
	l.Cordon(id, false) // the book has it by now, or has ended it
}

// reword takes the book's word on servers and tells the module, and the connections, of those of which it says
// something else than before.
func (l *EventLoop) reword(book *sharedconfig.Config) {
	t := l.table
	was := make(map[*Backend]policy.Endpoint, len(t.byID))
	for _, b := range t.byID {
		was[b] = t.entry(b)
	}
	t.word = book
	for id, stage := range l.agreed.yield {
		if l.agreed.stage >= stage {
			delete(l.agreed.yield, id)
			delete(t.banned, id)
		}
	}
	var entries []policy.Endpoint
	for b, before := range was {
		if e := t.entry(b); e != before && !b.gone && b.told.ID != "" {
			entries = append(entries, e)
			if shut := t.shut(b); b.closed.Swap(shut) != shut && shut {
				l.hangUp(b)
			}
		}
	}
	if len(entries) > 0 {
		slices.SortFunc(entries, func(a, b policy.Endpoint) int { return bytes.Compare(a.Server[:], b.Server[:]) })
		l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateOtherSource, Endpoints: entries})
	}
	l.publish()
	l.tellReady()
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
	if l.agreed == nil {
		return f, false
	}
	a := l.agreed
	return SharedConfigStats{Epoch: a.stage, Strict: a.strict, Rejecting: a.shut(time.Now()), Expirations: a.lapses}, true
}
