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

// mapTable maps the id table of a folder as one more process.
func mapTable(t *testing.T, tmp string) *IDs {
	t.Helper()
	ids, err := join(t, tmp).IDs()
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// An id that one process has claimed belongs to it while its request is open and for a minute afterwards. One whose
// request never ran is released. The table outlives its processes.
func TestIDBelongsToOneProcess(t *testing.T) {
	tmp := t.TempDir()
	a, b := mapTable(t, tmp), mapTable(t, tmp)
	if !a.Claim("1") || b.Claim("1") || a.Claim("1") {
		t.Error("an id was claimed twice")
	}
	a.Release("1")
	if !b.Claim("1") || a.Claim("1") {
		t.Error("a released id")
	}
	b.Retain("1")
	if a.Claim("1") || mapTable(t, tmp).Claim("1") {
		t.Error("a retained id")
	}
}

// Ids are known for at least a minute and forgotten later, also where processes round their clocks differently or the
// count of seconds wraps around.
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
				t.Errorf("at %d an id is claimed a second time %d s later", at, later)
			}
		}
		if b.startSeconds, b.startTime = at-1, time.Now(); b.Claim(id) {
			t.Errorf("at %d a process whose clock is a second behind claims it, too", at)
		}
		if b.startSeconds, b.startTime = at+idLifetimeSeconds+2, time.Now(); !b.Claim(id) {
			t.Errorf("at %d an id never expires", at)
		}
	}
}

// As many ids as the event loop knows within a minute are all known, except for one in some thousands. The oldest are
// replaced.
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

// Of processes that claim the same ids at the same time at most one gets each id.
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

// An id table that cannot be mapped is an error.
func TestIDTableCannotBeMapped(t *testing.T) {
	tmp := t.TempDir()
	d := join(t, tmp)
	if err := os.Mkdir(filepath.Join(tmp, agentFolder, "ids"), 0o700); err != nil {
		t.Fatal(err)
	}
	if ids, err := d.IDs(); err == nil {
		t.Errorf("a directory was mapped: %+v", ids)
	}
}
