package assign

import (
	"fmt"
	"math"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{Name: "read", LatencyObjectiveMs: 200, ClientTimeoutMs: 800, Effect: policy.Idempotent, PriorityWeight: 1},
			{Name: "send", LatencyObjectiveMs: 300, ClientTimeoutMs: 600, Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, IdempotencyWindowMs: 1200, PriorityWeight: 2},
			{Name: "order", LatencyObjectiveMs: 500, ClientTimeoutMs: 1200, Effect: policy.NonIdempotent, PriorityWeight: 5},
		},
		Limits:        policy.Limits{MaxAttempts: 3, MaxRetryAfterMs: 600, ConnectTimeoutMs: 150},
		Contract:      policy.Contract{PollIntervalMs: 10000, SlowStartMinCapacity: 0.31, SlowStartMs: 8600, DrainGraceMs: 250, OverloadFactor: 2.5, OverloadWindowMs: 1000},
		Prices:        policy.Prices{CrossZone: 0.02},
		DiscoveryMode: "on_request", Replicas: 1, BatchIntervalMs: 5,
	}
}

func testConfig() Config {
	return Config{Settings: testSettings(), Zones: []string{"east", "west"}, EjectionMs: 5000, ReportMs: 1000, DisconnectGraceMs: 60_000}
}

// fixture drives an Assigner with simulated time.
type fixture struct {
	t       *testing.T
	a       *Assigner
	now     float64
	entries []membership.Entry
}

func servers(n int) []membership.Entry {
	var out []membership.Entry
	for i := range n {
		out = append(out, membership.Entry{ID: fmt.Sprintf("s-%03d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1),
			Zone: []string{"east", "west"}[i%2], State: membership.Up, Weight: 1})
	}
	return out
}

func newFixture(t *testing.T, n int, change func(*Config)) *fixture {
	t.Helper()
	cfg := testConfig()
	if change != nil {
		change(&cfg)
	}
	f := &fixture{t: t, now: 1e9, entries: servers(n)}
	var err error
	if f.a, err = New(cfg, f.now); err != nil {
		t.Fatal(err)
	}
	f.a.UpdateMembership(f.now, f.entries)
	return f
}

// advance moves time forward in ticks of 100 ms.
func (f *fixture) advance(ms float64) {
	for end := f.now + ms; f.now < end; {
		f.now = min(f.now+100, end)
		f.a.Tick(f.now)
	}
}

func (f *fixture) update(i int, change func(*membership.Entry)) {
	change(&f.entries[i])
	f.a.UpdateMembership(f.now, f.entries)
	f.a.Tick(f.now)
}

func (f *fixture) endpoint(zone string, i int) Endpoint {
	f.t.Helper()
	a := f.a.Assignment(f.now, zone)
	j, ok := a.index[f.entries[i].ID]
	if !ok {
		f.t.Fatalf("%s is not in the assignment", f.entries[i].ID)
	}
	return a.Endpoints[j]
}

// report sends a load report about a server from each of the proxies from, ..., to-1.
func (f *fixture) report(from, to, server int, served, failed float64) {
	for p := from; p < to; p++ {
		f.a.Report(f.now, fmt.Sprintf("p-%d", p), &Report{IntervalMs: 1000, Loads: []ServerLoad{{Addr: f.entries[server].Addr, Served: served, Failed: failed}}})
	}
}

func (f *fixture) connect(n int) {
	for p := range n {
		id, zone := fmt.Sprintf("p-%d", p), []string{"east", "west"}[p%2]
		f.a.Connect(f.now, id, zone, true)
		f.a.Tick(f.now)
		f.a.Acknowledge(id, f.a.Assignment(f.now, zone))
	}
}

func TestConfigErrors(t *testing.T) {
	for key, change := range map[string]func(*Config){
		"evidence.lapse_ms":  func(c *Config) { c.EjectionMs = 0 },
		"evidence.report_ms": func(c *Config) { c.ReportMs = math.NaN() },
		"proxies.linger_ms":  func(c *Config) { c.DisconnectGraceMs = -1 },
		"proxies.settle_ms":  func(c *Config) { c.StartupHoldMs = math.Inf(1) },
		"settings":           func(c *Config) { c.Settings.Classes = nil },
	} {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg, 0); err == nil || len(err.Error()) < len(key) || err.Error()[:len(key)] != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}
