package pressure

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Stops are stops of the process at regular times.
type Stops struct {
	Every, For time.Duration // zero: there are none
}

// LoadResult is what a load beside crowds has measured.
type LoadResult struct {
	Result
	Load      LoadCounts
	minServed float64
}

// Violations returns the bounds that a result exceeds.
func (r *LoadResult) Violations() (violations []string) {
	if r.EndedByItself {
		violations = append(violations, "the agent has ended by itself")
	}
	if r.PeakMemoryKB > r.LimitKB {
		violations = append(violations, fmt.Sprintf("memory %d kB, limit %d kB", r.PeakMemoryKB, r.LimitKB))
	}
	if n := len(r.Load.Lost); n > 0 {
		violations = append(violations, fmt.Sprintf("%d of %d requests lost, the first: %v", n, r.Load.Sent, &r.Load.Lost[0]))
	}
	if r.Load.Refused > 0 {
		violations = append(violations, fmt.Sprintf("%d connections refused", r.Load.Refused))
	}
	if r.Load.Served < int(r.minServed*float64(r.Load.Sent)) {
		violations = append(violations, fmt.Sprintf("too few served: %v", &r.Load))
	}
	return violations
}

// RunLoad runs a load beside the crowds of a scenario.
func RunLoad(ctx context.Context, s *Scenario, load Load) (*LoadResult, error) {
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.agent.start(); err != nil {
		return nil, err
	}
	defer w.agent.stop()
	crowdCtx, stopCrowd := context.WithCancel(ctx)
	defer stopCrowd()
	var crowds, loads sync.WaitGroup
	w.startCrowds(crowdCtx, &crowds)
	loadCtx, stopLoad := context.WithTimeout(ctx, s.Duration)
	defer stopLoad()
	loaders := w.startLoads(loadCtx, &loads, []Load{load})
	w.agent.stopRepeatedly(loadCtx, s.Stop)
	loads.Wait()
	stopCrowd()
	crowds.Wait()
	result := &LoadResult{Load: loaders[0].total(), minServed: load.MinServed}
	result.PeakMemoryKB = w.agent.peakMemoryKB()
	result.LimitKB = int64(s.MemoryMB) << 10
	result.EndedByItself = w.agent.endedByItself()
	result.Log = w.agent.log.String()
	return result, nil
}

// startCrowds starts the crowds of the scenario, which misbehave until ctx ends.
func (w *world) startCrowds(ctx context.Context, running *sync.WaitGroup) {
	target := Target{HTTP: w.agent.addr, Thrift: w.agent.thriftAddr}
	for i, c := range w.scenario.Crowds {
		for n := range c.Clients {
			rng := newRand(w.scenario.Seed, uint64(i)<<32|uint64(n))
			running.Go(func() { misbehave(ctx, c.Behavior, target, rng) })
		}
	}
}

// stopRepeatedly stops the process and lets it go on, until ctx ends.
func (a *agentProcess) stopRepeatedly(ctx context.Context, stops Stops) {
	if stops.Every == 0 {
		return
	}
	for {
		sleep(ctx, stops.Every-stops.For)
		if ctx.Err() != nil {
			return
		}
		_ = a.process().Process.Signal(syscall.SIGSTOP)
		time.Sleep(stops.For)
		_ = a.process().Process.Signal(syscall.SIGCONT)
	}
}
