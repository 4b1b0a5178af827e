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

// registered starts a registrar; its problems are told to the returned function.
func registered(t *testing.T, e *zk.Ensemble, change func(*Config)) (r *Registrar, problems func() string, stop func()) {
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
	var said []string
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Run(ctx, func(p string) { mu.Lock(); said = append(said, p); mu.Unlock() })
	}()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return r, func() string { mu.Lock(); defer mu.Unlock(); return strings.Join(said, "\n") }, stop
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestRegistrar(t *testing.T) {
	e := ensemble(t, zk.Options{Servers: 2})
	var mu sync.Mutex
	made, gone := 0, 0
	e.OnChange(func(c zk.Change) {
		mu.Lock()
		defer mu.Unlock()
		if c.Path == "/fleet/me" {
			switch c.Event {
			case zkwire.NodeCreated:
				made++
			case zkwire.NodeDeleted:
				gone++
			}
		}
	})
	counts := func() (int, int) { mu.Lock(); defer mu.Unlock(); return made, gone }
	there := func() bool { _, ok := e.Children("/fleet")["me"]; return ok }
	r, _, stop := registered(t, e, func(c *Config) { c.Auth = "user:secret" })
	until(t, "no node", there)
	// The connection breaks, the session lives: the node stays as it is.
	e.Servers[0].Cut()
	e.Servers[1].Cut()
	r.Set(func(e *membership.Entry) { e.State = membership.Draining })
	until(t, "the change is not written", func() bool { return strings.Contains(e.Children("/fleet")["me"], `"draining"`) })
	if m, g := counts(); m != 1 || g != 0 {
		t.Errorf("made %d times, gone %d", m, g)
	}
	// The session expires: the node is made again.
	e.Expire(e.Sessions()[0], false)
	until(t, "not made again", func() bool { m, _ := counts(); return m == 2 && there() })
	// Somebody takes it away.
	e.Remove("/fleet/me")
	until(t, "not made again after it was taken away", func() bool { m, _ := counts(); return m == 3 && there() })
	// The end takes it away at once, not when the session would time out.
	from := time.Now()
	stop()
	until(t, "it outlives its process", func() bool { return !there() })
	if took := time.Since(from); took > 300*time.Millisecond {
		t.Errorf("gone after %v", took)
	}
}

// A node of ours that an older session still holds is replaced in one transaction; another process's is left
// alone, and taken over once it has gone.
func TestRegistrarMeetsANode(t *testing.T) {
	e := ensemble(t, zk.Options{Least: time.Minute, Most: time.Minute})
	e.Put("/fleet/me", []byte(`{"id":"me","instance":"another"}`), 77)
	_, problems, _ := registered(t, e, nil)
	until(t, "nobody says that the name is taken", func() bool { return strings.Contains(problems(), "another process") })
	if data := e.Children("/fleet")["me"]; !strings.Contains(data, "another") {
		t.Errorf("another process's node became %s", data)
	}
	e.Remove("/fleet/me")
	until(t, "not taken over", func() bool { return strings.Contains(e.Children("/fleet")["me"], `"h:1"`) })

	own := ensemble(t, zk.Options{})
	c := testConfig(own, func(c *Config) { c.Register.ID, c.Register.Addr = "me", "h:1" })
	r := NewRegistrar(c)
	data, _ := r.data()
	own.Put("/fleet/me", data, 77) // of a session of this process that has not ended yet
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); r.Run(ctx, func(string) {}) }()
	watch := followed(t, c)
	watch.until("not replaced", func() bool { n := watch.nodes["me"]; return n.Owner != 0 && n.Owner != 77 })
	cancel()
	<-ended
}
