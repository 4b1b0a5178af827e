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

// keeperRig starts n keepers and waits until one leads.
func keeperRig(ctx context.Context, n int, leaseMs float64, defect string) (*cluster.Cluster, func(), error) {
	return keeperRigOf(ctx, n, leaseMs, 0, defect)
}

// keeperRigOf is keeperRig of keepers with another tick than the default.
func keeperRigOf(ctx context.Context, n int, leaseMs, tickMs float64, defect string) (*cluster.Cluster, func(), error) {
	bin, err := cluster.Build(ctx)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "ringtrack-keepers")
	if err != nil {
		return nil, nil, err
	}
	c := cluster.New(dir, bin, leaseMs)
	c.TickMs = tickMs
	end := func() { c.Close(); os.RemoveAll(dir) }
	if err := c.AddReplicas(n); err != nil {
		end()
		return nil, nil, err
	}
	for _, k := range c.Replicas {
		if defect != "" {
			k.Env = append(k.Env, "RINGTRACK_LAB_DEFECT="+defect)
		}
		if err := k.Start(); err != nil {
			end()
			return nil, nil, err
		}
	}
	if err := cluster.Until(ctx, "a keeper leads", 20*time.Second, func() bool { p, _ := c.Leader(ctx); return p != nil }); err != nil {
		end()
		return nil, nil, err
	}
	return c, end, nil
}

// ReplicaKills kills keepers under publishing: the log always opens, nothing acknowledged is lost, and the next publish is
// taken soon.
func ReplicaKills(ctx context.Context, o *Options) (*Report, error) {
	defect := ""
	if o.Defect {
		defect = "no-sync"
	}
	c, end, err := keeperRig(ctx, 3, 300, defect)
	if err != nil {
		return nil, err
	}
	defer end()
	r := &Report{Proof: "keeper-kills", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	kills := o.scaled(1000, 6)
	var took []time.Duration
	var parent uint64
	digests := map[uint64]string{}
	publish := func() error {
		b := &sharedconfig.Config{Cordoned: []string{fmt.Sprintf("s-%d", parent)}}
		id := fmt.Sprintf("p-%d", parent)
		return cluster.Until(ctx, "a publish is taken", 20*time.Second, func() bool {
			for _, i := range rng.Perm(len(c.Replicas)) {
				try, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
				out, err := c.Publish(try, c.Replicas[i], id, parent, b)
				cancel()
				if err == nil {
					if out.Number != parent+1 {
						r.short("publish %d has number %d", parent+1, out.Number)
					}
					parent, digests[out.Number] = out.Number, out.Digest
					return true
				}
				if f := (*client.StatusError)(nil); errors.As(err, &f) && f.Status == http.StatusConflict {
					r.short("publish behind %d: %v", parent, err)
					return true
				}
			}
			return false
		})
	}
	for n := 0; n < kills && len(r.Failures) == 0; n++ {
		if err := publish(); err != nil {
			r.short("after %d kills: %v", n, err)
			break
		}
		// The one that leads, mostly; and now and then all of them, or the power for all.
		victims := []*cluster.Process{c.Replicas[rng.IntN(3)]}
		if lead, _ := c.Leader(ctx); lead != nil && rng.IntN(2) == 0 {
			victims[0] = lead
		}
		if rng.IntN(20) == 0 {
			victims = c.Replicas
		}
		// Under publishing: one is on its way as it dies.
		var on sync.WaitGroup
		on.Go(func() {
			try, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			c.Publish(try, victims[0], fmt.Sprintf("p-%d", parent), parent, &sharedconfig.Config{Cordoned: []string{fmt.Sprintf("s-%d", parent)}})
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
		on.Wait()
		from := time.Now()
		for _, v := range victims {
			if err := v.Start(); err != nil {
				return nil, err
			}
		}
		if err := publish(); err != nil {
			r.short("after %d kills: %v", n+1, err)
			break
		}
		took = append(took, time.Since(from))
		for _, k := range c.Replicas {
			if !k.Runs() {
				r.short("%s does not run: %s", k.Name, lastLine(k.Log()))
			}
		}
		if n%100 == 99 {
			o.logf("%d kills, %d versions", n+1, parent)
		}
	}
	var h client.HistoryResponse
	if err := cluster.Until(ctx, "the history is told", 20*time.Second, func() bool {
		h = client.HistoryResponse{}
		lead, _ := c.Leader(ctx)
		return lead != nil && c.Call(ctx, lead, client.PathHistory, nil, &h) == nil
	}); err != nil {
		r.short("%v", err)
	}
	for _, v := range h.Versions {
		if want := digests[v.Number]; want != "" && want != v.Digest {
			r.short("version %d was acknowledged as %s and is %s", v.Number, want, v.Digest)
		}
	}
	if last := h.Dropped + uint64(len(h.Versions)); last < parent {
		r.short("version %d was acknowledged, the last is %d", parent, last)
	}
	slices.Sort(took)
	r.add("kills", float64(len(took)), "")
	r.add("versions", float64(parent), "")
	r.add("next publish p50", millis(percentile(took, 0.5)), " ms")
	r.add("p99", millis(percentile(took, 0.99)), " ms")
	r.add("max", millis(percentile(took, 1)), " ms")
	return r, nil
}

// idle is a holder that does nothing.
type idle struct{ stage atomic.Uint64 }

func (i *idle) Adopt(_ context.Context, stage uint64, _ *sharedconfig.Config, _, _ time.Time) error {
	i.stage.Store(stage)
	return nil
}
func (*idle) Renew(context.Context, time.Time, time.Time) {}

// AgreedSize measures, with many holders, how long a publish takes until it is in force and what the keepers use; and
// what comes at the others where the keeper dies that all asked.
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
	c, end, err := keeperRig(ctx, 3, 2000, "")
	if err != nil {
		return err
	}
	defer end()
	holders, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer func() { cancel(); wg.Wait() }()
	var all []*client.Renewer
	acts := make([]*idle, n)
	cfg := &client.Config{CallMs: 400, WaitMs: 500}
	for _, k := range c.Replicas {
		cfg.Replicas = append(cfg.Replicas, k.Addr)
	}
	for i := range n {
		acts[i] = &idle{}
		l := client.New(cfg, fmt.Sprintf("h%d", i), acts[i])
		all = append(all, l)
		wg.Go(func() { l.Run(holders) })
	}
	asks := func() (sum int64) {
		for _, l := range all {
			sum += l.Stats().Renewals.Load()
		}
		return sum
	}
	if err := cluster.Until(ctx, "all hold", 30*time.Second, func() bool {
		for _, l := range all {
			if l.Remaining() == 0 {
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
	from, before, used := time.Now(), asks(), cpu()
	time.Sleep(time.Duration(o.scaled(5000, 500)) * time.Millisecond)
	span := time.Since(from).Seconds()
	name := fmt.Sprintf("%d holders: ", n)
	r.add(name+"asks", float64(asks()-before)/span, " a s")
	r.add("CPU of 3 keepers", 100*(cpu()-used)/span, " % of a core")
	var took []time.Duration
	for v := range uint64(o.scaled(40, 3)) {
		from := time.Now()
		if _, err := c.Publish(ctx, c.Replicas[0], fmt.Sprintf("v%d", v), v, &sharedconfig.Config{Cordoned: []string{fmt.Sprint("s", v)}}); err != nil {
			return err
		}
		if err := cluster.Until(ctx, "all have it", 20*time.Second, func() bool {
			for _, a := range acts {
				if a.stage.Load() < sharedconfig.EpochOf(v+1) {
					return false
				}
			}
			return true
		}); err != nil {
			r.short("%d holders: %v", n, err)
			return nil
		}
		took = append(took, time.Since(from))
	}
	slices.Sort(took)
	r.add("in force p50", millis(percentile(took, 0.5)), " ms")
	r.add("p99", millis(percentile(took, 0.99)), " ms")
	if n >= 300 && o.Scale >= 1 && !o.Defect && percentile(took, 0.99) > 2*time.Second {
		r.short("%d holders: in force after %v at p99", n, percentile(took, 0.99))
	}
	// The leader dies: the others get all of its holders, spread over their pauses.
	lead, _ := c.Leader(ctx)
	if lead == nil {
		return errors.New("no keeper leads")
	}
	lead.Kill()
	peak := int64(0)
	for last, at := asks(), time.Now(); time.Since(at) < 2*time.Second; {
		time.Sleep(100 * time.Millisecond)
		now := asks()
		peak, last = max(peak, now-last), now
	}
	r.add("asks in the busiest 100 ms behind the leader's end", float64(peak), "")
	if most := int64(3*n + 20); peak > most || o.Defect {
		r.short("%d holders: %d asks in 100 ms, %d at the most", n, peak, most)
	}
	return nil
}
