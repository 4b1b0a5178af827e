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
	// soakRounds is how often the process is ended at full scale.
	soakRounds = 20
	// killSlack is how long after the longest deadline SIGKILL comes, soakAnswerSlack how late an answer may
	// be before it counts as lost (both from the operators' pages).
	killSlack, soakAnswerSlack = 700 * time.Millisecond, 500 * time.Millisecond
	// soakClients is the number of clients that go on using their connections until the kill; half of them
	// open a new connection for each request.
	soakClients = 8
	// crowdSize is the number of additional clients or connections of a crowd at full scale, within what an
	// agent with 512 sockets accepts; minCrowdSize is the least at smaller scales.
	crowdSize, minCrowdSize = 80, 20
)

// Soak ends one agent's process repeatedly, as a planned restart does, while clients go on using each
// connection that stays open; SIGKILL follows at the earliest time that the operators' page allows. Signals
// come in series; some seeds have a crowd of connections, servers that hang, and a successor that runs beside
// the process that ends. It checks, at clients and stand-ins, rules 1 to 3, connections that are reset when a
// listener closes, and the exit code and time of each process. The seeded defect is a process that is stopped
// (SIGSTOP) during its shutdown.
func Soak(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "soak", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	plan := drawSoak(rng)
	rules := lab.DefaultRules()
	rules.ByZone, rules.AnswerSlack = true, soakAnswerSlack
	f := &fleet{o: o, ledger: lab.NewLedger(rules), deadline: plan.deadline, endWithin: plan.deadline + killSlack}
	if o.Defect {
		f.defect = stoppedProcess
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
	if err := a.start(ctx); err != nil || len(f.failures) > 0 {
		r.Failures = f.failures
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

// newSoakAgent returns the agent of a soak; no process of it runs yet.
func (f *fleet) newSoakAgent(dir string, plan soakPlan) (*fleetAgent, error) {
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	a := &fleetAgent{f: f, dir: dir, addr: addrs[0]}
	if plan.successors {
		a.tempDir = a.dir
	}
	return a, os.Mkdir(a.dir, 0o700)
}

// soak is the state of one run.
type soak struct {
	*fleet
	agent              *fleetAgent
	plan               soakPlan
	connectionsRefused int // until the last process was ended
	maxLateness        atomic.Int64
}

// run ends the agent's processes repeatedly while clients run, then stops the clients and ends the last
// process.
func (s *soak) run(ctx context.Context, rng *rand.Rand) error {
	clientsCtx, stopTraffic := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stopTraffic()
	s.startClients(clientsCtx, &running, s.agent, s.plan.crowd)
	running.Go(func() { watchLateness(clientsCtx, &s.maxLateness) })
	running.Go(func() { s.idleExits.watch(clientsCtx) })
	for range s.o.scaled(soakRounds, 2) {
		select {
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := s.restart(ctx, s.agent, s.plan, drawSignals(rng, s.endWithin)); err != nil {
			return err
		}
		if len(s.failures) > 0 {
			break // after a process had to be killed, later results are not meaningful
		}
	}
	s.mu.Lock()
	s.connectionsRefused = s.refusedConns
	s.mu.Unlock()
	stopTraffic()
	running.Wait()
	s.agent.end(false)
	s.openAtEnd.Wait()
	return nil
}

// report adds the figures to the report and checks them.
func (s *soak) report(r *Report) {
	broken, details := s.ledger.Violations(time.Now().Add(heldTimeout))
	t := s.ledger.Totals
	r.Failures = s.failures
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
	r.add("machine_late", millis(time.Duration(s.maxLateness.Load())), "ms")
	r.add("idle_exit", millis(s.idleExits.longestEver()), "ms")
	r.add("slowest_end", millis(s.slowestEnd), "ms")
	for rule, n := range broken {
		r.fail("rule %d broken %d times: %s", rule, n, details[0])
	}
	if s.resets > 0 {
		r.fail("%d connections were reset when a listener closed, over %d ends", s.resets, s.ends)
	}
	if s.plan.successors && s.connectionsRefused > 0 {
		r.fail("%d connections refused while a successor served", s.connectionsRefused)
	}
	if minimum := 20 * s.ends; t.Served < minimum {
		r.fail("only %d served: too few to judge", t.Served)
	}
}

// watchLateness records the most by which a sleeping goroutine woke late: the delay that a busy machine
// causes.
func watchLateness(ctx context.Context, maxLateness *atomic.Int64) {
	const sleep = time.Millisecond
	for ctx.Err() == nil {
		from := time.Now()
		time.Sleep(sleep)
		if late := int64(time.Since(from) - sleep); late > maxLateness.Load() {
			maxLateness.Store(late)
		}
	}
}

// serve starts stand-in servers, of which some hang, and the discovery services that list them.
func (f *fleet) serve(servers, hanging int) (closeAll func(), err error) {
	var entries []membership.Entry
	closeAll = func() {
		for _, s := range f.servers {
			s.Close()
		}
		for _, r := range f.discoveries {
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
		if f.defect == wrongZones {
			s.Entry.Zone = zones[i/len(zones)%len(zones)]
		}
		if i < hanging {
			s.Set(lab.Silent)
		}
		f.servers, entries = append(f.servers, s), append(entries, s.Entry)
	}
	for i := range f.discoveries {
		if f.discoveries[i], err = lab.NewDiscoveryService(entries...); err != nil {
			closeAll()
			return nil, err
		}
	}
	return closeAll, nil
}

// startClients starts the clients of a soak, and its crowd.
func (f *fleet) startClients(ctx context.Context, running *sync.WaitGroup, a *fleetAgent, kind crowdKind) {
	active, crowd := soakClients, f.o.scaled(crowdSize, minCrowdSize)
	if kind == busyCrowd {
		active += crowd
	}
	for w := range active {
		running.Go(func() {
			c := fleetClient{f: f, a: a, name: fmt.Sprintf("0-%d", w), rng: rand.New(rand.NewPCG(f.o.Seed, uint64(w))), newConnEach: w%2 == 1}
			c.run(ctx)
		})
	}
	if kind != idleCrowd {
		return
	}
	for w := range crowd {
		running.Go(func() { holdIdleConnection(ctx, a.addr, w%2 == 1) })
	}
}

// holdIdleConnection keeps a connection open that sends nothing, or half of a request header. It reconnects
// until ctx ends.
func holdIdleConnection(ctx context.Context, addr string, halfHeader bool) {
	const pause = 20 * time.Millisecond
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		if halfHeader {
			io.WriteString(c, "GET /api/a HTTP/1.1\r\nHost: x\r\n")
		}
		stopWatching := context.AfterFunc(ctx, func() { c.Close() })
		io.Copy(io.Discard, c) // until the agent closes it
		stopWatching()
		c.Close()
		time.Sleep(pause)
	}
}

// restart ends the agent's process with a series of signals. The next process starts after that or, if the
// plan has successors, before.
func (f *fleet) restart(ctx context.Context, a *fleetAgent, plan soakPlan, series []signalAfter) error {
	f.startHeldRequest(ctx, a)
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
