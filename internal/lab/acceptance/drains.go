package acceptance

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	drainEvery = 30 * time.Millisecond
	// drainServers are enough that those away at a time are no large part of them.
	drainServers = 60
	// drainFor is how long a server stays away: long enough to see what comes late.
	drainFor = 500 * time.Millisecond
)

// Drains drains servers one after the other while a proxy of each variant passes requests on, with
// other changes pushed meanwhile. Counted at the servers: requests that began later than 250 ms after
// the roster was told. The seeded defect is a proxy that uses what it is told 400 ms late.
func Drains(ctx context.Context, o *Options) (*Report, error) {
	return drains(ctx, o, &Report{Proof: "drains", Seed: o.Seed, Scale: o.Scale}, false)
}

// EphemeralControl is Drains with a registry: a server is told away by the end of its node, which the
// roster knows nothing of.
func EphemeralControl(ctx context.Context, o *Options) (*Report, error) {
	return drains(ctx, o, &Report{Proof: "ephemeral-control", Seed: o.Seed, Scale: o.Scale}, true)
}

func drains(ctx context.Context, o *Options, r *Report, nodes bool) (*Report, error) {
	rng := o.rng()
	ledger := lab.NewLedger(lab.DefaultRules())
	var servers []*lab.Backend
	var entries []membership.Entry
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	for i := range drainServers {
		s, err := lab.NewBackend(fmt.Sprintf("s-%02d", i), zones[i%3], time.Millisecond, ledger)
		if err != nil {
			return nil, err
		}
		servers, entries = append(servers, s), append(entries, s.Entry)
	}
	roster, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer roster.Close()
	// away and back tell of a server in the one way or in the other.
	away := func(s *lab.Backend) {
		e := s.Entry
		e.State = membership.Draining
		roster.Set(e)
	}
	back := func(s *lab.Backend) { roster.Set(s.Entry) }
	change := func(*control.Config) {}
	if nodes {
		reg, err := newRegistry(3, o.Seed, "[flap]\nsettle_ms = 0\nmost_ms = 0\n")
		if err != nil {
			return nil, err
		}
		defer reg.close()
		for _, s := range servers {
			reg.put(&s.Entry)
		}
		away = func(s *lab.Backend) { reg.remove(s.ID) }
		back = func(s *lab.Backend) { reg.put(&s.Entry) }
		change = func(c *control.Config) { c.Ephemeral = reg.file }
	}
	svc, err := service.StartWith(roster, change)
	if err != nil {
		return nil, err
	}
	defer svc.Close()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var proxies []*xdsproxy.Proxy
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i, v := range []xdsproxy.Options{{Node: "sotw"}, {Node: "delta", Delta: true}, {Node: "leds", Delta: true, LEDS: true}} {
		v.Target, v.Zone = svc.Addr, zones[i]
		if o.Defect {
			v.ApplyDelay = 400 * time.Millisecond
		}
		p, err := xdsproxy.Dial(v)
		if err != nil {
			return nil, err
		}
		defer p.Close()
		proxies = append(proxies, p)
		select {
		case <-p.Ready():
		case <-time.After(10 * time.Second):
			return nil, fmt.Errorf("%s got no configuration: %s", v.Node, p.LastError())
		}
		running.Go(func() { p.ReportLoad(ctx) })
		for w := range 4 {
			running.Go(func() { steady(ctx, p, ledger, fmt.Sprintf("%s-%d", v.Node, w)) })
		}
	}

	queue := newRunQueue()
	defer queue.close()
	drains := o.scaled(1000, 20)
	var mu sync.Mutex
	var lag []time.Duration
	var slowestLag, slowestWaited time.Duration // and what this process's threads waited for a core in that drain
	var gone sync.WaitGroup
	busy := map[int]bool{}
	free := make(chan int, len(servers))
	tick := time.NewTicker(drainEvery)
	defer tick.Stop()
	for n := range drains {
		for len(free) > 0 {
			delete(busy, <-free)
		}
		i := rng.IntN(len(servers))
		for busy[i] {
			i = rng.IntN(len(servers))
		}
		busy[i] = true
		s := servers[i]
		if n%2 == 0 { // a push that is under way when the drain comes
			other := servers[(i+1)%len(servers)]
			if !busy[(i+1)%len(servers)] {
				e := other.Entry
				e.Weight = 1 + rng.Float64()
				other.Entry = e
				roster.Set(e)
			}
		}
		told, waited := time.Now(), queue.waited()
		ledger.NotifiedDraining(s.ID, told)
		away(s)
		gone.Go(func() {
			var each sync.WaitGroup
			for _, p := range proxies {
				each.Go(func() {
					ok := p.Await(drainFor, func(t *xdsproxy.Table) bool { return !t.Usable(s.ID) })
					mu.Lock()
					defer mu.Unlock()
					if !ok {
						lag = append(lag, time.Hour)
						return
					}
					took := time.Since(told)
					lag = append(lag, took)
					if took > slowestLag {
						slowestLag, slowestWaited = took, queue.waited()-waited
					}
				})
			}
			each.Wait()
			time.Sleep(time.Until(told.Add(drainFor)))
			ledger.InService(s.ID)
			back(s)
			free <- i
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
			gone.Wait()
			return nil, ctx.Err()
		}
		if n%100 == 99 {
			o.logf("%d drains", n+1)
		}
	}
	gone.Wait()
	cancel()
	running.Wait()
	broken, words := ledger.Violations(time.Now())
	slices.Sort(lag)
	t := ledger.Totals
	r.add("drains", float64(drains), "")
	r.add("requests", float64(t.Received), "")
	r.add("begun_later_than_250ms", float64(broken[3]), "")
	r.add("latest_after_told", millis(t.LatestAfterDrain), "ms")
	r.add("told_to_applied_p50", millis(percentile(lag, 0.5)), "ms")
	r.add("p99", millis(percentile(lag, 0.99)), "ms")
	r.add("max", millis(lag[len(lag)-1]), "ms")
	r.add("waited_at_max", millis(slowestWaited), "ms")
	if broken[3] > 0 {
		r.short("%d requests began later than 250 ms after the drain was told: %v", broken[3], words[0])
	}
	if broken[2] > 0 {
		r.short("rule 2 broken %d times: %v", broken[2], words[0])
	}
	if t.Received < drains {
		r.short("only %d requests began: the proof says nothing", t.Received)
	}
	if m := lag[len(lag)-1]; m > 250*time.Millisecond {
		r.short("a proxy applied a drain %v after it was told", m)
	}
	return r, nil
}

// steady passes requests through a proxy, one after the other, about 100 a second.
func steady(ctx context.Context, p *xdsproxy.Proxy, ledger *lab.Ledger, name string) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	classes := []struct {
		name   string
		effect lab.Effect
	}{{"read", lab.Idempotent}, {"send", lab.IdempotentByKey}, {"order", lab.NonIdempotent}}
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		id := fmt.Sprintf("%s-%d", name, n)
		c := classes[n%3]
		ledger.AttemptStarted(id, c.effect, id, time.Now().Add(2*time.Second))
		res := p.Call(context.WithoutCancel(ctx), c.name, fmt.Sprint(n%97), id+" ")
		v := lab.Failed
		switch {
		case res.Status == 200:
			v = lab.Served
		case !res.MayHaveRun && (res.Status == 429 || res.Status == 503):
			v = lab.Rejected
		}
		ledger.Answered(id, v, time.Now())
	}
}
