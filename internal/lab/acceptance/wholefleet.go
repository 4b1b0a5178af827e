package acceptance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// fleetDeadline is the deadline of all classes in fleetSettings, so that a graceful shutdown takes at
	// most 1.3 s.
	fleetDeadline = 600 * time.Millisecond
	fleetSettings = `{"classes":[
{"name":"read","aimMs":200,"giveUpMs":600,"effect":"free","credit":1,"lateShare":0.2},
{"name":"send","aimMs":300,"giveUpMs":600,"effect":"guarded","group":"zone","keyTtlMs":1200,"credit":2,"lateShare":0.2},
{"name":"order","aimMs":300,"giveUpMs":600,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":2000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
"failureDomains":["east","west","south"],"shapes":["fast"],"clients":{"marksRetry":true},
"limits":{"cancelling":true,"connectTimeoutMs":150,"keepaliveMs":5000,"maxAttempts":3,"maxRetryAfterMs":100,"retryAfter":true,"openCap":1000},
"membershipMode":"pushed","objectiveMix":{"whole":1},"replicasOfMe":1,"roundMs":5,"weights":"nominal","worthBy":"request"}`
	// endWithin is how long after SIGTERM SIGKILL may follow with these deadlines (protocol page, "Figures");
	// readyWithin bounds the start of a process, of which many start at once.
	endWithin, readyWithin = 1300 * time.Millisecond, 5 * time.Second
	// sharedMachineScale is the scale below which the proof runs as an ordinary test, along with others on
	// few cores: there the time bounds are looser, so that the result depends on the program and not on the
	// machine's load.
	sharedMachineScale, sharedMachineSlack = 0.15, 500 * time.Millisecond
	// heldTimeout is the timeout of a request that has to be open at the signal.
	heldTimeout = 20 * time.Second
	// servedBetweenEnds is how many requests are served from one group's start to the next one's end, unless
	// that takes longer than trafficWithin.
	servedBetweenEnds, trafficWithin = 120, 5 * time.Second
)

// fleetDefect is a defect that the lab can seed, which the proof has to detect; the seed of the run selects
// it.
type fleetDefect int

const (
	noDefect        fleetDefect = iota
	falseNotStarted             // servers state that nothing ran although the request did
	halfWritten                 // a configuration file stays half written at a start
	stoppedProcess              // a process is stopped (SIGSTOP) during its shutdown
	shortKeyWindow              // servers deduplicate an idempotency key for 1 ms only
	wrongZones                  // discovery reports wrong zones of servers
	defectCount
)

// fleet is what a proof of agents runs: discovery, servers and agents, and what was measured.
type fleet struct {
	o           *Options
	defect      fleetDefect
	ledger      *lab.Ledger
	discoveries [2]*lab.DiscoveryService // the second takes over from the first
	current     atomic.Int32             // index of the one that new configurations name
	servers     []*lab.Backend
	agents      []*fleetAgent
	// endWithin is how long a shutdown may take.
	endWithin time.Duration
	deadline  time.Duration  // of each class and client
	openAtEnd sync.WaitGroup // requests that have to be open at a signal
	idleExits idleExits      // measured during the shutdowns

	mu                                       sync.Mutex
	failures                                 []string
	slowestEnd, slowestReady                 time.Duration
	starts, ends, kills, repeatedIDs, resets int
	refusedConns                             int // TCP connections that were refused
}

func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) < 10 {
		f.failures = append(f.failures, fmt.Sprintf(format, args...))
	}
}

// settings are fleetSettings with the fleet's deadline.
func (f *fleet) settings() string {
	giveUp := func(d time.Duration) string { return fmt.Sprintf(`"giveUpMs":%d`, d.Milliseconds()) }
	return strings.ReplaceAll(fleetSettings, giveUp(fleetDeadline), giveUp(f.deadline))
}

// updateDiscovery applies a change to both discovery services.
func (f *fleet) updateDiscovery(change func(*lab.DiscoveryService)) {
	for _, r := range f.discoveries {
		change(r)
	}
}

// awaitServed returns once n more requests have been served, or after trafficWithin.
func (f *fleet) awaitServed(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, trafficWithin)
	defer cancel()
	for enough := f.ledger.ServedSoFar() + n; f.ledger.ServedSoFar() < enough && ctx.Err() == nil; {
		time.Sleep(10 * time.Millisecond)
	}
}

// replace replaces a server: it drains, and returns at the same address with a new id or in another cell.
func (f *fleet) replace(s *lab.Backend, newID bool) {
	f.ledger.NotifiedDraining(s.ID, time.Now())
	e := s.Entry
	e.State = membership.Draining
	f.updateDiscovery(func(r *lab.DiscoveryService) { r.Set(e) })
	time.Sleep(400 * time.Millisecond)
	old := s.Entry.ID
	f.updateDiscovery(func(r *lab.DiscoveryService) { r.Remove(old) })
	s.ResetConnections()
	if newID {
		s.Entry.ID += "'"
	} else {
		s.Entry.Cell++
	}
	s.Entry.StartedMs = float64(time.Now().UnixMilli())
	f.ledger.InService(s.ID)
	f.updateDiscovery(func(r *lab.DiscoveryService) { r.Set(s.Entry) })
}

// injectFaults puts random servers into a faulty mode for 20 to 80 ms each and breaks connections, until ctx
// ends.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	modes := []lab.Mode{lab.Failing, lab.Rejecting, lab.ResetAfterRun, lab.TruncatedAnswer, lab.AnswerTwice, lab.ByteByByte, lab.Silent, lab.WrongProtocol, lab.ResetAtEachByte, lab.ResetAtEachByte}
	if f.defect == falseNotStarted {
		modes = []lab.Mode{lab.FalseNotStarted}
	}
	for ctx.Err() == nil {
		s := f.servers[rng.IntN(len(f.servers))]
		s.Set(modes[rng.IntN(len(modes))])
		select {
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		case <-ctx.Done():
		}
		s.Set(lab.Serving)
		f.servers[rng.IntN(len(f.servers))].ResetConnections()
	}
}

// WholeFleet restarts a fleet of agents, each a process, under traffic: in tenths with SIGTERM, some with
// SIGKILL, each start while the configuration file is being written; SIGHUP on a half-written file that moves
// discovery; six in ten servers replaced; servers that fail, reject, break off and answer twice; clients that
// disconnect early, retry at once and repeat the id of a finished request. It checks, at the stand-ins,
// answers, runs and requests after a drain; and each process's exit code, shutdown time and time until ready.
// The seeded defects are those of fleetDefect.
func WholeFleet(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "whole-fleet", Seed: o.Seed, Scale: o.Scale}
	f := &fleet{o: o, endWithin: endWithin, deadline: fleetDeadline}
	if o.Defect {
		f.defect = 1 + fleetDefect(o.Seed%uint64(defectCount-1))
	}
	rules := lab.DefaultRules()
	rules.ByZone = true
	if o.Scale < sharedMachineScale {
		rules.AnswerSlack, f.endWithin = sharedMachineSlack, 2*endWithin
	}
	if f.defect == shortKeyWindow {
		rules.KeyWindow = time.Millisecond
	}
	f.ledger = lab.NewLedger(rules)
	rng := o.rng()
	dir, err := os.MkdirTemp("", "whole-fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	closeServers, err := f.serve(o.scaled(20, 6), 0)
	if err != nil {
		return nil, err
	}
	defer closeServers()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addrs, err := freeAddrs(o.scaled(40, 4))
	if err != nil {
		return nil, err
	}
	for i, addr := range addrs {
		a := &fleetAgent{f: f, dir: filepath.Join(dir, fmt.Sprintf("n%02d", i)), addr: addr}
		if err := os.Mkdir(a.dir, 0o700); err != nil {
			return nil, err
		}
		f.agents = append(f.agents, a)
	}
	all := func(agents []*fleetAgent, do func(*fleetAgent) error) error {
		errs := make([]error, len(agents))
		var each sync.WaitGroup
		for i, a := range agents {
			each.Go(func() { errs[i] = do(a) })
		}
		each.Wait()
		return errors.Join(errs...)
	}
	defer all(f.agents, func(a *fleetAgent) error { a.kill(); return nil })
	if err := all(f.agents, func(a *fleetAgent) error { return a.start(ctx) }); err != nil || len(f.failures) > 0 {
		r.Failures = f.failures
		return r, err
	}
	clientsCtx, stopTraffic := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stopTraffic()
	for i, a := range f.agents {
		for w := range 3 {
			running.Go(func() {
				c := fleetClient{f: f, a: a, name: fmt.Sprintf("%d-%d", i, w), rng: rand.New(rand.NewPCG(o.Seed, uint64(i*100+w)))}
				c.run(clientsCtx)
			})
		}
	}
	running.Go(func() { f.injectFaults(clientsCtx, rand.New(rand.NewPCG(o.Seed, 1))) })
	running.Go(func() { // servers are replaced while agents restart
		for i := range len(f.servers) * 6 / 10 {
			f.replace(f.servers[i], i%2 == 0)
			if clientsCtx.Err() != nil {
				return
			}
		}
	})
	tenth := max(len(f.agents)/10, 2)
	for i := 0; i < len(f.agents) && ctx.Err() == nil; i += tenth {
		group := f.agents[i:min(i+tenth, len(f.agents))]
		if i >= len(f.agents)/2 && f.current.CompareAndSwap(0, 1) { // discovery moves to another address
			if err := all(f.agents, func(a *fleetAgent) error {
				return a.writeConfig(func() error { return a.cmd.Process.Signal(syscall.SIGHUP) })
			}); err != nil {
				return nil, err
			}
		}
		f.awaitServed(ctx, servedBetweenEnds)
		force := rng.IntN(8) == 0
		if err := all(group, func(a *fleetAgent) error {
			if !force {
				f.startHeldRequest(ctx, a)
			}
			a.end(force)
			return a.start(ctx)
		}); err != nil {
			return nil, err
		}
	}
	stopTraffic()
	running.Wait()
	all(f.agents, func(a *fleetAgent) error { f.startHeldRequest(ctx, a); a.end(false); return nil })
	f.openAtEnd.Wait()
	broken, details := f.ledger.Violations(time.Now().Add(heldTimeout))
	t := f.ledger.Totals
	r.Failures = f.failures
	r.add("agents", float64(len(f.agents)), "")
	r.add("starts", float64(f.starts), "")
	r.add("ends", float64(f.ends), "")
	r.add("kills", float64(f.kills), "")
	r.add("requests", float64(t.Attempts), "")
	r.add("served", float64(t.Served), "")
	r.add("refused", float64(t.Rejected), "")
	r.add("failed", float64(t.Failed), "")
	r.add("ids_twice", float64(f.repeatedIDs), "")
	r.add("reset_at_an_end", float64(f.resets), "")
	r.add("begun", float64(t.Received), "")
	r.add("latest_after_drain", millis(t.LatestAfterDrain), "ms")
	r.add("slowest_end", millis(f.slowestEnd), "ms")
	r.add("slowest_ready", millis(f.slowestReady), "ms")
	for rule, n := range broken {
		r.fail("rule %d broken %d times: %s", rule, n, details[0])
	}
	if f.resets > 0 {
		r.fail("%d connections were reset when a listener closed, over %d ends", f.resets, f.ends)
	}
	if least := 20 * len(f.agents); t.Served < least {
		r.fail("only %d served: too few to judge", t.Served)
	}
	return r, nil
}
