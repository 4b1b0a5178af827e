// Command ringtrack-lab shows the product at work beside stand-ins, proves what its pages claim, and runs
// experiments on its decisions. It exits 0 where all is well, 1 where something fell short or failed, and 80
// where the command line can't be used. `ringtrack-lab COMMAND --help` tells a command's flags.
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
	Demo       struct{}      `cmd:"" help:"A small fleet, a roster, the agent and clients; takes about 15 s."`
	Prove      proveCmd      `cmd:"" help:"Run a long proof and print its figures; exit 1 where one falls short."`
	Replay     replayCmd     `cmd:"" help:"Run a schedule of faults again that a run of 'prove agreed' left."`
	Scale      scaleCmd      `cmd:"" help:"Measure what a size needs: slopes, what they foretell, what is measured."`
	Experiment experimentCmd `cmd:"" help:"Run scenarios of the emulator under several policies."`
}

type proveCmd struct {
	Name   string  `arg:"" optional:"" help:"Which proof; --list tells them."`
	List   bool    `help:"All proofs, a line each."`
	Quick  bool    `help:"The same, scaled to under 40 s on two cores."`
	Seed   uint64  `help:"Of all that is drawn; 0: by the time."`
	Scale  float64 `default:"1" help:"Of sizes and counts, above 0 and at most 10."`
	JSON   bool    `help:"Print the report as JSON."`
	Defect bool    `help:"Seed the lab's defect, which the proof is to find."`
}

type replayCmd struct {
	File   string `arg:"" type:"existingfile"`
	Shrink int    `help:"Look for fewer faults that still fall short, with so many runs at the most; they are written to FILE.small."`
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
		small := cluster.Shrink(p, c.Shrink, func(less *cluster.Plan) bool {
			r, err := acceptance.AgreedRun(ctx, o, less)
			return err == nil && len(r.Failures) > 0
		})
		if err := small.Save(c.File + ".small"); err != nil {
			return err
		}
		fmt.Printf("%d faults of %d are in %s.small\n", len(small.Faults), len(p.Faults), c.File)
	}
	return fmt.Errorf("replay %s: falls short", c.File)
}

type experimentCmd struct {
	Check struct {
		File string `arg:"" type:"existingfile"`
	} `cmd:"" help:"Say whether an experiment's file can be used."`
	List struct {
		File string `arg:"" type:"existingfile"`
	} `cmd:"" help:"The scenarios of a file, a line each, and all policies."`
	Run struct {
		File string `arg:"" type:"existingfile"`
		Out  string `required:"" help:"Folder of the results. What it has of this experiment is not run again."`
	} `cmd:"" help:"Run what the folder has no results of, and print the table."`
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
	parser, err := kong.New(&c, kong.Name("ringtrack-lab"), kong.Description("Stand-ins, proofs and experiments."))
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
	began, last := time.Now(), time.Time{}
	results, err := e.Run(ctx, c.Experiment.Run.Out, func(done, all int) {
		if now := time.Now(); now.Sub(last) > 2*time.Second || done == all {
			last = now
			fmt.Fprintf(os.Stderr, "%d of %d runs, %.0f s\n", done, all, now.Sub(began).Seconds())
		}
	})
	if err != nil {
		return err
	}
	experiment.Print(os.Stdout, e.Table(results))
	return nil
}

type scaleCmd struct {
	Name  string  `arg:"" optional:"" help:"Which test; --list tells them."`
	List  bool    `help:"All tests, a line each."`
	Quick bool    `help:"The same, scaled to under 40 s on two cores."`
	Seed  uint64  `default:"1" help:"Of all that is drawn."`
	Scale float64 `default:"1" help:"Of sizes and times, above 0 and at most 10."`
	JSON  bool    `help:"Print the report as JSON."`

	SlowDisk bool `help:"Of control: only changes at the aimed size, while all keepers' disks are slow."`
	Defect   bool `help:"Seed the lab's defect, which the test is to find."`
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
		return fmt.Errorf("scale %s: there is no such test; --list tells them", c.Name)
	}
	if !(c.Scale > 0 && c.Scale <= 10) {
		return fmt.Errorf("--scale: must be above 0 and at most 10, is %v", c.Scale)
	}
	if c.SlowDisk && t.Name != "control" {
		return fmt.Errorf("scale %s: --slow-disk is for control", t.Name)
	}
	if c.Defect && t.Defect == "" {
		return fmt.Errorf("scale %s: --defect: there is none", t.Name)
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
		return fmt.Errorf("prove %s: there is no such proof; --list tells them", c.Name)
	}
	if !(c.Scale > 0 && c.Scale <= 10) {
		return fmt.Errorf("--scale: must be above 0 and at most 10, is %v", c.Scale)
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
