package acceptance

import (
	"context"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
)

// EphemeralFaults runs a random walk of registry faults (expired sessions, broken connections, lags,
// half-open and corrupt servers, a lost leader, flaps, all nodes deleted at once) and of drains and restarts
// that discovery reports, under steady requests: the four rules hold, and the agent goes on serving. For rule
// 3 the time counts from the report of discovery, which a faulty registry must not delay. The seeded defect
// is a discovery service that reports drains 400 ms late.
func EphemeralFaults(ctx context.Context, o *Options) (*Report, error) {
	const (
		servers      = 12
		capacity     = 150 // of each server, requests per second
		stepInterval = 20 * time.Millisecond
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
		s.Entry.StartedMs = warmStart()
		reg.put(&s.Entry)
		w.Discovery.Set(s.Entry)
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := startClients(running, w, 8)
	defer client.Close()
	defer clients.Wait()
	defer stop()

	clearFaults := func() {
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
	faults := []func(){clearFaults, clearFaults, clearFaults,
		func() { server().ResetConnections() }, func() { server().SetDown(true) }, func() { server().SetLag(ms(800)) }, func() { server().SetSlow(ms(100)) },
		func() { server().SetHalfOpen(true) }, func() { server().Corrupt(3) }, func() { reg.LoseLeader(); reg.ElectLeader() },
		func() {
			if ids := reg.Sessions(); len(ids) > 0 {
				reg.Expire(ids[rng.IntN(len(ids))], rng.IntN(2) == 0)
			}
		},
		func() { // deletes all nodes at once and creates them again
			reg.Remove("/fleet")
			for _, s := range w.Servers {
				reg.put(&s.Entry)
			}
		}}
	drained := map[*world.Server]bool{}
	missing := map[*world.Server]bool{}
	restarts, drains, n := 0, 0, o.scaled(3000, 100)
	var lastRestart time.Time
	var delayed sync.WaitGroup
	defer delayed.Wait()
	for k := range n {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s := w.Servers[rng.IntN(servers)]
		switch draw := rng.IntN(20); {
		case draw < 3 && len(drained) < 4 && !drained[s]:
			drained[s] = true
			drains++
			e := s.Entry
			e.State = membership.Draining
			w.Ledger.NotifiedDraining(e.ID, time.Now())
			if o.Defect {
				delayed.Go(func() { time.Sleep(400 * time.Millisecond); w.Discovery.Set(e) })
			} else {
				w.Discovery.Set(e)
			}
		case draw < 6 && drained[s]:
			delete(drained, s)
			w.Ledger.InService(s.Entry.ID)
			w.Discovery.Set(s.Entry)
		case draw < 9 && len(missing) < 4 && !missing[s]:
			missing[s] = true
			reg.remove(s.Entry.ID)
		case draw < 12 && missing[s]:
			delete(missing, s)
			reg.put(&s.Entry)
		case draw == 12 && time.Since(lastRestart) > time.Second: // one at a time, as in a roll-out
			lastRestart = time.Now()
			restarts++
			w.Ledger.Started(s.Entry.ID, lastRestart, capacity)
			s.Entry.StartedMs = float64(lastRestart.UnixMilli())
			if !drained[s] {
				w.Discovery.Set(s.Entry)
			}
			if reg.remove(s.Entry.ID); !missing[s] {
				reg.put(&s.Entry)
			}
		case draw > 15:
			faults[rng.IntN(len(faults))]()
		}
		time.Sleep(stepInterval)
		if k%500 == 499 {
			o.logf("%d steps", k+1)
		}
	}
	delayed.Wait()
	clearFaults()
	for _, s := range w.Servers {
		w.Ledger.InService(s.Entry.ID)
		w.Discovery.Set(s.Entry)
		reg.put(&s.Entry)
	}
	// Once all faults are over, all servers have to be used again.
	time.Sleep(200 * time.Millisecond)
	countAt, idle := map[*world.Server]int64{}, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		idle = 0
		for _, s := range w.Servers {
			if countAt[s] == 0 {
				countAt[s] = s.RequestCount() + 1
			}
			if s.RequestCount() < countAt[s]+5 {
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
	broken, details := w.Ledger.Violations(time.Now().Add(time.Minute))
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
		r.fail("rules broken %v: %v", broken, details[0])
	}
	if share < 0.95 {
		r.fail("a share of %.3f of the requests is served, 0.95 wanted: the registry's faults reach the clients", share)
	}
	if idle > 0 {
		r.fail("%d servers get no requests 20 s after all faults are over", idle)
	}
	return r, nil
}
