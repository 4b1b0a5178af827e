package agent

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

// A backend whose node is removed gets no requests until its node returns, even if the discovery server lists
// it. When the registry is down the agent continues to serve.
func TestRegistryChangesAreFollowed(t *testing.T) {
	e, err := zk.New(zk.Options{Servers: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	one, two := newBackend(t, echo), newBackend(t, echo)
	node := []byte(`{"started_ms":1000}`)
	e.Put("/fleet/s-1", node, 0)
	e.Put("/fleet/s-2", node, 0)
	a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", one.addr), listedBackend("s-2", two.addr)), func(c *Config) {
		c.Registry = ephemeral.Default()
		c.Registry.Ensemble, c.Registry.Path, c.Registry.SessionMs = e.Addrs(), "/fleet", 1000
	})
	serve := func(n int) {
		t.Helper()
		for range n {
			status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x"))
			wantStatus(t, status, 200)
		}
	}
	// After three reads both nodes are watched.
	for end := time.Now().Add(testTimeout); e.Servers[0].Reads()+e.Servers[1].Reads() < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the registry is not read")
		}
	}
	time.Sleep(50 * time.Millisecond)
	e.Remove("/fleet/s-1")
	time.Sleep(250 * time.Millisecond)
	before := one.count()
	serve(10)
	if one.count() != before || two.count() < 10 {
		t.Errorf("%d requests arrived at a backend without a node, %d at the other", one.count()-before, two.count())
	}
	e.Put("/fleet/s-1", node, 0)
	e.Remove("/fleet/s-2")
	time.Sleep(250 * time.Millisecond)
	before = two.count()
	serve(10)
	if two.count() != before || one.count() < 10 {
		t.Errorf("%d requests arrived at a backend without a node, %d at the other", two.count()-before, one.count())
	}
	for _, s := range e.Servers {
		s.SetDown(true)
	}
	serve(10)
}

// Without a configured registry none of its goroutines runs.
func TestNoRegistryGoroutineWithoutRegistry(t *testing.T) {
	startWithBackend(t, echo)
	buf := make([]byte, 1<<20)
	if stacks := string(buf[:runtime.Stack(buf, true)]); strings.Contains(stacks, "membership/ephemeral") {
		t.Error("the source of the registry runs although none is configured")
	}
}
