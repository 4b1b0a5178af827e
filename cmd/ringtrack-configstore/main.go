// Command ringtrack-configstore is a replica of the configuration store, and the operators' calls to the replicas. See
// docs/operators/agreed.md.
package main

import (
	"github.com/alecthomas/kong"
)

// description is the first paragraph of the help.
const description = "Keepers of the agreed book of rules."

// commands are the subcommands. Their names, and the flags, come from the names of the fields.
type commands struct {
	Run     runCommand     `cmd:"" help:"Be a keeper."`
	Publish publishCommand `cmd:"" help:"Publish a new version of the book of rules and wait until it is in force."`
	Show    showCommand    `cmd:"" help:"Show a version."`
	Diff    diffCommand    `cmd:"" help:"Compare two versions."`
	History historyCommand `cmd:"" help:"List versions."`
	Members membersCommand `cmd:"" help:"Show the keepers, add one or remove one."`
	Holders holdersCommand `cmd:"" help:"List who holds a lease, and who holds up the next stage."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("ringtrack-configstore"), kong.Description(description), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
