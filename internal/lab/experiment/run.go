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

// runKeys returns the keys of all runs, ordered by seed first, so that the results of a stopped experiment
// cover all scenarios and policies.
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
	err     error // the first error
}

// Run executes the runs that have no result in dir yet, and returns the results of all runs, ordered by seed,
// scenario and policy. progress, which may be nil, is called after each run, never concurrently. When the
// context is done, Run waits for the runs in progress and returns the context's error.
func (e *Experiment) Run(
	ctx context.Context, dir string, progress func(done, total int),
) ([]*emulator.Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	file, existing, err := e.openResults(filepath.Join(dir, resultsFile))
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
		results:    e.byKey(existing),
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

// byKey returns a map of the results by run.
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

// runMissing executes the runs without a result on all cores. When the context is done it starts no more, and
// waits for those in progress.
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

// enqueue sends keys to the queue until the context is done.
func enqueue(ctx context.Context, queue chan<- runKey, keys []runKey) {
	for _, key := range keys {
		select {
		case queue <- key:
		case <-ctx.Done():
			return
		}
	}
}

// run executes a run and appends its result to the file. The first error cancels the experiment. It is safe
// for concurrent use.
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
