package cluster

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

func TestMain(m *testing.M) {
	code := m.Run()
	Clean()
	os.Exit(code)
}

// keepers starts n keepers; they end with the test, and their logs are shown where it failed.
func keepers(t *testing.T, n int) (*Cluster, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	bin, err := Build(ctx)
	if err != nil {
		t.Fatal(err)
	}
	c := New(t.TempDir(), bin, 1000)
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			for _, p := range c.processes() {
				t.Logf("---- %s\n%s", p.Name, tail(p.Log(), 3000))
			}
		}
	})
	if err := c.AddReplicas(n); err != nil {
		t.Fatal(err)
	}
	for _, k := range c.Replicas {
		if d := os.Getenv("RINGTRACK_TEST_DEFECT"); d != "" { // to see that a test finds it
			k.Env = append(k.Env, "RINGTRACK_LAB_DEFECT="+d)
		}
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return c, ctx
}

func tail(s string, n int) string { return s[max(len(s)-n, 0):] }

func (c *Cluster) leads(t *testing.T, ctx context.Context) *Process {
	t.Helper()
	var p *Process
	if err := Until(ctx, "a keeper leads", 20*time.Second, func() bool { p, _ = c.Leader(ctx); return p != nil }); err != nil {
		t.Fatal(err)
	}
	return p
}

// publish publishes until a keeper says yes, always under one id.
func (c *Cluster) publish(t *testing.T, ctx context.Context, parent uint64, b *sharedconfig.Config) uint64 {
	t.Helper()
	var n uint64
	id := fmt.Sprintf("p-%d-%s", parent, b.Digest())
	if err := Until(ctx, "a publish is taken", 20*time.Second, func() bool {
		for _, k := range c.Replicas {
			try, cancel := context.WithTimeout(ctx, 2*time.Second)
			out, err := c.Publish(try, k, id, parent, b)
			if cancel(); err == nil {
				n = out.Number
				return true
			}
		}
		return false
	}); err != nil {
		t.Fatal(err)
	}
	return n
}

func bans(ids ...string) *sharedconfig.Config { return &sharedconfig.Config{Cordoned: ids} }

// Three keepers start in any order, agree, survive the loss of the one that leads, and keep what was published over the
// end of all of them.
func TestKeepersKeepWhatWasPublished(t *testing.T) {
	c, ctx := keepers(t, 3)
	lead := c.leads(t, ctx)
	for n := range 5 {
		if got := c.publish(t, ctx, uint64(n), bans(fmt.Sprint("s-", n))); got != uint64(n+1) {
			t.Fatalf("publish %d has number %d", n+1, got)
		}
	}
	lead.Kill()
	if next := c.leads(t, ctx); next == lead {
		t.Fatal("a dead keeper leads")
	}
	if got := c.publish(t, ctx, 5, bans("s-9")); got != 6 {
		t.Fatalf("behind the leader's loss: %d", got)
	}
	if got := c.publish(t, ctx, 5, bans("s-9")); got != 6 {
		t.Fatalf("the same once more: %d", got)
	}
	for _, k := range c.Replicas {
		k.Kill()
	}
	for _, k := range c.Replicas {
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.leads(t, ctx)
	if got := c.publish(t, ctx, 6, bans("s-10")); got != 7 {
		t.Fatalf("behind the loss of all: %d", got)
	}
}
