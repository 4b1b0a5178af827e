package policy

import "testing"

// harness drives one Balancer event by event.
type harness struct {
	t   *testing.T
	b   *Balancer
	now float64
	id  RequestID
	// splitKeys permits popular keys to be split; by default no key counts as popular.
	splitKeys bool
}

func addr(i int) Addr { return Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "free", LatencyObjectiveMs: 300, ClientTimeoutMs: 1000, Effect: Idempotent, PriorityWeight: 1},
			{Name: "once", LatencyObjectiveMs: 300, ClientTimeoutMs: 1000, Effect: NonIdempotent, PriorityWeight: 4},
			{Name: "keyed", LatencyObjectiveMs: 300, ClientTimeoutMs: 1000, Effect: IdempotentByKey, DedupScope: ScopeCell, IdempotencyWindowMs: 500, PriorityWeight: 2},
		},
		Limits: Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 500, HedgedRequests: true,
			ConnectTimeoutMs: 100},
		Contract: Contract{AnswerSlackMs: 20, PollIntervalMs: 8000, SlowStartMinCapacity: 0.2, SlowStartMs: 10000, DrainGraceMs: 500,
			OverloadFactor: 3, OverloadWindowMs: 1000},
		DiscoveryMode: "pushed", Replicas: 3, BatchIntervalMs: 5, PriorityUnit: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newHarness(t *testing.T, s Settings, servers int) *harness {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, b: b, now: 1e6}
	b.Start(r.now, nil)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Health: Ready, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	r.updateEndpoints(UpdateCached, entries...)
	return r
}

func (r *harness) do(ev Event) []Action { return r.b.Handle(r.now, &ev, nil) }

func (r *harness) updateEndpoints(kind UpdateKind, entries ...Endpoint) []Action {
	return r.do(Event{Kind: EventEndpointUpdate, Update: kind, Endpoints: entries})
}

func (r *harness) request(class int, key uint64) (RequestID, []Action) {
	r.id++
	if !r.splitKeys {
		r.b.keys.counts, r.b.keys.total = map[uint64]float64{}, keyCountsPerPart*float64(len(r.b.servers))/maxKeyShare-1
	}
	return r.id, r.do(Event{Kind: EventRequest, Request: r.id, Class: class, Key: key, RemainingMs: 600})
}

func (r *harness) endAttempt(id RequestID, attempt int, s Addr, st Status, rtt float64) []Action {
	return r.do(Event{Kind: EventAttemptEnded, Request: id, Attempt: attempt, Server: s, Status: st, LatencyMs: rtt, Final: st == OK})
}

func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// mustForward sends one request and returns its id and the server it was forwarded to.
func (r *harness) mustForward(class int, key uint64) (RequestID, Addr) {
	r.t.Helper()
	id, actions := r.request(class, key)
	a := findAction(actions, ActionForward)
	if a == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, a.Server
}

// tick advances the time by ms and fires the tick timer.
func (r *harness) tick(ms float64) []Action {
	r.now += ms
	return r.do(Event{Kind: EventTimer, Token: tickTimerToken})
}

func (r *harness) observe(e ...Evidence) { r.b.Observe(r.now, 5000, e) }

func (r *harness) view(a Addr) View {
	r.t.Helper()
	for _, v := range r.b.View(r.now, nil) {
		if v.Server == a {
			return v
		}
	}
	r.t.Fatalf("%v is not listed", a)
	return View{}
}

func (r *harness) wantState(a Addr, want State) {
	r.t.Helper()
	if got := r.view(a).State; got != want {
		r.t.Fatalf("at %v state %d, want %d", r.now, got, want)
	}
}
