package scale

import (
	"slices"
	"strings"
	"testing"
)

// While all keepers' disks are slow changes come in force and no term of keepers begins; with the loop that waits for its
// disk, as it was, that is not so.
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
				t.Errorf("short of %v", r.Short)
			}
			if defect && !slices.ContainsFunc(r.Short, func(s string) bool { return strings.Contains(s, "terms of keepers began") }) {
				t.Errorf("short of %v", r.Short)
			}
		})
	}
}
