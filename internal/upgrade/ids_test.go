package upgrade

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mapTable maps the ids of a folder as one more process would.
func mapTable(t *testing.T, tmp string) *IDs {
	t.Helper()
	ids, err := join(t, tmp).IDs()
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// An id that one process has taken is no other's, while its request is open and for a minute behind it; one whose
// request never ran is given back, and the table outlives its processes.
func TestIDBelongsToOneProcess(t *testing.T) {
	tmp := t.TempDir()
	a, b := mapTable(t, tmp), mapTable(t, tmp)
	if !a.Claim("1") || b.Claim("1") || a.Claim("1") {
		t.Error("an id is claimed twice")
	}
	a.Release("1")
	if !b.Claim("1") || a.Claim("1") {
		t.Error("an id that was given back")
	}
	b.Retain("1")
	if a.Claim("1") || mapTable(t, tmp).Claim("1") {
		t.Error("an id that may have run")
	}
}

// Ids are known for a minute at the least and forgotten behind it, also where processes round their clocks otherwise
// or the count of seconds begins anew.
func TestIDsExpire(t *testing.T) {
	tmp := t.TempDir()
	a, b := mapTable(t, tmp), mapTable(t, tmp)
	for _, at := range []uint64{100, stampMask - 30, stampMask - 1} {
		id := fmt.Sprint(at)
		a.startSeconds, a.startTime = at, time.Now()
		if !a.Claim(id) {
			t.Fatalf("at %d an id is not new", at)
		}
		for _, later := range []uint64{0, 1, 59, 60} {
			if b.startSeconds, b.startTime = at+later, time.Now(); b.Claim(id) {
				t.Errorf("at %d an id is claimed again %d s later", at, later)
			}
		}
		if b.startSeconds, b.startTime = at-1, time.Now(); b.Claim(id) {
			t.Errorf("at %d a process whose clock is a second behind claims it again", at)
		}
		if b.startSeconds, b.startTime = at+idLifetimeSeconds+2, time.Now(); !b.Claim(id) {
			t.Errorf("at %d an id is known for ever", at)
		}
	}
}

// So many ids as the loop itself knows within a minute are all known, but for one in some thousands; the oldest give way.
func TestIDTableIsBounded(t *testing.T) {
	ids := mapTable(t, t.TempDir())
	const known = idSlotCount / 2
	start := ids.startSeconds
	for i := range 3 * known {
		ids.startSeconds = start + uint64(i/known)
		if !ids.Claim(fmt.Sprint("id-", i)) {
			t.Fatalf("id %d is not new", i)
		}
	}
	lost := 0
	for i := 2 * known; i < 3*known; i++ {
		if ids.Claim(fmt.Sprint("id-", i)) {
			lost++
		}
	}
	if lost > known/1000 {
		t.Errorf("%d of the last %d ids are forgotten", lost, known)
	}
}

// Two processes that claim the same ids at the same moment never both get one.
func TestConcurrentClaimsHaveAtMostOneWinner(t *testing.T) {
	tmp := t.TempDir()
	processes := []*IDs{mapTable(t, tmp), mapTable(t, tmp), mapTable(t, tmp)}
	const ids = 20_000
	claimed := make([]atomic.Int32, ids)
	var each sync.WaitGroup
	for _, p := range processes {
		each.Go(func() {
			for i := range ids {
				if p.Claim(fmt.Sprint(i)) {
					claimed[i].Add(1)
				}
			}
		})
	}
	each.Wait()
	got := 0
	for i := range claimed {
		n := claimed[i].Load()
		if n > 1 {
			t.Fatalf("id %d is claimed by %d processes", i, n)
		}
		got += int(n)
	}
	if got < ids/2 {
		t.Errorf("only %d of %d ids are claimed at all", got, ids)
	}
}

// A folder in which the table can't be made says so.
func TestIDTableCannotBeMapped(t *testing.T) {
	tmp := t.TempDir()
	d := join(t, tmp)
	if err := os.Mkdir(filepath.Join(tmp, agentFolder, "ids"), 0o700); err != nil {
		t.Fatal(err)
	}
	if ids, err := d.IDs(); err == nil {
		t.Errorf("a folder is mapped: %+v", ids)
	}
}
