package acceptance

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/wire"
)

// labOptions returns the options of a world with the lab's settings.
func labOptions(o *Options, servers int) (world.Options, error) {
	out := world.Options{Servers: servers, Seed: o.Seed}
	settings, err := wire.ParseSettings(service.Settings)
	if err != nil {
		return out, err
	}
	var names struct {
		Zones []string `json:"failureDomains"`
	}
	if err := json.Unmarshal(service.Settings, &names); err != nil {
		return out, err
	}
	out.Settings, out.Zones = &settings, names.Zones
	return out, nil
}

// ThriftKill makes non-idempotent calls over Thrift while servers' connections are reset at random points.
// The servers count what ran. The seeded defect is a client that retries failed calls.
func ThriftKill(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "thrift-kill", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	opts, err := labOptions(o, 6)
	if err != nil {
		return nil, err
	}
	p := world.Protocols()[1+o.Seed%6]
	w, err := world.New(p, opts)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	for _, s := range w.Servers {
		s.SetWork(2 * time.Millisecond)
	}
	calls := o.scaled(10_000, 200)
	var next, kills, unanswered atomic.Int64
	killing, stop := context.WithCancel(ctx)
	var killer sync.WaitGroup
	killer.Go(func() {
		for killing.Err() == nil {
			time.Sleep(time.Duration(rng.IntN(20_000)) * time.Microsecond)
			w.Servers[rng.IntN(len(w.Servers))].ResetConnections()
			kills.Add(1)
		}
	})
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			var c *world.Client
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			for ctx.Err() == nil && next.Add(1) <= int64(calls) {
				r := w.Request("order", 1200*time.Millisecond)
				for attempt := range 2 {
					if c == nil {
						var err error
						if c, err = w.Dial(); err != nil {
							return
						}
					}
					a, err := w.CallOn(c, r)
					if err != nil {
						unanswered.Add(1)
						c.Close()
						c = nil
					}
					if !o.Defect || err == nil && a.Outcome == lab.Served || attempt > 0 {
						break
					}
				}
			}
		})
	}
	clients.Wait()
	stop()
	killer.Wait()
	if err := w.Close(); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	broken, details := w.Ledger.Violations(time.Now().Add(time.Minute))
	t := w.Ledger.Totals
	r.add("calls", float64(calls), "")
	r.add("resets", float64(kills.Load()), "")
	r.add("served", float64(t.Served), "")
	r.add("refused", float64(t.Rejected), "")
	r.add("failed", float64(t.Failed), "")
	r.add("unanswered", float64(unanswered.Load()), "")
	r.add("ran_twice", float64(broken[2]), "")
	r.add("late_or_lost", float64(broken[1]), "")
	o.logf("protocol: %s", p.Name)
	if len(broken) > 0 {
		r.fail("rules broken %v: %v", broken, details[0])
	}
	if kills.Load() < int64(calls)/500 || t.Served < calls/2 {
		r.fail("%d resets, %d of %d calls served: too few to judge", kills.Load(), t.Served, calls)
	}
	return r, nil
}
