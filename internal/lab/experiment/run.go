package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"ringtrack.example/ringtrack/internal/emulator"
)

// runKey identifies a run of an experiment.
type runKey struct {
	scenario int
	policy   string
	seed     uint64
}

// runKeys returns all runs, seed by seed, so that the results of a stopped experiment cover all scenarios.
func (e *Experiment) runKeys() []runKey {
	var out []runKey
	for k := range e.Seeds {
		seed := e.FirstSeed + uint64(k)
		for i := range e.Scenarios {
			for _, p := range e.Policies {
				out = append(out, runKey{i, p, seed})
			}
		}
	}
	return out
}

// runner executes the runs of an experiment that have no result yet.
type runner struct {
	experiment *Experiment
	total      int
	progress   func(done, total int)
	cancel     context.CancelFunc

	mu      sync.Mutex
	file    *os.File
	results map[runKey]*emulator.Result
	err     error // the first one
}

// Run executes the runs that the directory has no result of, and returns all results in the order of
// scenarios and policies, seed by seed. progress is called after each run, by one goroutine at a time; it may
// be nil. A run that was begun is completed when the context is done.
func (e *Experiment) Run(
	ctx context.Context, dir string, progress func(done, total int),
) ([]*emulator.Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	file, earlier, err := e.openResults(filepath.Join(dir, resultsFile))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keys := e.runKeys()
	r := &runner{
		experiment: e,
		total:      len(keys),
		progress:   progress,
		cancel:     cancel,
		file:       file,
		results:    e.byKey(earlier),
	}
	r.runMissing(ctx, keys)
	if r.err != nil {
		return nil, r.err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	out := make([]*emulator.Result, len(keys))
	for i, key := range keys {
		out[i] = r.results[key]
	}
	return out, nil
}

// byKey returns results by their run.
func (e *Experiment) byKey(results []*emulator.Result) map[runKey]*emulator.Result {
	scenarios := map[string]int{}
	for i := range e.Scenarios {
		scenarios[e.Scenarios[i].Name] = i
	}
	out := map[runKey]*emulator.Result{}
	for _, r := range results {
		out[runKey{scenarios[r.Scenario], r.Policy, r.Seed}] = r
	}
	return out
}

// runMissing executes the runs without a result on all cores until the context is done, and waits for their
// ends.
func (r *runner) runMissing(ctx context.Context, keys []runKey) {
	var missing []runKey
	for _, key := range keys {
		if r.results[key] == nil {
			missing = append(missing, key)
		}
	}
	queue := make(chan runKey)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for key := range queue {
				r.run(key)
			}
		})
	}
	enqueue(ctx, queue, missing)
	close(queue)
	workers.Wait()
}

// enqueue sends keys until the context is done.
func enqueue(ctx context.Context, queue chan<- runKey, keys []runKey) {
	for _, key := range keys {
		select {
		case queue <- key:
		case <-ctx.Done():
			return
		}
	}
}

// run executes a run and appends its result to the file; it is called by several goroutines. The first error
// ends the experiment.
func (r *runner) run(key runKey) {
	scenario := &r.experiment.Scenarios[key.scenario]
	result, err := emulator.Run(scenario, policyByName(key.policy), key.seed)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		err = appendLine(r.file, result)
	}
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("experiment: %s, %s, seed %d: %w", scenario.Name, key.policy, key.seed, err)
		r.cancel()
	}
	r.results[key] = result
	if r.progress != nil {
		r.progress(len(r.results), r.total)
	}
}
