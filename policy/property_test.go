package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// randomRun simulates random clients, servers and endpoint updates for one Balancer and checks invariants of
// its actions only.
type randomRun struct {
	t             *testing.T
	rng           *rand.Rand
	set           Settings
	b             *Balancer
	now           float64
	next          RequestID
	requests      map[RequestID]*randomRequest
	timers        []randomTimer
	endpoints     map[Addr]Endpoint
	drainingSince map[Addr]float64 // when the Balancer was notified that it is draining or removed
	history       []Action
	// extraTicks adds a tick to each step in which nothing is queued and no server is silent.
	extraTicks bool
	ticks      int
}

type randomAttempt struct {
	server Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type randomRequest struct {
	class    int
	deadline float64
	attempts []*randomAttempt
	final    int
}

type randomTimer struct {
	at    float64
	token uint32
}

func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Limits.HedgedRequests = rng.IntN(2) == 0
	s.Limits.Cancelling = rng.IntN(2) == 0
	s.Limits.HealthChecks = rng.IntN(2) == 0
	s.Limits.MaxAttempts = 1 + rng.IntN(5)
	s.Classes[2].DedupScope = []DedupScope{ScopeAll, ScopeZone, ScopeCell}[rng.IntN(3)]
	s.Classes[2].IdempotencyWindowMs = 100 + 900*rng.Float64()
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMs = 50 + 400*rng.Float64()
		s.Classes[i].LateCredit = []float64{0, 0.2}[rng.IntN(2)]
	}
	if rng.IntN(2) == 0 {
		s.DiscoveryMode = "on_request"
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{Name: "a", QuotaWeight: 0.7}, {Name: "b", QuotaWeight: 0.3}}
		s.OverQuotaWeight = 0.1
	}
	s.Clients.MarksRetry = rng.IntN(2) == 0
	return s
}

func (w *randomRun) apply(actions []Action) {
	w.history = append(w.history, actions...)
	for _, a := range actions {
		r := w.requests[a.Request]
		switch a.Kind {
		case ActionForward:
			w.checkSend(r, &a)
			ends := w.now + 1 + 150*w.rng.Float64()
			st := []Status{OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset}[w.rng.IntN(10)]
			if st == Timeout {
				ends = w.now + a.DurationMs
			}
			r.attempts = append(r.attempts, &randomAttempt{server: a.Server, sentAt: w.now, endsAt: min(ends, w.now+a.DurationMs), status: st})
		case ActionReject, ActionFail:
			if r.final++; r.final > 1 {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			if w.now > r.deadline+w.set.Contract.AnswerSlackMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, w.now-r.deadline)
			}
			c := w.set.Classes[r.class]
			if a.Kind == ActionReject && r.mayHaveRun() && (c.Effect == NonIdempotent || c.Effect == IdempotentByKey && c.DedupScope != ScopeAll) {
				w.t.Fatalf("request %d of effect %s rejected though it may have run", a.Request, c.Effect)
			}
		case ActionCancel:
			if !w.set.Limits.Cancelling {
				w.t.Fatal("cancelled where it is not permitted")
			}
			if attempt := r.attempts[a.Attempt]; !attempt.ended {
				attempt.status, attempt.endsAt = Cancelled, w.now+5
			}
		case ActionHealthCheck:
			if !w.set.Limits.HealthChecks {
				w.t.Fatal("health check where it is not permitted")
			}
		case ActionTimer:
			w.timers = append(w.timers, randomTimer{w.now + a.DurationMs, a.Token})
		}
	}
}

func (r *randomRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(t *randomAttempt) bool { return !t.ended || !t.status.NeverRan() })
}

func (w *randomRun) checkSend(r *randomRequest, a *Action) {
	c := w.set.Classes[r.class]
	if r.final > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its end", a.Request)
	}
	if len(r.attempts) >= w.set.Limits.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d",
			a.Request, len(r.attempts)+1, w.set.Limits.MaxAttempts)
	}
	if since, bad := w.drainingSince[a.Server]; bad && w.now-since > w.set.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after it was draining", a.Server, w.now-since)
	}
	for _, t := range r.attempts {
		if !t.ended && !w.set.Limits.HedgedRequests {
			w.t.Fatalf("request %d: two attempts in flight at once", a.Request)
		}
		if t.ended && t.status.NeverRan() {
			continue
		}
		x, y := w.endpoints[t.server], w.endpoints[a.Server]
		switch {
		case c.Effect == NonIdempotent:
			w.t.Fatalf("request %d retried though it may have run", a.Request)
		case c.Effect == IdempotentByKey && w.now-t.sentAt > c.IdempotencyWindowMs:
			w.t.Fatalf("request %d retried %.0f ms after it may have run", a.Request, w.now-t.sentAt)
		case c.Effect == IdempotentByKey && (c.DedupScope == ScopeZone && x.Zone != y.Zone || c.DedupScope == ScopeCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d retried outside its scope", a.Request)
		}
	}
}

func (w *randomRun) handle(ev Event) { w.apply(w.b.Handle(w.now, &ev, nil)) }

func (w *randomRun) step() {
	w.now += w.set.BatchIntervalMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(Event{Kind: EventTimer, Token: t.token})
		}
	}
	if w.extraTicks && len(w.b.queued) == 0 && w.b.inflight > 0 && w.b.nextSilenceAt() > w.now && w.b.tick.at > w.now+1 {
		w.ticks++
		w.handle(Event{Kind: EventTimer, Token: tickTimerToken})
	}
	for id := RequestID(1); id <= w.next; id++ {
		r := w.requests[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.attempts {
			if t.ended {
				continue
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.status == OK {
				r.final++ // a second answer, to a hedged request, does not count
				r.final = min(r.final, 1)
			}
			w.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: i, Server: t.server, Status: t.status,
				LatencyMs: w.now - t.sentAt, Final: r.final > 0})
		}
		if r.final == 0 && w.now > r.deadline+w.set.Contract.AnswerSlackMs {
			w.t.Fatalf("request %d of class %d lost: no answer %.0f ms after its deadline",
				id, r.class, w.now-r.deadline)
		}
		if r.final > 0 && !open && len(r.attempts) > 0 && w.now > r.deadline+100 {
			delete(w.requests, id)
		}
	}
}

func (w *randomRun) changeEndpoints() {
	s := addr(w.rng.IntN(8))
	e := Endpoint{Server: s, Zone: int(s[3]) % 2, Cell: int(s[3]) % 3, Weight: 1 + w.rng.Float64(),
		Health: []Health{Ready, Ready, Draining, Removed}[w.rng.IntN(4)]}
	if w.rng.IntN(3) == 0 {
		e.StartedMs = w.now - 100*w.rng.Float64()
	}
	w.endpoints[s] = e
	if e.Health == Ready {
		delete(w.drainingSince, s)
	} else if _, known := w.drainingSince[s]; !known {
		w.drainingSince[s] = w.now
	}
	w.handle(Event{Kind: EventEndpointUpdate, Update: UpdateDelta, Endpoints: []Endpoint{e}})
}

func simulateRandomRun(t *testing.T, seed uint64) []Action {
	return newRandomRun(t, seed).simulate(seed, 3)
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &randomRun{t: t, rng: rng, set: randomSettings(rng), now: 5000, requests: map[RequestID]*randomRequest{},
		endpoints: map[Addr]Endpoint{}, drainingSince: map[Addr]float64{}}
}

// simulate runs the simulation; a request arrives in one of the given number of steps.
func (w *randomRun) simulate(seed uint64, steps int) []Action {
	t, rng := w.t, w.rng
	var err error
	if w.b, err = New(w.set, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.b.Start(w.now, nil))
	for range 10 {
		w.changeEndpoints()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(steps) == 0 {
			w.next++
			left := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.set.Classes))
			w.requests[w.next] = &randomRequest{class: class, deadline: w.now + left}
			w.handle(Event{Kind: EventRequest, Request: w.next, Class: class, Tenant: rng.IntN(2), Key: uint64(rng.IntN(30)),
				RemainingMs: left, HasWorkHint: rng.IntN(2) == 0, WorkHintMs: 100 * rng.Float64(), Retry: rng.IntN(5) == 0})
		}
		switch rng.IntN(40) {
		case 0:
			w.changeEndpoints()
		case 1:
			if r := w.requests[w.next]; r != nil && r.final == 0 {
				r.final = 1
				w.handle(Event{Kind: EventClientDisconnected, Request: w.next})
			}
		case 2: // events for unknown or finished requests are ignored
			w.handle(Event{Kind: EventAttemptEnded, Request: 1 << 30, Server: addr(1), Status: OK})
			w.handle(Event{Kind: EventClientDisconnected, Request: 1 << 30})
			w.handle(Event{Kind: EventTimer, Token: 99})
			w.handle(Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
		}
	}
	if n := len(w.b.requests); n != 0 || len(w.b.queued) != 0 || w.b.inflight != 0 {
		t.Errorf("seed %d: %d requests, %d queued, %d in flight left at the end",
			seed, n, len(w.b.queued), w.b.inflight)
	}
	for _, s := range w.b.servers {
		if len(s.inflight) != 0 {
			t.Errorf("seed %d: server %v has %d attempts left", seed, s.addr, len(s.inflight))
		}
	}
	if len(w.b.unserved) > maxQueued {
		t.Errorf("seed %d: %d unserved requests remembered", seed, len(w.b.unserved))
	}
	return w.history
}

func TestInvariantsHoldOnRandomRuns(t *testing.T) {
	t.Parallel() // virtual time alone
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulateRandomRun(t, seed) })
	}
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(simulateRandomRun(t, seed), simulateRandomRun(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}
