package membership

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

func upEntry(id string) Entry {
	return Entry{ID: id, Addr: "127.0.0.1:80", Zone: "a", State: Up, Weight: 1}
}

func completeList(rev uint64, e ...Entry) *List { return &List{Revision: rev, Full: true, Entries: e} }

func formatEntries(s *Set) string {
	var b strings.Builder
	for _, e := range s.Entries() {
		fmt.Fprintf(&b, "%s:%s ", e.ID, e.State)
	}
	return strings.TrimSpace(b.String())
}

func wantEntries(t *testing.T, s *Set, want string) {
	t.Helper()
	if got := formatEntries(s); got != want {
		t.Errorf("entries %q, want %q", got, want)
	}
}

func TestSetUpdates(t *testing.T) {
	s := NewSet(1000, "discovery")
	if !s.Update("discovery", 1, completeList(5, upEntry("b"), upEntry("a"))) {
		t.Error("the first list changes nothing")
	}
	wantEntries(t, s, "a:up b:up")
	if s.Update("discovery", 2, completeList(6, upEntry("b"), upEntry("a"))) {
		t.Error("the same list changes something")
	}
	s.Update("discovery", 3, &List{Revision: 7, Entries: []Entry{withState(upEntry("a"), Draining)}})
	wantEntries(t, s, "a:draining b:up")
	// A change with an older revision does not undo a drain.
	s.Update("discovery", 4, &List{Revision: 6, Entries: []Entry{upEntry("a")}})
	wantEntries(t, s, "a:draining b:up")
	// A source that restarts without state starts with low revisions and sends a complete list.
	s.Update("discovery", 5, completeList(1, upEntry("b"), upEntry("c")))
	wantEntries(t, s, "b:up c:up")
	s.Update("discovery", 6, &List{Revision: 2, Entries: []Entry{{ID: "c", State: Removed}}})
	wantEntries(t, s, "b:up")
	if s.Update("unknown", 7, completeList(1)) {
		t.Error("an update of an unknown source changes something")
	}
}

// An empty complete list is ignored: the last entries stay, and the source is stale after StaleAfterMs. All
// servers may be removed one by one.
func TestSetIgnoresEmptyCompleteList(t *testing.T) {
	s := NewSet(1000, "discovery")
	if s.Update("discovery", 1, completeList(4)) {
		t.Error("an empty first list changes something")
	}
	s.Update("discovery", 1, completeList(5, upEntry("a"), withState(upEntry("b"), Draining)))
	s.Update("discovery", 100, completeList(6))
	wantEntries(t, s, "a:up b:draining")
	if st := s.Status(200)[0]; st.Stale || st.Reason != reasonEmptyList {
		t.Errorf("right after an empty list: status %+v", st)
	}
	s.Update("discovery", 900, completeList(7)) // the time of the first empty list counts
	if st := s.Status(1100)[0]; !st.Stale {
		t.Errorf("longer than the bound after the first empty list: status %+v, want stale", st)
	}
	s.Update("discovery", 1200, completeList(8, upEntry("a")))
	if st := s.Status(1200)[0]; st.Stale || st.Reason != "" {
		t.Errorf("after a list that is not empty: status %+v", st)
	}
	wantEntries(t, s, "a:up")
	s.Update("discovery", 1300, &List{Revision: 9, Entries: []Entry{{ID: "a", State: Removed}}})
	wantEntries(t, s, "")
}

func TestSetLostSource(t *testing.T) {
	s := NewSet(1000, "discovery", "other")
	if st := s.Status(1)[0]; !st.Stale || st.AgeMs != -1 {
		t.Errorf("before the first contact: status %+v", st)
	}
	s.Update("discovery", 1, completeList(5, upEntry("a")))
	s.Lost("discovery", errors.New("connection refused"))
	wantEntries(t, s, "a:up")
	if st := s.Status(500)[0]; st.Stale || st.Reason != "connection refused" {
		t.Errorf("right after the source was lost: status %+v", st)
	}
	if st := s.Status(1001)[0]; !st.Stale {
		t.Errorf("longer than the bound after the source was lost: status %+v, want stale", st)
	}
	s.Alive("discovery", 1500)
	if st := s.Status(1600)[0]; st.Stale || st.Reason != "" {
		t.Errorf("after the source has responded again: status %+v", st)
	}
}

// Revisions of different sources are never compared; the most restrictive state applies.
func TestSetTwoSources(t *testing.T) {
	s := NewSet(1000, "one", "two")
	s.Update("one", 1, completeList(1000, upEntry("a"), upEntry("b")))
	s.Update("two", 2, completeList(3, withState(upEntry("a"), Draining), upEntry("c")))
	wantEntries(t, s, "a:draining b:up c:up")
	s.Update("two", 3, &List{Revision: 4, Entries: []Entry{upEntry("a")}})
	wantEntries(t, s, "a:up b:up c:up")
}

// An invalid entry does not affect the others, and a server with an invalid entry is not removed.
func TestSetInvalidEntries(t *testing.T) {
	s := NewSet(1000, "discovery")
	s.Update("discovery", 1, completeList(1, upEntry("a"), upEntry("b")))
	invalidEntries := []Entry{{Addr: "127.0.0.1:80", State: Up}, {ID: strings.Repeat("x", 300), Addr: "127.0.0.1:80"}}
	for i, f := range []func(*Entry){func(e *Entry) { e.Addr = "no port" }, func(e *Entry) { e.Addr = "h:99999" },
		func(e *Entry) { e.Weight = math.NaN() }, func(e *Entry) { e.Weight = -1 }, func(e *Entry) { e.StartedMs = math.Inf(1) }} {
		e := upEntry(fmt.Sprint("invalid", i))
		f(&e)
		invalidEntries = append(invalidEntries, e)
	}
	invalidDraining := withState(upEntry("b"), Draining)
	invalidDraining.Addr = ""
	s.Update("discovery", 2, completeList(2, append(invalidEntries, upEntry("a"), invalidDraining)...))
	wantEntries(t, s, "a:up b:draining") // b is listed with an invalid entry that is not up
	if st := s.Status(2)[0]; len(st.Problems) != len(invalidEntries)+1 {
		t.Errorf("%d problems, want %d: %q", len(st.Problems), len(invalidEntries)+1, st.Problems)
	}
	many := make([]Entry, 100)
	s.Update("discovery", 3, completeList(3, append(many, upEntry("a"))...))
	if st := s.Status(3)[0]; len(st.Problems) != maxProblems {
		t.Errorf("%d problems, want %d", len(st.Problems), maxProblems)
	}
	wantEntries(t, s, "a:up")
}
