//go:build lab

package history

import (
	"os"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// A defect that the lab seeds: a change goes from version to version without the intersection of both.
func init() {
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-meet" {
		intersectConfigs = func(_, to *sharedconfig.Config) *sharedconfig.Config { return to }
	}
}
