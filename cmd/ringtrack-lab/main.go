// Command ringtrack-lab demonstrates the product with stand-ins, runs its acceptance and scale tests, and
// runs experiments on its policies. It exits with 0 on success, 1 if a result falls short or an error occurs,
// and 80 if the command line is not valid. `ringtrack-lab COMMAND --help` shows a command's flags.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"ringtrack.example/ringtrack/internal/lab/acceptance"
	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/lab/demo"
	"ringtrack.example/ringtrack/internal/lab/experiment"
	"ringtrack.example/ringtrack/internal/lab/scale"
)

// cli is the command line.
type cli struct {
	Demo       struct{}      `cmd:"" help:"Show the agent with a small fleet, a discovery service and clients; takes about 15 s."`
	Prove      proveCmd      `cmd:"" help:"Run an acceptance test and print its figures; exit 1 if one falls short."`
	Replay     replayCmd     `cmd:"" help:"Run a schedule of faults again that 'prove agreed' saved."`
	Scale      scaleCmd      `cmd:"" help:"Measure the cost by size: slopes, their predictions and the measured values."`
	Experiment experimentCmd `cmd:"" help:"Run scenarios of the emulator with several policies."`
}

type proveCmd struct {
	Name   string  `arg:"" optional:"" help:"Name of the proof; --list shows all."`
	List   bool    `help:"List all proofs, one per line."`
	Quick  bool    `help:"Scale the run to under 40 s on two cores."`
	Seed   uint64  `help:"Seed of all random numbers; 0: from the clock."`
	Scale  float64 `default:"1" help:"Factor for sizes and counts, above 0 and at most 10."`
	JSON   bool    `help:"Print the report as JSON."`
	Defect bool    `help:"Seed a defect that the proof must detect."`
}

type replayCmd struct {
	File   string `arg:"" type:"existingfile"`
	Shrink int    `help:"Search, with at most this many runs, for fewer faults that still fall short; they are written to FILE.small."`
}

func (c *replayCmd) run(ctx context.Context) error {
	p, err := cluster.LoadPlan(c.File)
	if err != nil {
		return err
	}
	defer cluster.Clean()
	o := &acceptance.Options{Seed: p.Seed, Scale: 1, Log: os.Stderr}
	r, err := acceptance.AgreedRun(ctx, o, p)
	if err != nil {
		return err
	}
	fmt.Println(r.Line())
	if len(r.Failures) == 0 {
		return nil
	}
	if c.Shrink > 0 {
		shrunk := cluster.Shrink(p, c.Shrink, func(candidate *cluster.Plan) bool {
			r, err := acceptance.AgreedRun(ctx, o, candidate)
			return err == nil && len(r.Failures) > 0
		})
		if err := shrunk.Save(c.File + ".small"); err != nil {
			return err
		}
		fmt.Printf("%d faults of %d are in %s.small\n", len(shrunk.Faults), len(p.Faults), c.File)
	}
	return fmt.Errorf("replay %s: falls short", c.File)
}

type experimentCmd struct {
	Check struct {
		File string `arg:"" type:"existingfile"`
	} `cmd:"" help:"Check whether an experiment file is valid."`
	List struct {
		File string `arg:"" type:"existingfile"`
	} `cmd:"" help:"List the scenarios of a file, one per line, and all policies."`
	Run struct {
		File string `arg:"" type:"existingfile"`
		Out  string `required:"" help:"Directory of the results. Results of this experiment that it has are not run again."`
	} `cmd:"" help:"Run what the directory has no results for, and print the table."`
}

func main() {
	acceptance.Child()
	scale.Child()
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "ringtrack-lab:", err)
		if _, ok := err.(*kong.ParseError); ok {
			os.Exit(80)
		}
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	var c cli
	parser, err := kong.New(&c, kong.Name("ringtrack-lab"), kong.Description("Demo, acceptance tests, scale tests and experiments."))
	if err != nil {
		return err
	}
	k, err := parser.Parse(args)
	if err != nil {
		return err
	}
	switch k.Command() {
	case "demo":
		return demo.Run(ctx, os.Stdout)
	case "prove", "prove <name>":
		return c.Prove.run(ctx)
	case "scale", "scale <name>":
		return c.Scale.run(ctx)
	case "replay <file>":
		return c.Replay.run(ctx)
	case "experiment check <file>":
		_, err := experiment.Load(c.Experiment.Check.File)
		return err
	case "experiment list <file>":
		e, err := experiment.Load(c.Experiment.List.File)
		if err != nil {
			return err
		}
		for _, s := range e.Scenarios {
			fmt.Printf("%-24s %s\n", s.Name, s.Description)
		}
		fmt.Print("policies:")
		for _, p := range experiment.Policies() {
			fmt.Print(" ", p.Name)
		}
		fmt.Println()
		return nil
	}
	e, err := experiment.Load(c.Experiment.Run.File)
	if err != nil {
		return err
	}
	started, lastOutput := time.Now(), time.Time{}
	results, err := e.Run(ctx, c.Experiment.Run.Out, func(done, total int) {
		if now := time.Now(); now.Sub(lastOutput) > 2*time.Second || done == total {
			lastOutput = now
			fmt.Fprintf(os.Stderr, "%d of %d runs, %.0f s\n", done, total, now.Sub(started).Seconds())
		}
	})
	if err != nil {
		return err
	}
	experiment.Print(os.Stdout, e.Table(results))
	return nil
}

type scaleCmd struct {
	Name  string  `arg:"" optional:"" help:"Name of the test; --list shows all."`
	List  bool    `help:"List all tests, one per line."`
	Quick bool    `help:"Scale the run to under 40 s on two cores."`
	Seed  uint64  `default:"1" help:"Seed of all random numbers."`
	Scale float64 `default:"1" help:"Factor for sizes and times, above 0 and at most 10."`
	JSON  bool    `help:"Print the report as JSON."`

	SlowDisk bool `help:"For control: only changes at the target size, while the disks of all replicas of the configuration store are slow."`
	Defect   bool `help:"Seed a defect that the test must detect."`
}

func (c *scaleCmd) run(ctx context.Context) error {
	if c.List {
		for _, t := range scale.All {
			fmt.Printf("%-18s %s\n", t.Name, t.About)
		}
		return nil
	}
	t, ok := scale.Find(c.Name)
	if !ok {
		return fmt.Errorf("scale %s: no such test; --list shows all", c.Name)
	}
	if !(c.Scale > 0 && c.Scale <= 10) {
		return fmt.Errorf("--scale: %v must be above 0 and at most 10", c.Scale)
	}
	if c.SlowDisk && t.Name != "control" {
		return fmt.Errorf("scale %s: --slow-disk is supported by control only", t.Name)
	}
	if c.Defect && t.Defect == "" {
		return fmt.Errorf("scale %s: the test has no --defect", t.Name)
	}
	if c.Quick {
		c.Scale *= t.Quick
	}
	defer cluster.Clean()
	r, err := t.Run(ctx, &scale.Options{Seed: c.Seed, Scale: c.Scale, Log: os.Stderr, SlowDisk: c.SlowDisk, Defect: c.Defect})
	if err != nil {
		return fmt.Errorf("scale %s: seed %d: %w", t.Name, c.Seed, err)
	}
	if c.JSON {
		fmt.Println(r.JSON())
	}
	fmt.Print(r)
	if len(r.Short) > 0 {
		return fmt.Errorf("scale %s: seed %d: falls short", t.Name, c.Seed)
	}
	return nil
}

func (c *proveCmd) run(ctx context.Context) error {
	if c.List {
		for _, p := range acceptance.All {
			fmt.Printf("%-18s %s\n", p.Name, p.About)
		}
		return nil
	}
	p, ok := acceptance.Find(c.Name)
	if !ok {
		return fmt.Errorf("prove %s: no such proof; --list shows all", c.Name)
	}
	if !(c.Scale > 0 && c.Scale <= 10) {
		return fmt.Errorf("--scale: %v must be above 0 and at most 10", c.Scale)
	}
	if c.Quick {
		c.Scale *= p.Quick
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano() % 1e6)
	}
	defer cluster.Clean()
	r, err := p.Run(ctx, &acceptance.Options{Seed: c.Seed, Scale: c.Scale, Defect: c.Defect, Log: os.Stderr})
	if err != nil {
		return fmt.Errorf("prove %s: seed %d: %w", p.Name, c.Seed, err)
	}
	if c.JSON {
		fmt.Println(r.JSON())
	}
	fmt.Println(r.Line())
	if len(r.Failures) > 0 {
		return fmt.Errorf("prove %s: seed %d: falls short", p.Name, c.Seed)
	}
	return nil
}
