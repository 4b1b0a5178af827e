package lease

import (
	"errors"
	"fmt"
	"testing"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

func published(t *testing.T, bans ...string) *History {
	t.Helper()
	b := &History{}
	for i, id := range bans {
		if _, err := b.Apply(&Command{Publish: &Publish{ID: fmt.Sprint(i), Parent: uint64(i), Config: &sharedconfig.Config{Cordoned: []string{id}}}}); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func (b *History) step(t *testing.T, want uint64) {
	t.Helper()
	at := b.Epoch
	b.Apply(&Command{Advance: &at})
	if b.Epoch != want {
		t.Fatalf("behind stage %d comes %d, not %d", at, b.Epoch, want)
	}
	b.Apply(&Command{Advance: &at}) // the same once more is late
	if b.Epoch != want {
		t.Fatalf("a late advance made it %d", b.Epoch)
	}
}

// Versions that wait are gone past, and a stage that never was stands for the version that was gone on from: a holder
// that the desk does not know acts on that, or on the step, and not on what was passed over.
func TestVersionsThatWaitAreGonePast(t *testing.T) {
	b := published(t, "a")
	b.step(t, 1)
	b.step(t, 2)
	for n, id := range []string{"x", "b"} {
		if _, err := b.Apply(&Command{Publish: &Publish{ID: id, Parent: uint64(n + 1), Config: &sharedconfig.Config{Cordoned: []string{id}}}}); err != nil {
			t.Fatal(err)
		}
	}
	b.step(t, 5)
	if got := fmt.Sprint(b.Transition().Config.Cordoned); got != "[a b]" {
		t.Errorf("between both %s are banned", got)
	}
	if _, err := b.Apply(&Command{Publish: &Publish{ID: "b2", Parent: 3, Config: &sharedconfig.Config{Cordoned: []string{"b"}, MaxAttempts: 1}}}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from, to uint64
		want     bool
	}{{2, 6, true}, {5, 6, true}, {4, 6, true}, {6, 8, false}, {2, 2, false}} {
		if got := b.EndpointsChanged(c.from, c.to); got != c.want {
			t.Errorf("the word changes from %d to %d: %v", c.from, c.to, got)
		}
	}
	b.step(t, 6)
	b.step(t, 7)
	b.step(t, 8)
	if at := b.Epoch; b.CanAdvance() || at != 8 {
		t.Errorf("at %d it wants more", at)
	}
}

// A second try of a publish is the same version, one behind another parent is refused, and no more wait than may.
func TestPublishIsCompareAndSet(t *testing.T) {
	b := published(t, "a", "b")
	again := &Command{Publish: &Publish{ID: "0", Parent: 0, Config: &sharedconfig.Config{Cordoned: []string{"a"}}}}
	if v, err := b.Apply(again); err != nil || v.Number != 1 || b.Last() != 2 {
		t.Errorf("once more: %+v, %v", v, err)
	}
	if _, err := b.Apply(&Command{Publish: &Publish{ID: "x", Parent: 1, Config: &sharedconfig.Config{}}}); !errors.Is(err, ErrParentMismatch) {
		t.Errorf("an old parent: %v", err)
	}
	if _, err := b.Apply(&Command{Publish: &Publish{ID: "y", Parent: 2, Config: &sharedconfig.Config{MaxAttempts: 9}}}); err == nil {
		t.Error("what makes no sense is published")
	}
	var err error
	for n := uint64(2); err == nil && n < 100; n++ {
		_, err = b.Apply(&Command{Cordon: &Cordon{ID: fmt.Sprint("ban", n), Server: fmt.Sprint("s", n), On: true}})
	}
	if !errors.Is(err, ErrTooManyPending) || b.Last() != MaxPendingVersions {
		t.Errorf("%d wait: %v", b.Last(), err)
	}
	if v := b.Version(b.Last()); len(v.Config.Cordoned) != MaxPendingVersions-1 {
		t.Errorf("bans lost others' word: %v", v.Config.Cordoned)
	}
}

// Terms between two versions are made of both: a basis that named one alone would be the same for two books that are not.
func TestABasisNamesBothVersions(t *testing.T) {
	step := func(from, to string) *History {
		b := published(t, from)
		b.step(t, 1)
		b.step(t, 2)
		if _, err := b.Apply(&Command{Publish: &Publish{ID: "to", Parent: 1, Config: &sharedconfig.Config{Cordoned: []string{to}}}}); err != nil {
			t.Fatal(err)
		}
		b.step(t, 3)
		return b
	}
	if b := (&History{}).Source(); b != (Source{}) {
		t.Errorf("before the first version it is %+v", b)
	}
	if x, y := step("a", "x").Source(), step("a", "x").Source(); x != y {
		t.Errorf("%+v and %+v are of the same", x, y)
	}
	if x, y := step("a", "x").Source(), step("b", "x").Source(); x == y {
		t.Errorf("from a and from b it is %+v", x)
	}
	if x, y := step("a", "x").Source(), step("a", "y").Source(); x == y {
		t.Errorf("to x and to y it is %+v", x)
	}
	b := step("a", "x")
	was := b.Source()
	b.step(t, 4)
	if b.Source() == was {
		t.Errorf("stages 3 and 4 have %+v", was)
	}
}
