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
	// slowSyncMs is what each sync of a keeper takes, ms. Longest writes of 0.41 s were seen on a machine at load 45.
	slowSyncMs = 300
	// smallTickMs and smallSyncMs are those of the smallest form: beside CI's other work a keeper may be without a core
	// for 0.4 s, so its election times (16 to 32 ticks) are longer, and a sync is longer than all but the longest of them.
	smallTickMs, smallSyncMs = 40, 28 * smallTickMs
)

// slowDisks has the changes of a healthy deployment of the aimed size, and of those of its days that bring changes, come
// in force while each sync of each keeper is slow, and tells for each how long they took and how many terms of keepers
// began. Nobody is dead for a slow disk alone, so where no keeper is lost or cut off no term begins. The processes are of
// the lab's build; its defect is the keepers' loop as it was before there was a writer beside it.
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
	rig.logElections(ctx, fmt.Sprintf("up to %d agents, disks not slow", n))
	if err := rig.setSlowDisks(true); err != nil {
		return nil, err
	}
	idle, err := rig.measureIdle(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range slices.Concat([]controlPhase{{"healthy", 0, (*controlRig).healthy}}, controlPhases) {
		if p.name == "start" { // it brings no change
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
			r.addShort("%s: %.0f terms of keepers began, and none was dead", p.name, after-before)
		}
		if o.Scale < smokeScale {
			break
		}
		if runErr != nil {
			if err := rig.restore(ctx); err != nil {
				r.addShort("behind %s: %v", p.name, err)
				rig.logElections(ctx, "behind "+p.name)
				break // what was measured so far is told all the same
			}
			r.add("until all was well again, disks not slow meanwhile", time.Since(from).Seconds(), "s")
		}
	}
	return r, ctx.Err()
}

// untilTerm is a context that ends with a term behind the given one: the smallest form is over then.
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

// quiet measures a stretch in which nothing changes.
func (r *controlRig) measureIdle(ctx context.Context) (*sizeCost, error) {
	a := r.takeSnapshot()
	if err := sleep(ctx, time.Duration(max(8*r.o.Scale, 0.1)*float64(time.Second))); err != nil {
		return nil, err
	}
	b := r.takeSnapshot()
	return &sizeCost{rate: r.rate(&a, &b)}, nil
}

// healthy has some changes come in force while nothing is gone.
func (r *controlRig) healthy(ctx context.Context, rep *Report, _ *sizeCost) error {
	latencies, err := r.publishChanges(ctx, r.o.scaled(10, 1), r.Replicas, r.names(nil))
	if len(latencies) > 0 {
		r.reportLatencies(rep, "healthy", latencies)
	}
	return err
}

// disks has the keepers' disks be slow from now on, or not.
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

// recover brings all that is gone or cut off back while disks are not slow, until all agents have the last version, and
// then has the disks be slow again.
func (r *controlRig) restore(ctx context.Context) error {
	if err := r.Heal(); err != nil {
		return err
	}
	if err := cluster.Until(ctx, "the keepers are back", 30*time.Second, func() bool { return r.replicasReached(ctx, r.Replicas, sharedconfig.EpochOf(r.version)) }); err != nil {
		return err
	}
	if _, err := r.awaitEpoch(ctx, r.names(nil), sharedconfig.EpochOf(r.version), time.Now(), 60*time.Second); err != nil {
		return err
	}
	return r.setSlowDisks(true)
}
