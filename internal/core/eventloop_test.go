package core

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// testTimeout bounds every wait in the tests, which normally take a fraction of it.
const testTimeout = 20 * time.Second

// stub is an upstream whose attempts are implemented by the test.
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

// newTestLoop returns a loop that is not running.
func newTestLoop(t *testing.T, u Upstream) *EventLoop {
	t.Helper()
	l, err := New(t.Context(), testConfig(), semaphore.NewWeighted(1<<20), []Upstream{u}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startTestLoop returns a running loop, which is stopped at the end of the test.
func startTestLoop(t *testing.T, u Upstream) *EventLoop {
	t.Helper()
	return runLoop(t, newTestLoop(t, u))
}

// runLoop runs a loop until the end of the test.
func runLoop(t *testing.T, l *EventLoop) *EventLoop {
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
		t.Fatal("the call was not answered in time")
	}
	return Answer{}
}

// The result of an attempt and the effect of the class determine whether the request is retried and how the
// call ends.
func TestAttemptResultsAndAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		status     policy.Status
		badRequest bool
		class      int
		want       Outcome
		reason     FailureReason
		retried    bool // to another backend
	}{
		"served":                      {policy.OK, false, 2, Served, NoReason, false},
		"non-idempotent, error":       {policy.Error, false, 2, Failed, NoReason, false},
		"non-idempotent, reset":       {policy.Reset, false, 2, Failed, NoReason, false},
		"non-idempotent, never ran":   {policy.Rejected, false, 2, Rejected, NoReason, true},
		"idempotent, error":           {policy.Error, false, 0, Rejected, NoReason, true},
		"idempotent by key, reset":    {policy.Reset, false, 1, Rejected, NoReason, true},
		"non-idempotent, bad request": {policy.Cancelled, true, 2, Failed, BadRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := make(chan struct{}, 100)
			u := stub{func(context.Context, *Backend, *Call) Result {
				attempts <- struct{}{}
				return Result{Status: c.status, BadRequest: c.badRequest, LatencyMs: 1, Reply: "reply"}
			}}
			l := newTestLoop(t, u)
			l.cfg.CachedEndpoints.Entries = append(l.cfg.CachedEndpoints.Entries, listedBackend("s-2"), listedBackend("s-3"), listedBackend("s-4"))
			ended := make(chan struct{})
			go func() { defer close(ended); l.Run() }()
			t.Cleanup(func() { <-ended })
			a := l.roundTrip(t, newCall(u, "1", c.class))
			if a.Outcome != c.want || a.Reason != c.reason || (c.want == Served || c.reason == BadRequest) != (a.Reply == "reply") {
				t.Errorf("the call was answered with %+v", a)
			}
			if n := len(attempts); c.retried && n < 2 || !c.retried && n != 1 || n > 3 {
				t.Errorf("%d attempts were made", n)
			}
		})
	}
}

// A request with the id of an open request fails as a duplicate.
func TestIDOfOpenRequestIsDuplicate(t *testing.T) {
	release := make(chan struct{})
	u := stub{func(ctx context.Context, _ *Backend, _ *Call) Result {
		<-release
		return Result{Status: policy.OK}
	}}
	l := startTestLoop(t, u)
	first := newCall(u, "1", 0)
	l.Post(func() { l.Submit(first) })
	if a := l.roundTrip(t, newCall(u, "1", 0)); a.Outcome != Failed || a.Reason != Duplicate {
		t.Errorf("the second call with the id was answered with %+v", a)
	}
	close(release)
	if a := <-first.Answer; a.Outcome != Served {
		t.Errorf("the first call with the id was answered with %+v", a)
	}
}

// If the balancer has not completed a request in time, the deadline timer answers it, exactly once.
func TestDeadlineExceededAnswersOnce(t *testing.T) {
	l := newTestLoop(t, stub{})
	// The balancer does not know this request, as if it had lost it.
	c := newCall(stub{}, "1", 2)
	r := &Request{id: 1, call: c}
	l.requests[1], l.openRequests = r, 1
	l.deadlineExceeded(r)
	if a := <-c.Answer; a.Outcome != Failed || a.Reason != DeadlineExceeded {
		t.Errorf("answered %+v, want Failed with DeadlineExceeded", a)
	}
	l.complete(r, Answer{Outcome: Served})
	if len(c.Answer) != 0 || l.stats.DeadlineExceeded != 1 || l.openRequests != 0 || len(l.requests) != 0 {
		t.Errorf("after the deadline: %d further answers, stats %+v, %d open requests", len(c.Answer), l.stats, l.openRequests)
	}
}
