// Package experiment runs scenarios of the emulator under several policies and seeds, on all cores, and says
// how the policies fare beside one another. Results are appended cell by cell, so that a run that was killed
// goes on where it was.
package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/emulator"
	"ringtrack.example/ringtrack/internal/emulator/peers"
)

const (
	// version is that of the results' form.
	version = 1
	// maxCells bounds an experiment, maxFile its file in bytes.
	maxCells, maxFile = 100_000, 1 << 20
	// resamples is the number of a bootstrap's.
	resamples = 2000
)

// Experiment is what a file says: scenarios, policies and seeds, each with each.
type Experiment struct {
	Policies  []string `toml:"policies"` // none: all
	Seeds     int      `toml:"seeds"`
	FirstSeed uint64   `toml:"first_seed"`
	// By is what policies are compared by: "goodput" (also where it is empty) or "worth".
	By       string              `toml:"by"`
	Scenario []emulator.Scenario `toml:"scenario"`

	sum uint32
}

// Policies are all that there are, the product first.
func Policies() []emulator.Policy { return append([]emulator.Policy{emulator.Product}, peers.All...) }

func policy(name string) *emulator.Policy {
	for _, p := range Policies() {
		if p.Name == name {
			return &p
		}
	}
	return nil
}

// Load reads and checks a file; an error names the key.
func Load(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	if len(text) > maxFile {
		return nil, fmt.Errorf("experiment: %s: %d bytes, at most %d", file, len(text), maxFile)
	}
	e := &Experiment{Seeds: 5, FirstSeed: 1, sum: crc32.ChecksumIEEE(text)}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return nil, fmt.Errorf("experiment: %s: %s: unknown", file, strings.Join(strict.Errors[0].Key(), "."))
		}
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	return e, nil
}

func (e *Experiment) check() error {
	if len(e.Policies) == 0 {
		for _, p := range Policies() {
			e.Policies = append(e.Policies, p.Name)
		}
	}
	for i, name := range e.Policies {
		if policy(name) == nil || slices.Index(e.Policies, name) < i {
			return fmt.Errorf("policies[%d]: %q is none, or named twice", i, name)
		}
	}
	if e.Seeds < 1 || e.Seeds > 1000 {
		return fmt.Errorf("seeds: must be 1 to 1000, is %d", e.Seeds)
	}
	if e.By != "" && e.By != "goodput" && e.By != "worth" {
		return fmt.Errorf("by: %q is neither goodput nor worth", e.By)
	}
	if len(e.Scenario) == 0 {
		return errors.New("scenario: none")
	}
	names := map[string]bool{}
	for i := range e.Scenario {
		s := &e.Scenario[i]
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("scenario[%d].name: %q is empty or taken", i, s.Name)
		}
		names[s.Name] = true
		if err := s.Check(); err != nil {
			return fmt.Errorf("scenario[%d] (%s).%w", i, s.Name, err)
		}
	}
	if n := len(e.cells()); n > maxCells {
		return fmt.Errorf("%d cells, at most %d", n, maxCells)
	}
	return nil
}

// cell is one run.
type cell struct {
	scenario int
	policy   string
	seed     uint64
}

func (e *Experiment) cells() (out []cell) {
	for k := range e.Seeds { // seed by seed, so that what a stop leaves says something of all
		for i := range e.Scenario {
			for _, p := range e.Policies {
				out = append(out, cell{i, p, e.FirstSeed + uint64(k)})
			}
		}
	}
	return out
}

// head is the results' first line.
type head struct {
	Version    int    `json:"version"`
	Experiment uint32 `json:"experiment"` // checksum of its file
}

// Run runs the cells that the folder has no result of, and returns all results. progress is called with each
// cell that ends.
func (e *Experiment) Run(ctx context.Context, dir string, progress func(done, all int)) ([]*emulator.Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	f, had, err := e.open(filepath.Join(dir, "results.jsonl"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cells := e.cells()
	have := map[cell]*emulator.Result{}
	at := map[string]int{}
	for i := range e.Scenario {
		at[e.Scenario[i].Name] = i
	}
	for _, r := range had {
		have[cell{at[r.Scenario], r.Policy, r.Seed}] = r
	}
	todo := make(chan cell)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var failed error
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for c := range todo {
				r, err := emulator.Run(&e.Scenario[c.scenario], policy(c.policy), c.seed)
				mu.Lock()
				if err == nil {
					err = appendLine(f, r)
				}
				if err != nil && failed == nil {
					failed = fmt.Errorf("experiment: %s, %s, seed %d: %w", e.Scenario[c.scenario].Name, c.policy, c.seed, err)
					cancel()
				}
				have[c] = r
				if progress != nil {
					progress(len(have), len(cells))
				}
				mu.Unlock()
			}
		})
	}
	missing := slices.DeleteFunc(slices.Clone(cells), func(c cell) bool { return have[c] != nil })
feed:
	for _, c := range missing {
		select {
		case todo <- c:
		case <-ctx.Done():
			break feed
		}
	}
	close(todo)
	workers.Wait()
	if failed != nil {
		return nil, failed
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	out := make([]*emulator.Result, len(cells))
	for i, c := range cells {
		out[i] = have[c]
	}
	return out, nil
}

// appendLine appends a result in one write. What a kill cuts off is no line, and is run again.
func appendLine(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		_, err = w.Write(append(b, '\n'))
	}
	return err
}

// open opens the results, begins them where there are none, and cuts off a line that was not written whole.
func (e *Experiment) open(name string) (*os.File, []*emulator.Result, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("experiment: %w", err)
	}
	fail := func(err error) (*os.File, []*emulator.Result, error) {
		f.Close()
		return nil, nil, fmt.Errorf("experiment: %s: %w", name, err)
	}
	var out []*emulator.Result
	in := bufio.NewReader(f)
	whole := int64(0)
	for n := 0; ; n++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			break // what is left of it was cut off
		}
		if err != nil {
			return fail(err)
		}
		if n == 0 {
			var h head
			if err := json.Unmarshal(line, &h); err != nil {
				return fail(fmt.Errorf("holds no results: %w", err))
			}
			if h.Version != version {
				return fail(fmt.Errorf("holds results of version %d, this is %d", h.Version, version))
			}
			if h.Experiment != e.sum {
				return fail(errors.New("holds the results of another experiment, or of an older file of this"))
			}
		} else {
			r := &emulator.Result{}
			if err := json.Unmarshal(line, r); err != nil {
				return fail(fmt.Errorf("line %d: %w", n+1, err))
			}
			out = append(out, r)
		}
		whole += int64(len(line))
	}
	if err := f.Truncate(whole); err != nil {
		return fail(err)
	}
	if _, err := f.Seek(whole, io.SeekStart); err != nil {
		return fail(err)
	}
	if whole == 0 {
		if err := appendLine(f, head{version, e.sum}); err != nil {
			return fail(err)
		}
	}
	return f, out, nil
}

// Row is how a policy fares in a scenario.
type Row struct {
	Scenario, Policy string
	Goodput          float64
	// Less and More bound what the first policy's goodput is above this one's, by seed (95 %, paired bootstrap).
	Less, More float64
	P99Ms      float64
	// Worth is the mean, Lost the part of the servers' work that was for nobody, BackS the mean seconds to be back after
	// troubles (a run that was not back by its end counts as its length), Tenant what the worst-served one got.
	Worth, Lost, BackS, Tenant float64
	Breaches                   int
	Falls                      int
	// InAim is the part of operations that were served within their aim, Attempts those sent for one; of a graph Deepest
	// is the attempts at the last hop for one call at the top, Times that as a multiple of what it is without trouble.
	InAim, Attempts, Deepest, Times float64
}

// Table compares each policy with the experiment's first.
func (e *Experiment) Table(results []*emulator.Result) []Row {
	by := map[[2]string][]*emulator.Result{}
	for _, r := range results {
		k := [2]string{r.Scenario, r.Policy}
		by[k] = append(by[k], r)
	}
	var out []Row
	for i := range e.Scenario {
		first := by[[2]string{e.Scenario[i].Name, e.Policies[0]}]
		for _, p := range e.Policies {
			list := by[[2]string{e.Scenario[i].Name, p}]
			row := Row{Scenario: e.Scenario[i].Name, Policy: p}
			diff := make([]float64, len(list))
			by := func(r *emulator.Result) float64 {
				if e.By == "worth" {
					return r.WeightedGoodput
				}
				return r.Goodput
			}
			for k, r := range list {
				row.Goodput += r.Goodput / float64(len(list))
				row.P99Ms += r.P99Ms / float64(len(list))
				row.Falls += r.Overloads
				n := float64(len(list))
				row.InAim += float64(r.WithinObjective) / float64(max(r.Ops, 1)) / n
				row.Attempts += float64(r.Attempts) / float64(max(r.Ops, 1)) / n
				if r.Path != nil {
					row.Deepest, row.Times = row.Deepest+r.Path.DeepestAttempts/n, row.Times+r.Path.Amplification/n
				}
				row.Worth, row.Lost = row.Worth+r.WeightedGoodput/n, row.Lost+r.WastedWork/n
				back := float64(r.RecoveryS)
				if back < 0 {
					back = e.Scenario[i].Seconds
				}
				row.BackS += back / n
				worst := 1.0
				for _, x := range r.Tenants {
					worst = min(worst, x)
				}
				row.Tenant += worst / n
				for _, n := range r.Violations {
					row.Breaches += n
				}
				diff[k] = by(first[k]) - by(r)
			}
			row.Less, row.More = bootstrap(diff)
			out = append(out, row)
		}
	}
	return out
}

// bootstrap is the 95 % interval of a mean.
func bootstrap(v []float64) (less, more float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(v))))
	means := make([]float64, resamples)
	for i := range means {
		for range v {
			means[i] += v[rng.IntN(len(v))] / float64(len(v))
		}
	}
	slices.Sort(means)
	return means[resamples/40], means[resamples-1-resamples/40]
}

// Print writes a table, a line a policy.
func Print(w io.Writer, rows []Row) {
	last := ""
	for _, r := range rows {
		if r.Scenario != last {
			fmt.Fprintf(w, "\n%-24s %8s %8s  %-20s %9s %7s %6s %6s %9s %6s %7s %8s %8s %6s\n", r.Scenario, "goodput", "worth", "first's lead, 95 %", "p99 ms",
				"tenant", "lost", "back s", "breaches", "falls", "in aim", "attempts", "deepest", "times")
			last = r.Scenario
		}
		deep := ""
		if r.Times > 0 {
			deep = fmt.Sprintf(" %8.3f %6.2f", r.Deepest, r.Times)
		}
		fmt.Fprintf(w, "  %-22s %8.4f %8.4f  %+.4f to %+.4f   %9.1f %7.3f %6.3f %6.1f %9d %6d %7.4f %8.3f%s\n", r.Policy, r.Goodput, r.Worth, r.Less, r.More,
			r.P99Ms, r.Tenant, r.Lost, r.BackS, r.Breaches, r.Falls, r.InAim, r.Attempts, deep)
	}
}
