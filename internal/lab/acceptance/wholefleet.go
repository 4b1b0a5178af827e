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
	// fleetDeadline is that of all classes in fleetSettings, so that a planned end is over 1.3 s after its signal.
	fleetDeadline = 600 * time.Millisecond
	fleetSettings = `{"classes":[
{"name":"read","aimMs":200,"giveUpMs":600,"effect":"free","credit":1,"lateShare":0.2},
{"name":"send","aimMs":300,"giveUpMs":600,"effect":"guarded","group":"zone","keyTtlMs":1200,"credit":2,"lateShare":0.2},
{"name":"order","aimMs":300,"giveUpMs":600,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":2000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
"failureDomains":["east","west","south"],"shapes":["fast"],"clients":{"marksRetry":true},
"limits":{"cancelling":true,"connectTimeoutMs":150,"keepaliveMs":5000,"maxAttempts":3,"maxRetryAfterMs":100,"retryAfter":true,"openCap":1000},
"membershipMode":"pushed","objectiveMix":{"whole":1},"replicasOfMe":1,"roundMs":5,"weights":"nominal","worthBy":"request"}`
	// endWithin is when SIGKILL may follow SIGTERM with these deadlines (protocol page, "Figures"); readyWithin is
	// for a process of which many start at once.
	endWithin, readyWithin = 1300 * time.Millisecond, 5 * time.Second
	// crowdedScale is the scale under which the proof is an ordinary test, beside others on a machine's few cores:
	// there times are looser, so that its verdict is the program's and not the machine's.
	crowdedScale, crowdedSlack = 0.15, 500 * time.Millisecond
	// heldFor is the time that a request gets which is to be open at the signal.
	heldFor = 20 * time.Second
)

// fleetDefect is what the lab does wrong where the proof is to find it: which, the seed says.
type fleetDefect int

const (
	sound     fleetDefect = iota
	lying                 // servers say that nothing ran when it has
	unwritten             // a configuration stays half written at a start
	stuck                 // a process is stopped at its end
	forgetful             // servers drop repeats of a key for 1 ms only
	misplaced             // the roster tells other zones than servers are in
	defects
)

// fleet is what the proof runs.
type fleet struct {
	o       *Options
	defect  fleetDefect
	ledger  *lab.Ledger
	rosters [2]*lab.DiscoveryService // of which the second takes over
	now     atomic.Int32             // the one that new configurations name
	servers []*lab.Backend
	agents  []*fleetAgent
	// endWithin is how long an end may take.
	endWithin time.Duration
	deadline  time.Duration  // of each class and client
	held      sync.WaitGroup // requests that are to be open at a signal
	idleExits idleExits      // beside the ends

	mu                                   sync.Mutex
	short                                []string
	slowestEnd, slowestReady             time.Duration
	starts, ends, kills, repeats, resets int
	turned                               int // connections that were refused
}

func (f *fleet) fails(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.short) < 10 {
		f.short = append(f.short, fmt.Sprintf(format, args...))
	}
}

// settings are fleetSettings with the fleet's deadline.
func (f *fleet) settings() string {
	giveUp := func(d time.Duration) string { return fmt.Sprintf(`"giveUpMs":%d`, d.Milliseconds()) }
	return strings.ReplaceAll(fleetSettings, giveUp(fleetDeadline), giveUp(f.deadline))
}

// told changes an entry at both rosters.
func (f *fleet) told(change func(*lab.DiscoveryService)) {
	for _, r := range f.rosters {
		change(r)
	}
}

// replace replaces a server: it drains, and then another id is at its address, or its id in another cell.
func (f *fleet) replace(s *lab.Backend, newID bool) {
	f.ledger.NotifiedDraining(s.ID, time.Now())
	e := s.Entry
	e.State = membership.Draining
	f.told(func(r *lab.DiscoveryService) { r.Set(e) })
	time.Sleep(400 * time.Millisecond)
	old := s.Entry.ID
	f.told(func(r *lab.DiscoveryService) { r.Remove(old) })
	s.ResetConnections()
	if newID {
		s.Entry.ID += "'"
	} else {
		s.Entry.Cell++
	}
	s.Entry.StartedMs = float64(time.Now().UnixMilli())
	f.ledger.InService(s.ID)
	f.told(func(r *lab.DiscoveryService) { r.Set(s.Entry) })
}

// trouble gives servers a mode each for a moment, and breaks connections, until ctx ends.
func (f *fleet) trouble(ctx context.Context, rng *rand.Rand) {
	modes := []lab.Mode{lab.Failing, lab.Rejecting, lab.ResetAfterRun, lab.TruncatedAnswer, lab.AnswerTwice, lab.ByteByByte, lab.Silent, lab.WrongProtocol, lab.ResetAtEachByte, lab.ResetAtEachByte}
	if f.defect == lying {
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

// WholeFleet rolls a fleet of agents, each a process, under traffic: restarts by tenths with SIGTERM, some with
// SIGKILL, each start beside a file that is being written; SIGHUP on a half-written file that moves discovery; six
// in ten servers replaced; servers that fail, turn away, break off and answer twice; clients that leave early, come
// back at once and bring an id a second time. Counted at the stand-ins: answers, runs, sends after a drain; and
// each process's exit code, time to its end and time until it is ready. The seeded defects are the lab's own.
func WholeFleet(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "whole-fleet", Seed: o.Seed, Scale: o.Scale}
	f := &fleet{o: o, endWithin: endWithin, deadline: fleetDeadline}
	if o.Defect {
		f.defect = 1 + fleetDefect(o.Seed%uint64(defects-1))
	}
	rules := lab.DefaultRules()
	rules.ByZone = true
	if o.Scale < crowdedScale {
		rules.AnswerSlack, f.endWithin = crowdedSlack, 2*endWithin
	}
	if f.defect == forgetful {
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
	if err := all(f.agents, func(a *fleetAgent) error { return a.start(ctx) }); err != nil || len(f.short) > 0 {
		r.Failures = f.short
		return r, err
	}
	traffic, quiet := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer quiet()
	for i, a := range f.agents {
		for w := range 3 {
			running.Go(func() {
				c := fleetClient{f: f, a: a, name: fmt.Sprintf("%d-%d", i, w), rng: rand.New(rand.NewPCG(o.Seed, uint64(i*100+w)))}
				c.run(traffic)
			})
		}
	}
	running.Go(func() { f.trouble(traffic, rand.New(rand.NewPCG(o.Seed, 1))) })
	running.Go(func() { // servers are replaced while agents restart
		for i := range len(f.servers) * 6 / 10 {
			f.replace(f.servers[i], i%2 == 0)
			if traffic.Err() != nil {
				return
			}
		}
	})
	tenth := max(len(f.agents)/10, 2)
	for i := 0; i < len(f.agents) && ctx.Err() == nil; i += tenth {
		group := f.agents[i:min(i+tenth, len(f.agents))]
		if i >= len(f.agents)/2 && f.now.CompareAndSwap(0, 1) { // discovery moves
			if err := all(f.agents, func(a *fleetAgent) error {
				return a.write(func() error { return a.cmd.Process.Signal(syscall.SIGHUP) })
			}); err != nil {
				return nil, err
			}
		}
		force := rng.IntN(8) == 0
		if err := all(group, func(a *fleetAgent) error {
			if !force {
				f.hold(ctx, a)
			}
			a.end(force)
			return a.start(ctx)
		}); err != nil {
			return nil, err
		}
	}
	quiet()
	running.Wait()
	all(f.agents, func(a *fleetAgent) error { f.hold(ctx, a); a.end(false); return nil })
	f.held.Wait()
	broken, words := f.ledger.Violations(time.Now().Add(heldFor))
	t := f.ledger.Totals
	r.Failures = f.short
	r.add("agents", float64(len(f.agents)), "")
	r.add("starts", float64(f.starts), "")
	r.add("ends", float64(f.ends), "")
	r.add("kills", float64(f.kills), "")
	r.add("requests", float64(t.Attempts), "")
	r.add("served", float64(t.Served), "")
	r.add("refused", float64(t.Rejected), "")
	r.add("failed", float64(t.Failed), "")
	r.add("ids_twice", float64(f.repeats), "")
	r.add("reset_at_an_end", float64(f.resets), "")
	r.add("begun", float64(t.Received), "")
	r.add("latest_after_drain", millis(t.LatestAfterDrain), "ms")
	r.add("slowest_end", millis(f.slowestEnd), "ms")
	r.add("slowest_ready", millis(f.slowestReady), "ms")
	for rule, n := range broken {
		r.short("rule %d broken %d times: %s", rule, n, words[0])
	}
	if f.resets > 0 {
		r.short("%d connections reset as a listener ended, over %d ends", f.resets, f.ends)
	}
	if least := 20 * len(f.agents); t.Served < least {
		r.short("only %d served: the proof says nothing", t.Served)
	}
	return r, nil
}
