package acceptance

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

// stallSide is a control service with its own crowd.
type stallSide struct {
	discovery *lab.DiscoveryService
	svc       *service.Service
	crowd     *crowd
}

// startStallSide starts a service and its crowd; shareLock makes its proxies share one lock.
func startStallSide(ctx context.Context, servers, proxies int, shareLock bool) (*stallSide, error) {
	s := &stallSide{}
	var err error
	if s.discovery, err = lab.NewDiscoveryService(unreachableEntries(servers)...); err != nil {
		return nil, err
	}
	if s.svc, err = service.StartWith(s.discovery, nil); err != nil {
		s.close()
		return nil, err
	}
	var sharedLock *sync.Mutex
	if shareLock {
		sharedLock = &sync.Mutex{}
	}
	if s.crowd, err = newCrowd(ctx, s.svc.Addr, delta, proxies, sharedLock); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stallSide) close() {
	if s.crowd != nil {
		s.crowd.close()
	}
	if s.svc != nil {
		s.svc.Close()
	}
	s.discovery.Close()
}

// Stall measures the time from notification to ack in a crowd of which one proxy stops reading, and in the
// crowd of a second service in which all read. It also checks that the service detects the stalled proxy and
// ends its stream. Both services are notified of a drain at the same moment, so that other load on the
// machine affects both, and each drain is compared with the same drain in the other crowd; the crowd with the
// stalled proxy changes from round to round. The seeded defect makes all proxies of a crowd share one lock,
// which the stalled proxy keeps.
func Stall(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "stall", Seed: o.Seed, Scale: o.Scale}
	proxies, servers, rounds := o.scaled(1000, 50), o.scaled(1000, 100), o.scaled(10, 4)
	var sides [2]*stallSide
	for i := range sides {
		s, err := startStallSide(ctx, servers, proxies, o.Defect)
		if err != nil {
			return nil, err
		}
		defer s.close()
		sides[i] = s
	}
	time.Sleep(300 * time.Millisecond)
	entries := unreachableEntries(servers)
	var lags [2][]time.Duration
	queue := newRunQueue()
	defer queue.close()
	n, ended, late := 0, 0, 0
	var lateWaited time.Duration // the longest wait of this process's threads for a core in a drain with late acks
	for round := range rounds {
		stalled, other := sides[round%2], sides[1-round%2]
		crowd := stalled.crowd
		victim := crowd.all[round%len(crowd.all)]
		victim.stall.Store(true)
		for range 4 {
			e := entries[(n*7+1)%servers]
			e.State = membership.Draining
			crowd.mark()
			other.crowd.mark()
			notifiedAt, waited, lateBefore := time.Now(), queue.waited(), late
			stalled.discovery.Set(e)
			other.discovery.Set(e)
			var slowest time.Duration // ack in this drain in the crowd without a stalled proxy
			for with, c := range [2]*stallSide{other, stalled} {
				l, err := c.crowd.lags(ctx, notifiedAt)
				if err != nil {
					return nil, fmt.Errorf("drain %d: %w", n, err)
				}
				lags[with] = append(lags[with], l...)
				for _, lag := range l {
					if with == 0 {
						slowest = max(slowest, lag)
					} else if lag > 3*slowest/2+20*time.Millisecond {
						late++
					}
				}
			}
			if late > lateBefore {
				lateWaited = max(lateWaited, queue.waited()-waited)
			}
			e.State = membership.Up
			stalled.discovery.Set(e)
			other.discovery.Set(e)
			n++
			time.Sleep(100 * time.Millisecond)
		}
		// The service ends the connection, which the proxy notices without reading.
		wait, stop := context.WithTimeout(ctx, 5*time.Second)
		if victim.conn.GetState() != connectivity.Ready || victim.conn.WaitForStateChange(wait, connectivity.Ready) {
			ended++
		}
		stop()
		acks := victim.acks.Load()
		victim.stall.Store(false)
		close(victim.resume)
		victim.resume = make(chan struct{})
		if err := crowd.wait(ctx, 10*time.Second, func(l *lightProxy) bool { return l != victim || l.acks.Load() > acks }); err != nil {
			r.fail("the stalled proxy did not recover: %v", err)
		}
	}
	for i := range lags {
		slices.Sort(lags[i])
	}
	p99Without, p99With := percentile(lags[0], 0.99), percentile(lags[1], 0.99)
	r.add("proxies", float64(proxies), "")
	r.add("drains", float64(n), "")
	r.add("p99_without", millis(p99Without), "ms")
	r.add("p99_with_one_stalled", millis(p99With), "ms")
	r.add("max_without", millis(lags[0][len(lags[0])-1]), "ms")
	r.add("max_with", millis(lags[1][len(lags[1])-1]), "ms")
	r.add("stalls", float64(rounds), "")
	r.add("ended", float64(ended), "")
	r.add("late", float64(late), "")
	r.add("waited_when_late", millis(lateWaited), "ms")
	if 100*late > len(lags[1]) {
		r.fail("%d of %d acks later than 1.5 times the slowest ack without a stalled proxy plus 20 ms; p99 %v with one stalled, %v without", late, len(lags[1]), p99With, p99Without)
	}
	if ended < rounds {
		r.fail("%d of %d stalled streams were ended", ended, rounds)
	}
	return r, nil
}
