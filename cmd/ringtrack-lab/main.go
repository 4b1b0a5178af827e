// Command ringtrack-lab runs the demo and the long proofs, all on loopback. It is no part of the
// product.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"ringtrack.example/ringtrack/internal/lab/demo"
	"ringtrack.example/ringtrack/internal/lab/prove"
)

const usage = `usage:
  ringtrack-lab demo                        a small fleet, a roster, the agent and clients; takes about 15 s
  ringtrack-lab prove NAME [--quick] [--seed N] [--scale X] [--json] [--defect]
  ringtrack-lab prove --list                all proofs, a line each
`

func main() {
	prove.Child()
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "ringtrack-lab:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	switch {
	case len(args) == 1 && args[0] == "demo":
		return demo.Run(ctx, os.Stdout)
	case len(args) > 1 && args[0] == "prove":
		return runProof(ctx, args[1:])
	}
	fmt.Fprint(os.Stderr, usage)
	return fmt.Errorf("nothing to do")
}

func runProof(ctx context.Context, args []string) error {
	if args[0] == "--list" {
		for _, p := range prove.All {
			fmt.Printf("%-12s %s\n", p.Name, p.About)
		}
		return nil
	}
	p, ok := prove.Find(args[0])
	if !ok {
		return fmt.Errorf("prove %s: there is no such proof; --list tells them", args[0])
	}
	flags := flag.NewFlagSet("prove", flag.ContinueOnError)
	quick := flags.Bool("quick", false, "the same, scaled to under 40 s on two cores")
	seed := flags.Uint64("seed", uint64(time.Now().UnixNano()%1e6), "of all that is drawn")
	scale := flags.Float64("scale", 1, "of sizes and counts")
	asJSON := flags.Bool("json", false, "print the report as JSON")
	defect := flags.Bool("defect", false, "seed the lab's defect, which the proof is to find")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	if !(*scale > 0 && *scale <= 10) {
		return fmt.Errorf("--scale: must be above 0 and at most 10, is %v", *scale)
	}
	if *quick {
		*scale *= p.Quick
	}
	r, err := p.Run(ctx, &prove.Options{Seed: *seed, Scale: *scale, Defect: *defect, Log: os.Stderr})
	if err != nil {
		return fmt.Errorf("prove %s: seed %d: %w", p.Name, *seed, err)
	}
	if *asJSON {
		fmt.Println(r.JSON())
	}
	fmt.Println(r.Line())
	if len(r.Short) > 0 {
		return fmt.Errorf("prove %s: seed %d: falls short", p.Name, *seed)
	}
	return nil
}
