package demo

import (
	"strings"
	"testing"
	"time"
)

// Guards against a demo that fails, or that reports a violation of an invariant.
func TestDemo(t *testing.T) {
	var out strings.Builder
	if err := run(t.Context(), &out, 700*time.Millisecond); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	if strings.Count(out.String(), ": holds") != 4 || !strings.Contains(out.String(), "s-4 restarts") {
		t.Errorf("printed:\n%s", out.String())
	}
}
