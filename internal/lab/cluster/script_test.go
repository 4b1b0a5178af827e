package cluster

import "testing"

// The script detects each of the defects that its steps are designed for.
func TestScriptFindsDefects(t *testing.T) {
	for _, defect := range []string{"no-meet", "from-answer", "back-on-start"} {
		t.Run(defect, func(t *testing.T) {
			// Timing depends on the machine, so a defect may need up to three seeds.
			for seed := range uint64(3) {
				out, err := RunScript(t.Context(), t.TempDir(), defect, seed)
				if err != nil {
					t.Fatal(err)
				}
				if len(out.Violations) > 0 {
					t.Log(out.Violations[0].Text)
					return
				}
				t.Logf("seed %d: not found; %v", seed, out.Errors)
			}
			t.Error("the defect is not found")
		})
	}
}
