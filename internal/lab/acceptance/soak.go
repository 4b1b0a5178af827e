package acceptance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// soakRounds is how often the process of a whole soak is ended.
	soakRounds = 20
	// killSlack is how much later than the longest deadline SIGKILL comes, soakLate how late an answer may be: later it
	// counts as lost (the operators' pages).
	killSlack, soakLate = 700 * time.Millisecond, 500 * time.Millisecond
	// soakClients go on using their connections until the kill; half of them also connect anew all the time.
	soakClients = 8
	// crowdSize is how many clients more the crowd of a whole soak has: within what an agent with 512 sockets takes.
	// leastCrowd is the least of a smaller one.
	crowdSize, leastCrowd = 80, 20
)

// Soak ends one agent's process again and again, as a planned restart does, while clients go on using each connection
// that stays open, until SIGKILL comes at the earliest that the operators' page allows. Signals come in series; some
// seeds have a crowd, servers that hang, and a successor beside the process that ends. Counted at clients and stand-ins:
// rules 1 to 3, connections that are reset as a listener ends, and how and when each process ends. The seeded defect is
// a process that is stopped at its end.
func Soak(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "soak", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	plan := drawSoak(rng)
	rules := lab.DefaultRules()
	rules.ByZone, rules.AnswerSlack = true, soakLate
	f := &fleet{o: o, ledger: lab.NewLedger(rules), deadline: plan.deadline, endWithin: plan.deadline + killSlack}
	if o.Defect {
		f.defect = stuck
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	closeServers, err := f.serve(soakServers, plan.hanging)
	if err != nil {
		return nil, err
	}
	defer closeServers()
	a, err := f.newSoakAgent(filepath.Join(dir, "agent"), plan)
	if err != nil {
		return nil, err
	}
	if err := a.start(ctx); err != nil || len(f.short) > 0 {
		r.Failures = f.short
		return r, err
	}
	defer a.kill()
	s := &soak{fleet: f, agent: a, plan: plan}
	if err := s.run(ctx, rng); err != nil {
		return nil, err
	}
	s.report(r)
	return r, nil
}

// newSoakAgent returns the agent of a soak, whose processes are not started yet.
func (f *fleet) newSoakAgent(dir string, plan soakPlan) (*fleetAgent, error) {
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	a := &fleetAgent{f: f, dir: dir, addr: addrs[0]}
	if plan.successors {
		a.tmp = a.dir
	}
	return a, os.Mkdir(a.dir, 0o700)
}

// soak is one run: an agent that is ended again and again, and what is seen meanwhile.
type soak struct {
	*fleet
	agent              *fleetAgent
	plan               soakPlan
	connectionsRefused int // as long as there was to be a process
	lateness           atomic.Int64
}

// run ends the agent's processes beside its clients, and ends the clients and the last process.
func (s *soak) run(ctx context.Context, rng *rand.Rand) error {
	traffic, stopTraffic := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stopTraffic()
	s.clients(traffic, &running, s.agent, s.plan.crowd)
	running.Go(func() { watchLateness(traffic, &s.lateness) })
	running.Go(func() { s.idleExits.watch(traffic) })
	for range s.o.scaled(soakRounds, 2) {
		select {
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := s.restart(ctx, s.agent, s.plan, drawSignals(rng, s.endWithin)); err != nil {
			return err
		}
		if len(s.short) > 0 {
			break // what comes behind a process that had to be killed says nothing
		}
	}
	s.mu.Lock()
	s.connectionsRefused = s.turned
	s.mu.Unlock()
	stopTraffic()
	running.Wait()
	s.agent.end(false)
	s.held.Wait()
	return nil
}

// report puts what was seen into the report, and judges it.
func (s *soak) report(r *Report) {
	broken, words := s.ledger.Violations(time.Now().Add(heldFor))
	t := s.ledger.Totals
	r.Failures = s.short
	r.add("deadline", millis(s.plan.deadline), "ms")
	r.add("crowd", float64(s.plan.crowd), "")
	r.add("hanging", float64(s.plan.hanging), "")
	r.add("ends", float64(s.ends), "")
	r.add("requests", float64(t.Attempts), "")
	r.add("served", float64(t.Served), "")
	r.add("refused", float64(t.Rejected), "")
	r.add("failed", float64(t.Failed), "")
	r.add("connections_refused", float64(s.connectionsRefused), "")
	r.add("reset_at_an_end", float64(s.resets), "")
	r.add("machine_late", millis(time.Duration(s.lateness.Load())), "ms")
	r.add("idle_exit", millis(s.idleExits.longestEver()), "ms")
	r.add("slowest_end", millis(s.slowestEnd), "ms")
	for rule, n := range broken {
		r.short("rule %d broken %d times: %s", rule, n, words[0])
	}
	if s.resets > 0 {
		r.short("%d connections reset as a listener ended, over %d ends", s.resets, s.ends)
	}
	if s.plan.successors && s.connectionsRefused > 0 {
		r.short("%d connections refused while a next process served", s.connectionsRefused)
	}
	if least := 20 * s.ends; t.Served < least {
		r.short("only %d served: the proof says nothing", t.Served)
	}
}

// watchLateness notes by how much a goroutine that only sleeps was late at the most: what a busy machine takes.
func watchLateness(ctx context.Context, most *atomic.Int64) {
	const nap = time.Millisecond
	for ctx.Err() == nil {
		from := time.Now()
		time.Sleep(nap)
		if late := int64(time.Since(from) - nap); late > most.Load() {
			most.Store(late)
		}
	}
}

// serve starts stand-in servers, of which some hang, and the rosters that list them.
func (f *fleet) serve(servers, hanging int) (closeAll func(), err error) {
	var entries []membership.Entry
	closeAll = func() {
		for _, s := range f.servers {
			s.Close()
		}
		for _, r := range f.rosters {
			if r != nil {
				r.Close()
			}
		}
	}
	for i := range servers {
		s, err := lab.NewBackend(fmt.Sprintf("s-%02d", i), zones[i%len(zones)], time.Millisecond, f.ledger)
		if err != nil {
			closeAll()
			return nil, err
		}
		f.ledger.SetZone(s.ID, s.Entry.Zone)
		if f.defect == misplaced {
			s.Entry.Zone = zones[i/len(zones)%len(zones)]
		}
		if i < hanging {
			s.Set(lab.Silent)
		}
		f.servers, entries = append(f.servers, s), append(entries, s.Entry)
	}
	for i := range f.rosters {
		if f.rosters[i], err = lab.NewDiscoveryService(entries...); err != nil {
			closeAll()
			return nil, err
		}
	}
	return closeAll, nil
}

// clients starts the clients of a soak, and its crowd.
func (f *fleet) clients(ctx context.Context, running *sync.WaitGroup, a *fleetAgent, more crowdKind) {
	asking, crowd := soakClients, f.o.scaled(crowdSize, leastCrowd)
	if more == busyCrowd {
		asking += crowd
	}
	for w := range asking {
		running.Go(func() {
			c := fleetClient{f: f, a: a, name: fmt.Sprintf("0-%d", w), rng: rand.New(rand.NewPCG(f.o.Seed, uint64(w))), anew: w%2 == 1}
			c.run(ctx)
		})
	}
	if more != idleCrowd {
		return
	}
	for w := range crowd {
		running.Go(func() { stayIdle(ctx, a.addr, w%2 == 1) })
	}
}

// stayIdle stays connected and brings nothing, or half a head; it comes back until ctx ends.
func stayIdle(ctx context.Context, addr string, half bool) {
	const pause = 20 * time.Millisecond
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		if half {
			io.WriteString(c, "GET /api/a HTTP/1.1\r\nHost: x\r\n")
		}
		over := context.AfterFunc(ctx, func() { c.Close() })
		io.Copy(io.Discard, c) // until the agent ends it
		over()
		c.Close()
		time.Sleep(pause)
	}
}

// restart ends the agent's process with these signals, and starts the next one behind it or, with successors, before.
func (f *fleet) restart(ctx context.Context, a *fleetAgent, plan soakPlan, series []signalAfter) error {
	f.hold(ctx, a)
	old := a.cmd
	if plan.successors {
		if err := a.startBeside(ctx); err != nil {
			return err
		}
	}
	a.endBy(old, series)
	if plan.successors {
		return nil
	}
	return a.start(ctx)
}
