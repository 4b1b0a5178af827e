package policy

import (
	"slices"
)

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id         RequestID
	class      int
	tenant     int
	key        uint64
	spot       uint64 // the key, or one of its parts
	hint       float64
	first      float64 // when the client's first try came, as far as known
	arrived    float64
	aimAt      float64
	deadline   float64 // margin already taken off
	attempts   []*attempt
	open       int // attempts out
	risky      int // attempts that may have run
	ranAt      float64
	ranOn      *server
	near       [keyServers]*server // nearest its key, as of epoch
	epoch      uint64
	tierWeight float64 // of the tier at its last pick
	value      float64
	flow       int  // of portions
	warm       bool // its key was sent of late
	anywhere   bool // has waited its time for its key's servers
	wrote      bool // an attempt reached a server
	closed     bool
	stream     bool // its body is sent as it comes, once
	started    bool // a streamed answer belongs to the client now
}

// past is what is remembered of an unserved request, to know its retry.
type past struct {
	class int
	key   uint64
	first float64
}

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) || b.requests[ev.Request] != nil {
		return
	}
	c := &b.set.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key,
		arrived: b.now, first: b.now, stream: ev.StreamedBody}
	if ev.HasWorkHint && ev.WorkHintMs > 0 {
		r.hint = ev.WorkHintMs
		b.meanHint = mean(b.meanHint, r.hint, slowSmooth)
	}
	left := max(ev.RemainingMs, 0)
	r.deadline = b.now + left - min(b.set.BatchIntervalMs, left/4)
	if ev.Retry {
		r.first = b.recall(r)
	}
	r.aimAt = min(r.first+c.LatencyObjectiveMs+c.ObjectiveStretch*r.hint, r.deadline)
	r.spot, r.flow = b.spot(r.key), b.flowOf(r)
	r.warm = b.set.FamilyInfo.WarmKeys && b.warmed.Contains(b.now, r.key)
	b.requests[r.id] = r
	b.count(r.tenant)
	b.tally(r.class)
	for i := range b.won {
		if b.won[i]*b.asked[b.worst] < b.won[b.worst]*b.asked[i] {
			b.worst = i
		}
	}
	b.mayProbe = min(b.mayProbe+probeShare, probeCap)
	b.revalidate()
	b.held = append(b.held, r)
	if b.levels.Sheds(b.value(r), b.shed(), b.rng.Float64()) && !b.portions.UnderQuota(r.flow) {
		b.gain(0)
		b.end(r)
		return
	}
	// A request whose hinted work cannot fit the aim anywhere would only keep
	// others waiting: the costly few of a heavy tail.
	if r.hint > 0 && c.LateCredit == 0 && hopeless*b.hintedTime(r) > r.aimAt-b.now {
		b.end(r)
	}
}

// onWritten begins a streamed request's time, and its attempt's: the backend has its last byte now.
func (b *Balancer) onWritten(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].writing {
		return
	}
	a := r.attempts[ev.Attempt]
	a.writing, a.sentAt, a.alone = false, b.now, len(a.s.out) == 0
	a.s.out = append(a.s.out, a)
	b.inflight++
	r.arrived, r.first = b.now, b.now
	r.deadline = b.now + ev.RemainingMs - min(b.set.BatchIntervalMs, ev.RemainingMs/4)
	r.aimAt = min(b.now+b.set.Classes[r.class].LatencyObjectiveMs, r.deadline)
	r.ranAt = b.now
}

// end is the guard of all final answers but served ones: a refusal where the
// class allows the claim that a retry is harmless, else a failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.remember(r)
	b.patience.RequestEnded(false)
	c := &b.set.Classes[r.class]
	// Past the window a repeat of a guarded request would run again.
	harmless := r.risky == 0 || c.Effect == Idempotent ||
		c.Effect == IdempotentByKey && c.DedupScope == ScopeAll && b.now-r.ranAt < c.IdempotencyWindowMs
	b.close(r)
	if harmless {
		b.do(Action{Kind: ActionReject, Request: r.id, DurationMs: b.set.Limits.MaxRetryAfterMs})
	} else {
		b.do(Action{Kind: ActionFail, Request: r.id})
	}
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.held, r); i >= 0 {
		b.held = slices.Delete(b.held, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancelling {
			b.do(Action{Kind: ActionCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	if !b.set.Clients.MarksRetry {
		return
	}
	b.pasts = slices.DeleteFunc(b.pasts, func(p past) bool {
		return b.now-p.first > b.set.Classes[p.class].ClientTimeoutMs
	})
	if len(b.pasts) < maxHeld {
		b.pasts = append(b.pasts, past{r.class, r.key, r.first})
	}
}

func (b *Balancer) recall(r *request) float64 {
	i := slices.IndexFunc(b.pasts, func(p past) bool { return p.class == r.class && p.key == r.key })
	if i < 0 {
		return r.arrived
	}
	first := b.pasts[i].first
	b.pasts = slices.Delete(b.pasts, i, i+1)
	return first
}

// expected is how long an answer to the request takes, on the mean.
func (b *Balancer) expected(r *request) float64 {
	e := b.expect[r.class]
	if t := b.hintedTime(r); t > 0 {
		e = max(t, e/4)
	}
	return e
}

// partOfAim is an answer time as a part of the aim. Where hints tell the work a
// costly request counts as one of mean work; a small one is not scaled up, as its
// time is mostly the network's.
func (b *Balancer) partOfAim(r *request, rtt float64) float64 {
	x := rtt / b.set.Classes[r.class].LatencyObjectiveMs
	if r.hint > 0 {
		x *= min(b.meanHint/r.hint, 1)
	}
	return min(x, 2)
}

// cost is the work of a request in units of the mean one, and never less: hints are
// rough, and a cold server would be sent the small ones that are not (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.meanHint {
		return r.hint / b.meanHint
	}
	return 1
}
