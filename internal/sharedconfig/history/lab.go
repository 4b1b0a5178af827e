//go:build lab

package history

import (
	"os"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// A defect injected by the lab: a transition uses the new version instead of the intersection of both.
func init() {
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-meet" {
		intersectConfigs = func(_, to *sharedconfig.Config) *sharedconfig.Config { return to }
	}
}
