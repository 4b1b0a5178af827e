//go:build lab

package clock

import (
	"fmt"
	"os"
)

// RINGTRACK_LAB_CLOCK, "OFFSET_MS RATE", has this process's steady clock begin elsewhere and run at another rate. It
// is in lab builds only.
func init() {
	var at float64
	if n, _ := fmt.Sscan(os.Getenv("RINGTRACK_LAB_CLOCK"), &at, &rate); n == 2 {
		offset = func() float64 { return at }
	}
}
