package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/configstore"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// Outcome is what came of a run.
type Outcome struct {
	Verdict
	PausedSenders                              int      // breaches of an agent that was stopped between its last look and the write
	Lost                                       []string // what was acknowledged and is not there, or is other than it was
	Versions                                   int
	PublishLatencies                           []time.Duration // from a publish to in force, sorted
	NotInForce                                 int
	RetriedPublishes                           int // publishes whose first try had no answer
	Served, Rejected, Failed, Unanswered, Late int64
	Replaced                                   int
	Errors                                     []string // of the rig, or of processes that ended where none should
	Logs                                       map[string]string
}

// Failing tells whether the run broke what has to hold.
func (o *Outcome) Failing() bool {
	return len(o.Violations) > 0 || len(o.Lost) > 0 || len(o.Errors) > 0
}

// runner is one run.
type runner struct {
	c   *Cluster
	t   *Traffic
	p   *Plan
	o   *Outcome
	mu  sync.Mutex
	wg  sync.WaitGroup
	rng *rand.Rand

	giveUp context.CancelFunc // ends the schedule: what comes behind a keeper that can't be replaced tells nothing
}

func (r *runner) err(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.o.Errors) < 20 {
		r.o.Errors = append(r.o.Errors, fmt.Sprintf(format, args...))
	}
}

// Run runs a plan in a folder.
func Run(ctx context.Context, dir string, p *Plan) (*Outcome, error) {
	ctx, over := context.WithTimeout(ctx, time.Duration(p.RunMs)*time.Millisecond+time.Minute)
	defer over()
	r, end, err := start(ctx, dir, p)
	defer end()
	if err != nil {
		return r.o, err
	}
	c, t := r.c, r.t
	for _, k := range c.Replicas {
		if err := k.Backup(filepath.Join(c.Dir, "start-"+k.Name)); err != nil {
			return nil, err
		}
	}
	t.StartClients(ctx, c.Agents, time.Duration(p.PauseMs)*time.Millisecond, p.Seed)
	run, cancel := context.WithTimeout(ctx, time.Duration(p.RunMs)*time.Millisecond)
	defer cancel()
	r.giveUp = cancel
	r.wg.Go(func() { r.watch(run) })
	r.wg.Go(func() { r.spoil(run) })
	published := make(chan []known, 1)
	r.wg.Go(func() { published <- r.publish(run, ctx) })
	begun := time.Now()
	var faults sync.WaitGroup
	for _, f := range p.Faults {
		select {
		case <-time.After(time.Until(begun.Add(time.Duration(f.AtMs) * time.Millisecond))):
			faults.Go(func() { r.fault(ctx, f) })
		case <-run.Done():
		}
		if run.Err() != nil {
			break
		}
	}
	<-run.Done()
	faults.Wait()
	if err := c.Heal(); err != nil {
		r.err("heal: %v", err)
	}
	r.wg.Wait()
	r.settle(ctx, <-published)
	t.Close()
	r.judge()
	return r.o, nil
}

func (r *runner) logs() map[string]string {
	out := map[string]string{}
	for _, p := range r.c.processes() {
		out[p.Name] = p.Log()
	}
	return out
}

// watch notes what is said to be in force.
func (r *runner) watch(ctx context.Context) {
	for ctx.Err() == nil {
		at := time.Now()
		if _, s := r.c.Leader(ctx); s != nil && len(s.BlockedBy) == 0 {
			r.t.Attempts.InForce(s.Epoch, at)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// spoil has one server after the other fail, so that there is something to try again.
func (r *runner) spoil(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.p.Seed, 5))
	for ctx.Err() == nil {
		s := r.t.Servers[rng.IntN(len(r.t.Servers))]
		s.Set([]lab.Mode{lab.Failing, lab.Breaking}[rng.IntN(2)])
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+rng.IntN(200)) * time.Millisecond):
		}
		s.Set(lab.Serving)
	}
}

// known is a publish and what is known of it.
type known struct {
	id     string
	number uint64 // 0: it was never acknowledged
	digest string
	book   *sharedconfig.Config
	sent   time.Time
}

// book draws a book that differs from others in what an agent may do.
func (r *runner) book(rng *rand.Rand) *sharedconfig.Config {
	b := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{}}
	switch rng.IntN(4) {
	case 0:
		b.Classes["send"] = sharedconfig.Class{Effect: policy.NonIdempotent}
	case 1:
		b.Classes["send"] = sharedconfig.Class{Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, IdempotencyWindowMs: 200 + float64(rng.IntN(3))*300}
	case 2:
		b.Classes["send"] = sharedconfig.Class{Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 300}
	}
	if rng.IntN(3) == 0 {
		b.MaxAttempts = 1 + rng.IntN(2)
	}
	for i := range r.p.Servers {
		if rng.IntN(3) == 0 && len(b.Cordoned) < r.p.Servers/3 {
			b.Cordoned = append(b.Cordoned, fmt.Sprintf("s-%02d", i))
		}
	}
	return b
}

// publish publishes one version behind the other; whose answer does not come is tried again under its id.
func (r *runner) publish(run, ctx context.Context) (all []known) {
	rng := rand.New(rand.NewPCG(r.p.Seed, 99))
	for n := 0; n < r.p.Versions && run.Err() == nil; n++ {
		k := known{id: fmt.Sprintf("v%d-%d", r.p.Seed, n), book: r.book(rng), sent: time.Now()}
		k.book.Check()
		parent := uint64(n)
		r.t.Attempts.Published(parent+1, k.book, k.sent)
		for try := 0; run.Err() == nil; try++ {
			at := r.c.Replicas[rng.IntN(len(r.c.Replicas))]
			call, cancel := context.WithTimeout(run, 600*time.Millisecond)
			out, err := r.c.Publish(call, at, k.id, parent, k.book)
			cancel()
			if err == nil {
				k.number, k.digest = out.Number, out.Digest
				break
			}
			if f := (*client.StatusError)(nil); errors.As(err, &f) && f.Status < 500 && f.Status != http.StatusTooManyRequests {
				r.mu.Lock()
				r.o.Lost = append(r.o.Lost, fmt.Sprintf("publish %s behind %d is refused: %v", k.id, parent, err))
				r.mu.Unlock()
				return all
			}
			if try == 0 {
				r.o.RetriedPublishes++
			}
			time.Sleep(20 * time.Millisecond)
		}
		all = append(all, k)
		// Mostly the next comes once this one is in force; now and then it does not wait.
		wait := time.Now().Add(time.Duration(rng.IntN(3)) * 150 * time.Millisecond)
		for time.Now().Before(wait) && run.Err() == nil && !r.inForce(sharedconfig.EpochOf(k.number)) {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	return all
}

func (r *runner) inForce(stage uint64) bool {
	a := r.t.Attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.force) > 0 && a.force[len(a.force)-1].stage >= stage
}

// settle waits until all is well again and compares what was acknowledged with what is there.
func (r *runner) settle(ctx context.Context, all []known) {
	var h client.HistoryResponse
	var last *client.Status
	var lastErr error
	err := Until(ctx, "a keeper leads again, and all that is published is in force", 10*time.Second, func() bool {
		at := time.Now()
		k, s := r.c.Leader(ctx)
		last = s
		if k == nil || s.Epoch < sharedconfig.EpochOf(s.Last) || len(s.BlockedBy) > 0 {
			return false
		}
		r.t.Attempts.InForce(s.Epoch, at)
		try, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		h = client.HistoryResponse{}
		lastErr = r.c.Call(try, k, client.PathHistory, nil, &h)
		return lastErr == nil
	})
	if err != nil {
		r.err("%v: %v, %+v", err, lastErr, last)
		return
	}
	r.t.Attempts.SetHistory(h.Versions)
	r.o.Versions = int(h.Dropped) + len(h.Versions)
	ids := map[string]int{}
	for _, v := range h.Versions {
		if ids[v.ID]++; ids[v.ID] > 1 {
			r.o.Lost = append(r.o.Lost, fmt.Sprintf("publish %s has two numbers, one is %d", v.ID, v.Number))
		}
	}
	for _, k := range all {
		if k.number == 0 || k.number <= h.Dropped {
			continue
		}
		if i := int(k.number - h.Dropped - 1); i >= len(h.Versions) {
			r.o.Lost = append(r.o.Lost, fmt.Sprintf("version %d was acknowledged and is gone", k.number))
		} else if v := h.Versions[i]; v.ID != k.id || v.Digest != k.digest {
			r.o.Lost = append(r.o.Lost, fmt.Sprintf("version %d was acknowledged as %s %s and is %s %s", k.number, k.id, k.digest, v.ID, v.Digest))
		}
	}
}

// judge sums up.
func (r *runner) judge() {
	o, t := r.o, r.t
	o.Verdict = t.Attempts.Check()
	o.PublishLatencies, o.NotInForce = t.Attempts.PublishLatencies()
	// An agent that is stopped between its last look and the write sends when it wakes; no clock of its own can help.
	by := map[string]*Process{}
	for _, a := range r.c.Agents {
		by[a.Name] = a
	}
	o.Violations = slices.DeleteFunc(o.Violations, func(b Violation) bool {
		name, _, _ := strings.Cut(b.Op, "-")
		woke := by[name].wokeBefore(b.At)
		if woke >= 0 && woke < 50*time.Millisecond {
			o.PausedSenders++
			return true
		}
		return false
	})
	o.Served, o.Rejected, o.Failed, o.Unanswered, o.Late = t.Served.Load(), t.Rejected.Load(), t.Failed.Load(), t.Unanswered.Load(), t.Late.Load()
	if o.Failing() {
		o.Logs = r.logs()
	}
}

// fault does one fault and undoes it.
func (r *runner) fault(ctx context.Context, f Fault) {
	last := time.Duration(f.DurationMs) * time.Millisecond
	wait := func() {
		select {
		case <-time.After(last):
		case <-ctx.Done():
		}
	}
	if f.Kind == FaultServer {
		for _, s := range r.t.Servers {
			if s.ID == f.Target {
				s.Set(map[string]lab.Mode{"failing": lab.Failing, "breaking": lab.Breaking, "silent": lab.Silent}[f.Detail])
				wait()
				s.Set(lab.Serving)
			}
		}
		return
	}
	if f.Kind == FaultKillAll {
		for _, k := range r.c.Replicas {
			k.Kill()
		}
		wait()
		for _, k := range r.c.Replicas {
			k.Start()
		}
		return
	}
	p := r.c.all[f.Target]
	if p == nil {
		return
	}
	others := r.c.Replicas
	if p.Data != "" {
		others = append(slices.Clone(others), r.c.Agents...)
	}
	switch f.Kind {
	case FaultKill:
		p.Kill()
		wait()
		p.Start()
	case FaultTerminate:
		// Another fault may kill it meanwhile, or its disk fail.
		if err := p.Terminate(8 * time.Second); err != nil && p.Data != "" && !reportedError(p.Log()) && !strings.Contains(err.Error(), "signal: killed") {
			r.err("%s: ended with %v", p.Name, err)
		}
		wait()
		p.Start()
	case FaultFreeze:
		p.Freeze()
		wait()
		p.Thaw()
	case FaultOneWay:
		dir, word, _ := strings.Cut(f.Detail, " ")
		out, in := modes[word], Pass
		if dir == "in" {
			out, in = in, out
		}
		r.c.SetLinks(p.Name, others, out, in)
		wait()
		r.c.SetLinks(p.Name, others, Pass, Pass)
	case FaultBothWays:
		r.c.SetLinks(p.Name, others, Stall, Stall)
		wait()
		r.c.SetLinks(p.Name, others, Pass, Pass)
	case FaultLateAnswer:
		r.c.SetLinks(p.Name, others, Pass, Stall)
		time.Sleep(time.Duration(r.p.LeaseMs*0.6) * time.Millisecond)
		r.c.SetLinks(p.Name, others, Pass, Pass)
		time.Sleep(10 * time.Millisecond)
		r.c.SetLinks(p.Name, others, Stall, Stall)
		last = max(last, time.Duration(2*r.p.LeaseMs)*time.Millisecond)
		wait()
		r.c.SetLinks(p.Name, others, Pass, Pass)
	case FaultSlowDisk:
		p.SetDiskFault("sync-ms 200")
		wait()
		p.SetDiskFault("")
	case FaultDiskError, FaultDiskFull:
		p.SetDiskFault(map[string]string{FaultDiskError: "sync-error", FaultDiskFull: "full"}[f.Kind])
		wait()
		p.SetDiskFault("")
		p.Start() // it has ended, if it wrote meanwhile
	case FaultPowerCut:
		if err := p.PowerCut(nil); err != nil {
			r.err("%s: power cut: %v", p.Name, err)
		}
		wait()
		p.Start()
	case FaultRestartLoop:
		for until := time.Now().Add(last); time.Now().Before(until); {
			p.Kill()
			p.Start()
			time.Sleep(100 * time.Millisecond)
		}
	case FaultWipe, FaultStaleData, FaultLyingDisk, FaultBitFlip:
		r.replace(ctx, f, p)
	}
}

// replace does to a keeper's folder what the fault says, starts the keeper as if nothing had been, and then does what
// the operators' page says: removes it and adds it anew, with an empty folder.
func (r *runner) replace(ctx context.Context, f Fault, p *Process) {
	r.c.replacing.Lock()
	defer r.c.replacing.Unlock()
	var err error
	switch f.Kind {
	case FaultWipe:
		err = r.wipe(ctx, p)
	case FaultStaleData:
		p.Kill()
		err = p.Restore(filepath.Join(r.c.Dir, "start-"+p.Name))
	case FaultLyingDisk:
		p.SetDiskFault("lie")
		time.Sleep(500 * time.Millisecond)
		err = p.PowerCut(nil)
		p.SetDiskFault("")
	case FaultBitFlip:
		p.Kill()
		if err = p.FlipBit(f.Detail, r.rng); errors.Is(err, os.ErrNotExist) {
			err = nil
		}
	}
	if err != nil {
		r.err("%s: %s: %v", p.Name, f.Kind, err)
		return
	}
	p.Start()
	select {
	case <-time.After(time.Duration(f.DurationMs) * time.Millisecond):
	case <-ctx.Done():
		return
	}
	if err := r.c.Replace(ctx, p); err != nil {
		r.err("%s: replaced after %s: %v", p.Name, f.Kind, err)
		r.giveUp()
		return
	}
	r.mu.Lock()
	r.o.Replaced++
	r.mu.Unlock()
}

// wipe has a keeper and the fewest others acknowledge what the rest never heard of, wipes its folder, and lets the rest
// and the wiped one meet while who has it all is away: no majority of them may lead.
func (r *runner) wipe(ctx context.Context, p *Process) error {
	lead, _ := r.c.Leader(ctx)
	if lead == nil || lead == p {
		p.Kill()
		return p.Wipe()
	}
	knows, rest := []*Process{lead}, []*Process{}
	for _, k := range r.c.Replicas {
		switch {
		case k == p || k == lead:
		case len(knows)+1 < len(r.c.Replicas)/2+1:
			knows = append(knows, k)
		default:
			rest = append(rest, k)
		}
	}
	for _, k := range rest {
		r.c.SetLinks(k.Name, r.c.Replicas, Stall, Stall)
	}
	time.Sleep(500 * time.Millisecond)
	for _, k := range knows {
		k.Kill()
	}
	p.Kill()
	err := p.Wipe()
	for _, k := range rest {
		r.c.SetLinks(k.Name, r.c.Replicas, Pass, Pass)
	}
	p.Start()
	time.Sleep(1500 * time.Millisecond)
	for _, k := range knows {
		err = errors.Join(err, k.Start())
	}
	return err
}

// Replace removes a keeper from the members and adds it again with an empty folder.
func (c *Cluster) Replace(ctx context.Context, p *Process) error {
	members := func(what string, call *configstore.MembersRequest) error {
		var last error
		if err := Until(ctx, what, 8*time.Second, func() bool {
			for _, k := range c.Replicas {
				if k == p {
					continue
				}
				try, cancel := context.WithTimeout(ctx, 2*time.Second)
				last = c.Call(try, k, client.PathMembers, call, nil)
				if cancel(); last == nil {
					return true
				}
				if strings.Contains(last.Error(), "there is no keeper") {
					last = nil
					return true
				}
			}
			return false
		}); err != nil {
			return fmt.Errorf("%w: %w", err, last)
		}
		return nil
	}
	in := func(want string) error {
		return Until(ctx, p.Name+" is "+want, 8*time.Second, func() bool {
			_, s := c.Leader(ctx)
			if s == nil {
				return false
			}
			now := "out"
			for _, m := range s.Members {
				if name, rest, _ := strings.Cut(m, " "); name == p.Name {
					now = "in"
					if strings.HasSuffix(rest, "learner") {
						now = "learning"
					}
				}
			}
			return now == want
		})
	}
	if err := errors.Join(members("it is removed", &configstore.MembersRequest{Remove: p.Name}), in("out")); err != nil {
		return err
	}
	p.Kill()
	if err := p.Wipe(); err != nil {
		return err
	}
	file := filepath.Join(p.Dir, "keeper.toml")
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), "join = false", "join = true", 1)), 0o600); err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	return errors.Join(members("it is added", &configstore.MembersRequest{Add: p.Name, Addr: p.Addr}), in("in"))
}

// reportedError tells whether a replica's log says that the replica ended with an error of its own: as the program
// prefixes it, or as the package does.
func reportedError(log string) bool {
	return strings.Contains(log, "ringtrack-configstore:") || strings.Contains(log, "keeper:")
}
