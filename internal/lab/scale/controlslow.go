package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

const (
	// slowSyncMs is what is added to each sync of a replica. On a machine at load 45 the longest writes seen
	// took 0.41 s.
	slowSyncMs = 300
	// smallTickMs and smallSyncMs are used below smokeScale. Next to CI's other work a replica may be without
	// a core for 0.4 s, so its election timeouts (16 to 32 ticks) are longer, and a sync is longer than all
	// but the longest of these timeouts.
	smallTickMs, smallSyncMs = 40, 28 * smallTickMs
)

// measureSlowDisks publishes changes while each sync of each replica is slow: in a healthy deployment of the
// target size, and in the phases that publish changes. It reports how long the changes took and how many new
// terms began. A slow disk alone must not make a replica appear dead, so no term may begin in phases that
// neither kill nor partition replicas. The processes are of the lab build; the defect is a replica whose
// event loop waits for the disk, as it did before writes moved to a goroutine of their own.
func measureSlowDisks(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Test: "control, slow disks", Seed: o.Seed, Scale: o.Scale}
	times, defect := o.times(), ""
	times.syncDelayMs = slowSyncMs
	if o.Scale < smokeScale {
		times.tickMs, times.syncDelayMs = smallTickMs, smallSyncMs
	}
	if o.Defect {
		defect = defectLoopWaits
	}
	rig, err := newControlRig(ctx, o, defect, times)
	if err != nil {
		return nil, err
	}
	defer rig.stop()
	n := o.scaled(targetAgents, 18)
	if err := rig.grow(ctx, n, o.scaled(10, 1)); err != nil {
		return nil, err
	}
	rig.logElections(ctx, fmt.Sprintf("growth to %d agents, disks not slow", n))
	if err := rig.setSlowDisks(true); err != nil {
		return nil, err
	}
	idle, err := rig.measureIdle(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range slices.Concat([]controlPhase{{"healthy", 0, (*controlRig).healthy}}, controlPhases) {
		if p.name == "start" { // publishes no changes
			continue
		}
		before, err := rig.highestTerm(ctx)
		if err != nil {
			return nil, err
		}
		phase, stopWatch := ctx, func() {}
		if o.Scale < smokeScale {
			phase, stopWatch = rig.cancelOnNewTerm(ctx, before)
		}
		runErr, from := p.run(rig, phase, r, idle), time.Now()
		stopWatch()
		if runErr != nil {
			r.addShort("%s: %v", p.name, runErr)
		}
		after, err := rig.highestTerm(ctx)
		if err != nil {
			return nil, err
		}
		electionCount := rig.logElections(ctx, p.name)
		r.add(p.name+": terms of keepers that began", after-before, "")
		r.add("elections that keepers told of", float64(electionCount), "")
		if after > before && p.name != "region" && p.name != "keepers" {
			r.addShort("%s: %.0f new terms began although no replica was down", p.name, after-before)
		}
		if o.Scale < smokeScale {
			break
		}
		if runErr != nil {
			if err := rig.restore(ctx); err != nil {
				r.addShort("after %s: %v", p.name, err)
				rig.logElections(ctx, "after "+p.name)
				break // report what was measured so far
			}
			r.add("until all was well again, disks not slow meanwhile", time.Since(from).Seconds(), "s")
		}
	}
	return r, ctx.Err()
}

// cancelOnNewTerm returns a context that is cancelled when a later term begins, which ends the smallest form.
func (r *controlRig) cancelOnNewTerm(ctx context.Context, before float64) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() {
		for ctx.Err() == nil {
			if now, err := r.highestTerm(ctx); err == nil && now > before {
				cancel()
			}
			sleep(ctx, 50*time.Millisecond)
		}
	})
	return ctx, func() { cancel(); watch.Wait() }
}

// measureIdle measures an interval without changes.
func (r *controlRig) measureIdle(ctx context.Context) (*sizeCost, error) {
	a := r.takeSnapshot()
	if err := sleep(ctx, time.Duration(max(8*r.o.Scale, 0.1)*float64(time.Second))); err != nil {
		return nil, err
	}
	b := r.takeSnapshot()
	return &sizeCost{rate: r.rate(&a, &b)}, nil
}

// healthy publishes some changes while all parts run.
func (r *controlRig) healthy(ctx context.Context, rep *Report, _ *sizeCost) error {
	latencies, err := r.publishChanges(ctx, r.o.scaled(10, 1), r.Replicas, r.names(nil))
	if len(latencies) > 0 {
		r.reportLatencies(rep, "healthy", latencies)
	}
	return err
}

// setSlowDisks makes the disks of all replicas slow, or normal again.
func (r *controlRig) setSlowDisks(slow bool) error {
	fault := ""
	if slow {
		fault = fmt.Sprintf("sync-ms %d", r.times.syncDelayMs)
	}
	var errs []error
	for _, replica := range r.Replicas {
		errs = append(errs, replica.SetDiskFault(fault))
	}
	return errors.Join(errs...)
}

// restore undoes all faults, including slow disks, waits until all agents have the last version, and makes
// the disks slow again.
func (r *controlRig) restore(ctx context.Context) error {
	if err := r.Heal(); err != nil {
		return err
	}
	if err := cluster.Until(ctx, "the replicas are up to date", 30*time.Second, func() bool { return r.replicasReached(ctx, r.Replicas, sharedconfig.EpochOf(r.version)) }); err != nil {
		return err
	}
	if _, err := r.awaitEpoch(ctx, r.names(nil), sharedconfig.EpochOf(r.version), time.Now(), 60*time.Second); err != nil {
		return err
	}
	return r.setSlowDisks(true)
}
