// Command ringtrack is one agent: it takes requests from the application beside
// it and places them on backends, as the decision module says.
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
