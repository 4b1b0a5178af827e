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
	// awayFor is how long a node stays away: long enough to see what comes late.
	awayFor = 400 * time.Millisecond
	// darkFor is how long a server that died says nothing, of which the registry hears after a session's
	// time, and the roster only rosterLate after.
	darkFor, sessionTime, rosterLate = 4 * time.Second, 200 * time.Millisecond, 3 * time.Second
)

// longAgo is the start of a process that is warm. A node that does not say counts as new.
func longAgo() float64 { return float64(time.Now().Add(-time.Hour).UnixMilli()) }

// portals send operations through the agent until ctx ends, one each 10 ms, and come back as clients do.
func portals(ctx context.Context, w *world.World, n int) (*lab.Client, *sync.WaitGroup) {
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
				name, effect, within := "order", lab.NonIdempotent, 1200*time.Millisecond
				switch k % 4 {
				case 0:
					name, effect, within = "read", lab.Idempotent, 800*time.Millisecond
				case 1:
					name, effect, within = "send", lab.IdempotentByKey, 600*time.Millisecond
				}
				c.Do(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d-%d", name, i, k), name, effect, fmt.Sprintf("%016x", (k*7+i)%997+1), within)
			}
		})
	}
	return c, &all
}

// Ephemeral deletes nodes at random while an agent passes requests on: none may begin at a server later
// than 250 ms after its node was deleted. Then servers die without a word, with the agent told by the
// registry and by the roster alone. The seeded defect is a registry whose servers show a change 400 ms late.
func Ephemeral(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "ephemeral", Seed: o.Seed, Scale: o.Scale}
	if err := deletes(ctx, o, r); err != nil {
		return nil, err
	}
	if o.Scale < 0.05 {
		return r, nil // the smallest form: deaths take their time
	}
	var lost, served [2]float64
	for i, nodes := range []bool{true, false} {
		var err error
		if lost[i], served[i], err = deaths(ctx, o, nodes); err != nil {
			return nil, err
		}
		name := []string{"nodes", "roster_alone"}[i]
		r.add(name+"_tries_failed", lost[i], "")
		r.add(name+"_served_share", served[i], "")
		o.logf("%s done", name)
	}
	if served[0] < served[1]-0.005 { // what chance may do
		r.short("%.4f are served with the registry, %.4f without", served[0], served[1])
	}
	return r, nil
}

func deletes(ctx context.Context, o *Options, r *Report) error {
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
		s.Entry.StartedMs = longAgo()
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
	client, clients := portals(running, w, 12)
	defer client.Close()
	defer clients.Wait()
	defer stop()
	n := o.scaled(1000, 20)
	var lag []time.Duration
	var mu sync.Mutex
	var away sync.WaitGroup
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
			reg.Servers[rng.IntN(3)].ResetConnections() // a connection breaks meanwhile
		}
		began := s.RequestCount()
		from := time.Now()
		reg.remove(s.Entry.ID)
		away.Go(func() {
			// The last that began there, to a millisecond.
			last := time.Duration(0)
			for time.Since(from) < awayFor {
				if b := s.RequestCount(); b != began {
					began, last = b, time.Since(from)
				}
				time.Sleep(time.Millisecond)
			}
			mu.Lock()
			lag = append(lag, last)
			mu.Unlock()
			reg.put(&s.Entry)
			time.Sleep(50 * time.Millisecond) // it is told before it is taken away again
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
	away.Wait()
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	slices.Sort(lag)
	broken, words := w.Ledger.Violations(time.Now().Add(time.Minute))
	t := w.Ledger.Totals
	r.add("deletes", float64(n), "")
	r.add("requests", float64(t.Received), "")
	r.add("begun_later_than_250ms", float64(broken[3]), "")
	r.add("delete_to_last_p50", millis(percentile(lag, 0.5)), "ms")
	r.add("p99", millis(percentile(lag, 0.99)), "ms")
	r.add("max", millis(lag[len(lag)-1]), "ms")
	if len(broken) > 0 {
		r.short("rules broken %v: %v", broken, words[0])
	}
	if t.Received < 5*n {
		r.short("only %d requests began: the proof says little", t.Received)
	}
	return nil
}

// deaths lets servers go dark one after the other and returns how many tries failed and the share served.
func deaths(ctx context.Context, o *Options, nodes bool) (failed, served float64, err error) {
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
	if nodes {
		opts.Registry = reg.file
	}
	w, err := world.New(world.HTTP, opts)
	if err != nil {
		return 0, 0, err
	}
	defer w.Close()
	for _, s := range w.Servers {
		s.SetWork(2 * time.Millisecond)
		s.Entry.StartedMs = longAgo()
		reg.put(&s.Entry)
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return 0, 0, err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := portals(running, w, 8)
	defer client.Close()
	defer clients.Wait()
	defer stop()
	var dark sync.WaitGroup
	for k := range o.scaled(40, 2) {
		s := w.Servers[(k*5+rng.IntN(2))%servers]
		after := func(d time.Duration, f func()) {
			dark.Go(func() {
				select {
				case <-time.After(d):
					f()
				case <-ctx.Done():
				}
			})
		}
		s.Set(lab.Silent)
		e := s.Entry
		after(sessionTime, func() { reg.remove(e.ID) })
		after(rosterLate, func() {
			d := e
			d.State = membership.Draining
			w.Discovery.Set(d)
		})
		after(darkFor, func() {
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
	dark.Wait()
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return 0, 0, err
	}
	if ctx.Err() != nil {
		return 0, 0, ctx.Err()
	}
	if broken, words := w.Ledger.Violations(time.Now().Add(time.Minute)); broken[1]+broken[2]+broken[3] > 0 {
		return 0, 0, fmt.Errorf("rules broken %v: %v", broken, words)
	}
	t := w.Ledger.Totals
	return float64(t.Failed), float64(t.Served) / float64(t.Served+t.Failed+t.Rejected), nil
}

// Flap lets a server's node come and go ten times a second, then another's whose process restarts each time:
// the first is a warm server as soon as its node stays, the second never gets more than a cold one may.
// The seeded defect is a registrar that says of restarted processes that they are old.
func Flap(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "ephemeral-flap", Seed: o.Seed, Scale: o.Scale}
	opts, err := labOptions(o, 4)
	if err != nil {
		return nil, err
	}
	// settle is the longest that a node has to stay; the small forms have no time for the default.
	settle := 5 * time.Second
	if o.Scale < 0.2 {
		settle = 500 * time.Millisecond
	}
	reg, err := newRegistry(1, o.Seed, fmt.Sprintf("[flap]\nmost_ms = %d\n", settle.Milliseconds()))
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
	old := longAgo()
	for _, s := range w.Servers {
		s.SetWork(5 * time.Millisecond)
		s.Entry.StartedMs = old
		reg.put(&s.Entry)
	}
	if err := w.AwaitWatch(ctx); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	client, clients := portals(running, w, 12)
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
		mine, all := s.RequestCount(), w.RequestCount()
		err := wait(d)
		return float64(s.RequestCount()-mine) / max(float64(w.RequestCount()-all), 1) * float64(len(w.Servers)), err
	}
	flaps := o.scaled(600, 15)
	settled := settle + 300*time.Millisecond // and its first answers
	steady, restarted := w.Servers[0], w.Servers[1]
	for range flaps {
		reg.remove(steady.Entry.ID)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
		reg.put(&steady.Entry)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	during := steady.RequestCount()
	if err := wait(settled); err != nil {
		return nil, err
	}
	o.logf("flapped; %d requests to it so far", during)
	warm, err := share(steady, settle*3/5+500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	// Capacity: such that an even share of what the portals send would be well over a cold one's budget.
	const capacity = 60
	for range flaps {
		reg.remove(restarted.Entry.ID)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
		now := time.Now()
		w.Ledger.Started(restarted.Entry.ID, now, capacity)
		if restarted.Entry.StartedMs = float64(now.UnixMilli()); o.Defect {
			restarted.Entry.StartedMs = old
		}
		reg.put(&restarted.Entry)
		if err := wait(50 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := wait(settled + time.Second); err != nil {
		return nil, err
	}
	coldest := w.Ledger.MaxOverload()
	stop()
	clients.Wait()
	if err := w.Stop(); err != nil {
		return nil, err
	}
	broken, words := w.Ledger.Violations(time.Now().Add(time.Minute))
	r.add("flaps", float64(flaps), "")
	r.add("steady_share_after", warm, "")
	r.add("restarted_of_cold_capacity", coldest, "")
	r.add("requests", float64(w.Ledger.Totals.Received), "")
	if warm < 0.7 {
		r.short("a server that never restarted gets %.2f of an even share once its node stays", warm)
	}
	if len(broken) > 0 {
		r.short("rules broken %v: %v", broken, words[0])
	}
	return r, nil
}
