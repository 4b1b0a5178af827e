// Package demo demonstrates the agent: a small fleet, a discovery service, the agent and clients, all in this
// process and on loopback.
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

// phase is one phase of the demo.
type phase struct {
	name        string
	explanation string
	duration    time.Duration
	start       func()
}

// Run runs the demo and prints a line per phase and the violations that the ledger found. It returns an error
// if there are any.
func Run(ctx context.Context, w io.Writer) error { return run(ctx, w, 3*time.Second) }

// run is Run with phases of the given duration.
func run(ctx context.Context, w io.Writer, phaseDuration time.Duration) error {
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
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return err
	}
	defer discovery.Close()
	addr, stop, err := startAgent(discovery, entries)
	if err != nil {
		return err
	}
	defer stop()
	// The agent sends its first watch request after a random delay; until then it gets no changes.
	select {
	case <-discovery.WatchIndexes:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("demo: the agent does not watch the endpoint list")
	case <-ctx.Done():
		return ctx.Err()
	}

	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	client := lab.NewClient(addr, ledger)
	defer client.Close()
	var counts outcomeCounts
	for i := range 8 {
		clients.Go(func() { runClient(ctx, client, i, &counts) })
	}

	fmt.Fprintf(w, "Six backends, one agent, and clients that send reads, messages with an idempotency key and orders that\n"+
		"must not run twice. Columns s-1 to s-6: requests that each backend received in the phase.\n\n")
	fmt.Fprintf(w, "%-24s %7s %8s %7s  ", "phase", "served", "rejected", "failed")
	for _, s := range servers {
		fmt.Fprintf(w, "%6s", s.ID)
	}
	fmt.Fprintln(w)
	phases := []phase{
		{"no fault", "", phaseDuration, func() {}},
		{"s-2 drains", "it completes its requests and receives no new ones", phaseDuration, func() {
			e := servers[1].Entry
			e.State = membership.Draining
			ledger.NotifiedDraining("s-2", time.Now())
			discovery.Set(e)
		}},
		{"s-4 stops answering", "the discovery service does not report it; the agent detects it", phaseDuration, func() { servers[3].Set(lab.Silent) }},
		{"s-4 restarts", "slow start: its share of the requests grows as it warms up", phaseDuration, func() {
			e := servers[3].Entry
			e.StartedMs = float64(time.Now().UnixMilli())
			ledger.Started("s-4", time.Now(), 200)
			servers[3].Set(lab.Serving)
			discovery.Set(e)
		}},
		{"s-2 is back in service", "", phaseDuration, func() {
			ledger.InService("s-2")
			discovery.Set(servers[1].Entry)
		}},
	}
	for _, p := range phases {
		before := make([]int64, len(servers))
		p.start()
		if p.name == "s-2 drains" {
			time.Sleep(250 * time.Millisecond) // the drain grace
		}
		for i, s := range servers {
			before[i] = s.RequestCount()
		}
		counts.reset()
		select {
		case <-time.After(p.duration):
		case <-ctx.Done():
			return ctx.Err()
		}
		served, rejected, failed := counts.read()
		fmt.Fprintf(w, "%-24s %7d %8d %7d  ", p.name, served, rejected, failed)
		for i, s := range servers {
			fmt.Fprintf(w, "%6d", s.RequestCount()-before[i])
		}
		fmt.Fprintln(w)
		if p.explanation != "" {
			fmt.Fprintf(w, "  (%s)\n", p.explanation)
		}
	}
	cancel()
	clients.Wait()
	violations, descriptions := ledger.Violations(time.Now())
	fmt.Fprintf(w, "\nInvariants, checked at the stand-ins over %d requests:\n", ledger.Totals.Attempts)
	for rule, description := range []string{"", "every request has one answer, in time", "nothing takes effect twice",
		"no new request later than 250 ms after notice of a drain", "no server in slow start is overloaded"} {
		if rule == 0 {
			continue
		}
		result := "holds"
		if violations[rule] > 0 {
			result = fmt.Sprintf("VIOLATED %d times", violations[rule])
		}
		fmt.Fprintf(w, "  rule %d, %s: %s\n", rule, description, result)
	}
	if len(descriptions) > 0 {
		return fmt.Errorf("demo: %s", strings.Join(descriptions, "; "))
	}
	return nil
}

// outcomeCounts counts operations by outcome.
type outcomeCounts struct {
	mu     sync.Mutex
	counts [3]int
}

func (t *outcomeCounts) add(outcome lab.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[outcome]++
}

func (t *outcomeCounts) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts = [3]int{}
}

func (t *outcomeCounts) read() (served, rejected, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[lab.Served], t.counts[lab.Rejected], t.counts[lab.Failed]
}

// runClient sends an operation about every 25 ms until ctx ends.
func runClient(ctx context.Context, c *lab.Client, i int, counts *outcomeCounts) {
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	classes := []struct {
		name    string
		effect  lab.Effect
		timeout time.Duration
	}{{"read", lab.Idempotent, 800 * time.Millisecond}, {"send", lab.IdempotentByKey, 600 * time.Millisecond}, {"order", lab.NonIdempotent, 1200 * time.Millisecond}}
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		class := classes[(n+i)%3]
		counts.add(c.Do(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d-%d", class.name, i, n), class.name, class.effect, fmt.Sprintf("%016x", (n*7+i)%211+1), class.timeout))
	}
}

// startAgent starts the product's agent in this process and waits until it is ready.
func startAgent(discovery *lab.DiscoveryService, known []membership.Entry) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	addr = ln.Addr().String()
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": addr, "discovery": discovery.Addr, "seed": "7",
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
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) // log lines would interrupt the printed table
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
