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
	// latencyRate is the calls a second on a stream, latencyClients the connections that share them.
	latencyRate, latencyClients = 500, 8
	// latencyTurn is the calls on a stream in a turn.
	latencyTurn = latencyRate / 50
	// latencyAgain is how many times as many turns are taken at most where the machine disturbs them.
	latencyAgain = 6
)

var errNotServed = errors.New("a call was not served")

// stream is one way on which calls are sent: to a server, or to the agent before it.
type stream struct {
	w       *world.World
	addr    string
	queue   *runQueue
	clients []*world.Client
}

// Latency measures what the agent adds to a call at 500 calls a second, over HTTP and over framed binary
// Thrift: what it takes through the agent less what it takes straight to a server. The two protocols are called
// at the same time, a call of one between two of the other, so that what else the machine does falls on both
// alike; the two ways take turns of 20 ms. Turns that the machine disturbs are taken again, as far as latencyAgain
// goes, and the calmest are judged. The seeded defects are a Thrift server that behind the agent takes a
// millisecond (odd seeds), or 5 ms for one call in fifty (even seeds).
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
		for _, behind := range []bool{false, true} {
			w, err := world.New(p, opts)
			if err != nil {
				return nil, err
			}
			defer w.Close()
			s := &stream{w: w, addr: w.Servers[0].Entry.Addr, queue: queue}
			if behind {
				s.addr = w.Addr
				through = append(through, s)
			} else {
				direct = append(direct, s)
			}
			if o.Defect && behind && i == 1 {
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
	ways := []*way{{streams: direct}, {streams: through}}
	for _, w := range ways {
		if _, err := w.turn(ctx, queue, 100); err != nil { // warms connections and the module's learning up
			return nil, err
		}
	}
	need := o.scaled(500, 50)
	for i := 0; i < need*latencyAgain && (calm(ways[0].turns) < need || calm(ways[1].turns) < need); i++ {
		for _, w := range ways {
			t, err := w.turn(ctx, queue, latencyTurn)
			if err != nil {
				return nil, err
			}
			w.turns = append(w.turns, t)
			w.odd = !w.odd
		}
	}
	o.logf("%d calls each way", need*latencyTurn)
	judge(r, ways[0].turns, ways[1].turns, need)
	return r, nil
}

// way is one of the two: straight to a server, or through the agent.
type way struct {
	streams []*stream // by protocol
	odd     bool      // Thrift's call comes first
	turns   []timedTurn
}

// turn sends n calls on each stream, one stream's between the other's.
func (w *way) turn(ctx context.Context, queue *runQueue, n int) (t timedTurn, err error) {
	stole, waited, began := stolen(), queue.waited(), time.Now()
	errs := make([]error, len(w.streams))
	var all sync.WaitGroup
	for i, s := range w.streams {
		first := began
		if w.odd != (i == 1) {
			first = first.Add(time.Second / latencyRate / 2)
		}
		all.Go(func() { t.calls[i], errs[i] = s.send(ctx, first, n) })
	}
	all.Wait()
	t.took, t.waited, t.stolen = time.Since(began), queue.waited()-waited, stolen()-stole
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
