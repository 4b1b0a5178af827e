package leasemodel

import "testing"

func TestInvariantsHoldInAllSmallStates(t *testing.T) {
	states, complete, violation := Exhaust(Small, None, 3_000_000)
	if !complete && violation == nil {
		t.Errorf("stopped after %d states, before all were visited", states)
	}
	if violation != nil {
		t.Fatalf("%s: %v", violation.Reason, violation.Steps)
	}
	t.Logf("%d states", states)
}

func TestInvariantsHoldInRandomWalks(t *testing.T) {
	made, violation := Random(Long, None, 1000, 150, 1)
	if violation != nil {
		t.Fatalf("%s: %v", violation.Reason, violation.Steps)
	}
	t.Logf("%d steps", made)
}

func TestSeededDefectsAreFound(t *testing.T) {
	for name, defect := range Defects {
		if _, violation := Random(Long, defect, 20_000, 150, 1); violation == nil {
			t.Errorf("defect %s is not found", name)
		} else {
			t.Logf("%s: %s after %d steps", name, violation.Reason, len(violation.Steps))
		}
	}
}
