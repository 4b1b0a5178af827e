package acceptance

import (
	"context"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/membership"
)

// stormBound is within what time all proxies have to be served again, at full scale.
const stormBound = 15 * time.Second

// Storm stops the control service of a crowd and starts it again at its address, without state. A server
// drains meanwhile. It measures when each proxy has acknowledged its first response of the new service, and
// how long a drain takes right after. The seeded defect is a tenth of the crowd that reconnects without a
// node id.
func Storm(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "storm", Seed: o.Seed, Scale: o.Scale}
	proxies, servers := o.scaled(1000, 50), o.scaled(1000, 100)
	entries := unreachableEntries(servers)
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	configure := func(c *control.Config) { c.Proxies.StartupHoldMs = 5000 }
	first, err := service.StartWith(discovery, configure)
	if err != nil {
		return nil, err
	}
	crowd, err := newCrowd(ctx, first.Addr, delta, proxies, nil)
	if err != nil {
		first.Close()
		return nil, err
	}
	defer crowd.close()
	if o.Defect {
		for i := 0; i < proxies; i += 10 {
			crowd.all[i].unnamed.Store(true)
		}
	}
	if err := first.Close(); err != nil {
		return nil, err
	}
	e := entries[1]
	e.State = membership.Draining
	discovery.Set(e)
	time.Sleep(200 * time.Millisecond) // until all have noticed and keep reconnecting
	crowd.mark()
	restartedAt := time.Now()
	second, err := service.Start(first.Addr, discovery.Addr, nil, configure)
	if err != nil {
		return nil, err
	}
	defer second.Close()
	within, cancel := context.WithTimeout(ctx, stormBound+5*time.Second)
	defer cancel()
	lags, err := crowd.lags(within, restartedAt)
	r.add("proxies", float64(proxies), "")
	if err != nil {
		r.fail("not all proxies were served again: %v", err)
		return r, nil
	}
	slices.Sort(lags)
	r.add("served_again_p50", millis(percentile(lags, 0.5)), "ms")
	r.add("last", millis(lags[len(lags)-1]), "ms")
	if last := lags[len(lags)-1]; last > stormBound {
		r.fail("the last proxy was served again after %v, %v allowed", last, stormBound)
	}
	time.Sleep(300 * time.Millisecond)
	crowd.mark()
	e = entries[2]
	e.State = membership.Draining
	notifiedAt := time.Now()
	discovery.Set(e)
	if lags, err = crowd.lags(ctx, notifiedAt); err != nil {
		return nil, err
	}
	r.add("next_drain_last_ack", millis(slices.Max(lags)), "ms")
	if last := slices.Max(lags); last > 250*time.Millisecond {
		r.fail("the next drain took %v", last)
	}
	return r, nil
}
