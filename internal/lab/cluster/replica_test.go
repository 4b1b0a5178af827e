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

// startReplicas starts n replicas, which are killed at the end of the test. If the test failed, it prints
// their logs.
func startReplicas(t *testing.T, n int) (*Cluster, context.Context) {
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
	for _, replica := range c.Replicas {
		if defect := os.Getenv("RINGTRACK_TEST_DEFECT"); defect != "" { // to show that the tests detect it
			replica.Env = append(replica.Env, "RINGTRACK_LAB_DEFECT="+defect)
		}
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return c, ctx
}

func tail(s string, n int) string { return s[max(len(s)-n, 0):] }

func (c *Cluster) awaitLeader(t *testing.T, ctx context.Context) *Process {
	t.Helper()
	var p *Process
	if err := Until(ctx, "a replica leads", 20*time.Second, func() bool { p, _ = c.Leader(ctx); return p != nil }); err != nil {
		t.Fatal(err)
	}
	return p
}

// publish publishes a version, always under the same id, until a replica acknowledges it. It returns the
// version's number.
func (c *Cluster) publish(t *testing.T, ctx context.Context, parent uint64, config *sharedconfig.Config) uint64 {
	t.Helper()
	var n uint64
	id := fmt.Sprintf("p-%d-%s", parent, config.Digest())
	if err := Until(ctx, "a publish is acknowledged", 20*time.Second, func() bool {
		for _, replica := range c.Replicas {
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			out, err := c.Publish(call, replica, id, parent, config)
			cancel()
			if err == nil {
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

func cordon(ids ...string) *sharedconfig.Config { return &sharedconfig.Config{Cordoned: ids} }

// Replicas elect another leader when theirs is killed, number a repeated publish once, and retain published
// versions when all of them are killed and restarted.
func TestReplicasRetainPublishedVersions(t *testing.T) {
	c, ctx := startReplicas(t, 3)
	leader := c.awaitLeader(t, ctx)
	for n := range 5 {
		if got := c.publish(t, ctx, uint64(n), cordon(fmt.Sprint("s-", n))); got != uint64(n+1) {
			t.Fatalf("publish %d was assigned number %d", n+1, got)
		}
	}
	leader.Kill()
	if next := c.awaitLeader(t, ctx); next == leader {
		t.Fatal("the killed replica is the leader")
	}
	if got := c.publish(t, ctx, 5, cordon("s-9")); got != 6 {
		t.Fatalf("after the loss of the leader: number %d, want 6", got)
	}
	if got := c.publish(t, ctx, 5, cordon("s-9")); got != 6 {
		t.Fatalf("a repeated publish: number %d, want 6", got)
	}
	for _, replica := range c.Replicas {
		replica.Kill()
	}
	for _, replica := range c.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	c.awaitLeader(t, ctx)
	if got := c.publish(t, ctx, 6, cordon("s-10")); got != 7 {
		t.Fatalf("after the loss of all replicas: number %d, want 7", got)
	}
}
