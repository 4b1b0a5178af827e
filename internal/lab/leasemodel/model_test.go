package leasemodel

import "testing"

func TestExhaustive(t *testing.T) {
	states, all, found := Exhaust(Small, None, 3_000_000)
	if !all && found == nil {
		t.Errorf("%d states are not all", states)
	}
	if found != nil {
		t.Fatalf("%s: %v", found.Reason, found.Steps)
	}
	t.Logf("%d states", states)
}

func TestRandomWalks(t *testing.T) {
	made, found := Random(Long, None, 1000, 150, 1)
	if found != nil {
		t.Fatalf("%s: %v", found.Reason, found.Steps)
	}
	t.Logf("%d steps", made)
}

func TestSeededDefectsAreFound(t *testing.T) {
	for name, d := range Defects {
		if _, found := Random(Long, d, 20_000, 150, 1); found == nil {
			t.Errorf("%s is not found", name)
		} else {
			t.Logf("%s: %s after %d steps", name, found.Reason, len(found.Steps))
		}
	}
}
