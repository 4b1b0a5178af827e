package acceptance

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// cost is what one drain cost a service, on the mean.
type cost struct {
	last  time.Duration // told → last ack, median of the drains
	bytes float64       // to all proxies
	cpu   time.Duration // of the service's process
	rss   int64         // its largest, KiB
	quiet float64       // % of a core while nothing changes,
	acks  float64       // and responses a second that proxies acknowledged
}

// drainsOf measures some drains of one service before a crowd.
func drainsOf(ctx context.Context, ours bool, k kind, proxies, servers, drains int, quiet time.Duration) (cost, error) {
	var c cost
	spec := fmt.Sprint("peer ", servers)
	var roster *lab.DiscoveryService
	if ours {
		var err error
		if roster, err = lab.NewDiscoveryService(paper(servers)...); err != nil {
			return c, err
		}
		defer roster.Close()
		spec = "ours " + roster.Addr
	}
	p, err := startChild(spec)
	if err != nil {
		return c, err
	}
	defer p.stop()
	crowd, err := newCrowd(ctx, p.at.Addr, k, proxies, nil)
	if err != nil {
		return c, err
	}
	defer crowd.close()
	time.Sleep(500 * time.Millisecond) // what the start still has in hand
	if err := p.say("gc"); err != nil {
		return c, err
	}
	before, err := p.usage()
	if err != nil {
		return c, err
	}
	if quiet > 0 {
		from, acks := time.Now(), crowd.acks()
		time.Sleep(quiet)
		now, err := p.usage()
		if err != nil {
			return c, err
		}
		span := time.Since(from).Seconds()
		c.quiet, c.acks = 100*(now.CPU-before.CPU)/span, float64(crowd.acks()-acks)/span
		before = now
	}
	bytes := crowd.received()
	entries := paper(servers)
	var lasts []time.Duration
	for i := range drains {
		e := entries[(i*37+5)%servers]
		e.State = membership.Draining
		crowd.mark()
		told := time.Now()
		if ours {
			roster.Set(e)
		} else if err := p.say("drain " + e.ID); err != nil {
			return c, err
		}
		lags, err := crowd.lags(ctx, told)
		if err != nil {
			return c, fmt.Errorf("drain %d: %w", i, err)
		}
		lasts = append(lasts, slices.Max(lags))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // what comes behind the first response counts too
	after, err := p.usage()
	if err != nil {
		return c, err
	}
	slices.Sort(lasts)
	c.last = lasts[len(lasts)/2]
	c.bytes = float64(crowd.received()-bytes) / float64(drains)
	c.cpu = time.Duration((after.CPU - before.CPU) / float64(drains) * float64(time.Second))
	c.rss = after.RSS
	return c, nil
}

// Crowd measures one drain before many proxies and servers, ours and go-control-plane's snapshot cache
// in the same run, each in a process of its own, and how ours grows. The seeded defect lets our proxies
// take servers in one piece, where they should take them one by one.
func Crowd(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "crowd", Seed: o.Seed, Scale: o.Scale}
	proxies, servers := o.scaled(1000, 30), o.scaled(1000, 200)
	const drains = 10
	one := leds
	if o.Defect {
		one = delta
	}
	run := func(name string, ours bool, k kind, proxies, servers int) (cost, error) {
		quiet := time.Duration(0)
		if name == "incremental" {
			quiet = time.Duration(o.scaled(20_000, 200)) * time.Millisecond
		}
		c, err := drainsOf(ctx, ours, k, proxies, servers, drains, quiet)
		if err != nil {
			return c, fmt.Errorf("%s: %w", name, err)
		}
		r.add(name+"_last_ack", millis(c.last), "ms")
		r.add(name+"_bytes", c.bytes, "")
		r.add(name+"_cpu", millis(c.cpu), "ms")
		r.add(name+"_rss", float64(c.rss)/1024, "MiB")
		if quiet > 0 {
			r.add(name+"_quiet_cpu", c.quiet, "% of a core")
			r.add(name+"_quiet_acks", c.acks, "/s")
		}
		o.logf("%s: %d proxies, %d servers: last ack %v, %.0f bytes, %v CPU, %d KiB", name, proxies, servers, c.last, c.bytes, c.cpu, c.rss)
		return c, nil
	}
	r.add("proxies", float64(proxies), "")
	r.add("servers", float64(servers), "")
	ours, err := run("incremental", true, one, proxies, servers)
	if err != nil {
		return nil, err
	}
	theirs, err := run("peer_incremental", false, delta, proxies, servers)
	if err != nil {
		return nil, err
	}
	r.add("less_bytes", theirs.bytes/ours.bytes, "x")
	r.add("less_cpu", theirs.cpu.Seconds()/ours.cpu.Seconds(), "x")
	if x := theirs.bytes / ours.bytes; x < 5 {
		r.short("%.1f times less bytes than the peer, 5 wanted", x)
	}
	if o.Scale < 0.2 {
		return r, nil // too small for CPU time to say anything, or growth
	}
	if x := theirs.cpu.Seconds() / ours.cpu.Seconds(); x < 5 && o.Scale >= 1 {
		r.short("%.1f times less CPU than the peer, 5 wanted", x)
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
	few, err := run("tenth_of_proxies", true, one, max(proxies/10, 3), servers)
	if err != nil {
		return nil, err
	}
	if _, err = run("tenth_of_servers", true, one, max(proxies/10, 3), max(servers/10, 20)); err != nil {
		return nil, err
	}
	many, err := run("tenfold_servers", true, one, max(proxies/10, 3), servers*10)
	if err != nil {
		return nil, err
	}
	r.add("cpu_by_proxies_x10", ours.cpu.Seconds()/few.cpu.Seconds(), "x")
	r.add("cpu_by_servers_x10", many.cpu.Seconds()/few.cpu.Seconds(), "x")
	return r, nil
}
