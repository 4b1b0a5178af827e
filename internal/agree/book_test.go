package agree

import (
	"errors"
	"fmt"
	"testing"

	"ringtrack.example/ringtrack/internal/rulebook"
)

func published(t *testing.T, bans ...string) *Book {
	t.Helper()
	b := &Book{}
	for i, id := range bans {
		if _, err := b.Apply(&Op{Publish: &Publish{ID: fmt.Sprint(i), Parent: uint64(i), Book: &rulebook.Book{Bans: []string{id}}}}); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func (b *Book) step(t *testing.T, want uint64) {
	t.Helper()
	at := b.Stage
	b.Apply(&Op{Advance: &at})
	if b.Stage != want {
		t.Fatalf("behind stage %d comes %d, not %d", at, b.Stage, want)
	}
	b.Apply(&Op{Advance: &at}) // the same once more is late
	if b.Stage != want {
		t.Fatalf("a late advance made it %d", b.Stage)
	}
}

// Versions that wait are gone past, and a stage that never was stands for the version that was gone on from: a holder
// that the desk does not know acts on that, or on the step, and not on what was passed over.
func TestVersionsThatWaitAreGonePast(t *testing.T) {
	b := published(t, "a")
	b.step(t, 1)
	b.step(t, 2)
	for n, id := range []string{"x", "b"} {
		if _, err := b.Apply(&Op{Publish: &Publish{ID: id, Parent: uint64(n + 1), Book: &rulebook.Book{Bans: []string{id}}}}); err != nil {
			t.Fatal(err)
		}
	}
	b.step(t, 5)
	if got := fmt.Sprint(b.Terms().Book.Bans); got != "[a b]" {
		t.Errorf("between both %s are banned", got)
	}
	if _, err := b.Apply(&Op{Publish: &Publish{ID: "b2", Parent: 3, Book: &rulebook.Book{Bans: []string{"b"}, MaxAttempts: 1}}}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from, to uint64
		want     bool
	}{{2, 6, true}, {5, 6, true}, {4, 6, true}, {6, 8, false}, {2, 2, false}} {
		if got := b.Words(c.from, c.to); got != c.want {
			t.Errorf("the word changes from %d to %d: %v", c.from, c.to, got)
		}
	}
	b.step(t, 6)
	b.step(t, 7)
	b.step(t, 8)
	if at := b.Stage; b.Wants() || at != 8 {
		t.Errorf("at %d it wants more", at)
	}
}

// A second try of a publish is the same version, one behind another parent is refused, and no more wait than may.
func TestPublishIsCompareAndSet(t *testing.T) {
	b := published(t, "a", "b")
	again := &Op{Publish: &Publish{ID: "0", Parent: 0, Book: &rulebook.Book{Bans: []string{"a"}}}}
	if v, err := b.Apply(again); err != nil || v.Number != 1 || b.Last() != 2 {
		t.Errorf("once more: %+v, %v", v, err)
	}
	if _, err := b.Apply(&Op{Publish: &Publish{ID: "x", Parent: 1, Book: &rulebook.Book{}}}); !errors.Is(err, ErrParent) {
		t.Errorf("an old parent: %v", err)
	}
	if _, err := b.Apply(&Op{Publish: &Publish{ID: "y", Parent: 2, Book: &rulebook.Book{MaxAttempts: 9}}}); err == nil {
		t.Error("what makes no sense is published")
	}
	var err error
	for n := uint64(2); err == nil && n < 100; n++ {
		_, err = b.Apply(&Op{Ban: &Ban{ID: fmt.Sprint("ban", n), Server: fmt.Sprint("s", n), On: true}})
	}
	if !errors.Is(err, ErrAhead) || b.Last() != MostAhead {
		t.Errorf("%d wait: %v", b.Last(), err)
	}
	if v := b.Version(b.Last()); len(v.Book.Bans) != MostAhead-1 {
		t.Errorf("bans lost others' word: %v", v.Book.Bans)
	}
}

// Terms between two versions are made of both: a basis that named one alone would be the same for two books that are not.
func TestABasisNamesBothVersions(t *testing.T) {
	step := func(from, to string) *Book {
		b := published(t, from)
		b.step(t, 1)
		b.step(t, 2)
		if _, err := b.Apply(&Op{Publish: &Publish{ID: "to", Parent: 1, Book: &rulebook.Book{Bans: []string{to}}}}); err != nil {
			t.Fatal(err)
		}
		b.step(t, 3)
		return b
	}
	if b := (&Book{}).Basis(); b != (Basis{}) {
		t.Errorf("before the first version it is %+v", b)
	}
	if x, y := step("a", "x").Basis(), step("a", "x").Basis(); x != y {
		t.Errorf("%+v and %+v are of the same", x, y)
	}
	if x, y := step("a", "x").Basis(), step("b", "x").Basis(); x == y {
		t.Errorf("from a and from b it is %+v", x)
	}
	if x, y := step("a", "x").Basis(), step("a", "y").Basis(); x == y {
		t.Errorf("to x and to y it is %+v", x)
	}
	b := step("a", "x")
	was := b.Basis()
	b.step(t, 4)
	if b.Basis() == was {
		t.Errorf("stages 3 and 4 have %+v", was)
	}
}
