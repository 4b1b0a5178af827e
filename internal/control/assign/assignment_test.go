package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
)

func TestStatesMapToTiers(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(4)
	f.advance(100)
	if e := f.endpoint("east", 0); e.Tier != Healthy || e.Weight != fullWeight {
		t.Fatalf("endpoint of a new server: %+v", e)
	}
	f.report(0, 4, 1, 0, 20)
	f.report(0, 4, 0, 20, 0)
	f.advance(1000)
	if e := f.endpoint("east", 1); e.Tier != LastResort {
		t.Errorf("endpoint of a failing server: %+v", e)
	}
	f.advance(6000)
	if e := f.endpoint("east", 1); e.Tier != Pending {
		t.Errorf("endpoint after the ejection time: %+v", e)
	}
	f.advance(6000)
	if e := f.endpoint("east", 1); e.Tier != Healthy || e.Weight != fullWeight*recoveryWeightFraction {
		t.Errorf("ejection expired, no successful request yet: %+v", e)
	}
	for range 20 {
		f.report(0, 4, 1, 50, 0)
		f.advance(1000)
	}
	if e := f.endpoint("east", 1); e.Tier != Healthy || e.Weight != fullWeight {
		t.Errorf("after successful requests: %+v", e)
	}
}

// A drain changes only the server's health; a removal removes it from the assignment.
func TestDrainAndRemoval(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(2)
	before := f.a.Assignment(f.now, "east")
	f.update(2, func(e *membership.Entry) { e.State = membership.Draining })
	after := f.a.Assignment(f.now, "east")
	if !f.endpoint("east", 2).Draining || len(after.Endpoints) != len(before.Endpoints) {
		t.Errorf("endpoints after the drain: %+v", after.Endpoints)
	}
	if before.Endpoints[2].Draining {
		t.Error("an assignment was modified after it was returned")
	}
	for i := range after.Endpoints {
		if i != 2 && after.Endpoints[i] != before.Endpoints[i] {
			t.Errorf("the drain changed %+v to %+v", before.Endpoints[i], after.Endpoints[i])
		}
	}
	f.entries = append(f.entries[:2:2], f.entries[3:]...)
	f.a.UpdateMembership(f.now, f.entries)
	f.a.Tick(f.now)
	if n := len(f.a.Assignment(f.now, "east").Endpoints); n != 3 {
		t.Errorf("%d servers, want 3", n)
	}
}

// A second entry with the same address is left out and reported: proxies would reject the complete resource.
func TestDuplicateAddressIsLeftOut(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.update(3, func(e *membership.Entry) { e.Addr = f.entries[0].Addr })
	if n := len(f.a.Assignment(f.now, "").Endpoints); n != 3 {
		t.Errorf("%d servers, want 3", n)
	}
	if len(f.a.Problems()) != 1 {
		t.Errorf("problems %q, want one", f.a.Problems())
	}
}

// The same membership results in the same assignment, in any order of events and on every replica.
func TestAssignmentsDoNotDependOnEventOrder(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		final := servers(2 + rng.IntN(30))
		for i := range final {
			switch rng.IntN(4) {
			case 0:
				final[i].State = membership.Draining
			case 1:
				final[i].StartedMs = 1e9 - rng.Float64()*8000
			}
			final[i].Weight = 1 + float64(rng.IntN(3))
		}
		var want map[string]*Assignment
		for replica := range 3 {
			a, err := New(testConfig(), 1e9)
			if err != nil {
				t.Fatal(err)
			}
			// Servers are added to the endpoint list in random order, in several updates.
			set := membership.NewSet(1000, "roster")
			var list []membership.Entry
			for _, i := range rng.Perm(len(final)) {
				list = append(list, final[i])
				if rng.IntN(3) == 0 {
					set.Update("roster", 1e9, &membership.List{Revision: uint64(len(list)), Full: true, Entries: list})
					a.UpdateMembership(1e9, set.Entries())
					a.Tick(1e9)
				}
			}
			set.Update("roster", 1e9, &membership.List{Revision: 1000, Full: true, Entries: list})
			a.UpdateMembership(1e9, set.Entries())
			got := map[string]*Assignment{}
			for _, z := range []string{"east", "west", ""} {
				a.Tick(1e9)
				got[z] = a.Assignment(1e9, z)
			}
			if replica == 0 {
				want = got
			} else if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d: replica %d differs", seed, replica)
			}
		}
	}
}

// rendezvous selects the server of a key by weighted rendezvous hashing over an assignment. This models a
// consistent hashing balancer without the quantization error of a table.
func rendezvous(a *Assignment, key int) string {
	best, at := math.Inf(1), ""
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		if e.Draining || e.Tier != a.bestTier {
			continue
		}
		h := membership.Hash(fmt.Sprint(e.ID, "/", key))
		h = (h ^ h>>33) * 0xff51afd7ed558ccd
		u := (float64(h>>11) + 0.5) / (1 << 53)
		if score := -math.Log(u) / a.weight(e); score < best {
			best, at = score, e.ID
		}
	}
	return at
}

// When one of N servers is removed or drains, only its keys migrate, and they are fewer than 2/N of all keys.
func TestRemovalMovesOnlyItsKeys(t *testing.T) {
	for _, n := range []int{2, 3, 9, 17, 64, 200} {
		for _, remove := range []bool{false, true} {
			f := newFixture(t, n, nil)
			f.connect(2)
			before := f.a.Assignment(f.now, "") // for proxies without a known zone
			removed := f.entries[n/2].ID
			if remove {
				f.entries = append(f.entries[:n/2:n/2], f.entries[n/2+1:]...)
				f.update(0, func(*membership.Entry) {})
			} else {
				f.update(n/2, func(e *membership.Entry) { e.State = membership.Draining })
			}
			after := f.a.Assignment(f.now, "")
			const keys = 1500
			moved := 0
			for k := range keys {
				x, y := rendezvous(before, k), rendezvous(after, k)
				if x != y {
					moved++
					if x != removed {
						t.Fatalf("%d servers: key %d migrated from %s, which was not removed", n, k, x)
					}
				}
			}
			if moved == 0 || moved >= 2*keys/n {
				t.Errorf("%d servers: %d of %d keys migrated", n, moved, keys)
			}
		}
	}
}

// Measures a drain, from the update of the endpoint list to the assignments of all groups.
func BenchmarkDrain(f *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		f.Run(fmt.Sprint(n), func(f *testing.B) {
			entries := servers(n)
			for i := range entries {
				entries[i].Addr = fmt.Sprintf("10.%d.%d.%d:80", i/62500, i/250%250, 1+i%250)
				entries[i].ID = fmt.Sprintf("s-%05d", i)
			}
			a, err := New(testConfig(), 1e9)
			if err != nil {
				f.Fatal(err)
			}
			for p := range 1000 {
				a.Connect(1e9, fmt.Sprint("p-", p), []string{"east", "west", ""}[p%3], true)
			}
			now := 1e9
			for i := 0; f.Loop(); i++ {
				entries[i%n].State = []string{membership.Draining, membership.Up}[i/n%2]
				now += 10
				a.UpdateMembership(now, entries)
				if len(a.Tick(now)) != 3 {
					f.Fatal("a drain changed nothing")
				}
			}
		})
	}
}
