package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

func publishCommand(id string, parent uint64, config *sharedconfig.Config) *Command {
	return &Command{Publish: &Publish{ID: id, Parent: parent, Config: config}}
}

func newHistory(t *testing.T, cordoned ...string) *History {
	t.Helper()
	h := &History{}
	for i, id := range cordoned {
		if _, err := h.Apply(publishCommand(fmt.Sprint(i), uint64(i), &sharedconfig.Config{Cordoned: []string{id}})); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

func (h *History) advanceTo(t *testing.T, want uint64) {
	t.Helper()
	at := h.Epoch
	h.Apply(&Command{Advance: &at})
	if h.Epoch != want {
		t.Fatalf("after epoch %d comes %d, want %d", at, h.Epoch, want)
	}
	h.Apply(&Command{Advance: &at}) // the repeated command is outdated
	if h.Epoch != want {
		t.Fatalf("a repeated Advance changed the epoch to %d", h.Epoch)
	}
}

// Pending versions are skipped, and a skipped epoch counts as the version before the transition: a holder
// that the lessor does not know acts on that version or on the transition, but never on a skipped version.
func TestPendingVersionsAreSkipped(t *testing.T) {
	h := newHistory(t, "a")
	h.advanceTo(t, 1)
	h.advanceTo(t, 2)
	for n, id := range []string{"x", "b"} {
		if _, err := h.Apply(publishCommand(id, uint64(n+1), &sharedconfig.Config{Cordoned: []string{id}})); err != nil {
			t.Fatal(err)
		}
	}
	h.advanceTo(t, 5)
	if got := fmt.Sprint(h.Transition().Config.Cordoned); got != "[a b]" {
		t.Errorf("cordoned in the transition: %s, want [a b]", got)
	}
	if _, err := h.Apply(publishCommand("b2", 3, &sharedconfig.Config{Cordoned: []string{"b"}, MaxAttempts: 1})); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from, to uint64
		want     bool
	}{{2, 6, true}, {5, 6, true}, {4, 6, true}, {6, 8, false}, {2, 2, false}} {
		if got := h.ServerRulesDiffer(c.from, c.to); got != c.want {
			t.Errorf("server rules differ from epoch %d to %d: %v", c.from, c.to, got)
		}
	}
	h.advanceTo(t, 6)
	h.advanceTo(t, 7)
	h.advanceTo(t, 8)
	if at := h.Epoch; h.CanAdvance() || at != 8 {
		t.Errorf("epoch %d, want 8 and no epoch after it", at)
	}
}

// A retried publish yields the same version, a publish with another parent is rejected, and pending
// versions are bounded.
func TestPublishIsCompareAndSet(t *testing.T) {
	h := newHistory(t, "a", "b")
	retry := publishCommand("0", 0, &sharedconfig.Config{Cordoned: []string{"a"}})
	if v, err := h.Apply(retry); err != nil || v.Number != 1 || h.Last() != 2 {
		t.Errorf("retry: %+v, %v", v, err)
	}
	if _, err := h.Apply(publishCommand("x", 1, &sharedconfig.Config{})); !errors.Is(err, ErrParentMismatch) {
		t.Errorf("outdated parent: %v", err)
	}
	if _, err := h.Apply(publishCommand("y", 2, &sharedconfig.Config{MaxAttempts: 9})); err == nil {
		t.Error("an invalid configuration was published")
	}
	var err error
	for n := uint64(2); err == nil && n < 100; n++ {
		_, err = h.Apply(&Command{Cordon: &Cordon{ID: fmt.Sprint("ban", n), Server: fmt.Sprint("s", n), On: true}})
	}
	if !errors.Is(err, ErrTooManyPending) || h.Last() != MaxPendingVersions {
		t.Errorf("%d are pending: %v", h.Last(), err)
	}
	if v := h.Version(h.Last()); len(v.Config.Cordoned) != MaxPendingVersions-1 {
		t.Errorf("earlier cordons were lost: %v", v.Config.Cordoned)
	}
}

// A transition is computed from two versions: if a source identified only one of them, different
// transitions would have equal sources.
func TestSourceIdentifiesBothVersions(t *testing.T) {
	transition := func(from, to string) *History {
		h := newHistory(t, from)
		h.advanceTo(t, 1)
		h.advanceTo(t, 2)
		if _, err := h.Apply(publishCommand("to", 1, &sharedconfig.Config{Cordoned: []string{to}})); err != nil {
			t.Fatal(err)
		}
		h.advanceTo(t, 3)
		return h
	}
	if source := (&History{}).Source(); source != (Source{}) {
		t.Errorf("before the first version the source is %+v", source)
	}
	if x, y := transition("a", "x").Source(), transition("a", "x").Source(); x != y {
		t.Errorf("%+v and %+v are sources of the same transition", x, y)
	}
	if x, y := transition("a", "x").Source(), transition("b", "x").Source(); x == y {
		t.Errorf("from a and from b the source is %+v", x)
	}
	if x, y := transition("a", "x").Source(), transition("a", "y").Source(); x == y {
		t.Errorf("to x and to y the source is %+v", x)
	}
	h := transition("a", "x")
	was := h.Source()
	h.advanceTo(t, 4)
	if h.Source() == was {
		t.Errorf("epochs 3 and 4 have the source %+v", was)
	}
}

// Guards against a history that grows beyond what a replica can read again: large configurations are bounded in bytes, and
// those that an epoch needs are retained all the same.
func TestRetainedVersionsAreBoundedInBytes(t *testing.T) {
	const servers, limit = 100, 1 << 20
	defer func(before int) { maxRetainedBytes = before }(maxRetainedBytes)
	maxRetainedBytes = limit
	config := func(n int) *sharedconfig.Config {
		c := &sharedconfig.Config{Listed: true, Servers: map[string]sharedconfig.Server{}, Cordoned: []string{fmt.Sprint(n)}}
		for i := range servers {
			c.Servers[fmt.Sprintf("%0*d", sharedconfig.MaxNameBytes, i)] = sharedconfig.Server{Weight: 1.25}
		}
		return c
	}
	fit := limit / config(0).EncodedBytes()
	h := &History{}
	for n := range fit + 20 {
		if _, err := h.Apply(publishCommand(fmt.Sprint(n), uint64(n), config(n))); err != nil {
			t.Fatal(err)
		}
		if want := min(n+1, fit); n < MaxPendingVersions-1 && len(h.Versions) != n+1 || len(h.Versions) > want+2 {
			t.Fatalf("%d of %d versions are retained, want %d", len(h.Versions), n+1, want)
		}
		for h.CanAdvance() {
			at := h.Epoch
			h.Apply(&Command{Advance: &at})
		}
	}
	if len(h.Versions) < fit-1 || h.Transition() == nil || h.Transition().Config == nil {
		t.Errorf("%d versions are retained, and %d fit; transition %v", len(h.Versions), fit, h.Transition() != nil)
	}
	text, err := json.Marshal(h)
	if err != nil || len(text) > limit+limit/2 {
		t.Errorf("the history has %d bytes: %v", len(text), err)
	}
}
