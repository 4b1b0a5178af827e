package ephemeral

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// startRegistrar starts a registrar; the returned function returns its problems.
func startRegistrar(t *testing.T, e *zk.Ensemble, change func(*Config)) (r *Registrar, problems func() string, stop func()) {
	t.Helper()
	c := testConfig(e, func(c *Config) {
		c.Register.ID, c.Register.Addr = "me", "h:1"
		if change != nil {
			change(c)
		}
	})
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	r = NewRegistrar(c)
	var mu sync.Mutex
	var reported []string
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Run(ctx, func(p string) { mu.Lock(); reported = append(reported, p); mu.Unlock() })
	}()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return r, func() string { mu.Lock(); defer mu.Unlock(); return strings.Join(reported, "\n") }, stop
}

func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

func TestRegistrarMaintainsItsNode(t *testing.T) {
	e := newEnsemble(t, zk.Options{Servers: 2})
	var mu sync.Mutex
	created, deleted := 0, 0
	e.OnChange(func(c zk.Change) {
		mu.Lock()
		defer mu.Unlock()
		if c.Path == "/fleet/me" {
			switch c.Event {
			case zkwire.NodeCreated:
				created++
			case zkwire.NodeDeleted:
				deleted++
			}
		}
	})
	counts := func() (int, int) { mu.Lock(); defer mu.Unlock(); return created, deleted }
	exists := func() bool { _, ok := e.Children("/fleet")["me"]; return ok }
	r, _, stop := startRegistrar(t, e, func(c *Config) { c.Auth = "user:secret" })
	waitFor(t, "no node", exists)
	// The connection is lost and the session stays alive: the node stays as it is.
	e.Servers[0].ResetConnections()
	e.Servers[1].ResetConnections()
	r.Set(func(e *membership.Entry) { e.State = membership.Draining })
	waitFor(t, "the change is not written", func() bool { return strings.Contains(e.Children("/fleet")["me"], `"draining"`) })
	if creations, deletions := counts(); creations != 1 || deletions != 0 {
		t.Errorf("created %d times, deleted %d", creations, deletions)
	}
	// The session expires: the node is created again.
	e.Expire(e.Sessions()[0], false)
	waitFor(t, "not created again", func() bool { creations, _ := counts(); return creations == 2 && exists() })
	// Another client deletes the node.
	e.Remove("/fleet/me")
	waitFor(t, "not created again after it was deleted", func() bool { creations, _ := counts(); return creations == 3 && exists() })
	// The node is deleted at once when Run ends, not when the session would time out.
	from := time.Now()
	stop()
	waitFor(t, "the node still exists after Run has ended", func() bool { return !exists() })
	if took := time.Since(from); took > 300*time.Millisecond {
		t.Errorf("deleted after %v", took)
	}
}

// A node from an older session of this process is replaced in one transaction. A node of another process is
// left unchanged; once it is deleted, this process creates its own.
func TestRegistrarWithExistingNode(t *testing.T) {
	e := newEnsemble(t, zk.Options{MinSessionTimeout: time.Minute, MaxSessionTimeout: time.Minute})
	e.Put("/fleet/me", []byte(`{"id":"me","instance":"another"}`), 77)
	_, problems, _ := startRegistrar(t, e, nil)
	waitFor(t, "it is not reported that the name is taken", func() bool { return strings.Contains(problems(), "another process") })
	if data := e.Children("/fleet")["me"]; !strings.Contains(data, "another") {
		t.Errorf("another process's node became %s", data)
	}
	e.Remove("/fleet/me")
	waitFor(t, "not created after the other node was deleted", func() bool { return strings.Contains(e.Children("/fleet")["me"], `"h:1"`) })

	own := newEnsemble(t, zk.Options{})
	c := testConfig(own, func(c *Config) { c.Register.ID, c.Register.Addr = "me", "h:1" })
	r := NewRegistrar(c)
	data, _ := r.data()
	own.Put("/fleet/me", data, 77) // from an earlier session of this process that has not expired yet
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); r.Run(ctx, func(string) {}) }()
	v := startSource(t, c)
	v.waitFor("not replaced", func() bool { n := v.nodes["me"]; return n.Owner != 0 && n.Owner != 77 })
	cancel()
	<-ended
}
