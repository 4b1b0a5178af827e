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

// Cold restarts one of ten servers while 100 proxies of unlike rates send, half more than the fleet
// can do, and a tenth of them never hears of it. What all begin at the cold one in any second is
// counted. The seeded defect is a roster that does not tell when the server started.
func Cold(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "cold", Seed: o.Seed, Scale: o.Scale}
	rules := lab.DefaultRules()
	ledger := lab.NewLedger(rules)
	const servers, load = 10, 1.5
	proxies := o.scaled(100, 20)
	entries := paper(servers)
	roster, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer roster.Close()
	svc, err := service.StartWith(roster, func(c *control.Config) {
		c.Proxies.DisconnectGraceMs = 20_000
		c.Evidence.ReportMs = 500
		c.Proxies.AckTimeoutMs = 60_000 // those that hear nothing are to stay, and to be counted
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
	total := 0.0
	var all []*xdsproxy.Proxy
	for i := range proxies {
		p, err := xdsproxy.Dial(xdsproxy.Options{Target: svc.Addr, Node: fmt.Sprintf("p-%03d", i), Zone: zones[i%3], Delta: i%2 == 0, LEDS: i%4 == 0})
		if err != nil {
			return nil, err
		}
		defer p.Close()
		all = append(all, p)
		rate := 10 + 60*rng.Float64()*rng.Float64() // a second
		total += rate
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
	for _, p := range all {
		select {
		case <-p.Ready():
		case <-time.After(20 * time.Second):
			return nil, fmt.Errorf("a proxy got no configuration: %s", p.LastError())
		}
	}
	time.Sleep(2 * time.Second) // rates get known
	deaf := proxies / 10
	for _, p := range all[:deaf] {
		p.Pause(true)
	}
	time.Sleep(200 * time.Millisecond)
	capacity := total / servers / load
	started := time.Now()
	e := entries[4]
	ledger.Started(e.ID, started, capacity)
	if !o.Defect {
		e.StartedMs = float64(started.UnixMilli())
	}
	e.Weight = 1.0001 // a change that a roster without starts would tell as well
	roster.Set(e)
	length := rules.SlowStart + time.Second
	if o.Scale < 1 {
		length = max(time.Duration(float64(length)*o.Scale), 3*time.Second)
	}
	select {
	case <-time.After(length):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	warmShare := 0.0
	for _, p := range all[deaf:] {
		tab, _ := p.Table()
		warmShare += tab.Shares()[e.ID] / float64(len(all)-deaf)
	}
	cancel()
	running.Wait()
	worst := ledger.MaxOverload()
	r.add("proxies", float64(proxies), "")
	r.add("deaf", float64(deaf), "")
	r.add("requests_per_s", total, "")
	r.add("capacity_per_s", capacity, "")
	r.add("most_in_any_1s", worst, "x its capacity then")
	r.add("share_at_the_end", warmShare*servers, "of an even one")
	if worst > rules.OverloadFactor {
		r.short("%.2f times its capacity began at the cold server within 1 s, %v allowed", worst, rules.OverloadFactor)
	}
	if o.Scale >= 1 && !o.Defect && warmShare*servers < 0.7 {
		r.short("warm again it gets %.2f of an even share", warmShare*servers)
	}
	return r, nil
}
