//go:build lab

package lease

import (
	"os"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// The lab's seeded defect: a change goes from version to version.
func init() {
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-meet" {
		between = func(_, b *sharedconfig.Config) *sharedconfig.Config { return b }
	}
}
