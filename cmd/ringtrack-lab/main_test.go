package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a command line that is not valid and runs something, or whose error does not name the cause.
func TestArguments(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("seeds = 0\n[[scenario]]\nname = \"a\"\nseconds = 1\nservers = [{ count = 1, workers = 1 }]"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{"": "expected one of", "prove": "no such proof", "prove none": "no such proof",
		"prove drains --scale 0": "--scale", "prove drains --what": "--what", "scale none": "no such test", "scale admin --slow-disk": "--slow-disk", "scale admin --defect": "--defect", "demo more": "unexpected argument", "experiment": "expected one of",
		"experiment run " + bad: "--out", "experiment check " + bad: "seeds", "experiment check none.toml": "none.toml", "fly": "unexpected argument"} {
		if err := run(strings.Fields(args)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", args, err, want)
		}
	}
	for _, args := range []string{"prove --list", "scale --list", "experiment check ../../deploy/experiments/catalogue.toml", "experiment list ../../deploy/experiments/catalogue.toml"} {
		if err := run(strings.Fields(args)); err != nil {
			t.Errorf("%q: %v", args, err)
		}
	}
}
