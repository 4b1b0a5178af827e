package policy

import (
	"errors"
	"testing"
)

func TestPollIsRepeatedAfterFailures(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := findAction(b.Start(0, nil), ActionTimer)
	if first == nil || first.DurationMs > set.Contract.PollIntervalMs {
		t.Fatalf("no subscription within the contract's time: %+v", first)
	}
	if findAction(b.Handle(first.DurationMs, &Event{Kind: EventTimer, Token: first.Token}, nil), ActionWatchEndpoints) == nil {
		t.Fatal("the timer did not subscribe")
	}
	for range 8 {
		again := findAction(b.Handle(first.DurationMs, &Event{Kind: EventEndpointUpdate, Update: UpdateFailed}, nil), ActionTimer)
		if again == nil || again.DurationMs > set.Contract.PollIntervalMs {
			t.Fatalf("a failed call was not repeated in the contract's time: %+v", again)
		}
	}
}

// What discovery had when a call failed counts as told 6 s later, however often calls failed before: the next call comes
// in time to stand in a queue of 2 s, and of few agents much sooner. Many make no more calls than one each in the
// least pause.
func TestPollBackoffIsBounded(t *testing.T) {
	for _, c := range []struct {
		agents       int
		within, most float64
	}{{1, 10_000, 1000}, {6, 10_000, 1000}, {30, 10_000, 1800}, {80, 10_000, 4000}, {300, 10_000, 4000}, {470, 60_000, 4000}, {300, 1600, 1600}} {
		set := testSettings()
		set.DiscoveryMode, set.Contract.PollIntervalMs, set.Replicas = "on_request", c.within, c.agents
		b, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0, nil)
		for n := range 200 {
			again := findAction(b.Handle(float64(n), &Event{Kind: EventEndpointUpdate, Update: UpdateFailed}, nil), ActionTimer)
			if again == nil || again.DurationMs > c.most || n > 20 && again.DurationMs < c.most/2 {
				t.Fatalf("%d agents, asked within %v ms: failure %d is followed by %+v, want %v ms at the most", c.agents, c.within, n+1, again, c.most)
			}
		}
	}
}

// Whatever the settings say of the agent's number and of how many there are, it asks within the contract's
// time, and a negative count is said by its key.
func TestFirstPollWithAnyReplicaIndex(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode = "on_request"
	for _, x := range []struct{ replicas, index int }{{0, 0}, {0, 5}, {1, 0}, {1, 900}, {80, 79}, {80, 80}, {80, -3}, {1 << 40, 3}, {3, 1 << 40}} {
		set.Replicas, set.ReplicaIndex = x.replicas, x.index
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		a := findAction(b.Start(0, nil), ActionTimer)
		if a == nil || !(a.DurationMs >= 0 && a.DurationMs <= maxFirstPollSpread*set.Contract.PollIntervalMs) {
			t.Errorf("agent %d of %d: first call after %+v", x.index, x.replicas, a)
		}
	}
	set.Replicas = -1
	_, err := New(set, 1)
	if invalid := (*SettingError)(nil); !errors.As(err, &invalid) || invalid.Key != "replicasOfMe" {
		t.Errorf("-1 replicas: %v", err)
	}
}

// A ban keeps all attempts away whatever the list says, and its end is the start of a cold server: the list
// may tell of the restart later, or never.
func TestCordonedServerReturnsInSlowStart(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	entry := func(banned bool) Endpoint {
		return Endpoint{Server: addr(0), Health: Ready, Weight: 1, Cordoned: banned}
	}
	sent := func(n int) (to [2]int) {
		for range n {
			id, out := r.request(0, 0)
			if a := findAction(out, ActionForward); a != nil {
				to[a.Server[3]]++
				r.endAttempt(id, 0, a.Server, OK, 5)
			}
			r.now += 10
		}
		return to
	}
	if to := sent(200); to[0] == 0 {
		t.Fatal("the server is never used")
	}
	r.updateEndpoints(UpdateOtherSource, entry(true))
	r.updateEndpoints(UpdateComplete, entry(true), Endpoint{Server: addr(1), Health: Ready, Weight: 1})
	if to := sent(200); to[0] != 0 || to[1] != 200 {
		t.Errorf("while banned: %v", to)
	}
	r.updateEndpoints(UpdateOtherSource, entry(false))
	s := r.b.byAddr[addr(0)]
	if s.state != Unknown || r.b.capacity(s) >= 1 || s.limit.Size() != 1 {
		t.Errorf("after the ban: state %v, ramp %v, window %v: not cold", s.state, r.b.capacity(s), s.limit.Size())
	}
	if to := sent(400); to[0] == 0 || to[0] >= to[1]/2 {
		t.Errorf("in the first 4 s after the ban: %v", to)
	}
	// Whatever the list has told of a restart meanwhile.
	r.updateEndpoints(UpdateOtherSource, entry(true))
	r.now += 5000
	told := entry(true)
	told.StartedMs = r.now - 3000
	r.updateEndpoints(UpdateDelta, told)
	r.now += 1000
	told.Cordoned = false
	r.updateEndpoints(UpdateOtherSource, told)
	if s.startedAt != r.now || s.state != Unknown {
		t.Errorf("called back at %v, counted from %v", r.now, s.startedAt)
	}
}
