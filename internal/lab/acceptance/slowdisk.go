package acceptance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// ReplicaSlowDisk publishes while the disks of replicas, in turn that of the leader, of the others and of
// all, take 36 ticks (900 ms) longer for each sync: no replica is dead, so the leader stays, and each publish
// is accepted.
func ReplicaSlowDisk(ctx context.Context, o *Options) (*Report, error) {
	tick := 25.0
	if o.Scale < 0.1 { // on a busy CI machine a replica may get no core for 0.4 s
		tick = 40
	}
	syncMs := int(36 * tick) // a follower campaigns after 16 to 32 ticks without a message
	defect := ""
	if o.Defect {
		defect = "loop-waits"
	}
	c, cleanup, err := startReplicasWithTick(ctx, 5, 1000, tick, defect)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	r := &Report{Proof: "keeper-slow-disk", Seed: o.Seed, Scale: o.Scale}
	leader, status := c.Leader(ctx)
	if leader == nil {
		return nil, fmt.Errorf("no replica leads")
	}
	first := status.Term
	terms := func() uint64 {
		if _, s := c.Leader(ctx); s != nil {
			return s.Term - first
		}
		return 0
	}
	var took []time.Duration
	for n := range uint64(o.scaled(60, 1)) {
		if terms() > 0 {
			break
		}
		for _, k := range c.Replicas {
			fault := ""
			if phase := n % 3; phase == 2 || (k == leader) == (phase == 0) {
				fault = fmt.Sprintf("sync-ms %d", syncMs)
			}
			if err := k.SetDiskFault(fault); err != nil {
				return nil, err
			}
		}
		from := time.Now()
		if err := cluster.Until(ctx, "a publish is accepted", 20*time.Second, func() bool {
			for _, k := range c.Replicas {
				callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				out, err := c.Publish(callCtx, k, fmt.Sprintf("p-%d", n), n, &sharedconfig.Config{Cordoned: []string{fmt.Sprint("s-", n)}})
				cancel()
				if err == nil {
					if out.Number != n+1 {
						r.fail("publish %d has number %d", n+1, out.Number)
					}
					return true
				}
			}
			return false
		}); err != nil {
			r.fail("publish %d: %v", n+1, err)
			break
		}
		took = append(took, time.Since(from))
	}
	if err := cluster.Until(ctx, "a replica leads", 20*time.Second, func() bool { p, _ := c.Leader(ctx); return p != nil }); err != nil {
		r.fail("%v", err)
	}
	elections := terms()
	slices.Sort(took)
	r.add("publishes", float64(len(took)), "")
	r.add("elections", float64(elections), "")
	r.add("taken p50", millis(percentile(took, 0.5)), " ms")
	r.add("max", millis(percentile(took, 1)), " ms")
	if elections > 0 {
		r.fail("%d elections although no replica was dead", elections)
	}
	return r, nil
}
