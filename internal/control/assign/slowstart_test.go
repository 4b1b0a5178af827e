package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
)

// share returns the weight of a server as a fraction of its full weight.
func (f *fixture) share(i int) float64 {
	return float64(f.endpoint("east", i).Weight) / fullWeight
}

func (f *fixture) ackAll(n int) {
	for range 3 { // an acknowledgement may change the next assignment
		for p := range n {
			id, zone := fmt.Sprintf("p-%d", p), []string{"east", "west"}[p%2]
			f.a.Acknowledge(id, f.a.Assignment(f.now, zone))
		}
		f.now += 10
		f.a.Tick(f.now)
	}
}

// A server in slow start gets the load that is allowed, which rises until it has its full weight at the end.
func TestSlowStartRaisesTheWeight(t *testing.T) {
	f := newFixture(t, 10, nil)
	f.connect(10)
	f.update(4, func(e *membership.Entry) { e.StartedMs = f.now })
	if e := f.endpoint("east", 4); e.Tier != LastResort || !e.SlowStart {
		t.Errorf("while proxies use the server with its full weight: endpoint %+v", e)
	}
	f.ackAll(10)
	last := f.share(4)
	allowed := 0.31 * 2.5 / 4
	if e := f.endpoint("east", 4); e.Tier != Healthy || last > allowed+0.03 || last < allowed-0.06 {
		t.Errorf("slow start: %+v, share %v, want about %v", e, last, allowed)
	}
	for range 86 {
		f.advance(100)
		f.ackAll(10)
		if s := f.share(4); s < last {
			t.Fatalf("share falls from %v to %v", last, s)
		} else {
			last = s
		}
	}
	f.advance(200)
	if s := f.share(4); s != 1 {
		t.Errorf("after slow start: share %v", s)
	}
}

// Proxies that still use an older assignment, stalled or recently disconnected, count with that assignment.
func TestSlowStartCountsOldAssignments(t *testing.T) {
	for name, disconnected := range map[string]bool{"stalled": false, "disconnected": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 10, nil)
			f.connect(10)
			f.update(4, func(e *membership.Entry) { e.StartedMs = f.now })
			if disconnected {
				f.a.Disconnect(f.now, "p-9")
				f.a.Disconnect(f.now, "p-8")
			}
			f.ackAll(8) // 8 and 9 still send it a full share
			got := f.share(4)
			other := newFixture(t, 10, nil)
			other.connect(8)
			other.update(4, func(e *membership.Entry) { e.StartedMs = other.now })
			other.ackAll(8)
			all := other.share(4)
			if e := f.endpoint("east", 4); e.Tier == Healthy && got >= all {
				t.Errorf("share %v with two proxies on the old assignment, %v without them", got, all)
			}
			if disconnected { // after the grace period they no longer count
				f.now += f.a.cfg.DisconnectGraceMs
				f.update(4, func(e *membership.Entry) { e.StartedMs = f.now })
				f.ackAll(8)
				if s := f.share(4); s != all {
					t.Errorf("after the grace period share %v, want %v", s, all)
				}
			}
		})
	}
}

// A process that has just started does not know which assignments proxies use, so servers in slow start get
// no load during the startup hold.
func TestSlowStartWaitsAfterStartup(t *testing.T) {
	f := newFixture(t, 4, func(c *Config) { c.StartupHoldMs = 3000 })
	f.update(1, func(e *membership.Entry) { e.StartedMs = f.now })
	f.connect(2)
	if e := f.endpoint("east", 1); e.Tier != LastResort {
		t.Errorf("right after startup: endpoint %+v", e)
	}
	f.advance(3100)
	f.ackAll(2)
	if e := f.endpoint("east", 1); e.Tier != Healthy {
		t.Errorf("after the startup hold: endpoint %+v", e)
	}
}

// A proxy with an assignment of another process may use a server in slow start with its full weight.
func TestSlowStartCountsUnknownAssignments(t *testing.T) {
	f := newFixture(t, 10, nil)
	f.connect(4)
	f.a.Connect(f.now, "foreign", "east", false)
	f.update(4, func(e *membership.Entry) { e.StartedMs = f.now })
	f.ackAll(4)
	current := f.share(4)
	f.a.Acknowledge("foreign", f.a.Assignment(f.now, "east"))
	f.ackAll(4)
	if s := f.share(4); s <= current && f.endpoint("east", 4).Tier == Healthy {
		t.Errorf("share %v with a proxy on an unknown assignment, %v after its acknowledgement", current, s)
	}
}

// A flapping server stays in slow start, even if the endpoint list no longer has its start time.
func TestFlappingKeepsSlowStart(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(2)
	f.update(1, func(e *membership.Entry) { e.StartedMs = f.now })
	f.ackAll(2)
	listed := f.entries
	for range 5 {
		f.entries = append(append([]membership.Entry(nil), listed[:1]...), listed[2:]...)
		f.a.UpdateMembership(f.now, f.entries)
		f.advance(100)
		f.entries = append([]membership.Entry(nil), listed...)
		f.entries[1].StartedMs = 0
		f.a.UpdateMembership(f.now, f.entries)
		f.advance(100)
	}
	f.ackAll(2)
	if e := f.endpoint("east", 1); !e.SlowStart || e.Weight > fullWeight/3 {
		t.Errorf("after flapping: endpoint %+v", e)
	}
}

// If all servers are in slow start, as after a power failure, they divide the load and all of them are used.
func TestAllServersInSlowStart(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(2)
	for i := range f.entries {
		f.entries[i].StartedMs = f.now
	}
	f.update(0, func(*membership.Entry) {})
	for i := range f.entries {
		if e := f.endpoint("east", i); e.Tier != Healthy {
			t.Errorf("endpoint %+v, want it in the tier Healthy", e)
		}
	}
}

// Whichever assignments proxies use and receive, together they send a server in slow start no more than the
// balancer allows.
func TestSlowStartLimitProperty(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 2 + rng.IntN(12)
		f := newFixture(t, n, nil)
		proxies := 1 + rng.IntN(30)
		f.connect(proxies)
		for p := range proxies {
			rate := math.Exp(rng.Float64() * 6)
			f.a.Report(f.now, fmt.Sprintf("p-%d", p), &Report{IntervalMs: 1000, Issued: rate})
		}
		target := rng.IntN(n)
		f.update(target, func(e *membership.Entry) { e.StartedMs = f.now })
		for step := range 20 {
			for p := range proxies {
				zone := []string{"east", "west"}[p%2]
				switch rng.IntN(6) {
				case 0:
					f.a.Disconnect(f.now, fmt.Sprintf("p-%d", p))
				case 1, 2:
					f.a.Acknowledge(fmt.Sprintf("p-%d", p), f.a.Assignment(f.now, zone))
				}
			}
			f.now += 200
			f.a.Tick(f.now)
			// Computed independently: each proxy counts with the larger of its current and its next share.
			id := f.entries[target].ID
			sent, total, warm, full := 0.0, 0.0, 0.0, 0.0
			for _, p := range f.a.proxies {
				next := 0.0
				if p.streams > 0 {
					next = f.a.Assignment(f.now, p.zone).Share(id)
				}
				total += p.rate
				sent += p.rate * max(next, p.acknowledged.Share(id))
			}
			view := f.a.Views(f.now)[id]
			for i := range f.entries {
				if i != target {
					warm++
				}
			}
			full = view.LoadShare / warm * total
			current := 0.0
			for _, p := range f.a.proxies {
				current += p.rate * p.acknowledged.Share(id)
			}
			// The load of current assignments cannot be reduced here; new ones must not raise it above the
			// limit.
			if sent > full*1.001 && sent > current*1.001 {
				t.Fatalf("seed %d, step %d: %v requests/s, allowed %v, current %v", seed, step, sent, full, current)
			}
		}
	}
}

// Above the bound, the proxies that disconnected longest ago are evicted, and no connected one.
func TestProxiesAreBounded(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.a.Connect(f.now, "connected", "east", true)
	for i := range MaxProxies + 10 {
		id := fmt.Sprint("p-", i)
		f.a.Connect(f.now, id, "east", true)
		f.a.Disconnect(f.now+float64(i), id)
		if len(f.a.proxies) > MaxProxies {
			t.Fatalf("%d proxies are tracked, more than MaxProxies", len(f.a.proxies))
		}
	}
	if f.a.proxies["connected"] == nil {
		t.Error("a connected proxy was evicted")
	}
}
