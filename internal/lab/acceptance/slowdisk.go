package acceptance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// ReplicaSlowDisk publishes while the disks of keepers, in turn that of the leader, of the others and of all, take 36
// ticks (900 ms) longer for each sync: nobody is dead, so the leader stays, and each publish is taken.
func ReplicaSlowDisk(ctx context.Context, o *Options) (*Report, error) {
	tick := 25.0
	if o.Scale < 0.1 { // beside CI's other work a keeper may be without a core for 0.4 s
		tick = 40
	}
	slow := int(36 * tick) // a follower asks for votes after 16 to 32 ticks without a word
	defect := ""
	if o.Defect {
		defect = "loop-waits"
	}
	c, end, err := keeperRigOf(ctx, 5, 1000, tick, defect)
	if err != nil {
		return nil, err
	}
	defer end()
	r := &Report{Proof: "keeper-slow-disk", Seed: o.Seed, Scale: o.Scale}
	lead, status := c.Leader(ctx)
	if lead == nil {
		return nil, fmt.Errorf("no keeper leads")
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
			words := ""
			if turn := n % 3; turn == 2 || (k == lead) == (turn == 0) {
				words = fmt.Sprintf("sync-ms %d", slow)
			}
			if err := k.SetDiskFault(words); err != nil {
				return nil, err
			}
		}
		from := time.Now()
		if err := cluster.Until(ctx, "a publish is taken", 20*time.Second, func() bool {
			for _, k := range c.Replicas {
				try, cancel := context.WithTimeout(ctx, 2*time.Second)
				out, err := c.Publish(try, k, fmt.Sprintf("p-%d", n), n, &sharedconfig.Config{Cordoned: []string{fmt.Sprint("s-", n)}})
				cancel()
				if err == nil {
					if out.Number != n+1 {
						r.short("publish %d has number %d", n+1, out.Number)
					}
					return true
				}
			}
			return false
		}); err != nil {
			r.short("publish %d: %v", n+1, err)
			break
		}
		took = append(took, time.Since(from))
	}
	if err := cluster.Until(ctx, "a keeper leads", 20*time.Second, func() bool { p, _ := c.Leader(ctx); return p != nil }); err != nil {
		r.short("%v", err)
	}
	elections := terms()
	slices.Sort(took)
	r.add("publishes", float64(len(took)), "")
	r.add("elections", float64(elections), "")
	r.add("taken p50", millis(percentile(took, 0.5)), " ms")
	r.add("max", millis(percentile(took, 1)), " ms")
	if elections > 0 {
		r.short("%d elections, and no keeper was dead", elections)
	}
	return r, nil
}
