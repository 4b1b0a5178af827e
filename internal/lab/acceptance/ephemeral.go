package acceptance

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// nodeAbsence is how long a deleted node stays away: long enough to see requests that come late.
	nodeAbsence = 400 * time.Millisecond
	// silentTime is how long a failed server does not answer. The registry deletes its node after
	// sessionTimeout, discovery lists it as draining only after discoveryDelay.
	silentTime, sessionTimeout, discoveryDelay = 4 * time.Second, 200 * time.Millisecond, 3 * time.Second
)

// warmStart returns a start time after which slow start is over. A node without a start time counts as new.
func warmStart() float64 { return float64(time.Now().Add(-time.Hour).UnixMilli()) }

// startClients starts n clients that send operations through the agent until ctx ends, one each 10 ms, with
// the retries of lab.Client.
func startClients(ctx context.Context, w *world.World, n int) (*lab.Client, *sync.WaitGroup) {
	c := lab.NewClient(w.Addr, w.Ledger)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			t := time.NewTicker(10 * time.Millisecond)
			defer t.Stop()
			for k := 0; ; k++ {
				select {
				case <-t.C:
				case <-ctx.Done():
					return
				}
				name, effect, timeout := "order", lab.NonIdempotent, 1200*time.Millisecond
				switch k % 4 {
				case 0:
					name, effect, timeout = "read", lab.Idempotent, 800*time.Millisecond
				case 1:
					name, effect, timeout = "send", lab.IdempotentByKey, 600*time.Millisecond
				}
				c.Do(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d-%d", name, i, k), name, effect, fmt.Sprintf("%016x", (k*7+i)%997+1), timeout)
			}
		})
	}
	return c, &all
}

// Ephemeral deletes nodes at random while an agent forwards requests: none may begin at a server later than
// 250 ms after its node was deleted. Then servers fail silently, once with the registry as a source and once
// with discovery alone. The seeded defect is a registry whose servers show a change 400 ms late.
func Ephemeral(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "ephemeral", Seed: o.Seed, Scale: o.Scale}
	if err := measureDeletes(ctx, o, r); err != nil {
		return nil, err
	}
	if o.Scale < 0.05 {
		return r, nil // the smallest scale has no time for the silent failures
	}
	var failed, served [2]float64
	for i, useRegistry := range []bool{true, false} {
		var err error
		if failed[i], served[i], err = measureSilentFailures(ctx, o, useRegistry); err != nil {
			return nil, err
		}
		name := []string{"nodes", "roster_alone"}[i]
		r.add(name+"_tries_failed", failed[i], "")
		r.add(name+"_served_share", served[i], "")
		o.logf("%s done", name)
	}
	if served[0] < served[1]-0.005 { // the margin is for random variation
		r.fail("a share of %.4f is served with the registry, %.4f without", served[0], served[1])
	}
	return r, nil
}

func measureDeletes(ctx context.Context, o *Options, r *Report) error {
	const servers = 60
	rng := o.rng()
	opts, err := labOptions(o, servers)
	if err != nil {
		return err
	}
	reg, err := newRegistry(3, o.Seed, "[flap]\nsettle_ms = 0\nmost_ms = 0\n")
	if err != nil {
		return err
	}
	defer reg.close()
	opts.Registry = reg.file
	w, err := world.New(world.HTTP, opts)
	if err != nil {
		return err
	}
	defer w.Close()
	reg.OnChange(func(c zk.Change) {
		id := strings.TrimPrefix(c.Path, "/fleet/")
		switch c.Event {
		case zkwire.NodeDeleted:
			w.Ledger.NotifiedDraining(id, c.At)
		case zkwire.NodeCreated:
			w.Ledger.InService(id)
		}
	})
	for _, s := range w.Servers {
		s.SetWork(time.Millisecond)
		s.Entry.StartedMs = warmStart()
		reg.put(&s.Entry)
	}
	if o.Defect {
		for _, s := range reg.Servers {
			s.SetLag(400 * time.Millisecond)
		}
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := startClients(running, w, 12)
	defer client.Close()
	defer clients.Wait()
	defer stop()
	n := o.scaled(1000, 20)
	var lags []time.Duration
	var mu sync.Mutex
	var deleted sync.WaitGroup
	busy := map[int]bool{}
	for k := range n {
		i := rng.IntN(servers)
		mu.Lock()
		for busy[i] {
			i = rng.IntN(servers)
		}
		busy[i] = true
		mu.Unlock()
		s := w.Servers[i]
		if k%50 == 25 {
			reg.Servers[rng.IntN(3)].ResetConnections() // breaks connections of the registry meanwhile
		}
		count := s.RequestCount()
		from := time.Now()
		reg.remove(s.Entry.ID)
		deleted.Go(func() {
			// Measures when the last request began there, to a millisecond.
			last := time.Duration(0)
			for time.Since(from) < nodeAbsence {
				if b := s.RequestCount(); b != count {
					count, last = b, time.Since(from)
				}
				time.Sleep(time.Millisecond)
			}
			mu.Lock()
			lags = append(lags, last)
			mu.Unlock()
			reg.put(&s.Entry)
			time.Sleep(50 * time.Millisecond) // until watchers are notified, before the next delete
			mu.Lock()
			delete(busy, i)
			mu.Unlock()
		})
		time.Sleep(30 * time.Millisecond)
		if ctx.Err() != nil {
			break
		}
		if k%200 == 199 {
			o.logf("%d deletes", k+1)
		}
	}
	deleted.Wait()
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	slices.Sort(lags)
	broken, details := w.Ledger.Violations(time.Now().Add(time.Minute))
	t := w.Ledger.Totals
	r.add("deletes", float64(n), "")
	r.add("requests", float64(t.Received), "")
	r.add("begun_later_than_250ms", float64(broken[3]), "")
	r.add("delete_to_last_p50", millis(percentile(lags, 0.5)), "ms")
	r.add("p99", millis(percentile(lags, 0.99)), "ms")
	r.add("max", millis(lags[len(lags)-1]), "ms")
	if len(broken) > 0 {
		r.fail("rules broken %v: %v", broken, details[0])
	}
	if t.Received < 5*n {
		r.fail("only %d requests began: too few to judge", t.Received)
	}
	return nil
}

// measureSilentFailures lets servers fail silently one after the other and returns how many requests failed
// and the share that was served.
func measureSilentFailures(ctx context.Context, o *Options, useRegistry bool) (failed, served float64, err error) {
	const servers = 12
	rng := o.rng()
	opts, err := labOptions(o, servers)
	if err != nil {
		return 0, 0, err
	}
	reg, err := newRegistry(1, o.Seed, "")
	if err != nil {
		return 0, 0, err
	}
	defer reg.close()
	if useRegistry {
		opts.Registry = reg.file
	}
	w, err := world.New(world.HTTP, opts)
	if err != nil {
		return 0, 0, err
	}
	defer w.Close()
	for _, s := range w.Servers {
		s.SetWork(2 * time.Millisecond)
		s.Entry.StartedMs = warmStart()
		reg.put(&s.Entry)
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return 0, 0, err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := startClients(running, w, 8)
	defer client.Close()
	defer clients.Wait()
	defer stop()
	var pending sync.WaitGroup
	for k := range o.scaled(40, 2) {
		s := w.Servers[(k*5+rng.IntN(2))%servers]
		after := func(d time.Duration, f func()) {
			pending.Go(func() {
				select {
				case <-time.After(d):
					f()
				case <-ctx.Done():
				}
			})
		}
		s.Set(lab.Silent)
		e := s.Entry
		after(sessionTimeout, func() { reg.remove(e.ID) })
		after(discoveryDelay, func() {
			d := e
			d.State = membership.Draining
			w.Discovery.Set(d)
		})
		after(silentTime, func() {
			s.Set(lab.Serving)
			e.StartedMs = float64(time.Now().UnixMilli())
			reg.put(&e)
			w.Discovery.Set(e)
		})
		select {
		case <-time.After(800 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	pending.Wait()
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return 0, 0, err
	}
	if ctx.Err() != nil {
		return 0, 0, ctx.Err()
	}
	if broken, details := w.Ledger.Violations(time.Now().Add(time.Minute)); broken[1]+broken[2]+broken[3] > 0 {
		return 0, 0, fmt.Errorf("rules broken %v: %v", broken, details)
	}
	t := w.Ledger.Totals
	return float64(t.Failed), float64(t.Served) / float64(t.Served+t.Failed+t.Rejected), nil
}

// Flap deletes and creates a server's node ten times a second, then that of another whose process restarts
// each time. The first has to get a full share again once its node stays, the second must never get more than
// a server in slow start may. The seeded defect is a registrar that reports an old start time for restarted
// processes.
func Flap(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "ephemeral-flap", Seed: o.Seed, Scale: o.Scale}
	opts, err := labOptions(o, 4)
	if err != nil {
		return nil, err
	}
	// maxSettle is the longest that a node has to stay until it is used; small scales have no time for the
	// default.
	maxSettle := 5 * time.Second
	if o.Scale < 0.2 {
		maxSettle = 500 * time.Millisecond
	}
	reg, err := newRegistry(1, o.Seed, fmt.Sprintf("[flap]\nmost_ms = %d\n", maxSettle.Milliseconds()))
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
	warmSince := warmStart()
	for _, s := range w.Servers {
		s.SetWork(5 * time.Millisecond)
		s.Entry.StartedMs = warmSince
		reg.put(&s.Entry)
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := startClients(running, w, 12)
	defer client.Close()
	defer clients.Wait()
	defer stop()
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	share := func(s *world.Server, d time.Duration) (float64, error) {
		before, allBefore := s.RequestCount(), w.RequestCount()
		err := wait(d)
		return float64(s.RequestCount()-before) / max(float64(w.RequestCount()-allBefore), 1) * float64(len(w.Servers)), err
	}
	flaps := o.scaled(600, 15)
	settleWait := maxSettle + 300*time.Millisecond // until it has answered first requests
	steadyServer, restartedServer := w.Servers[0], w.Servers[1]
	for range flaps {
		reg.remove(steadyServer.Entry.ID)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
		reg.put(&steadyServer.Entry)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	received := steadyServer.RequestCount()
	if err := wait(settleWait); err != nil {
		return nil, err
	}
	o.logf("flaps done; the server has received %d requests", received)
	steadyShare, err := share(steadyServer, maxSettle*3/5+500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	// The capacity is chosen such that an even share of the requests would be well over the slow-start bound.
	const capacity = 60
	for range flaps {
		reg.remove(restartedServer.Entry.ID)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
		now := time.Now()
		w.Ledger.Started(restartedServer.Entry.ID, now, capacity)
		if restartedServer.Entry.StartedMs = float64(now.UnixMilli()); o.Defect {
			restartedServer.Entry.StartedMs = warmSince
		}
		reg.put(&restartedServer.Entry)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := wait(settleWait + time.Second); err != nil {
		return nil, err
	}
	overload := w.Ledger.MaxOverload()
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return nil, err
	}
	broken, details := w.Ledger.Violations(time.Now().Add(time.Minute))
	r.add("flaps", float64(flaps), "")
	r.add("steady_share_after", steadyShare, "")
	r.add("restarted_of_cold_capacity", overload, "")
	r.add("requests", float64(w.Ledger.Totals.Received), "")
	if steadyShare < 0.7 {
		r.fail("a server that never restarted gets %.2f of an even share once its node stays", steadyShare)
	}
	if len(broken) > 0 {
		r.fail("rules broken %v: %v", broken, details[0])
	}
	return r, nil
}
