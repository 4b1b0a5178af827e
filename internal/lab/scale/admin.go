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
	// adminCalls is how many calls of each kind are made at a size, adminQuiet for how long it is left alone before, at
	// scale 1: a call costs some 0.2 ms, what an agent does by itself some 0.6 % of a core.
	adminCalls, adminQuiet = 4000, 4 * time.Second
	// adminWarm is the calls of each kind before those that count: the agent's heap has its size by then.
	adminWarm = 0.1
	// adminTime is what one of them may take.
	adminTime = 10 * time.Second
)

var adminTest = Test{Name: "admin", Quick: 0.3, Smallest: 0.01,
	About: "What a call at an agent's admin endpoint costs it, by backends listed: health, figures, a ban and its lifting.",
	Run: func(ctx context.Context, o *Options) (*Report, error) {
		return (&adminEndpoint{o: o, r: &Report{Test: "admin", Seed: o.Seed, Scale: o.Scale}}).run(ctx)
	}}

// adminEndpoint is one run. Each size has an agent of its own, a process of the product's binary as it is delivered, with
// a folder for its bans and without keepers; nobody calls it as a client does, and nothing is behind its backends'
// addresses. One operator calls, one call behind the other, each on a connection of its own, as the endpoint has it. What
// the agent spends by itself is measured before and taken off. Bytes are those of calls and answers, without those of TCP.
type adminEndpoint struct {
	o       *Options
	r       *Report
	c       *cluster.Cluster
	rng     *rand.Rand
	figures series
}

func (a *adminEndpoint) run(ctx context.Context) (*Report, error) {
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
	sizes := a.o.listed()
	for i, n := range sizes {
		if i == len(sizes)-1 {
			a.figures.foretell(a.o, n)
		}
		if err := a.size(ctx, n); err != nil {
			return nil, fmt.Errorf("scale: %d backends listed: %w", n, err)
		}
	}
	a.r.Lines = a.figures.lines()
	return a.r, nil
}

// size measures the calls of an agent with n backends listed.
func (a *adminEndpoint) size(ctx context.Context, n int) error {
	a.o.logf("%d backends listed", n)
	var entries []membership.Entry
	for i := range n {
		e := entry(i)
		e.Zone = []string{"east", "west", "south"}[i%3] // those of the settings
		entries = append(entries, e)
	}
	roster, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return err
	}
	defer roster.Close()
	addrs, err := a.c.Addrs(2)
	if err != nil {
		return err
	}
	p, err := startAgent(a.c, fmt.Sprint("agent-", n), addrs[0], addrs[1], a.o.Seed, roster)
	if err != nil {
		return err
	}
	defer p.Kill()
	if err := ready(ctx, p); err != nil {
		return err
	}
	caller := &adminCaller{addr: p.AdminAddr}
	if err := caller.expect(n, 0); err != nil {
		return err
	}
	kinds := []struct {
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
	for _, of := range kinds {
		for range int(adminWarm * float64(calls)) {
			if err := of.do(); err != nil {
				return err
			}
		}
	}
	pids := []int{p.PID()}
	quiet, err := spent(ctx, pids, func() error {
		return sleep(ctx, max(300*time.Millisecond, time.Duration(a.o.Scale*float64(adminQuiet))))
	})
	if err != nil {
		return err
	}
	for _, of := range kinds {
		took := make([]time.Duration, calls)
		caller.bytes = 0
		used, err := spent(ctx, pids, func() error {
			for i := range took {
				from := time.Now()
				if err := of.do(); err != nil {
					return err
				}
				if took[i] = time.Since(from); ctx.Err() != nil {
					return ctx.Err()
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		slices.Sort(took)
		each := func(total float64) float64 { return total / float64(calls) }
		own := quiet[0].share() * used[0].over.Seconds()
		a.figures.at(n, of.name+", processor time", each(1e6*(used[0].CPU.Seconds()-own)), "us")
		a.figures.at(n, of.name+", bytes", each(float64(caller.bytes)), "B")
		a.figures.at(n, of.name+", time p50", millis(quantile(took, 0.5)), "ms")
		a.r.add(fmt.Sprintf("%d listed: %s, time p99 of %d", n, of.name, calls), millis(quantile(took, 0.99)), "ms")
	}
	// What was measured did what it says.
	if err := caller.call(http.MethodPut, "/admin/cordon?name="+url.QueryEscape(entries[0].ID)); err != nil {
		return err
	}
	return caller.expect(n, 1)
}

// adminCaller is an operator, who counts the bytes of calls and answers.
type adminCaller struct {
	addr  string
	bytes int64
	body  []byte // of the last answer
}

// call makes a call, which must be answered with 200.
func (c *adminCaller) call(method, target string) error {
	nc, err := net.DialTimeout("tcp", c.addr, adminTime)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(adminTime))
	sent, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, target, c.addr)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(nc) // one call to a connection
	if err != nil {
		return err
	}
	c.bytes += int64(sent + len(answer))
	head, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	if !bytes.HasPrefix(head, []byte("HTTP/1.1 200 ")) {
		return fmt.Errorf("%s %s: answered %q", method, target, answer)
	}
	c.body = body
	return nil
}

// expect waits until the agent tells of so many backends listed and out of rotation.
func (c *adminCaller) expect(listed, out int) error {
	over := time.Now().Add(readyTime)
	for {
		if err := c.call(http.MethodGet, "/admin/stats"); err != nil {
			return err
		}
		if has := string(c.body); strings.Contains(has, fmt.Sprintf("app.registry_entries=%d\n", listed)) && strings.Contains(has, fmt.Sprintf("app.out_of_rotation=%d\n", out)) {
			return nil
		}
		if time.Now().After(over) {
			return fmt.Errorf("%d listed and %d out of rotation are not told: %q", listed, out, c.body)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
