package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// RunScript runs the smallest form: three keepers, six agents, and at each step the one fault that a wrong lease, a missing
// step between versions or a start by old rules would show at.
func RunScript(ctx context.Context, dir, defect string, seed uint64) (*Outcome, error) {
	ctx, over := context.WithTimeout(ctx, time.Minute)
	defer over()
	p := &Plan{Seed: seed, Replicas: 3, Agents: 6, Servers: 6, LeaseMs: 600, PauseMs: 10, Defect: defect}
	r, end, err := start(ctx, dir, p)
	defer end()
	if err != nil {
		return r.o, err
	}
	c, t := r.c, r.t
	t.StartClients(ctx, c.Agents, time.Duration(p.PauseMs)*time.Millisecond, seed)
	var all []known
	publish := func(bans ...string) error {
		k := known{id: fmt.Sprintf("step-%d", len(all)), book: &sharedconfig.Config{Cordoned: bans}, sent: time.Now()}
		t.Attempts.Published(uint64(len(all)+1), k.book, k.sent)
		if err := Until(ctx, "a publish is taken", 10*time.Second, func() bool {
			for _, at := range c.Replicas {
				try, cancel := context.WithTimeout(ctx, time.Second)
				out, err := c.Publish(try, at, k.id, uint64(len(all)), k.book)
				if cancel(); err == nil {
					k.number, k.digest = out.Number, out.Digest
					return true
				}
			}
			return false
		}); err != nil {
			return err
		}
		all = append(all, k)
		if err := Until(ctx, "it is in force", 10*time.Second, func() bool {
			at := time.Now()
			_, s := c.Leader(ctx)
			if s == nil || s.Epoch < sharedconfig.EpochOf(k.number) || len(s.BlockedBy) > 0 {
				return false
			}
			t.Attempts.InForce(s.Epoch, at)
			return true
		}); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond) // traffic under it
		return nil
	}
	a, k := c.Agents, c.Replicas
	steps := []func() error{
		func() error { return publish("s-00") },
		func() error { // one does not hear of it: until its lease is over nobody may do what its rules forbid
			c.SetLinks(a[0].Name, k, Stall, Stall)
			defer c.SetLinks(a[0].Name, k, Pass, Pass)
			return publish("s-01")
		},
		func() error { // its answer comes late, and nothing behind it: its lease is as old as its ask
			c.SetLinks(a[1].Name, k, Pass, Stall)
			time.Sleep(650 * time.Millisecond)
			c.SetLinks(a[1].Name, k, Pass, Pass)
			time.Sleep(10 * time.Millisecond)
			c.SetLinks(a[1].Name, k, Stall, Stall)
			defer c.SetLinks(a[1].Name, k, Pass, Pass)
			return publish("s-02")
		},
		func() error { return publish("s-03") },
		func() error { // started again, it knows nothing that is to be believed
			c.SetLinks(a[2].Name, k, Stall, Stall)
			defer c.SetLinks(a[2].Name, k, Pass, Pass)
			a[2].Kill()
			if err := a[2].Start(); err != nil {
				return err
			}
			time.Sleep(900 * time.Millisecond)
			return nil
		},
		func() error { // the leader is stopped and wakes when another leads
			lead, _ := c.Leader(ctx)
			if lead == nil {
				return fmt.Errorf("cluster: no keeper leads")
			}
			lead.Freeze()
			defer lead.Thaw()
			return publish("s-04")
		},
		func() error { return publish() },
	}
	for i, s := range steps {
		if err := s(); err != nil {
			r.err("step %d: %v", i+1, err)
			break
		}
	}
	r.settle(ctx, all)
	t.Close()
	r.judge()
	return r.o, nil
}

// start makes a plan's cluster and waits until its agents are ready; end ends it, also behind an error.
func start(ctx context.Context, dir string, p *Plan) (r *runner, end func(), err error) {
	r = &runner{p: p, o: &Outcome{}, rng: rand.New(rand.NewPCG(p.Seed, 7)), giveUp: func() {}}
	end = func() {}
	bin, err := Build(ctx)
	if err != nil {
		return r, end, err
	}
	c := New(dir, bin, p.LeaseMs)
	t, err := NewTraffic(p.Servers)
	if err != nil {
		return r, c.Close, err
	}
	r.c, r.t = c, t
	end = func() { t.Close(); c.Close() }
	if err := c.AddReplicas(p.Replicas); err != nil {
		return r, end, err
	}
	if err := t.AddAgents(c, p.Agents, 2, client.OnExpiryReject); err != nil {
		return r, end, err
	}
	for i, a := range append(append([]*Process(nil), c.Replicas...), c.Agents...) {
		if p.Defect != "" {
			a.Env = append(a.Env, "RINGTRACK_LAB_DEFECT="+p.Defect)
		}
		// Clocks begin an hour apart, and run as fast and as slow as is stated.
		a.Env = append(a.Env, fmt.Sprintf("RINGTRACK_LAB_CLOCK=%d %v", (i%3-1)*3_600_000, 1+0.019*float64(i%3-1)))
		if err := a.Start(); err != nil {
			return r, end, err
		}
	}
	for _, a := range c.Agents {
		if err := Ready(ctx, a, 30*time.Second); err != nil {
			r.o.Logs = r.logs()
			return r, end, err
		}
	}
	return r, end, nil
}
