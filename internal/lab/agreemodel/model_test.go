package agreemodel

import "testing"

func TestExhaustive(t *testing.T) {
	states, found := Exhaust(Small, None, 3_000_000)
	if found != nil {
		t.Fatalf("%s: %v", found.Why, found.Path)
	}
	t.Logf("%d states", states)
}

func TestRandomWalks(t *testing.T) {
	made, found := Random(Long, None, 3000, 150, 1)
	if found != nil {
		t.Fatalf("%s: %v", found.Why, found.Path)
	}
	t.Logf("%d steps", made)
}

func TestSeededDefectsAreFound(t *testing.T) {
	for name, d := range Defects {
		if _, found := Random(Long, d, 20_000, 150, 1); found == nil {
			t.Errorf("%s is not found", name)
		} else {
			t.Logf("%s: %s after %d steps", name, found.Why, len(found.Path))
		}
	}
}
