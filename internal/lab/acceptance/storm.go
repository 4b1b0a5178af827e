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

// stormBound is how soon all of a crowd are to be served again, at the full size.
const stormBound = 15 * time.Second

// Storm ends the service before a crowd and starts it again at its address, empty. A server drains
// meanwhile. Counted is when each proxy has acknowledged its first response of the new one, and how
// long a drain takes right after. The seeded defect is a tenth of the crowd that comes back under no
// name.
func Storm(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "storm", Seed: o.Seed, Scale: o.Scale}
	proxies, servers := o.scaled(1000, 50), o.scaled(1000, 100)
	entries := paper(servers)
	roster, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer roster.Close()
	settle := func(c *control.Config) { c.Proxies.StartupHoldMs = 5000 }
	first, err := service.StartWith(roster, settle)
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
			crowd.all[i].lame.Store(true)
		}
	}
	if err := first.Close(); err != nil {
		return nil, err
	}
	e := entries[1]
	e.State = membership.Draining
	roster.Set(e)
	time.Sleep(200 * time.Millisecond) // all have noticed, and come again and again
	crowd.mark()
	back := time.Now()
	second, err := service.Start(first.Addr, roster.Addr, nil, settle)
	if err != nil {
		return nil, err
	}
	defer second.Close()
	within, cancel := context.WithTimeout(ctx, stormBound+5*time.Second)
	defer cancel()
	lags, err := crowd.lags(within, back)
	r.add("proxies", float64(proxies), "")
	if err != nil {
		r.short("not all came back: %v", err)
		return r, nil
	}
	slices.Sort(lags)
	r.add("served_again_p50", millis(percentile(lags, 0.5)), "ms")
	r.add("last", millis(lags[len(lags)-1]), "ms")
	if last := lags[len(lags)-1]; last > stormBound {
		r.short("the last was served again after %v, %v allowed", last, stormBound)
	}
	time.Sleep(300 * time.Millisecond)
	crowd.mark()
	e = entries[2]
	e.State = membership.Draining
	told := time.Now()
	roster.Set(e)
	if lags, err = crowd.lags(ctx, told); err != nil {
		return nil, err
	}
	r.add("next_drain_last_ack", millis(slices.Max(lags)), "ms")
	if last := slices.Max(lags); last > 250*time.Millisecond {
		r.short("the next drain took %v", last)
	}
	return r, nil
}
