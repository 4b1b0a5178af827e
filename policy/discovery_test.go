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
		t.Fatalf("no poll within the poll interval: %+v", first)
	}
	if findAction(b.Handle(first.DurationMs, &Event{Kind: EventTimer, Token: first.Token}, nil), ActionWatchEndpoints) == nil {
		t.Fatal("the timer did not poll")
	}
	for range 8 {
		again := findAction(b.Handle(first.DurationMs, &Event{Kind: EventEndpointUpdate, Update: UpdateFailed}, nil), ActionTimer)
		if again == nil || again.DurationMs > set.Contract.PollIntervalMs {
			t.Fatalf("a failed poll was not repeated within the poll interval: %+v", again)
		}
	}
}

// Agents count as notified of a change 6 s after a failed poll, however many polls failed before: the next
// poll comes early enough to wait 2 s in the queue of discovery, and with few agents much earlier. Many
// agents wait at least half of the maximum backoff.
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
				t.Fatalf("%d agents, poll interval %v ms: failure %d is followed by %+v, want at most %v ms",
					c.agents, c.within, n+1, again, c.most)
			}
		}
	}
}

// An agent polls within the poll interval whatever its index and number of replicas are. A negative number of
// replicas is an error that names the setting's key.
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
			t.Errorf("agent %d of %d: first poll after %+v", x.index, x.replicas, a)
		}
	}
	set.Replicas = -1
	_, err := New(set, 1)
	if invalid := (*SettingError)(nil); !errors.As(err, &invalid) || invalid.Key != "replicasOfMe" {
		t.Errorf("-1 replicas: error %v does not name replicasOfMe", err)
	}
}

// A cordoned server gets no attempts, whatever its health in the endpoint list, and returns in slow start:
// the list may show its restart later or never.
func TestCordonedServerReturnsInSlowStart(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	entry := func(cordoned bool) Endpoint {
		return Endpoint{Server: addr(0), Health: Ready, Weight: 1, Cordoned: cordoned}
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
		t.Errorf("requests per server while one is cordoned: %v", to)
	}
	r.updateEndpoints(UpdateOtherSource, entry(false))
	s := r.b.byAddr[addr(0)]
	if s.state != Unknown || r.b.warmUpFraction(s) >= 1 || s.limit.Size() != 1 {
		t.Errorf("after the cordon: state %v, capacity %v, limit %v: not in slow start",
			s.state, r.b.warmUpFraction(s), s.limit.Size())
	}
	if to := sent(400); to[0] == 0 || to[0] >= to[1]/2 {
		t.Errorf("requests per server in the first 4 s after the cordon: %v", to)
	}
	// The same holds if the endpoint list shows a new start time during the cordon.
	r.updateEndpoints(UpdateOtherSource, entry(true))
	r.now += 5000
	restarted := entry(true)
	restarted.StartedMs = r.now - 3000
	r.updateEndpoints(UpdateDelta, restarted)
	r.now += 1000
	restarted.Cordoned = false
	r.updateEndpoints(UpdateOtherSource, restarted)
	if s.startedAt != r.now || s.state != Unknown {
		t.Errorf("uncordoned at %v, started at %v", r.now, s.startedAt)
	}
}
