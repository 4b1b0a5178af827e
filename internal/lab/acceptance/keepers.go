package acceptance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// startReplicas starts n replicas and waits until one leads. The returned function stops and removes them.
func startReplicas(ctx context.Context, n int, leaseMs float64, defect string) (*cluster.Cluster, func(), error) {
	return startReplicasWithTick(ctx, n, leaseMs, 0, defect)
}

// startReplicasWithTick is startReplicas with a tick length, where 0 is the default.
func startReplicasWithTick(ctx context.Context, n int, leaseMs, tickMs float64, defect string) (*cluster.Cluster, func(), error) {
	bin, err := cluster.Build(ctx)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "ringtrack-replicas")
	if err != nil {
		return nil, nil, err
	}
	c := cluster.New(dir, bin, leaseMs)
	c.TickMs = tickMs
	cleanup := func() { c.Close(); os.RemoveAll(dir) }
	if err := c.AddReplicas(n); err != nil {
		cleanup()
		return nil, nil, err
	}
	for _, k := range c.Replicas {
		if defect != "" {
			k.Env = append(k.Env, "RINGTRACK_LAB_DEFECT="+defect)
		}
		if err := k.Start(); err != nil {
			cleanup()
			return nil, nil, err
		}
	}
	if err := cluster.Until(ctx, "a replica leads", 20*time.Second, func() bool { p, _ := c.Leader(ctx); return p != nil }); err != nil {
		cleanup()
		return nil, nil, err
	}
	return c, cleanup, nil
}

// ReplicaKills kills replicas during publishes: the log always opens, nothing acknowledged is lost, and the
// next publish is accepted within 20 s.
func ReplicaKills(ctx context.Context, o *Options) (*Report, error) {
	defect := ""
	if o.Defect {
		defect = "no-sync"
	}
	c, cleanup, err := startReplicas(ctx, 3, 300, defect)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	r := &Report{Proof: "keeper-kills", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	kills := o.scaled(1000, 6)
	var took []time.Duration
	var parent uint64
	digests := map[uint64]string{}
	publish := func() error {
		cfg := &sharedconfig.Config{Cordoned: []string{fmt.Sprintf("s-%d", parent)}}
		id := fmt.Sprintf("p-%d", parent)
		return cluster.Until(ctx, "a publish is accepted", 20*time.Second, func() bool {
			for _, i := range rng.Perm(len(c.Replicas)) {
				callCtx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
				out, err := c.Publish(callCtx, c.Replicas[i], id, parent, cfg)
				cancel()
				if err == nil {
					if out.Number != parent+1 {
						r.fail("publish %d has number %d", parent+1, out.Number)
					}
					parent, digests[out.Number] = out.Number, out.Digest
					return true
				}
				if statusErr := (*client.StatusError)(nil); errors.As(err, &statusErr) && statusErr.Status == http.StatusConflict {
					r.fail("publish with parent %d: %v", parent, err)
					return true
				}
			}
			return false
		})
	}
	for n := 0; n < kills && len(r.Failures) == 0; n++ {
		if err := publish(); err != nil {
			r.fail("after %d kills: %v", n, err)
			break
		}
		// Mostly the leader; now and then all replicas at once, some by a power cut.
		victims := []*cluster.Process{c.Replicas[rng.IntN(3)]}
		if leader, _ := c.Leader(ctx); leader != nil && rng.IntN(2) == 0 {
			victims[0] = leader
		}
		if rng.IntN(20) == 0 {
			victims = c.Replicas
		}
		// A publish is in flight when the replicas are killed.
		var inFlight sync.WaitGroup
		inFlight.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			c.Publish(callCtx, victims[0], fmt.Sprintf("p-%d", parent), parent, &sharedconfig.Config{Cordoned: []string{fmt.Sprintf("s-%d", parent)}})
		})
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
		for _, v := range victims {
			if rng.IntN(2) == 0 || defect != "" {
				err = v.PowerCut(rng)
			} else {
				v.Kill()
			}
			if err != nil {
				return nil, err
			}
		}
		inFlight.Wait()
		from := time.Now()
		for _, v := range victims {
			if err := v.Start(); err != nil {
				return nil, err
			}
		}
		if err := publish(); err != nil {
			r.fail("after %d kills: %v", n+1, err)
			break
		}
		took = append(took, time.Since(from))
		for _, k := range c.Replicas {
			if !k.Runs() {
				r.fail("%s does not run: %s", k.Name, lastLine(k.Log()))
			}
		}
		if n%100 == 99 {
			o.logf("%d kills, %d versions", n+1, parent)
		}
	}
	var history client.HistoryResponse
	if err := cluster.Until(ctx, "the history is readable", 20*time.Second, func() bool {
		history = client.HistoryResponse{}
		leader, _ := c.Leader(ctx)
		return leader != nil && c.Call(ctx, leader, client.PathHistory, nil, &history) == nil
	}); err != nil {
		r.fail("%v", err)
	}
	for _, v := range history.Versions {
		if want := digests[v.Number]; want != "" && want != v.Digest {
			r.fail("version %d was acknowledged as %s and is %s", v.Number, want, v.Digest)
		}
	}
	if last := history.Dropped + uint64(len(history.Versions)); last < parent {
		r.fail("version %d was acknowledged, the last is %d", parent, last)
	}
	slices.Sort(took)
	r.add("kills", float64(len(took)), "")
	r.add("versions", float64(parent), "")
	r.add("next publish p50", millis(percentile(took, 0.5)), " ms")
	r.add("p99", millis(percentile(took, 0.99)), " ms")
	r.add("max", millis(percentile(took, 1)), " ms")
	return r, nil
}

// idleHolder is a lease holder that only records the epoch that it has adopted.
type idleHolder struct{ epoch atomic.Uint64 }

func (i *idleHolder) Adopt(_ context.Context, epoch uint64, _ *sharedconfig.Config, _, _ time.Time) error {
	i.epoch.Store(epoch)
	return nil
}
func (*idleHolder) Renew(context.Context, time.Time, time.Time) {}

// AgreedSize measures, with many lease holders, how long a publish takes until it is in force, the CPU time
// of the replicas, and the burst of requests at the others when the leader dies, which all holders polled.
func AgreedSize(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "agreed-size", Seed: o.Seed, Scale: o.Scale}
	for _, n := range []int{o.scaled(10, 2), o.scaled(300, 10), o.scaled(3000, 20)} {
		if err := agreedSize(ctx, o, r, n); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func agreedSize(ctx context.Context, o *Options, r *Report, n int) error {
	c, cleanup, err := startReplicas(ctx, 3, 2000, "")
	if err != nil {
		return err
	}
	defer cleanup()
	holdersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer func() { cancel(); wg.Wait() }()
	var renewers []*client.Renewer
	holders := make([]*idleHolder, n)
	cfg := &client.Config{CallMs: 400, WaitMs: 500}
	for _, k := range c.Replicas {
		cfg.Replicas = append(cfg.Replicas, k.Addr)
	}
	for i := range n {
		holders[i] = &idleHolder{}
		renewer := client.New(cfg, fmt.Sprintf("h%d", i), holders[i])
		renewers = append(renewers, renewer)
		wg.Go(func() { renewer.Run(holdersCtx) })
	}
	renewals := func() (sum int64) {
		for _, renewer := range renewers {
			sum += renewer.Stats().Renewals.Load()
		}
		return sum
	}
	if err := cluster.Until(ctx, "all hold a lease", 30*time.Second, func() bool {
		for _, renewer := range renewers {
			if renewer.Remaining() == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	cpu := func() (s float64) {
		for _, k := range c.Replicas {
			s += k.CPU().Seconds()
		}
		return s
	}
	from, before, cpuBefore := time.Now(), renewals(), cpu()
	time.Sleep(time.Duration(o.scaled(5000, 500)) * time.Millisecond)
	span := time.Since(from).Seconds()
	name := fmt.Sprintf("%d holders: ", n)
	r.add(name+"asks", float64(renewals()-before)/span, " a s")
	r.add("CPU of 3 keepers", 100*(cpu()-cpuBefore)/span, " % of a core")
	var took []time.Duration
	for v := range uint64(o.scaled(40, 3)) {
		from := time.Now()
		if _, err := c.Publish(ctx, c.Replicas[0], fmt.Sprintf("v%d", v), v, &sharedconfig.Config{Cordoned: []string{fmt.Sprint("s", v)}}); err != nil {
			return err
		}
		if err := cluster.Until(ctx, "all have adopted it", 20*time.Second, func() bool {
			for _, a := range holders {
				if a.epoch.Load() < sharedconfig.EpochOf(v+1) {
					return false
				}
			}
			return true
		}); err != nil {
			r.fail("%d holders: %v", n, err)
			return nil
		}
		took = append(took, time.Since(from))
	}
	slices.Sort(took)
	r.add("in force p50", millis(percentile(took, 0.5)), " ms")
	r.add("p99", millis(percentile(took, 0.99)), " ms")
	if n >= 300 && o.Scale >= 1 && !o.Defect && percentile(took, 0.99) > 2*time.Second {
		r.fail("%d holders: in force after %v at p99", n, percentile(took, 0.99))
	}
	// The leader dies: all of its holders turn to the others, spread over their retry delays.
	leader, _ := c.Leader(ctx)
	if leader == nil {
		return errors.New("no replica leads")
	}
	leader.Kill()
	peak := int64(0)
	for last, at := renewals(), time.Now(); time.Since(at) < 2*time.Second; {
		time.Sleep(100 * time.Millisecond)
		now := renewals()
		peak, last = max(peak, now-last), now
	}
	r.add("asks in the busiest 100 ms behind the leader's end", float64(peak), "")
	if bound := int64(3*n + 20); peak > bound || o.Defect {
		r.fail("%d holders: %d requests in 100 ms, %d allowed", n, peak, bound)
	}
	return nil
}
