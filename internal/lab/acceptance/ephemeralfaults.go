package acceptance

import (
	"context"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
)

// EphemeralFaults plays a random walk of faults on the registry (sessions that end, cuts, lags, half-open and
// corrupt servers, a lost leader, flaps, all nodes gone at once) and of drains and restarts that the roster
// tells, under steady requests: the four rules hold, and the agent goes on serving. Rule 3 counts from what
// the roster tells, which a sick registry must not delay. The seeded defect is a roster that tells drains
// 400 ms late.
func EphemeralFaults(ctx context.Context, o *Options) (*Report, error) {
	const (
		servers  = 12
		capacity = 150 // requests a second, of each
		step     = 20 * time.Millisecond
	)
	r := &Report{Proof: "ephemeral-faults", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	opts, err := labOptions(o, servers)
	if err != nil {
		return nil, err
	}
	reg, err := newRegistry(3, o.Seed, "")
	if err != nil {
		return nil, err
	}
	defer reg.close()
	opts.Registry = reg.file
	w, err := world.New(world.HTTP, opts)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	for _, s := range w.Servers {
		s.SetWork(2 * time.Millisecond)
		s.Entry.StartedMs = longAgo()
		reg.put(&s.Entry)
		w.Discovery.Set(s.Entry)
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := portals(running, w, 8)
	defer client.Close()
	defer clients.Wait()
	defer stop()

	heal := func() {
		for _, s := range reg.Servers {
			s.SetDown(false)
			s.SetHalfOpen(false)
			s.SetLag(0)
			s.SetSlow(0)
			s.Corrupt(0)
		}
	}
	server := func() *zk.Server { return reg.Servers[rng.IntN(len(reg.Servers))] }
	ms := func(n int) time.Duration { return time.Duration(rng.IntN(n)) * time.Millisecond }
	faults := []func(){heal, heal, heal,
		func() { server().ResetConnections() }, func() { server().SetDown(true) }, func() { server().SetLag(ms(800)) }, func() { server().SetSlow(ms(100)) },
		func() { server().SetHalfOpen(true) }, func() { server().Corrupt(3) }, func() { reg.LoseLeader(); reg.ElectLeader() },
		func() {
			if ids := reg.Sessions(); len(ids) > 0 {
				reg.Expire(ids[rng.IntN(len(ids))], rng.IntN(2) == 0)
			}
		},
		func() { // all at once, and back
			reg.Remove("/fleet")
			for _, s := range w.Servers {
				reg.put(&s.Entry)
			}
		}}
	drained := map[*world.Server]bool{}
	missing := map[*world.Server]bool{}
	restarts, drains, n := 0, 0, o.scaled(3000, 100)
	var restarted time.Time
	var late sync.WaitGroup
	defer late.Wait()
	for k := range n {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s := w.Servers[rng.IntN(servers)]
		switch x := rng.IntN(20); {
		case x < 3 && len(drained) < 4 && !drained[s]:
			drained[s] = true
			drains++
			e := s.Entry
			e.State = membership.Draining
			w.Ledger.NotifiedDraining(e.ID, time.Now())
			if o.Defect {
				late.Go(func() { time.Sleep(400 * time.Millisecond); w.Discovery.Set(e) })
			} else {
				w.Discovery.Set(e)
			}
		case x < 6 && drained[s]:
			delete(drained, s)
			w.Ledger.InService(s.Entry.ID)
			w.Discovery.Set(s.Entry)
		case x < 9 && len(missing) < 4 && !missing[s]:
			missing[s] = true
			reg.remove(s.Entry.ID)
		case x < 12 && missing[s]:
			delete(missing, s)
			reg.put(&s.Entry)
		case x == 12 && time.Since(restarted) > time.Second: // one after the other, as roll-outs go
			restarted = time.Now()
			restarts++
			w.Ledger.Started(s.Entry.ID, restarted, capacity)
			s.Entry.StartedMs = float64(restarted.UnixMilli())
			if !drained[s] {
				w.Discovery.Set(s.Entry)
			}
			if reg.remove(s.Entry.ID); !missing[s] {
				reg.put(&s.Entry)
			}
		case x > 15:
			faults[rng.IntN(len(faults))]()
		}
		time.Sleep(step)
		if k%500 == 499 {
			o.logf("%d steps", k+1)
		}
	}
	late.Wait()
	heal()
	for _, s := range w.Servers {
		w.Ledger.InService(s.Entry.ID)
		w.Discovery.Set(s.Entry)
		reg.put(&s.Entry)
	}
	// Once all is well all are used again.
	time.Sleep(200 * time.Millisecond)
	at, idle := map[*world.Server]int64{}, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		idle = 0
		for _, s := range w.Servers {
			if at[s] == 0 {
				at[s] = s.RequestCount() + 1
			}
			if s.RequestCount() < at[s]+5 {
				idle++
			}
		}
		if idle == 0 {
			break
		}
	}
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return nil, err
	}
	broken, words := w.Ledger.Violations(time.Now().Add(time.Minute))
	t := w.Ledger.Totals
	share := float64(t.Served) / float64(max(t.Served+t.Failed+t.Rejected, 1))
	r.add("steps", float64(n), "")
	r.add("drains", float64(drains), "")
	r.add("restarts", float64(restarts), "")
	r.add("requests", float64(t.Received), "")
	r.add("served_share", share, "")
	r.add("cold_of_capacity", w.Ledger.MaxOverload(), "")
	r.add("idle_once_well", float64(idle), "")
	r.add("rules_broken", float64(len(broken)), "")
	if len(broken) > 0 {
		r.short("rules broken %v: %v", broken, words[0])
	}
	if share < 0.95 {
		r.short("%.3f of the tries are served: the registry's faults cost more than it gives", share)
	}
	if idle > 0 {
		r.short("%d servers get nothing 20 s after all is well", idle)
	}
	return r, nil
}
