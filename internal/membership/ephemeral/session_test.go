package ephemeral

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/zk"
)

// No node is reported expired because the source's own session or connection ended. Changes in the meantime
// are detected, including a node that expired and was created again.
func TestOwnSessionExpiryExpiresNoNode(t *testing.T) {
	forEachWatchMode(t, func(t *testing.T, old bool, watch string) {
		e := newEnsemble(t, zk.Options{Servers: 2, Before35: old})
		for i := range 20 {
			e.Put(fmt.Sprint("/fleet/s-", i), nil, 0)
		}
		v := startSource(t, testConfig(e, func(c *Config) { c.Watch = watch }))
		v.waitFor("not synced", func() bool { return v.synced == 1 && len(v.nodes) == 20 })
		reconnect := func(what string, end func()) {
			n, changesBefore := v.counts()
			end()
			v.waitFor(what+": not synced again", func() bool { return v.synced > n })
			v.waitFor(what+": a node expired", func() bool { return v.expired == 0 && v.changes == changesBefore })
		}
		reconnect("cut", func() { e.Servers[0].ResetConnections(); e.Servers[1].ResetConnections() })
		reconnect("expired", func() { e.Expire(e.Sessions()[0], false) })
		reconnect("expired with its connection up", func() { e.Expire(e.Sessions()[0], true) })
		reconnect("a new leader epoch", func() { e.LoseLeader(); e.ElectLeader() })
		for what, end := range map[string]func(){"cut": func() {}, "expired": func() { e.Expire(e.Sessions()[0], false) }} {
			n, _ := v.counts()
			first := v.node("s-3").Czxid
			for _, s := range e.Servers {
				s.SetDown(true)
			}
			end()
			e.Remove("/fleet/s-1")
			e.Remove("/fleet/s-3")
			e.Put("/fleet/s-3", nil, 0)
			e.Put("/fleet/s-4", []byte(`{"addr":"h:4"}`), 0)
			e.Put("/fleet/new", nil, 0)
			for _, s := range e.Servers {
				s.SetDown(false)
			}
			v.waitFor(what+": not synced again", func() bool { return v.synced > n })
			v.waitFor(what+": changes are missed", func() bool {
				_, deletedExists := v.nodes["s-1"]
				_, createdExists := v.nodes["new"]
				return !deletedExists && createdExists && v.nodes["s-3"].Czxid > first && v.nodes["s-4"].Entry.Addr == "h:4"
			})
			e.Put("/fleet/s-1", nil, 0)
			e.Remove("/fleet/new")
			v.waitFor("not back", func() bool { return len(v.nodes) == 20 })
			v.mu.Lock()
			v.expired = 0
			v.mu.Unlock()
		}
	})
}

// A server that is behind does not bring expired nodes back, even if it accepts the session.
func TestServerBehindIsNotUsed(t *testing.T) {
	e := newEnsemble(t, zk.Options{Servers: 2, MinSessionTimeout: 300 * time.Millisecond})
	e.Servers[1].SetAcceptsNewerClients(true)
	e.Put("/fleet/s-1", nil, 0)
	e.Put("/fleet/s-2", nil, 0)
	e.Servers[1].SetDown(true)
	v := startSource(t, testConfig(e, nil))
	v.waitForNodes("s-1", "s-2")
	e.Servers[1].SetLag(time.Hour)
	e.Remove("/fleet/s-1")
	v.waitForNodes("s-2")
	e.Put("/fleet/s-2", []byte(`{"addr":"h:2"}`), 0) // the reply to its read carries the transaction id
	v.waitFor("no change", func() bool { return v.nodes["s-2"].Entry.Addr != "" })
	e.Servers[1].SetDown(false)
	e.Servers[0].SetDown(true)
	v.waitForError(errServerBehind)
	if v.node("s-1").Czxid != 0 {
		t.Error("a server that lags brought an expired node back")
	}
	e.Servers[0].SetDown(false)
	e.Put("/fleet/s-3", nil, 0)
	v.waitForNodes("s-2", "s-3")
}

// Servers that reject connections, hang or speak another protocol are skipped.
func TestFaultyServersAreSkipped(t *testing.T) {
	e := newEnsemble(t, zk.Options{})
	e.Put("/fleet/s-1", nil, 0)
	faulty := func(serve func(net.Conn)) string {
		a, err := lab.Accept(serve)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Close)
		return a.Addr
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	servers := []string{faulty(func(c net.Conn) { io.Copy(io.Discard, c) }), faulty(func(c net.Conn) { io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n") }),
		faulty(func(net.Conn) {}), closed.Addr().String()}
	for _, server := range servers {
		v := startSource(t, testConfig(e, func(c *Config) { c.Ensemble = append([]string{server}, c.Ensemble...) }))
		v.waitForNodes("s-1")
		v.stop()
	}
}

// The source leaves a server that does not answer for another one before the session expires.
func TestSilentServerIsLeftBeforeSessionExpires(t *testing.T) {
	e := newEnsemble(t, zk.Options{Servers: 2, MinSessionTimeout: time.Second})
	e.Put("/fleet/s-1", nil, 0)
	e.Servers[1].SetDown(true)
	v := startSource(t, testConfig(e, func(c *Config) { c.SessionMs = 1000 }))
	v.waitForNodes("s-1")
	id := e.Sessions()[0]
	e.Servers[0].SetHalfOpen(true)
	e.Servers[1].SetDown(false)
	e.Put("/fleet/s-2", nil, 0)
	v.waitForNodes("s-1", "s-2")
	if ids := e.Sessions(); len(ids) != 1 || ids[0] != id {
		t.Errorf("session %#x became %#x", id, ids)
	}
	e.Servers[0].SetHalfOpen(false)
}

// A malformed frame ends the connection and causes no expiry.
func TestCorruptFramesEndOnlyTheConnection(t *testing.T) {
	e := newEnsemble(t, zk.Options{Servers: 2})
	for i := range 50 {
		e.Put(fmt.Sprint("/fleet/s-", i), []byte(`{"addr":"h:1"}`), 0)
	}
	for _, s := range e.Servers {
		s.Corrupt(3)
	}
	v := startSource(t, testConfig(e, nil))
	v.waitForError(errMalformedFrame)
	v.waitFor("not all", func() bool { return len(v.nodes) == 50 })
	if v.expired > 0 {
		t.Errorf("%d nodes expired", v.expired)
	}
}

func TestAuthentication(t *testing.T) {
	e := newEnsemble(t, zk.Options{})
	e.Put("/fleet/s-1", nil, 0)
	e.Protect("/fleet", "user:secret")
	e.Protect("/fleet/s-1", "user:secret")
	v := startSource(t, testConfig(e, nil))
	v.waitForText("not authorised")
	v.stop()
	v = startSource(t, testConfig(e, func(c *Config) { c.Auth = "user:wrong" }))
	v.waitForText("not authorised")
	if len(v.nodes) > 0 || v.synced > 0 {
		t.Errorf("without authorisation: nodes %v, synced %d times", v.nodes, v.synced)
	}
	v.stop()
	startSource(t, testConfig(e, func(c *Config) { c.Auth = "user:secret" })).waitForNodes("s-1")
}

// A registry that is unreachable for long causes no expiry; a reinitialised one, with lower transaction ids,
// is accepted after resetAfter.
func TestReinitialisedRegistry(t *testing.T) {
	e := newEnsemble(t, zk.Options{Servers: 2})
	e.Put("/fleet/s-1", nil, 0)
	for i := range 10 {
		e.Put("/more", []byte{byte(i)}, 0)
	}
	c := testConfig(e, nil)
	c.resetAfter = 200 * time.Millisecond
	v := startSource(t, c)
	v.waitForNodes("s-1")
	for _, s := range e.Servers {
		s.SetDown(true)
	}
	v.waitFor("the loss is not reported", func() bool { return len(v.errs) > 4 })
	if v.expired > 0 {
		t.Error("nodes expired while the registry was unreachable")
	}
	for _, s := range e.Servers {
		s.SetDown(false)
	}
	n, _ := v.counts()
	v.waitFor("not back", func() bool { return v.synced > n })
	e.Reset()
	e.Put("/fleet/s-2", nil, 0)
	v.waitForNodes("s-2")
}

func TestReadOnlyServers(t *testing.T) {
	e := newEnsemble(t, zk.Options{Servers: 1})
	e.Put("/fleet/s-1", nil, 0)
	e.Servers[0].SetReadOnly(true)
	v := startSource(t, testConfig(e, nil))
	v.waitFor("a read-only server was used", func() bool { return len(v.errs) > 1 && len(v.nodes) == 0 })
	v.stop()
	startSource(t, testConfig(e, func(c *Config) { c.ReadOnly = true })).waitForNodes("s-1")
}
