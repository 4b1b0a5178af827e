package main

import (
	"strings"
	"testing"
)

// What is asked for wrongly is said, and nothing is run.
func TestArguments(t *testing.T) {
	for args, want := range map[string]string{"": "nothing to do", "prove": "nothing to do", "prove none": "no such proof",
		"prove drains --scale 0": "--scale", "prove drains --what": "flag provided but not defined", "demo more": "nothing to do"} {
		if err := run(strings.Fields(args)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", args, err)
		}
	}
	if err := run([]string{"prove", "--list"}); err != nil {
		t.Error(err)
	}
}
