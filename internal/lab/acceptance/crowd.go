package acceptance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// drainCost is the mean cost of one drain to a service, unless noted otherwise.
type drainCost struct {
	lastAck  time.Duration // notification to last ack, median of the drains
	bytes    float64       // sent to all proxies
	cpu      time.Duration // CPU time of the service's process
	rss      int64         // peak memory of the process, KiB
	idleCPU  float64       // % of a core while nothing changes
	idleAcks float64       // responses per second that proxies acknowledge while nothing changes
}

// measureDrains measures drains on one service with a crowd of proxies connected.
func measureDrains(ctx context.Context, ownService bool, k variant, proxies, servers, drains int, idlePeriod time.Duration) (drainCost, error) {
	var c drainCost
	spec := fmt.Sprint("peer ", servers)
	var discovery *lab.DiscoveryService
	if ownService {
		var err error
		if discovery, err = lab.NewDiscoveryService(unreachableEntries(servers)...); err != nil {
			return c, err
		}
		defer discovery.Close()
		spec = "ours " + discovery.Addr
	}
	p, err := startChild(spec)
	if err != nil {
		return c, err
	}
	defer p.stop()
	crowd, err := newCrowd(ctx, p.initial.Addr, k, proxies, nil)
	if err != nil {
		return c, err
	}
	defer crowd.close()
	time.Sleep(500 * time.Millisecond) // until the work of the start is done
	if err := p.send("gc"); err != nil {
		return c, err
	}
	before, err := p.usage()
	if err != nil {
		return c, err
	}
	if idlePeriod > 0 {
		from, acks := time.Now(), crowd.acks()
		time.Sleep(idlePeriod)
		now, err := p.usage()
		if err != nil {
			return c, err
		}
		seconds := time.Since(from).Seconds()
		c.idleCPU, c.idleAcks = 100*(now.CPU-before.CPU)/seconds, float64(crowd.acks()-acks)/seconds
		before = now
	}
	bytes := crowd.received()
	entries := unreachableEntries(servers)
	var lastAcks []time.Duration
	for i := range drains {
		e := entries[(i*37+5)%servers]
		e.State = membership.Draining
		crowd.mark()
		notifiedAt := time.Now()
		if ownService {
			discovery.Set(e)
		} else if err := p.send("drain " + e.ID); err != nil {
			return c, err
		}
		lags, err := crowd.lags(ctx, notifiedAt)
		if err != nil {
			return c, fmt.Errorf("drain %d: %w", i, err)
		}
		lastAcks = append(lastAcks, slices.Max(lags))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // responses after the first one count, too
	after, err := p.usage()
	if err != nil {
		return c, err
	}
	slices.Sort(lastAcks)
	c.lastAck = lastAcks[len(lastAcks)/2]
	c.bytes = float64(crowd.received()-bytes) / float64(drains)
	c.cpu = time.Duration((after.CPU - before.CPU) / float64(drains) * float64(time.Second))
	c.rss = after.RSS
	return c, nil
}

// Crowd measures the cost of one drain with many proxies and servers, for the control service and for
// go-control-plane's snapshot cache in the same run, each in a process of its own, and how the control
// service's cost grows. The seeded defect makes its proxies subscribe to the complete endpoint list (delta)
// instead of to single endpoints (LEDS).
func Crowd(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "crowd", Seed: o.Seed, Scale: o.Scale}
	proxies, servers := o.scaled(1000, 30), o.scaled(1000, 200)
	const drains = 10
	incremental := leds
	if o.Defect {
		incremental = delta
	}
	run := func(name string, ownService bool, k variant, proxies, servers int) (drainCost, error) {
		idlePeriod := time.Duration(0)
		if name == "incremental" {
			idlePeriod = time.Duration(o.scaled(20_000, 200)) * time.Millisecond
		}
		c, err := measureDrains(ctx, ownService, k, proxies, servers, drains, idlePeriod)
		if err != nil {
			return c, fmt.Errorf("%s: %w", name, err)
		}
		r.add(name+"_last_ack", millis(c.lastAck), "ms")
		r.add(name+"_bytes", c.bytes, "")
		r.add(name+"_cpu", millis(c.cpu), "ms")
		r.add(name+"_rss", float64(c.rss)/1024, "MiB")
		if idlePeriod > 0 {
			r.add(name+"_quiet_cpu", c.idleCPU, "% of a core")
			r.add(name+"_quiet_acks", c.idleAcks, "/s")
		}
		o.logf("%s: %d proxies, %d servers: last ack %v, %.0f bytes, %v CPU, %d KiB", name, proxies, servers, c.lastAck, c.bytes, c.cpu, c.rss)
		return c, nil
	}
	r.add("proxies", float64(proxies), "")
	r.add("servers", float64(servers), "")
	ownCost, err := run("incremental", true, incremental, proxies, servers)
	if err != nil {
		return nil, err
	}
	peerCost, err := run("peer_incremental", false, delta, proxies, servers)
	if err != nil {
		return nil, err
	}
	r.add("less_bytes", peerCost.bytes/ownCost.bytes, "x")
	r.add("less_cpu", peerCost.cpu.Seconds()/ownCost.cpu.Seconds(), "x")
	if x := peerCost.bytes / ownCost.bytes; x < 5 {
		r.fail("%.1f times fewer bytes than the peer, 5 wanted", x)
	}
	if o.Scale < 0.2 {
		return r, nil // too small to measure CPU time or growth
	}
	if x := peerCost.cpu.Seconds() / ownCost.cpu.Seconds(); x < 5 && o.Scale >= 1 {
		r.fail("%.1f times less CPU than the peer, 5 wanted", x)
	}
	if _, err = run("incremental_whole", true, delta, proxies, servers); err != nil {
		return nil, err
	}
	if _, err = run("sotw", true, sotw, proxies, servers); err != nil {
		return nil, err
	}
	if _, err = run("peer_sotw", false, sotw, proxies, servers); err != nil {
		return nil, err
	}
	fewProxies, err := run("tenth_of_proxies", true, incremental, max(proxies/10, 3), servers)
	if err != nil {
		return nil, err
	}
	if _, err = run("tenth_of_servers", true, incremental, max(proxies/10, 3), max(servers/10, 20)); err != nil {
		return nil, err
	}
	manyServers, err := run("tenfold_servers", true, incremental, max(proxies/10, 3), servers*10)
	if err != nil {
		return nil, err
	}
	r.add("cpu_by_proxies_x10", ownCost.cpu.Seconds()/fewProxies.cpu.Seconds(), "x")
	r.add("cpu_by_servers_x10", manyServers.cpu.Seconds()/fewProxies.cpu.Seconds(), "x")
	return r, nil
}
