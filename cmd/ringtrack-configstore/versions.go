package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// showCommand prints a version.
type showCommand struct {
	replicas
	Number uint64 `arg:"" optional:"" help:"Number of the version; by default the last one."`
}

// Run prints the version as TOML.
func (c *showCommand) Run() error {
	v, err := c.version(c.Number)
	if err != nil {
		return err
	}
	fmt.Printf("# version %d, parent %d, %s, by %s, %s: %s\n", v.Number, v.Parent, v.Digest, v.Author, formatTime(v.AtMs), v.Reason)
	return toml.NewEncoder(os.Stdout).Encode(v.Config)
}

func formatTime(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

// diffCommand prints the lines in which two versions differ.
type diffCommand struct {
	replicas
	From uint64 `arg:"" help:"Number of the older version."`
	To   uint64 `arg:"" optional:"" help:"Number of the newer version; by default the last one."`
}

// Run prints the differing lines.
func (c *diffCommand) Run() error {
	from, err := c.lines(c.From)
	if err != nil {
		return err
	}
	to, err := c.lines(c.To)
	if err != nil {
		return err
	}
	// The encoder writes keys and lists in a fixed order, so a line that only one version has is a
	// difference.
	printMissing("-", from, to)
	printMissing("+", to, from)
	return nil
}

// lines returns a version as lines of TOML.
func (c *diffCommand) lines(number uint64) ([]string, error) {
	v, err := c.version(number)
	if err != nil {
		return nil, err
	}
	text, err := toml.Marshal(v.Config)
	if err != nil {
		return nil, err
	}
	return strings.Split(string(text), "\n"), nil
}

// printMissing prints the lines that are not in other.
func printMissing(mark string, lines, other []string) {
	for _, line := range lines {
		if !slices.Contains(other, line) {
			fmt.Println(mark, line)
		}
	}
}

// historyCommand lists the versions and marks the one in force.
type historyCommand struct{ replicas }

// Run prints the versions.
func (c *historyCommand) Run() error {
	var h client.HistoryResponse
	if err := c.call(client.PathHistory, nil, &h); err != nil {
		return err
	}
	inForce := h.Epoch / 2
	for _, v := range h.Versions {
		printVersion(v, v.Number == inForce)
	}
	if h.Epoch%2 == 1 {
		fmt.Printf("in transition from %d to %d: only what both versions permit is in force\n", inForce, inForce+1)
	}
	return nil
}

func printVersion(v sharedconfig.Version, inForce bool) {
	mark := " "
	if inForce {
		mark = "*"
	}
	fmt.Printf("%s %d %s %s by %s: %s\n", mark, v.Number, v.Digest, formatTime(v.AtMs), v.Author, v.Reason)
}
