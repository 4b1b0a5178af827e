package core

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// testTimeout bounds every wait of the tests; none of them needs more than a part of it.
const testTimeout = 20 * time.Second

// stub is an upstream whose attempts end as a test says.
type stub struct {
	do func(ctx context.Context, b *Backend, c *Call) Result
}

func (s stub) Do(ctx context.Context, b *Backend, _ string, c *Call, _, _ time.Time) Result {
	return s.do(ctx, b, c)
}
func (stub) CloseIdle(*Backend) {}
func (stub) CloseExpired()      {}

func listedBackend(id string) membership.Entry {
	return membership.Entry{ID: id, Addr: "127.0.0.1:1", State: membership.Up, Weight: 1}
}

func testConfig() Config {
	return Config{Discovery: "127.0.0.1:1", Seed: 7, CachedEndpoints: membership.List{Revision: 1, Full: true, Entries: []membership.Entry{listedBackend("s-1")}},
		Settings: policy.Settings{Classes: []policy.Class{
			{Name: "read", LatencyObjectiveMs: 2000, ClientTimeoutMs: 4000, Effect: policy.Idempotent, PriorityWeight: 1},
			{Name: "send", LatencyObjectiveMs: 2000, ClientTimeoutMs: 4000, Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 8000, PriorityWeight: 2},
			{Name: "order", LatencyObjectiveMs: 2000, ClientTimeoutMs: 4000, Effect: policy.NonIdempotent, PriorityWeight: 5}},
			Limits:        policy.Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 600, MaxOpenRequests: 1000},
			Contract:      policy.Contract{PollIntervalMs: 60_000, SlowStartMinCapacity: 0.3, SlowStartMs: 8000, DrainGraceMs: 250, OverloadFactor: 2.5, OverloadWindowMs: 1000},
			DiscoveryMode: "on_request", Replicas: 1, BatchIntervalMs: 5}}
}

// newTestLoop returns a loop that does not run.
func newTestLoop(t *testing.T, u Upstream) *EventLoop {
	t.Helper()
	l, err := New(t.Context(), testConfig(), semaphore.NewWeighted(1<<20), []Upstream{u}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// running starts a loop, which ends with the test.
func running(t *testing.T, u Upstream) *EventLoop {
	t.Helper()
	return start(t, newTestLoop(t, u))
}

// start runs a loop, which ends with the test.
func start(t *testing.T, l *EventLoop) *EventLoop {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run()
	}()
	t.Cleanup(func() { <-ended })
	return l
}

func newCall(u Upstream, id string, class int) *Call {
	return &Call{ID: id, Class: class, Upstream: u, Deadline: time.Now().Add(2 * time.Second), Answer: make(chan Answer, 1)}
}

func (l *EventLoop) roundTrip(t *testing.T, c *Call) Answer {
	t.Helper()
	l.Post(func() { l.Submit(c) })
	select {
	case a := <-c.Answer:
		return a
	case <-time.After(testTimeout):
		t.Fatal("no answer")
	}
	return Answer{}
}

// Each ending of an attempt, for each kind of class: what goes again, and how the call ends.
func TestEndings(t *testing.T) {
	for name, c := range map[string]struct {
		status policy.Status
		blamed bool
		class  int
		want   Outcome
		fault  FailureReason
		more   bool // tried again where there is another backend
	}{
		"served":                        {policy.OK, false, 2, Served, NoReason, false},
		"unsafe, error":                 {policy.Error, false, 2, Failed, NoReason, false},
		"unsafe, reset":                 {policy.Reset, false, 2, Failed, NoReason, false},
		"unsafe, never ran":             {policy.Rejected, false, 2, Rejected, NoReason, true},
		"safe, error":                   {policy.Error, false, 0, Rejected, NoReason, true},
		"keyed, reset":                  {policy.Reset, false, 1, Rejected, NoReason, true},
		"unsafe, the request is blamed": {policy.Cancelled, true, 2, Failed, BadRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			tries := make(chan struct{}, 100)
			u := stub{func(context.Context, *Backend, *Call) Result {
				tries <- struct{}{}
				return Result{Status: c.status, BadRequest: c.blamed, LatencyMs: 1, Reply: "reply"}
			}}
			l := newTestLoop(t, u)
			l.cfg.CachedEndpoints.Entries = append(l.cfg.CachedEndpoints.Entries, listedBackend("s-2"), listedBackend("s-3"), listedBackend("s-4"))
			ended := make(chan struct{})
			go func() { defer close(ended); l.Run() }()
			t.Cleanup(func() { <-ended })
			a := l.roundTrip(t, newCall(u, "1", c.class))
			if a.Outcome != c.want || a.Reason != c.fault || (c.want == Served || c.fault == BadRequest) != (a.Reply == "reply") {
				t.Errorf("answered %+v", a)
			}
			if n := len(tries); c.more && n < 2 || !c.more && n != 1 || n > 3 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// An id that is open is nobody else's.
func TestDuplicateID(t *testing.T) {
	release := make(chan struct{})
	u := stub{func(ctx context.Context, _ *Backend, _ *Call) Result {
		<-release
		return Result{Status: policy.OK}
	}}
	l := running(t, u)
	first := newCall(u, "1", 0)
	l.Post(func() { l.Submit(first) })
	if a := l.roundTrip(t, newCall(u, "1", 0)); a.Outcome != Failed || a.Reason != Duplicate {
		t.Errorf("answered %+v", a)
	}
	close(release)
	if a := <-first.Answer; a.Outcome != Served {
		t.Errorf("the first: %+v", a)
	}
}

// The backstop answers before the deadline when the module does not.
func TestBackstop(t *testing.T) {
	l := newTestLoop(t, stub{})
	// A request that the module was never told of stands for one that it forgot.
	c := newCall(stub{}, "1", 2)
	r := &Request{id: 1, call: c}
	l.requests[1], l.openRequests = r, 1
	l.deadlineExceeded(r)
	if a := <-c.Answer; a.Outcome != Failed || a.Reason != DeadlineExceeded {
		t.Errorf("answered %+v, want a late failure", a)
	}
	l.complete(r, Answer{Outcome: Served})
	if len(c.Answer) != 0 || l.stats.DeadlineExceeded != 1 || l.openRequests != 0 || len(l.requests) != 0 {
		t.Errorf("%d further answers, figures %+v, %d open", len(c.Answer), l.stats, l.openRequests)
	}
}

// The guards hold whatever the module says.
func TestGuards(t *testing.T) {
	up := func() *Backend { return &Backend{addr: "127.0.0.1:1"} }
	drained := up()
	drained.MarkUnavailable()
	now := time.Now()
	l := newTestLoop(t, stub{})
	for _, test := range []struct {
		name  string
		r     Request
		b     *Backend
		until time.Time
		want  bool
	}{
		{"allowed", Request{}, up(), now.Add(time.Second), true},
		{"drained", Request{}, drained, now.Add(time.Second), false},
		{"unknown backend", Request{}, nil, now.Add(time.Second), false},
		{"one out", Request{inFlight: 1}, up(), now.Add(time.Second), false},
		{"answered", Request{answered: true}, up(), now.Add(time.Second), false},
		{"may have run", Request{mayHaveRun: 1}, up(), now.Add(time.Second), false},
		{"fourth attempt", Request{attempts: make([]*attempt, 4)}, up(), now.Add(time.Second), false},
		{"no time", Request{}, up(), now, false},
	} {
		test.r.call = &Call{Class: 2}
		if why := l.violation(&test.r, test.b, now, test.until, time.Time{}); (why == "") != test.want {
			t.Errorf("%s: %q", test.name, why)
		}
	}
	// A refusal after an attempt that may have run is turned into a failure.
	c := newCall(stub{}, "1", 2)
	l.reject(&Request{id: 1 << 30, call: c, mayHaveRun: 1}, 1)
	if a := <-c.Answer; a.Outcome != Failed {
		t.Errorf("answered %+v, want a failure", a)
	}
}

// What crosses on the way from discovery does not turn the list back.
// A probe that is not to be made is answered to the module all the same: one that it waits for for ever would
// be the last.
func TestForbiddenProbeIsAnswered(t *testing.T) {
	l := newTestLoop(t, stub{})
	asked := false
	l.cfg.HealthCheck = func(context.Context, *Backend, string, time.Time, time.Time) Result { asked = true; return Result{} }
	b := l.endpoints.getOrCreate("s-1")
	for name, spoil := range map[string]func(){
		"not listed":  func() { b.addr = "" },
		"drains":      func() { b.unavailable.Store(true) },
		"not allowed": func() { l.cfg.Settings.Limits.HealthChecks = false },
	} {
		b.addr, l.cfg.Settings.Limits.HealthChecks = "127.0.0.1:1", true
		b.unavailable.Store(false)
		spoil()
		l.dispatch([]policy.Action{{Kind: policy.ActionHealthCheck, Server: b.name}})
		if len(l.pendingEvents) != 1 || l.pendingEvents[0].Kind != policy.EventHealthCheckEnded || l.pendingEvents[0].Server != b.name || l.pendingEvents[0].Status != policy.NotStarted || asked {
			t.Errorf("%s: %+v", name, l.pendingEvents)
		}
		l.pendingEvents = nil
	}
}

func TestOldListIsDropped(t *testing.T) {
	l := running(t, stub{})
	done := make(chan bool)
	l.Post(func() {
		defer close(done)
		drains := listedBackend("s-1")
		drains.State = membership.Draining
		l.discoveryAnswered(&membership.List{Revision: 9, Entries: []membership.Entry{drains}}, true, nil)
		l.discoveryAnswered(&membership.List{Revision: 8, Full: true, Entries: []membership.Entry{listedBackend("s-1")}}, false, nil)
		if !l.endpoints.byID["s-1"].Unavailable() {
			t.Error("an older list took back a drain")
		}
		// Nor does one on the watch that was asked for before that came and read after it; a discovery that
		// started again is asked later.
		asked := l.revisionReceivedAt.Add(-time.Millisecond)
		old := membership.List{Revision: 8, Full: true, Entries: []membership.Entry{listedBackend("s-1"), listedBackend("s-2")}, RequestedAt: asked}
		l.discoveryAnswered(&old, true, nil)
		if !l.endpoints.byID["s-1"].Unavailable() {
			t.Error("an older call's answer took back a drain")
		}
		old.RequestedAt = l.revisionReceivedAt.Add(time.Millisecond)
		if l.discoveryAnswered(&old, true, nil); l.revision != 8 || l.endpoints.byID["s-1"].Unavailable() || l.endpoints.byID["s-2"] == nil {
			t.Error("a discovery that started again is not believed")
		}
		l.discoveryAnswered(&membership.List{Revision: 10, Full: true}, true, nil)
		if len(l.endpoints.byID) != 0 || len(l.endpoints.byAddr) != 0 {
			t.Error("a backend that is gone is kept")
		}
	})
	<-done
}

func TestNamesAreTheSameAtEveryAgentAndNeverCollide(t *testing.T) {
	x, y := newEndpointTable(nil, nil), newEndpointTable(nil, nil)
	a, b := x.getOrCreate("s-1"), y.getOrCreate("s-1")
	if a.name != b.name {
		t.Error("two agents name one backend differently")
	}
	delete(y.byID, "s-1") // now its name is taken by another id
	if c := y.getOrCreate("s-1"); c.name == b.name {
		t.Error("two backends have one name")
	}
}

// A log that nobody reads does not hold up the loop.
func TestLogNeverBlocksTheLoop(t *testing.T) {
	u := stub{func(context.Context, *Backend, *Call) Result { return Result{Status: policy.OK} }}
	l := running(t, u)
	blocked, held := make(chan struct{}), make(chan struct{})
	l.logLines <- func() { close(held); <-blocked }
	defer close(blocked)
	<-held
	done := make(chan struct{})
	l.Post(func() {
		l.logLimiter.SetLimit(rate.Inf)
		for range 2 * cap(l.logLines) {
			l.log(slog.LevelDebug, "line")
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the loop waits for the log")
	}
	if a := l.roundTrip(t, newCall(u, "1", 2)); a.Outcome != Served {
		t.Errorf("answered %+v", a)
	}
}
