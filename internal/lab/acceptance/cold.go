package acceptance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// Cold restarts one of ten servers while 100 proxies with different rates send 1.5 times what the servers can
// serve, and a tenth of the proxies is not notified of the restart. It measures how many requests all proxies
// together begin at the restarted server in any second. The seeded defect is a discovery service that does
// not report when the server started.
func Cold(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "cold", Seed: o.Seed, Scale: o.Scale}
	rules := lab.DefaultRules()
	ledger := lab.NewLedger(rules)
	const servers, load = 10, 1.5
	proxies := o.scaled(100, 20)
	entries := unreachableEntries(servers)
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	svc, err := service.StartWith(discovery, func(c *control.Config) {
		c.Proxies.DisconnectGraceMs = 20_000
		c.Evidence.ReportMs = 500
		c.Proxies.AckTimeoutMs = 60_000 // keeps the paused proxies connected and counted
	})
	if err != nil {
		return nil, err
	}
	defer svc.Close()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	ids := map[string]string{}
	for _, e := range entries {
		ids[e.Addr] = e.ID
	}
	rng := o.rng()
	totalRate := 0.0
	var allProxies []*xdsproxy.Proxy
	for i := range proxies {
		p, err := xdsproxy.Dial(xdsproxy.Options{Target: svc.Addr, Node: fmt.Sprintf("p-%03d", i), Zone: zones[i%3], Delta: i%2 == 0, LEDS: i%4 == 0})
		if err != nil {
			return nil, err
		}
		defer p.Close()
		allProxies = append(allProxies, p)
		rate := 10 + 60*rng.Float64()*rng.Float64() // requests per second
		totalRate += rate
		running.Go(func() { p.ReportLoad(ctx) })
		seed := rng.Uint64()
		running.Go(func() {
			select {
			case <-p.Ready():
			case <-ctx.Done():
				return
			}
			t := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer t.Stop()
			for n := uint64(0); ; n++ {
				select {
				case <-t.C:
				case <-ctx.Done():
					return
				}
				tab, _ := p.Table()
				if addr := tab.Pick(fmt.Sprint(seed, n%5000), nil, nil); addr != "" {
					p.RecordServed(addr)
					ledger.RequestReceived(ids[addr], time.Now())
				}
			}
		})
	}
	for _, p := range allProxies {
		select {
		case <-p.Ready():
		case <-time.After(20 * time.Second):
			return nil, fmt.Errorf("a proxy got no configuration: %s", p.LastError())
		}
	}
	time.Sleep(2 * time.Second) // until the control service knows the rates
	paused := proxies / 10
	for _, p := range allProxies[:paused] {
		p.Pause(true)
	}
	time.Sleep(200 * time.Millisecond)
	capacity := totalRate / servers / load
	started := time.Now()
	e := entries[4]
	ledger.Started(e.ID, started, capacity)
	if !o.Defect {
		e.StartedMs = float64(started.UnixMilli())
	}
	e.Weight = 1.0001 // a change that a discovery service without start times reports as well
	discovery.Set(e)
	duration := rules.SlowStart + time.Second
	if o.Scale < 1 {
		duration = max(time.Duration(float64(duration)*o.Scale), 3*time.Second)
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	share := 0.0
	for _, p := range allProxies[paused:] {
		tab, _ := p.Table()
		share += tab.Shares()[e.ID] / float64(len(allProxies)-paused)
	}
	cancel()
	running.Wait()
	overload := ledger.MaxOverload()
	r.add("proxies", float64(proxies), "")
	r.add("deaf", float64(paused), "")
	r.add("requests_per_s", totalRate, "")
	r.add("capacity_per_s", capacity, "")
	r.add("most_in_any_1s", overload, "x its capacity then")
	r.add("share_at_the_end", share*servers, "of an even one")
	if overload > rules.OverloadFactor {
		r.fail("%.2f times its capacity began at the server in slow start within 1 s, %v allowed", overload, rules.OverloadFactor)
	}
	if o.Scale >= 1 && !o.Defect && share*servers < 0.7 {
		r.fail("after slow start it gets %.2f of an even share", share*servers)
	}
	return r, nil
}
