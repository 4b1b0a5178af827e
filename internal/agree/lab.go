//go:build lab

package agree

import (
	"os"

	"ringtrack.example/ringtrack/internal/rulebook"
)

// The lab's seeded defect: a change goes from version to version.
func init() {
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-meet" {
		between = func(_, b *rulebook.Book) *rulebook.Book { return b }
	}
}
