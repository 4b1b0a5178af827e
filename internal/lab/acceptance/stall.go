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

// stallSide is one control service with its own crowd.
type stallSide struct {
	roster *lab.DiscoveryService
	svc    *service.Service
	crowd  *crowd
}

// startStallSide starts one; turns says that its proxies take turns by one lock.
func startStallSide(ctx context.Context, servers, proxies int, turns bool) (*stallSide, error) {
	s := &stallSide{}
	var err error
	if s.roster, err = lab.NewDiscoveryService(paper(servers)...); err != nil {
		return nil, err
	}
	if s.svc, err = service.StartWith(s.roster, nil); err != nil {
		s.close()
		return nil, err
	}
	var turn *sync.Mutex
	if turns {
		turn = &sync.Mutex{}
	}
	if s.crowd, err = newCrowd(ctx, s.svc.Addr, delta, proxies, turn); err != nil {
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
	s.roster.Close()
}

// Stall measures told → ack of a crowd of which one proxy reads nothing, beside a second service with a
// crowd of its own of which all read, and that the one is seen and its stream ended. Both are told of a
// drain at the same moment, so that what else the machine does falls on both, and each drain is held to
// what the other crowd had in it; who has the proxy that stalls changes from turn to turn. The seeded defect lets all proxies of a crowd take turns by one lock,
// which the one that stalls keeps.
func Stall(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "stall", Seed: o.Seed, Scale: o.Scale}
	proxies, servers, turns := o.scaled(1000, 50), o.scaled(1000, 100), o.scaled(10, 4)
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
	entries := paper(servers)
	var lags [2][]time.Duration
	queue := newRunQueue()
	defer queue.close()
	n, ended, late := 0, 0, 0
	var lateWaited time.Duration // what this process's threads waited for a core in the drains with late ones, at the most
	for turn := range turns {
		stalled, other := sides[turn%2], sides[1-turn%2]
		crowd := stalled.crowd
		victim := crowd.all[turn%len(crowd.all)]
		victim.stall.Store(true)
		for range 4 {
			e := entries[(n*7+1)%servers]
			e.State = membership.Draining
			crowd.mark()
			other.crowd.mark()
			told, waited, lateBefore := time.Now(), queue.waited(), late
			stalled.roster.Set(e)
			other.roster.Set(e)
			var slowest time.Duration // of those beside whom nobody stalls, in this drain
			for with, c := range [2]*stallSide{other, stalled} {
				l, err := c.crowd.lags(ctx, told)
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
			stalled.roster.Set(e)
			other.roster.Set(e)
			n++
			time.Sleep(100 * time.Millisecond)
		}
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
	r.add("stalls", float64(turns), "")
	r.add("ended", float64(ended), "")
	r.add("late", float64(late), "")
	r.add("waited_when_late", millis(lateWaited), "ms")
	if 100*late > len(lags[1]) {
		r.short("%d of %d later than half as much again, and 20 ms, as the slowest without had it; p99 %v with one stalled, %v without", late, len(lags[1]), with, without)
	}
	if ended < turns {
		r.short("%d of %d stalled streams were ended", ended, turns)
	}
	return r, nil
}
