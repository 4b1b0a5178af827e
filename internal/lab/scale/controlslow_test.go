package scale

import (
	"slices"
	"strings"
	"testing"
)

// With slow disks at all replicas, changes come into force and no new term begins. With replicas whose event
// loop waits for the disk, new terms begin.
func TestSlowDisks(t *testing.T) {
	for _, defect := range []bool{false, true} {
		t.Run(map[bool]string{false: "as it is", true: "the loop waits"}[defect], func(t *testing.T) {
			t.Parallel()
			r, err := Control(t.Context(), &Options{Seed: 1, Scale: 0.01, SlowDisk: true, Defect: defect})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			if !defect && len(r.Short) > 0 {
				t.Errorf("bounds not met: %v", r.Short)
			}
			if defect && !slices.ContainsFunc(r.Short, func(s string) bool { return strings.Contains(s, "new terms began although no replica was down") }) {
				t.Errorf("bounds not met: %v", r.Short)
			}
		})
	}
}
