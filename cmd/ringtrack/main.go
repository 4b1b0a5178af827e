// Command ringtrack is an agent: it accepts the requests of the application beside it and forwards them to
// backends. Environment variables name its configuration; see internal/agent.
package main

import (
	"fmt"
	"os"

	"ringtrack.example/ringtrack/internal/agent"
)

func main() {
	if err := agent.Main(); err != nil {
		fmt.Fprintln(os.Stderr, "ringtrack:", err)
		os.Exit(1)
	}
}
