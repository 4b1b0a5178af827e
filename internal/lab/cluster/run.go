package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab"
)

const (
	// Second words of the seeds of a run's generators, by which these differ.
	bitFlipSeedStream = 7
	serverSeedStream  = 5
	publishSeedStream = 99

	relayingAgents    = 2 // peers that may relay an agent's renewals
	maxErrors         = 20
	agentStartTimeout = 30 * time.Second
	runMargin         = time.Minute // beyond the run time, for the start and the end of a run
	watchInterval     = 10 * time.Millisecond
	// resumedSendingTime is the time within which a resumed agent may send what it checked before the stop.
	resumedSendingTime = 50 * time.Millisecond

	clockOffsetMs = 3_600_000
	clockDrift    = 0.019 // just below lease.MaxClockDrift
)

// Outcome is the result of a run.
type Outcome struct {
	Verdict
	PausedSenders                              int      // violations by agents stopped between check and send
	Lost                                       []string // acknowledged versions that are missing or changed
	Versions                                   int
	PublishLatencies                           []time.Duration // from publish until in force, sorted
	NotInForce                                 int             // versions that were never in force
	RetriedPublishes                           int             // publishes whose first attempt failed
	Served, Rejected, Failed, Unanswered, Late int64
	Replaced                                   int               // replicas
	Errors                                     []string          // including unexpected exits of processes
	Logs                                       map[string]string // by process
}

// Failing reports whether the run violated an invariant or had an error.
func (o *Outcome) Failing() bool {
	return len(o.Violations) > 0 || len(o.Lost) > 0 || len(o.Errors) > 0
}

// runner is the state of one run.
type runner struct {
	cluster *Cluster
	traffic *Traffic
	plan    *Plan
	rng     *rand.Rand // of bit flips
	wg      sync.WaitGroup

	mu      sync.Mutex
	outcome *Outcome

	abort context.CancelFunc // ends the schedule early: results after a failed replacement have no meaning
}

// fail records an error of the run.
func (r *runner) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.outcome.Errors) < maxErrors {
		r.outcome.Errors = append(r.outcome.Errors, fmt.Sprintf(format, args...))
	}
}

// Run runs a plan in a directory. The outcome may be non-nil even if there is an error: then it contains the
// logs.
func Run(ctx context.Context, dir string, p *Plan) (*Outcome, error) {
	runTime := time.Duration(p.RunMs) * time.Millisecond
	ctx, cancelAll := context.WithTimeout(ctx, runTime+runMargin)
	defer cancelAll()
	r, end, err := start(ctx, dir, p)
	defer end()
	if err != nil {
		return r.outcome, err
	}
	for _, replica := range r.cluster.Replicas {
		if err := replica.Backup(r.backupDir(replica)); err != nil {
			return nil, err
		}
	}
	r.startTraffic(ctx)
	run, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	r.abort = cancel
	r.wg.Go(func() { r.watchInForce(run) })
	r.wg.Go(func() { r.failServers(run) })
	published := make(chan []publication, 1)
	r.wg.Go(func() { published <- r.publish(run) })
	r.injectFaults(ctx, run)
	if err := r.cluster.Heal(); err != nil {
		r.fail("undoing all faults: %v", err)
	}
	r.wg.Wait()
	r.settle(ctx, <-published)
	r.traffic.Close()
	r.finish()
	return r.outcome, nil
}

// start starts the cluster of a plan and waits until its agents are ready. The caller has to call end, also
// after an error.
func start(ctx context.Context, dir string, p *Plan) (r *runner, end func(), err error) {
	r = &runner{
		plan:    p,
		outcome: &Outcome{},
		rng:     rand.New(rand.NewPCG(p.Seed, bitFlipSeedStream)),
		abort:   func() {},
	}
	end = func() {}
	bin, err := Build(ctx)
	if err != nil {
		return r, end, err
	}
	c := New(dir, bin, p.LeaseMs)
	t, err := NewTraffic(p.Servers)
	if err != nil {
		return r, c.Close, err
	}
	r.cluster, r.traffic = c, t
	end = func() {
		t.Close()
		c.Close()
	}
	if err := c.AddReplicas(p.Replicas); err != nil {
		return r, end, err
	}
	if err := t.AddAgents(c, p.Agents, relayingAgents, client.OnExpiryReject); err != nil {
		return r, end, err
	}
	return r, end, r.startProcesses(ctx)
}

// startProcesses starts all processes and waits until the agents are ready.
func (r *runner) startProcesses(ctx context.Context) error {
	for i, p := range slices.Concat(r.cluster.Replicas, r.cluster.Agents) {
		if r.plan.Defect != "" {
			p.Env = append(p.Env, "RINGTRACK_LAB_DEFECT="+r.plan.Defect)
		}
		// Clocks differ by hours, and drift by almost the permitted maximum.
		skew := i%3 - 1
		p.Env = append(p.Env, fmt.Sprintf("RINGTRACK_LAB_CLOCK=%d %v", skew*clockOffsetMs, 1+clockDrift*float64(skew)))
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, agent := range r.cluster.Agents {
		if err := AwaitReady(ctx, agent, agentStartTimeout); err != nil {
			r.outcome.Logs = r.logs()
			return err
		}
	}
	return nil
}

func (r *runner) startTraffic(ctx context.Context) {
	pause := time.Duration(r.plan.PauseMs) * time.Millisecond
	r.traffic.StartClients(ctx, r.cluster.Agents, pause, r.plan.Seed)
}

// backupDir returns the directory to which a replica's data directory is copied at the start.
func (r *runner) backupDir(replica *Process) string {
	return filepath.Join(r.cluster.Dir, "start-"+replica.Name)
}

func (r *runner) logs() map[string]string {
	logs := map[string]string{}
	for _, p := range r.cluster.processes() {
		logs[p.Name] = p.Log()
	}
	return logs
}

// watchInForce records the epochs that the leader reports in force until ctx is done.
func (r *runner) watchInForce(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Now()
		if _, s := r.cluster.Leader(ctx); s != nil && len(s.BlockedBy) == 0 {
			r.traffic.Attempts.InForce(s.Epoch, at)
		}
		time.Sleep(watchInterval)
	}
}

// failServers makes one server after another fail, so that agents retry requests.
func (r *runner) failServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, serverSeedStream))
	for ctx.Err() == nil {
		s := pick(rng, r.traffic.Servers)
		s.Set(pick(rng, []lab.Mode{lab.Failing, lab.ResetAfterRun}))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		}
		s.Set(lab.Serving)
	}
}

// finish checks the recorded attempts and completes the outcome.
func (r *runner) finish() {
	o, t := r.outcome, r.traffic
	o.Verdict = t.Attempts.Check()
	o.PublishLatencies, o.NotInForce = t.Attempts.PublishLatencies()
	r.separatePausedSenders()
	o.Served = t.Served.Load()
	o.Rejected = t.Rejected.Load()
	o.Failed = t.Failed.Load()
	o.Unanswered = t.Unanswered.Load()
	o.Late = t.Late.Load()
	if o.Failing() {
		o.Logs = r.logs()
	}
}

// separatePausedSenders counts violations by agents that had just been resumed apart from the others. An
// agent that is stopped between its last check and the write sends the request when it is resumed; checking
// its clock can't prevent that.
func (r *runner) separatePausedSenders() {
	agents := map[string]*Process{}
	for _, agent := range r.cluster.Agents {
		agents[agent.Name] = agent
	}
	r.outcome.Violations = slices.DeleteFunc(r.outcome.Violations, func(v Violation) bool {
		since := agents[agentOf(v.Op)].sinceResumed(v.At)
		justResumed := since >= 0 && since < resumedSendingTime
		if justResumed {
			r.outcome.PausedSenders++
		}
		return justResumed
	})
}
