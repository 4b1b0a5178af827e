package prove

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

const (
	// latencyRate is the calls a second, latencyClients the connections that share them.
	latencyRate, latencyClients = 500, 8
	// latencyBound is how far above HTTP's Thrift's figures may be.
	latencyBound = 1.10
)

// stream is one way on which calls are sent: to a server, or to the agent before it.
type stream struct {
	w       *world.World
	addr    string
	clients []*world.Client
	took    []time.Duration
}

// Latency measures what the agent adds to a call at 500 calls a second, over HTTP and over framed binary
// Thrift: what it takes through the agent less what it takes straight to a server. The four streams take
// turns of a quarter of a second, so that what else the machine does falls on all alike. The seeded defect
// is a Thrift server that takes a millisecond only behind the agent.
func Latency(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "latency", Seed: o.Seed, Scale: o.Scale}
	opts, err := labOptions(o, 3)
	if err != nil {
		return nil, err
	}
	var streams []*stream // direct and through, by protocol
	protocols := []world.Protocol{world.HTTP, world.Protocols()[1]}
	for i, p := range protocols {
		direct, err := world.New(p, opts)
		if err != nil {
			return nil, err
		}
		defer direct.Close()
		through, err := world.New(p, opts)
		if err != nil {
			return nil, err
		}
		defer through.Close()
		if o.Defect && i == 1 {
			for _, s := range through.Servers {
				s.SetWork(time.Millisecond)
			}
		}
		streams = append(streams, &stream{w: direct, addr: direct.Servers[0].Entry.Addr}, &stream{w: through, addr: through.Addr})
	}
	for _, s := range streams {
		for range latencyClients {
			c, err := s.w.Protocol.Dial(s.addr, 10*time.Minute)
			if err != nil {
				return nil, err
			}
			defer c.Close()
			s.clients = append(s.clients, c)
		}
		if err := s.turn(ctx, 100); err != nil { // warms connections and the module's learning up
			return nil, err
		}
		s.took = nil
	}
	const each = latencyRate / 4 // a turn's
	for range o.scaled(40, 4) {
		for _, s := range streams {
			if err := s.turn(ctx, each); err != nil {
				return nil, err
			}
		}
	}
	added := map[string][2]float64{}
	for i, p := range protocols {
		var v [2]float64
		direct, through := streams[2*i].took, streams[2*i+1].took
		slices.Sort(direct)
		slices.Sort(through)
		name := []string{"http", "thrift"}[i]
		for j, q := range []float64{0.5, 0.99} {
			d, t := percentile(direct, q), percentile(through, q)
			v[j] = float64((t - d).Microseconds())
			r.add(fmt.Sprintf("%s_p%.0f_direct", name, q*100), float64(d.Microseconds()), "us")
			r.add(fmt.Sprintf("%s_p%.0f_through", name, q*100), float64(t.Microseconds()), "us")
			r.add(fmt.Sprintf("%s_p%.0f_added", name, q*100), v[j], "us")
		}
		added[name] = v
		o.logf("%s: %d calls each way", p.Name, len(through))
	}
	for j, q := range []string{"p50", "p99"} {
		ratio := added["thrift"][j] / added["http"][j]
		r.add("thrift_by_http_"+q, ratio, "")
		if ratio > latencyBound {
			r.short("Thrift's added %s is %.2f times HTTP's, %v allowed", q, ratio, latencyBound)
		}
	}
	return r, nil
}

// turn sends n calls at the rate, in an open loop over the clients.
func (s *stream) turn(ctx context.Context, n int) error {
	began := time.Now()
	took := make([]time.Duration, n)
	errs := make([]error, len(s.clients))
	var all sync.WaitGroup
	for k, c := range s.clients {
		all.Go(func() {
			for i := k; i < n && ctx.Err() == nil; i += len(s.clients) {
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / latencyRate)))
				r := s.w.Request("order", 1200*time.Millisecond)
				r.Key = r.Op
				b := s.w.Protocol.Encode(r)
				s.w.Ledger.Asked(r.Op, r.Effect, r.Op, time.Now().Add(r.Within))
				from := time.Now()
				if _, err := c.Write(b); err != nil {
					errs[k] = err
					return
				}
				a, err := c.Read()
				took[i] = time.Since(from)
				if err != nil || a.Verdict != lab.Served {
					errs[k] = fmt.Errorf("%s: %+v, %w", r.Op, a, err)
					return
				}
				s.w.Ledger.Answered(r.Op, a.Verdict, time.Now())
			}
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	s.took = append(s.took, took...)
	return ctx.Err()
}
