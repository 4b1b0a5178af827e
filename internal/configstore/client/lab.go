//go:build lab

package client

import (
	"context"
	"encoding/json"
	"os"

	"ringtrack.example/ringtrack/internal/clock"
)

// The lab's seeded defects of an agent: its lease counts from the answer; or it keeps a book and, started again, acts on
// the one it kept first without asking.
func init() {
	const kept = "kept-book.json"
	switch os.Getenv("RINGTRACK_LAB_DEFECT") {
	case "from-answer":
		leaseStart = func(float64) float64 { return clock.Steady() }
	case "back-on-start":
		onAdopted = func(l *Renewer, a *RenewResponse) {
			if _, err := os.Stat(kept); err != nil && a.Epoch > 0 {
				text, _ := json.Marshal(a)
				os.WriteFile(kept, text, 0o600)
			}
		}
		onStart = func(ctx context.Context, l *Renewer) {
			var a RenewResponse
			if text, err := os.ReadFile(kept); err == nil && json.Unmarshal(text, &a) == nil {
				l.accept(ctx, clock.Steady(), &a)
			}
		}
	}
}
