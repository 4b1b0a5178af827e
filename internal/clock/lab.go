//go:build lab

package clock

import (
	"fmt"
	"os"
)

// RINGTRACK_LAB_CLOCK, "OFFSET_MS RATE", sets the offset and the rate of this process's steady clock. It is
// read in lab builds only.
func init() {
	var offsetMs float64
	if n, _ := fmt.Sscan(os.Getenv("RINGTRACK_LAB_CLOCK"), &offsetMs, &rate); n == 2 {
		offset = func() float64 { return offsetMs }
	}
}
