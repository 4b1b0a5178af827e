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
	drainInterval = 30 * time.Millisecond
	// drainServers is large enough that the servers draining at a time are a small part of all.
	drainServers = 60
	// drainDuration is how long a server drains: long enough to see requests and updates that come late.
	drainDuration = 500 * time.Millisecond
)

// Drains drains servers one after the other while a proxy of each xDS variant forwards requests and other
// changes are pushed. It counts, at the servers, requests that begin later than 250 ms after the discovery
// service was notified. The seeded defect is a proxy that applies updates 400 ms late.
func Drains(ctx context.Context, o *Options) (*Report, error) {
	return drains(ctx, o, &Report{Proof: "drains", Seed: o.Seed, Scale: o.Scale}, false)
}

// EphemeralControl is Drains with a registry: the deletion of its node takes a server out of use, while
// discovery still lists it.
func EphemeralControl(ctx context.Context, o *Options) (*Report, error) {
	return drains(ctx, o, &Report{Proof: "ephemeral-control", Seed: o.Seed, Scale: o.Scale}, true)
}

func drains(ctx context.Context, o *Options, r *Report, useRegistry bool) (*Report, error) {
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
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	// startDrain and endDrain report a change of a server through discovery or through the registry.
	startDrain := func(s *lab.Backend) {
		e := s.Entry
		e.State = membership.Draining
		discovery.Set(e)
	}
	endDrain := func(s *lab.Backend) { discovery.Set(s.Entry) }
	configure := func(*control.Config) {}
	if useRegistry {
		reg, err := newRegistry(3, o.Seed, "[flap]\nsettle_ms = 0\nmost_ms = 0\n")
		if err != nil {
			return nil, err
		}
		defer reg.close()
		for _, s := range servers {
			reg.put(&s.Entry)
		}
		startDrain = func(s *lab.Backend) { reg.remove(s.ID) }
		endDrain = func(s *lab.Backend) { reg.put(&s.Entry) }
		configure = func(c *control.Config) { c.Ephemeral = reg.file }
	}
	svc, err := service.StartWith(discovery, configure)
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
			running.Go(func() { sendSteadily(ctx, p, ledger, fmt.Sprintf("%s-%d", v.Node, w)) })
		}
	}

	queue := newRunQueue()
	defer queue.close()
	drains := o.scaled(1000, 20)
	var mu sync.Mutex
	var lags []time.Duration
	var slowestLag, slowestWaited time.Duration // and how long this process's threads waited for a core during that drain
	var draining sync.WaitGroup
	busy := map[int]bool{}
	free := make(chan int, len(servers))
	tick := time.NewTicker(drainInterval)
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
		if n%2 == 0 { // an update that is in flight when the drain comes
			other := servers[(i+1)%len(servers)]
			if !busy[(i+1)%len(servers)] {
				e := other.Entry
				e.Weight = 1 + rng.Float64()
				other.Entry = e
				discovery.Set(e)
			}
		}
		notifiedAt, waited := time.Now(), queue.waited()
		ledger.NotifiedDraining(s.ID, notifiedAt)
		startDrain(s)
		draining.Go(func() {
			var each sync.WaitGroup
			for _, p := range proxies {
				each.Go(func() {
					ok := p.Await(drainDuration, func(t *xdsproxy.Table) bool { return !t.Usable(s.ID) })
					mu.Lock()
					defer mu.Unlock()
					if !ok {
						lags = append(lags, time.Hour)
						return
					}
					took := time.Since(notifiedAt)
					lags = append(lags, took)
					if took > slowestLag {
						slowestLag, slowestWaited = took, queue.waited()-waited
					}
				})
			}
			each.Wait()
			time.Sleep(time.Until(notifiedAt.Add(drainDuration)))
			ledger.InService(s.ID)
			endDrain(s)
			free <- i
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
			draining.Wait()
			return nil, ctx.Err()
		}
		if n%100 == 99 {
			o.logf("%d drains", n+1)
		}
	}
	draining.Wait()
	cancel()
	running.Wait()
	broken, details := ledger.Violations(time.Now())
	slices.Sort(lags)
	t := ledger.Totals
	r.add("drains", float64(drains), "")
	r.add("requests", float64(t.Received), "")
	r.add("begun_later_than_250ms", float64(broken[3]), "")
	r.add("latest_after_told", millis(t.LatestAfterDrain), "ms")
	r.add("told_to_applied_p50", millis(percentile(lags, 0.5)), "ms")
	r.add("p99", millis(percentile(lags, 0.99)), "ms")
	r.add("max", millis(lags[len(lags)-1]), "ms")
	r.add("waited_at_max", millis(slowestWaited), "ms")
	if broken[3] > 0 {
		r.fail("%d requests began later than 250 ms after the drain was notified: %v", broken[3], details[0])
	}
	if broken[2] > 0 {
		r.fail("rule 2 broken %d times: %v", broken[2], details[0])
	}
	if t.Received < drains {
		r.fail("only %d requests began: too few to judge", t.Received)
	}
	if m := lags[len(lags)-1]; m > 250*time.Millisecond {
		r.fail("a proxy applied a drain %v after it was notified", m)
	}
	return r, nil
}

// sendSteadily sends requests through a proxy, one after the other, about 100 a second.
func sendSteadily(ctx context.Context, p *xdsproxy.Proxy, ledger *lab.Ledger, name string) {
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
		outcome := lab.Failed
		switch {
		case res.Status == 200:
			outcome = lab.Served
		case !res.MayHaveRun && (res.Status == 429 || res.Status == 503):
			outcome = lab.Rejected
		}
		ledger.Answered(id, outcome, time.Now())
	}
}
