// Package demo shows the agent at work to somebody who has never seen it: a small fleet, a roster, the
// agent and clients, all in this process and on loopback.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/agent"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/membership"
)

// phase is one stretch of the demo.
type phase struct {
	name  string
	about string
	long  time.Duration
	begin func()
}

// Run runs the demo and prints a line a phase and the ledger's verdict. It returns an error where a
// rule was broken.
func Run(ctx context.Context, w io.Writer) error { return run(ctx, w, 3*time.Second) }

// run is Run with phases of this length.
func run(ctx context.Context, w io.Writer, long time.Duration) error {
	ledger := lab.NewLedger(lab.DefaultRules())
	var servers []*lab.Backend
	var entries []membership.Entry
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	for i := range 6 {
		s, err := lab.NewBackend(fmt.Sprintf("s-%d", i+1), []string{"east", "west", "south"}[i%3], 15*time.Millisecond, ledger)
		if err != nil {
			return err
		}
		servers, entries = append(servers, s), append(entries, s.Entry)
	}
	roster, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return err
	}
	defer roster.Close()
	addr, stop, err := startAgent(roster, entries)
	if err != nil {
		return err
	}
	defer stop()
	// The agent calls the roster a moment after its start, which differs from agent to agent; until then
	// it has been told nothing.
	select {
	case <-roster.WatchIndexes:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("demo: the agent does not follow the roster")
	case <-ctx.Done():
		return ctx.Err()
	}

	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	client := lab.NewClient(addr, ledger)
	defer client.Close()
	var count tally
	for i := range 8 {
		running.Go(func() { portal(ctx, client, i, &count) })
	}

	fmt.Fprintf(w, "Six order servers, one agent, clients that send reads, keyed bulletins and orders that must never\n"+
		"run twice. Columns s-1 to s-6: requests that each server got in the phase.\n\n")
	fmt.Fprintf(w, "%-24s %7s %7s %7s  ", "phase", "served", "refused", "failed")
	for _, s := range servers {
		fmt.Fprintf(w, "%6s", s.ID)
	}
	fmt.Fprintln(w)
	phases := []phase{
		{"all is well", "", long, func() {}},
		{"s-2 is told to drain", "it finishes what it has and gets nothing new", long, func() {
			e := servers[1].Entry
			e.State = membership.Draining
			ledger.NotifiedDraining("s-2", time.Now())
			roster.Set(e)
		}},
		{"s-4 goes silent", "nobody tells; the agent finds out by itself", long, func() { servers[3].Set(lab.Silent) }},
		{"s-4 is back, cold", "it gets little at first, and more as it warms up", long, func() {
			e := servers[3].Entry
			e.StartedMs = float64(time.Now().UnixMilli())
			ledger.Started("s-4", time.Now(), 200)
			servers[3].Set(lab.Serving)
			roster.Set(e)
		}},
		{"s-2 serves again", "", long, func() {
			ledger.InService("s-2")
			roster.Set(servers[1].Entry)
		}},
	}
	for _, p := range phases {
		before := make([]int64, len(servers))
		p.begin()
		if p.name == "s-2 is told to drain" {
			time.Sleep(250 * time.Millisecond) // the grace that the rule gives
		}
		for i, s := range servers {
			before[i] = s.RequestCount()
		}
		count.reset()
		select {
		case <-time.After(p.long):
		case <-ctx.Done():
			return ctx.Err()
		}
		served, refused, failed := count.read()
		fmt.Fprintf(w, "%-24s %7d %7d %7d  ", p.name, served, refused, failed)
		for i, s := range servers {
			fmt.Fprintf(w, "%6d", s.RequestCount()-before[i])
		}
		fmt.Fprintln(w)
		if p.about != "" {
			fmt.Fprintf(w, "  (%s)\n", p.about)
		}
	}
	cancel()
	running.Wait()
	broken, words := ledger.Violations(time.Now())
	fmt.Fprintf(w, "\nThe ledger, kept by the stand-ins, over %d requests:\n", ledger.Totals.Attempts)
	for rule, what := range []string{"", "every request has one answer, in time", "nothing takes effect twice",
		"nothing new later than 250 ms after a drain was told", "no cold server is pushed over"} {
		if rule == 0 {
			continue
		}
		verdict := "kept"
		if broken[rule] > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", broken[rule])
		}
		fmt.Fprintf(w, "  rule %d, %s: %s\n", rule, what, verdict)
	}
	if len(words) > 0 {
		return fmt.Errorf("demo: %s", strings.Join(words, "; "))
	}
	return nil
}

// tally counts how operations ended.
type tally struct {
	mu sync.Mutex
	n  [3]int
}

func (t *tally) add(v lab.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n[v]++
}

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n = [3]int{}
}

func (t *tally) read() (served, refused, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n[lab.Served], t.n[lab.Rejected], t.n[lab.Failed]
}

// portal is one thread of the application: an operation every 25 ms or so.
func portal(ctx context.Context, c *lab.Client, i int, count *tally) {
	t := time.NewTicker(25 * time.Millisecond)
	defer t.Stop()
	classes := []struct {
		name   string
		effect lab.Effect
		within time.Duration
	}{{"read", lab.Idempotent, 800 * time.Millisecond}, {"send", lab.IdempotentByKey, 600 * time.Millisecond}, {"order", lab.NonIdempotent, 1200 * time.Millisecond}}
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		k := classes[(n+i)%3]
		count.add(c.Do(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d-%d", k.name, i, n), k.name, k.effect, fmt.Sprintf("%016x", (n*7+i)%211+1), k.within))
	}
}

// startAgent starts the product's agent in this process.
func startAgent(roster *lab.DiscoveryService, known []membership.Entry) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	addr = ln.Addr().String()
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": addr, "discovery": roster.Addr, "seed": "7",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    membership.List{Revision: 1, Full: true, Entries: known},
		"settings": json.RawMessage(service.Settings)})
	if err != nil {
		return "", nil, err
	}
	f, err := os.CreateTemp("", "agent-*.json")
	if err != nil {
		return "", nil, err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(text); err == nil {
		err = f.Close()
	}
	if err != nil {
		return "", nil, err
	}
	cfg, err := agent.LoadConfig(func(key string) string {
		if key == "PROXY_CONFIG" {
			return f.Name()
		}
		return ""
	})
	if err != nil {
		return "", nil, err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) // its log would run through the table
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- agent.Run(ctx, make(chan os.Signal), nil, cfg, ln) }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return addr, func() { cancel(); <-done }, nil
		}
	}
	cancel()
	<-done
	return "", nil, fmt.Errorf("the agent did not become ready")
}
