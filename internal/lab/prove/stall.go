package prove

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/connectivity"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/membership"
)

// Stall measures told → ack of a crowd with one proxy that reads nothing and without, in turns, and
// that the one is seen and its stream ended. The seeded defect lets all proxies take
// turns by one lock, which the one that stalls keeps.
func Stall(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "stall", Seed: o.Seed, Scale: o.Scale}
	proxies, servers, drains := o.scaled(1000, 50), o.scaled(1000, 100), o.scaled(40, 12)
	roster, err := lab.NewRoster(paper(servers)...)
	if err != nil {
		return nil, err
	}
	defer roster.Close()
	svc, err := service.StartWith(roster, nil)
	if err != nil {
		return nil, err
	}
	defer svc.Close()
	var turn *sync.Mutex
	if o.Defect {
		turn = &sync.Mutex{}
	}
	crowd, err := newCrowd(ctx, svc.Addr, delta, proxies, turn)
	if err != nil {
		return nil, err
	}
	defer crowd.close()
	time.Sleep(300 * time.Millisecond)
	entries := paper(servers)
	var lags [2][]time.Duration
	n, ended := 0, 0
	for turn := range 2 * drains / 4 {
		with := turn % 2
		victim := crowd.all[turn%len(crowd.all)]
		if with == 1 {
			victim.stall.Store(true)
		}
		for range 4 {
			e := entries[(n*7+1)%servers]
			e.State = membership.Draining
			crowd.mark()
			told := time.Now()
			roster.Set(e)
			l, err := crowd.lags(ctx, told)
			if err != nil {
				return nil, fmt.Errorf("drain %d: %w", n, err)
			}
			lags[with] = append(lags[with], l...)
			e.State = membership.Up
			roster.Set(e)
			n++
			time.Sleep(100 * time.Millisecond)
		}
		if with == 1 {
			// Its connection breaks, which it sees without reading.
			wait, stop := context.WithTimeout(ctx, 5*time.Second)
			if victim.conn.GetState() != connectivity.Ready || victim.conn.WaitForStateChange(wait, connectivity.Ready) {
				ended++
			}
			stop()
			acks := victim.acks.Load()
			victim.stall.Store(false)
			close(victim.shut)
			victim.shut = make(chan struct{})
			if err := crowd.wait(ctx, 10*time.Second, func(l *light) bool { return l != victim || l.acks.Load() > acks }); err != nil {
				r.short("the stalled proxy did not come back: %v", err)
			}
		}
	}
	for i := range lags {
		slices.Sort(lags[i])
	}
	without, with := percentile(lags[0], 0.99), percentile(lags[1], 0.99)
	r.add("proxies", float64(proxies), "")
	r.add("drains", float64(n), "")
	r.add("p99_without", millis(without), "ms")
	r.add("p99_with_one_stalled", millis(with), "ms")
	r.add("max_without", millis(lags[0][len(lags[0])-1]), "ms")
	r.add("max_with", millis(lags[1][len(lags[1])-1]), "ms")
	r.add("stalls", float64(drains/4), "")
	r.add("ended", float64(ended), "")
	if with > 3*without/2+20*time.Millisecond {
		r.short("p99 %v with one stalled, %v without", with, without)
	}
	if ended < drains/4 {
		r.short("%d of %d stalled streams were ended", ended, drains/4)
	}
	return r, nil
}
