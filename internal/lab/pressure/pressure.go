// Package pressure runs one agent process beside clients that misbehave, and measures what that costs the process and
// its other clients: memory, answers that come late or never, requests that are not served.
package pressure

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Scenario is one run: an agent with its limits, a crowd of misbehaving clients, and usual clients beside them.
type Scenario struct {
	Program  string // path of the agent's program
	MemoryMB int
	Sockets  int
	Crowds   []Crowd
	Duration time.Duration // for which the crowds misbehave
	Seed     uint64
	// Thrift starts the agent with a Thrift listener and backends for it.
	Thrift bool
	// Kills is how often the agent is killed and started again under the same crowd.
	Kills int
	// BackendWork is how long a backend works on a request; 0: defaultBackendWork.
	BackendWork time.Duration
	// Stop stops the process repeatedly.
	Stop Stops
	// LongestDeadline is the longest deadline of the settings; 0: defaultLongestDeadline.
	LongestDeadline time.Duration
}

// Crowd is a number of clients that misbehave in the same way, each on a connection of its own.
type Crowd struct {
	Behavior Behavior
	Clients  int
}

// Result is what a run has measured.
type Result struct {
	PeakMemoryKB  int64 // anonymous and shared memory, without mapped files
	LimitKB       int64
	EndedByItself bool
	Clients       ClientCounts // the usual clients' requests while the crowds misbehaved
	Log           string       // of the agent
}

// Violations returns the bounds that a result exceeds. At least half of the usual clients' requests have to be served.
func (r *Result) Violations() (violations []string) {
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	if r.EndedByItself {
		add("the agent has ended by itself")
	}
	if r.PeakMemoryKB > r.LimitKB {
		add("memory %d kB, limit %d kB", r.PeakMemoryKB, r.LimitKB)
	}
	if r.Clients.Unanswered > 0 {
		add("%d requests without an answer", r.Clients.Unanswered)
	}
	if r.Clients.Late > 0 {
		add("%d answers over %v late", r.Clients.Late, lateSlack)
	}
	if r.Clients.Served < r.Clients.Total()/2 {
		add("%d of %d requests served", r.Clients.Served, r.Clients.Total())
	}
	return violations
}

func (r *Result) String() string {
	return fmt.Sprintf("memory %.1f of %d MiB, clients: %v", float64(r.PeakMemoryKB)/1024, r.LimitKB/1024, &r.Clients)
}

// Run runs a scenario.
func Run(ctx context.Context, s *Scenario) (*Result, error) {
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.agent.start(); err != nil {
		return nil, err
	}
	defer w.agent.stop()
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	counts := w.startClients(clientsCtx, &clients)
	crowdCtx, stopCrowd := context.WithCancel(ctx)
	defer stopCrowd()
	var crowd sync.WaitGroup
	w.startCrowds(crowdCtx, &crowd)
	for range s.Kills {
		sleep(ctx, s.Duration/time.Duration(s.Kills+1))
		if err := w.agent.restart(); err != nil {
			return nil, err
		}
	}
	sleep(ctx, s.Duration/time.Duration(s.Kills+1))
	stopCrowd()
	stopClients()
	clients.Wait()
	crowd.Wait()
	return &Result{
		PeakMemoryKB:  w.agent.peakMemoryKB(),
		LimitKB:       int64(s.MemoryMB) << 10,
		EndedByItself: w.agent.endedByItself(),
		Clients:       counts.total(),
		Log:           w.agent.log.String(),
	}, nil
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
