package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// adminCalls is the number of calls of each kind at each size, adminIdleTime how long the agent is idle
	// before them, both at scale 1. A call costs about 0.2 ms of processor time, an idle agent about 0.6 % of
	// a core.
	adminCalls, adminIdleTime = 4000, 4 * time.Second
	// adminWarmUpFraction is the fraction of uncounted calls of each kind that let the agent's heap reach its
	// size first.
	adminWarmUpFraction = 0.1
	// adminCallTimeout is the timeout of a call.
	adminCallTimeout = 10 * time.Second
)

var adminTest = Test{Name: "admin", Quick: 0.3, Smallest: 0.01,
	About: "Cost of a call at an agent's admin endpoint by number of listed backends: health, statistics, cordon and uncordon.",
	Run: func(ctx context.Context, o *Options) (*Report, error) {
		return (&adminMeasurement{o: o, r: &Report{Test: "admin", Seed: o.Seed, Scale: o.Scale}}).run(ctx)
	}}

// adminMeasurement is one run of the test. Each size has its own agent, a process of the released binary with
// a directory for its cordons and without replicas. It gets no requests of clients, and nothing listens at
// its backends' addresses. One operator makes the calls sequentially, each on a new connection, as the
// endpoint serves one call per connection. The agent's idle usage is measured first and subtracted. Bytes are
// those of HTTP requests and responses, without the overhead of TCP.
type adminMeasurement struct {
	o       *Options
	r       *Report
	c       *cluster.Cluster
	rng     *rand.Rand
	figures sizedFigures
}

func (a *adminMeasurement) run(ctx context.Context) (*Report, error) {
	a.rng = rand.New(rand.NewPCG(a.o.Seed, 0))
	bin, err := cluster.BuildProduct(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "admin")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	a.c = cluster.New(dir, bin, 0)
	defer a.c.Close()
	sizes := a.o.backendCounts()
	for i, n := range sizes {
		if i == len(sizes)-1 {
			a.figures.logPredictions(a.o, n)
		}
		if err := a.measureSize(ctx, n); err != nil {
			return nil, fmt.Errorf("scale: %d backends listed: %w", n, err)
		}
	}
	a.r.Lines = a.figures.lines()
	return a.r, nil
}

// measureSize measures the calls at an agent with n backends listed.
func (a *adminMeasurement) measureSize(ctx context.Context, n int) error {
	a.o.logf("%d backends listed", n)
	var entries []membership.Entry
	for i := range n {
		e := backendEntry(i)
		e.Zone = []string{"east", "west", "south"}[i%3] // the zones in the settings
		entries = append(entries, e)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return err
	}
	defer discovery.Close()
	addrs, err := a.c.Addrs(2)
	if err != nil {
		return err
	}
	p, err := startAgent(a.c, fmt.Sprint("agent-", n), addrs[0], addrs[1], a.o.Seed, discovery)
	if err != nil {
		return err
	}
	defer p.Kill()
	if err := awaitReady(ctx, p); err != nil {
		return err
	}
	caller := &adminCaller{addr: p.AdminAddr}
	if err := caller.awaitCounts(n, 0); err != nil {
		return err
	}
	operations := []struct {
		name string
		do   func() error
	}{
		{"health", func() error { return caller.call(http.MethodGet, "/admin/health") }},
		{"figures", func() error { return caller.call(http.MethodGet, "/admin/stats") }},
		{"a ban and its lifting", func() error {
			id := "?name=" + url.QueryEscape(entries[a.rng.IntN(n)].ID)
			if err := caller.call(http.MethodPut, "/admin/cordon"+id); err != nil {
				return err
			}
			return caller.call(http.MethodPut, "/admin/uncordon"+id)
		}},
	}
	calls := max(100, int(a.o.Scale*adminCalls))
	for _, operation := range operations {
		for range int(adminWarmUpFraction * float64(calls)) {
			if err := operation.do(); err != nil {
				return err
			}
		}
	}
	pids := []int{p.PID()}
	idle, err := measureUsage(ctx, pids, func() error {
		return sleep(ctx, max(300*time.Millisecond, time.Duration(a.o.Scale*float64(adminIdleTime))))
	})
	if err != nil {
		return err
	}
	for _, operation := range operations {
		latencies := make([]time.Duration, calls)
		caller.bytes = 0
		used, err := measureUsage(ctx, pids, func() error {
			for i := range latencies {
				from := time.Now()
				if err := operation.do(); err != nil {
					return err
				}
				if latencies[i] = time.Since(from); ctx.Err() != nil {
					return ctx.Err()
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		slices.Sort(latencies)
		perCall := func(total float64) float64 { return total / float64(calls) }
		idleCPU := idle[0].cpuShare() * used[0].duration.Seconds()
		a.figures.record(n, operation.name+", processor time", perCall(1e6*(used[0].CPU.Seconds()-idleCPU)), "us")
		a.figures.record(n, operation.name+", bytes", perCall(float64(caller.bytes)), "B")
		a.figures.record(n, operation.name+", time p50", millis(quantile(latencies, 0.5)), "ms")
		a.r.add(fmt.Sprintf("%d listed: %s, time p99 of %d", n, operation.name, calls), millis(quantile(latencies, 0.99)), "ms")
	}
	// Check that the calls had their effect: a cordon takes one backend out of rotation.
	if err := caller.call(http.MethodPut, "/admin/cordon?name="+url.QueryEscape(entries[0].ID)); err != nil {
		return err
	}
	return caller.awaitCounts(n, 1)
}

// adminCaller makes calls as an operator does and counts the bytes of requests and responses.
type adminCaller struct {
	addr  string
	bytes int64
	body  []byte // of the last response
}

// call makes a call and returns an error unless the status is 200.
func (c *adminCaller) call(method, target string) error {
	nc, err := net.DialTimeout("tcp", c.addr, adminCallTimeout)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(adminCallTimeout))
	sent, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, target, c.addr)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(nc) // the endpoint closes the connection after a call
	if err != nil {
		return err
	}
	c.bytes += int64(sent + len(answer))
	head, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	if !bytes.HasPrefix(head, []byte("HTTP/1.1 200 ")) {
		return fmt.Errorf("%s %s: unexpected response %q", method, target, answer)
	}
	c.body = body
	return nil
}

// awaitCounts waits until the agent reports the given numbers of backends listed and out of rotation.
func (c *adminCaller) awaitCounts(listed, out int) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		if err := c.call(http.MethodGet, "/admin/stats"); err != nil {
			return err
		}
		if stats := string(c.body); strings.Contains(stats, fmt.Sprintf("app.registry_entries=%d\n", listed)) && strings.Contains(stats, fmt.Sprintf("app.out_of_rotation=%d\n", out)) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the agent does not report %d backends listed and %d out of rotation: %q", listed, out, c.body)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
