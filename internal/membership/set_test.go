package membership

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

func up(id string) Entry {
	return Entry{ID: id, Addr: "127.0.0.1:80", Zone: "a", State: Up, Weight: 1}
}

func full(rev uint64, e ...Entry) *List { return &List{Revision: rev, Full: true, Entries: e} }

func ids(s *Set) string {
	var b strings.Builder
	for _, e := range s.Entries() {
		fmt.Fprintf(&b, "%s:%s ", e.ID, e.State)
	}
	return strings.TrimSpace(b.String())
}

func wantIDs(t *testing.T, s *Set, want string) {
	t.Helper()
	if got := ids(s); got != want {
		t.Errorf("holds %q, want %q", got, want)
	}
}

func TestSetLists(t *testing.T) {
	s := NewSet(1000, "roster")
	if !s.Update("roster", 1, full(5, up("b"), up("a"))) {
		t.Error("a first list changes nothing")
	}
	wantIDs(t, s, "a:up b:up")
	if s.Update("roster", 2, full(6, up("b"), up("a"))) {
		t.Error("the same list changes something")
	}
	s.Update("roster", 3, &List{Revision: 7, Entries: []Entry{withState(up("a"), Draining)}})
	wantIDs(t, s, "a:draining b:up")
	// What crosses on its way does not undo a drain.
	s.Update("roster", 4, &List{Revision: 6, Entries: []Entry{up("a")}})
	wantIDs(t, s, "a:draining b:up")
	// A source that starts again counts from nothing, and says so by a whole list.
	s.Update("roster", 5, full(1, up("b"), up("c")))
	wantIDs(t, s, "b:up c:up")
	s.Update("roster", 6, &List{Revision: 2, Entries: []Entry{{ID: "c", State: Removed}}})
	wantIDs(t, s, "b:up")
	if s.Update("nobody", 7, full(1)) {
		t.Error("a source that is none was heard")
	}
}

// An empty list is not believed at once; the last good one stays, marked, and after the bound it is
// said to be stale. One by one, servers may all go.
func TestSetDisbelievesAnEmptyList(t *testing.T) {
	s := NewSet(1000, "roster")
	if s.Update("roster", 1, full(4)) {
		t.Error("an empty list is believed by a process that knows nothing yet")
	}
	s.Update("roster", 1, full(5, up("a"), withState(up("b"), Draining)))
	s.Update("roster", 100, full(6))
	wantIDs(t, s, "a:up b:draining")
	if st := s.Status(200)[0]; st.Stale || !strings.Contains(st.Reason, "not believed") {
		t.Errorf("at once: %+v", st)
	}
	s.Update("roster", 900, full(7)) // says it again: the bound counts from the first
	if st := s.Status(1100)[0]; !st.Stale {
		t.Errorf("after the bound: %+v", st)
	}
	s.Update("roster", 1200, full(8, up("a")))
	if st := s.Status(1200)[0]; st.Stale || st.Reason != "" {
		t.Errorf("listed again: %+v", st)
	}
	wantIDs(t, s, "a:up")
	s.Update("roster", 1300, &List{Revision: 9, Entries: []Entry{{ID: "a", State: Removed}}})
	wantIDs(t, s, "")
}

func TestSetLosesASource(t *testing.T) {
	s := NewSet(1000, "roster", "other")
	if st := s.Status(1)[0]; !st.Stale || st.AgeMs != -1 {
		t.Errorf("never heard: %+v", st)
	}
	s.Update("roster", 1, full(5, up("a")))
	s.Lost("roster", errors.New("refused"))
	wantIDs(t, s, "a:up")
	if st := s.Status(500)[0]; st.Stale || st.Reason != "refused" {
		t.Errorf("lost: %+v", st)
	}
	if st := s.Status(1001)[0]; !st.Stale {
		t.Errorf("lost for long: %+v", st)
	}
	s.Alive("roster", 1500)
	if st := s.Status(1600)[0]; st.Stale || st.Reason != "" {
		t.Errorf("back: %+v", st)
	}
}

// Two sources side by side: revisions are never compared, the worst state counts.
func TestSetOfTwoSources(t *testing.T) {
	s := NewSet(1000, "one", "two")
	s.Update("one", 1, full(1000, up("a"), up("b")))
	s.Update("two", 2, full(3, withState(up("a"), Draining), up("c")))
	wantIDs(t, s, "a:draining b:up c:up")
	s.Update("two", 3, &List{Revision: 4, Entries: []Entry{up("a")}})
	wantIDs(t, s, "a:up b:up c:up")
}

// One bad entry hides no other, and a server that is listed wrongly is not gone.
func TestSetBadEntries(t *testing.T) {
	s := NewSet(1000, "roster")
	s.Update("roster", 1, full(1, up("a"), up("b")))
	bad := []Entry{{Addr: "127.0.0.1:80", State: Up}, {ID: strings.Repeat("x", 300), Addr: "127.0.0.1:80"}}
	for i, f := range []func(*Entry){func(e *Entry) { e.Addr = "no port" }, func(e *Entry) { e.Addr = "h:99999" },
		func(e *Entry) { e.Weight = math.NaN() }, func(e *Entry) { e.Weight = -1 }, func(e *Entry) { e.StartedMs = math.Inf(1) }} {
		e := up(fmt.Sprint("bad", i))
		f(&e)
		bad = append(bad, e)
	}
	broken := withState(up("b"), Draining)
	broken.Addr = ""
	s.Update("roster", 2, full(2, append(bad, up("a"), broken)...))
	wantIDs(t, s, "a:up b:draining") // b is listed, wrongly, and not as up
	if st := s.Status(2)[0]; len(st.Problems) != len(bad)+1 {
		t.Errorf("%d problems, want %d: %q", len(st.Problems), len(bad)+1, st.Problems)
	}
	many := make([]Entry, 100)
	s.Update("roster", 3, full(3, append(many, up("a"))...))
	if st := s.Status(3)[0]; len(st.Problems) != maxProblems {
		t.Errorf("%d problems kept, want %d", len(st.Problems), maxProblems)
	}
	wantIDs(t, s, "a:up")
}
