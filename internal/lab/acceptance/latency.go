package acceptance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/world"
)

const (
	// latencyRate is the calls per second on a stream, latencyClients the number of connections that share
	// them.
	latencyRate, latencyClients = 500, 8
	// latencyRoundCalls is the number of calls on a stream in a round.
	latencyRoundCalls = latencyRate / 50
	// latencyMaxRepeats bounds the rounds, as a multiple of those wanted, where the machine disturbs them.
	latencyMaxRepeats = 6
)

var errNotServed = errors.New("a call was not served")

// stream sends calls of one protocol to one address: that of a server, or that of the agent in front of it.
type stream struct {
	w       *world.World
	addr    string
	queue   *runQueue
	clients []*world.Client
}

// Latency measures what the agent adds to a call at 500 calls a second, over HTTP and over framed binary
// Thrift: the time through the agent less the time directly to a server. The two protocols are called at the
// same time, a call of one between two of the other, so that other load on the machine affects both alike;
// the two paths alternate in rounds of 20 ms. Rounds that the machine disturbs are repeated, within
// latencyMaxRepeats, and the least disturbed are judged. The seeded defects are a Thrift server that behind
// the agent takes a millisecond (odd seeds), or 5 ms for one call in fifty (even seeds).
func Latency(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "latency", Seed: o.Seed, Scale: o.Scale}
	opts, err := labOptions(o, 3)
	if err != nil {
		return nil, err
	}
	queue := newRunQueue()
	defer queue.close()
	var direct, through []*stream // by protocol
	for i, p := range []world.Protocol{world.HTTP, world.Protocols()[1]} {
		for _, throughAgent := range []bool{false, true} {
			w, err := world.New(p, opts)
			if err != nil {
				return nil, err
			}
			defer w.Close()
			s := &stream{w: w, addr: w.Servers[0].Entry.Addr, queue: queue}
			if throughAgent {
				s.addr = w.Addr
				through = append(through, s)
			} else {
				direct = append(direct, s)
			}
			if o.Defect && throughAgent && i == 1 {
				for _, server := range w.Servers {
					if o.Seed%2 == 1 {
						server.SetWork(time.Millisecond)
					} else {
						server.SetTail(50, 5*time.Millisecond)
					}
				}
			}
			for range latencyClients {
				c, err := p.Dial(s.addr, 10*time.Minute)
				if err != nil {
					return nil, err
				}
				defer c.Close()
				s.clients = append(s.clients, c)
			}
		}
	}
	paths := []*path{{streams: direct}, {streams: through}}
	for _, p := range paths {
		if _, err := p.runRound(ctx, queue, 100); err != nil { // warms up the connections and what the policy module learns
			return nil, err
		}
	}
	wanted := o.scaled(500, 50)
	for i := 0; i < wanted*latencyMaxRepeats && (countCalm(paths[0].rounds) < wanted || countCalm(paths[1].rounds) < wanted); i++ {
		for _, p := range paths {
			t, err := p.runRound(ctx, queue, latencyRoundCalls)
			if err != nil {
				return nil, err
			}
			p.rounds = append(p.rounds, t)
			p.thriftFirst = !p.thriftFirst
		}
	}
	o.logf("%d calls judged on each path", wanted*latencyRoundCalls)
	judge(r, paths[0].rounds, paths[1].rounds, wanted)
	return r, nil
}

// path is the streams of both protocols on one path: directly to a server, or through the agent.
type path struct {
	streams     []*stream // by protocol
	thriftFirst bool      // in the next round, Thrift's first call precedes HTTP's
	rounds      []timedRound
}

// runRound sends n calls on each stream, those of one stream between those of the other.
func (p *path) runRound(ctx context.Context, queue *runQueue, n int) (t timedRound, err error) {
	stolenBefore, waited, began := stealTime(), queue.waited(), time.Now()
	errs := make([]error, len(p.streams))
	var all sync.WaitGroup
	for i, s := range p.streams {
		first := began
		if p.thriftFirst != (i == 1) {
			first = first.Add(time.Second / latencyRate / 2)
		}
		all.Go(func() { t.calls[i], errs[i] = s.send(ctx, first, n) })
	}
	all.Wait()
	t.took, t.waited, t.stolen = time.Since(began), queue.waited()-waited, stealTime()-stolenBefore
	return t, errors.Join(errs...)
}

// send sends n calls at the rate, in an open loop over the clients.
func (s *stream) send(ctx context.Context, first time.Time, n int) ([]timedCall, error) {
	calls := make([]timedCall, n)
	errs := make([]error, len(s.clients))
	var all sync.WaitGroup
	for k, c := range s.clients {
		all.Go(func() {
			for i := k; i < n && ctx.Err() == nil; i += len(s.clients) {
				time.Sleep(time.Until(first.Add(time.Duration(i) * time.Second / latencyRate)))
				r := s.w.Request("order", 1200*time.Millisecond)
				r.Key = r.Op
				b := s.w.Protocol.Encode(r)
				s.w.Ledger.AttemptStarted(r.Op, r.Effect, r.Op, time.Now().Add(r.Timeout))
				waited := s.queue.waited()
				from := time.Now()
				if _, err := c.Write(b); err != nil {
					errs[k] = err
					return
				}
				a, err := c.Read()
				calls[i].took = time.Since(from)
				calls[i].waited = s.queue.waited() - waited
				if err == nil && a.Outcome != lab.Served && !calls[i].starved(r.Timeout) {
					err = errNotServed
				}
				if err != nil {
					errs[k] = fmt.Errorf("%s: %w: %+v, took %v, of which the process waited %v for a core; the agent's rules: %s",
						r.Op, err, a, calls[i].took, calls[i].waited, s.w.Unserved())
					return
				}
				s.w.Ledger.Answered(r.Op, a.Outcome, time.Now())
			}
		})
	}
	all.Wait()
	return calls, errors.Join(append(errs, ctx.Err())...)
}
