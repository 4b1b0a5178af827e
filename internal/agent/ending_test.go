package agent

import (
	"testing"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// The plan of a planned end, for deployments with short, usual and long deadlines: clients are served at
// least while new connections still come, and what is taken last has its answer before SIGKILL may come.
func TestEnding(t *testing.T) {
	for giveUpMs, want := range map[float64][2]time.Duration{
		20:   {500 * time.Millisecond, 550 * time.Millisecond},
		1200: {1225 * time.Millisecond, 1700 * time.Millisecond},
		3000: {3000 * time.Millisecond, 3500 * time.Millisecond},
		6000: {3000 * time.Millisecond, 3500 * time.Millisecond},
	} {
		c := &Config{Settings: policy.Settings{Classes: []policy.Class{{GiveUpMs: giveUpMs}, {GiveUpMs: 10}}}}
		if serve, answer := c.ending(); serve != want[0] || answer != want[1] {
			t.Errorf("deadlines of %v ms: served for %v, answered by %v, want %v", giveUpMs, serve, answer, want)
		}
	}
}
