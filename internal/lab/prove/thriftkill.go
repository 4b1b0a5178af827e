package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	thriftfront "ringtrack.example/ringtrack/internal/front/thrift"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	thriftup "ringtrack.example/ringtrack/internal/upstream/thrift"
	"ringtrack.example/ringtrack/internal/wire"
)

// ThriftKill makes unsafe calls over Thrift while servers' connections are reset at random points. The
// servers' side counts what ran. The seeded defect is a client
// that comes back with what has failed.
func ThriftKill(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "thrift-kill", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	ledger := lab.NewLedger(lab.DefaultRules())
	enc := thriftlab.Encodings()[o.Seed%6]
	var servers []*thriftlab.Server
	var entries []membership.Entry
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	for i := range 6 {
		s, err := thriftlab.NewServer(fmt.Sprint("s-", i), enc, ledger)
		if err != nil {
			return nil, err
		}
		s.Work = 2 * time.Millisecond
		servers, entries = append(servers, s), append(entries, s.Entry)
	}
	roster, err := lab.NewRoster(entries...)
	if err != nil {
		return nil, err
	}
	defer roster.Close()
	settings, err := wire.ParseSettings(service.Settings)
	if err != nil {
		return nil, err
	}
	var names struct {
		Zones []string `json:"failureDomains"`
	}
	if err := json.Unmarshal(service.Settings, &names); err != nil {
		return nil, err
	}
	table, err := (&thriftfront.Config{Listen: "127.0.0.1:1", FrameLimit: 1 << 20, DepthLimit: 32, Unlisted: "unsafe", Class: "order"}).Table(settings.Classes)
	if err != nil {
		return nil, err
	}
	limits := thriftwire.Limits{Size: 1 << 20, Depth: 32}
	budget := semaphore.NewWeighted(16 << 20)
	up := &thriftup.Upstream{Pool: conns.New(time.Second, 10*time.Second, 256), Budget: budget, Limits: limits}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop, err := core.New(inner, core.Config{Discovery: roster.Addr, Known: roster.List(), Settings: settings, Seed: o.Seed, Zones: names.Zones},
		budget, []core.Upstream{up}, func() {})
	if err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() { defer close(ended); loop.Run() }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	front := &thriftfront.Front{Loop: loop, Upstream: up, Budget: budget, Table: table, Limits: limits, Most: 256, AfterMs: 100, Linger: 10 * time.Millisecond}
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()

	calls := o.scaled(10_000, 200)
	var next, kills, unanswered atomic.Int64
	killing, stop := context.WithCancel(ctx)
	var killer sync.WaitGroup
	killer.Go(func() {
		for killing.Err() == nil {
			time.Sleep(time.Duration(rng.IntN(20_000)) * time.Microsecond)
			servers[rng.IntN(len(servers))].Cut()
			kills.Add(1)
		}
	})
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			var c *thriftlab.Client
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(calls) {
					return
				}
				op := fmt.Sprint("op-", n)
				for try := range 2 {
					if c == nil {
						var err error
						if c, err = thriftlab.Dial(ln.Addr().String(), enc, 5*time.Second); err != nil {
							return
						}
					}
					ledger.Asked(op, lab.Unsafe, op, time.Now().Add(1200*time.Millisecond))
					_, code, err := c.Place("order", &thriftlab.Order{Op: op, Key: op})
					switch {
					case err == nil:
						ledger.Answered(op, lab.Served, time.Now())
					case code == thriftfront.Refused:
						ledger.Answered(op, lab.Refused, time.Now())
					case code >= 0:
						ledger.Answered(op, lab.Failed, time.Now())
					default:
						unanswered.Add(1)
						ledger.Unanswered(op)
						c.Close()
						c = nil
					}
					if !o.Defect || err == nil || try > 0 {
						break
					}
				}
			}
		})
	}
	clients.Wait()
	stop()
	killer.Wait()
	front.Shutdown(ln, 2*time.Second)
	err = <-served
	cancel()
	<-ended
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	broken, words := ledger.Breaches(time.Now().Add(time.Minute))
	t := ledger.Totals
	r.add("calls", float64(calls), "")
	r.add("resets", float64(kills.Load()), "")
	r.add("served", float64(t.Served), "")
	r.add("refused", float64(t.Refused), "")
	r.add("failed", float64(t.Failed), "")
	r.add("unanswered", float64(unanswered.Load()), "")
	r.add("ran_twice", float64(broken[2]), "")
	r.add("late_or_lost", float64(broken[1]), "")
	o.logf("in %s", enc.Name)
	if len(broken) > 0 {
		r.short("rules broken %v: %v", broken, words[0])
	}
	if kills.Load() < int64(calls)/500 || t.Served < calls/2 {
		r.short("%d resets, %d of %d calls served: the proof says little", kills.Load(), t.Served, calls)
	}
	return r, nil
}
