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

// mapTable joins the folder as another process and maps its id table.
func mapTable(t *testing.T, tmp string) *IDs {
	t.Helper()
	ids, err := join(t, tmp).IDs()
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// An id that one process has claimed cannot be claimed again while its request is open and for a minute
// afterwards. An id whose request never ran is released. The table outlives its processes.
func TestIDIsClaimedByOneProcess(t *testing.T) {
	tmp := t.TempDir()
	a, b := mapTable(t, tmp), mapTable(t, tmp)
	if !a.Claim("1") || b.Claim("1") || a.Claim("1") {
		t.Error("an id was claimed twice")
	}
	a.Release("1")
	if !b.Claim("1") || a.Claim("1") {
		t.Error("a released id cannot be claimed, or is claimed twice")
	}
	b.Retain("1")
	if a.Claim("1") || mapTable(t, tmp).Claim("1") {
		t.Error("a retained id was claimed")
	}
}

// Ids are kept for at least a minute and expire later, even if processes round their clocks differently or
// the time stamp wraps around.
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

// The table keeps as many ids as the event loop keeps for a minute, except for at most one in 1,000. The
// oldest are replaced.
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
		t.Errorf("%d of the last %d ids are lost", lost, known)
	}
}

// If processes claim the same ids at the same time, at most one of them gets each id.
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

// Guards against ids that are forgotten before their minute at the rates of the busiest days: their requests would run
// twice. Another process sees them all.
func TestIDsAreKeptForAMinuteAtHighRates(t *testing.T) {
	for _, perSecond := range []int{1280, 2000} {
		tmp := t.TempDir()
		ids := mapTable(t, tmp)
		start := ids.startSeconds
		const seconds = 130
		for second := range seconds {
			ids.startSeconds, ids.startTime = start+uint64(second), time.Now()
			for i := range perSecond {
				if id := fmt.Sprint(second, "-", i); !ids.Claim(id) {
					t.Fatalf("%d a second: id %s is not new", perSecond, id)
				}
			}
		}
		other := mapTable(t, tmp)
		other.startSeconds, other.startTime = start+seconds-1, time.Now()
		for second := seconds - 60; second < seconds; second++ {
			for i := range perSecond {
				if id := fmt.Sprint(second, "-", i); other.Claim(id) {
					t.Fatalf("%d a second: id %s is forgotten after %d s", perSecond, id, seconds-1-second)
				}
			}
		}
	}
}

// An id for which its bucket has no room is not claimed: none that is younger than a minute is forgotten for it.
func TestFullIDTableForgetsNothing(t *testing.T) {
	ids := mapTable(t, t.TempDir())
	var claimed []string
	refused := 0
	for i := range allSlotCount + allSlotCount/4 {
		if id := fmt.Sprint("id-", i); ids.Claim(id) {
			claimed = append(claimed, id)
		} else {
			refused++
		}
	}
	if refused < allSlotCount/4 || len(claimed) < allSlotCount*9/10 {
		t.Errorf("%d ids are claimed and %d refused, of a table for %d", len(claimed), refused, allSlotCount)
	}
	for _, id := range claimed {
		if ids.Claim(id) {
			t.Fatalf("id %s is forgotten", id)
		}
	}
}
