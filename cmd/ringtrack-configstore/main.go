// Command ringtrack-configstore runs a replica of the configuration store, and is the operators' client for
// its replicas. See docs/operators/agreed.md.
package main

import (
	"github.com/alecthomas/kong"
)

// description is the first paragraph of the help.
const description = "Run, query and change the store of the shared configuration."

// commands lists the subcommands. kong derives their names and flags from the field names.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run a replica."`
	Publish publishCommand `cmd:"" help:"Publish a new version of the shared configuration and wait until it is in force."`
	Show    showCommand    `cmd:"" help:"Show a version."`
	Diff    diffCommand    `cmd:"" help:"Compare two versions."`
	History historyCommand `cmd:"" help:"List versions."`
	Members membersCommand `cmd:"" help:"Show the status of the replicas, or add or remove one."`
	Holders holdersCommand `cmd:"" help:"List the lease holders and those that block the next epoch."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("ringtrack-configstore"), kong.Description(description), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
