package ephemeral

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/zk"
)

func TestSourceFollowsNodes(t *testing.T) {
	forEachWatchMode(t, func(t *testing.T, old bool, watch string) {
		e := newEnsemble(t, zk.Options{Servers: 3, Before35: old})
		v := startSource(t, testConfig(e, func(c *Config) { c.Watch, c.Chroot, c.Path = watch, "/realm", "/fleet" }))
		v.waitFor("not synced", func() bool { return v.synced == 1 })
		v.waitForText("/realm/fleet does not exist") // the directory is created later
		e.Put("/realm/fleet/s-1", []byte(`{"addr":"h:1"}`), 0)
		e.Put("/realm/other", nil, 0)
		v.waitForNodes("s-1")
		e.Put("/realm/fleet/s-2", []byte(`{"addr":"h:2"}`), 0)
		v.waitForNodes("s-1", "s-2")
		e.Put("/realm/fleet/s-1", []byte(`{"addr":"h:9"}`), 0)
		v.waitFor("no change of data", func() bool { return v.nodes["s-1"].Entry.Addr == "h:9" })
		first := v.node("s-2").Czxid
		e.Remove("/realm/fleet/s-2")
		e.Put("/realm/fleet/s-2", []byte(`{"addr":"h:2"}`), 0) // within one tick
		v.waitFor("the new node is treated as the old one", func() bool { return v.nodes["s-2"].Czxid > first })
		e.Remove("/realm/fleet/s-1")
		v.waitForNodes("s-2")
		e.Remove("/realm/fleet") // the directory too
		v.waitForNodes()
		e.Put("/realm/fleet/s-3", nil, 0)
		v.waitForNodes("s-3")
	})
}

func TestSourceFollowsDirectories(t *testing.T) {
	forEachWatchMode(t, func(t *testing.T, old bool, watch string) {
		e := newEnsemble(t, zk.Options{Before35: old})
		e.Put("/fleet/a/s-1", nil, 0)
		e.Put("/fleet/b/s-2", nil, 0)
		v := startSource(t, testConfig(e, func(c *Config) { c.Watch, c.Depth = watch, 2 }))
		v.waitForNodes("a/s-1", "b/s-2")
		e.Put("/fleet/c/s-3", nil, 0)
		e.Put("/fleet/a/s-4", nil, 0)
		v.waitForNodes("a/s-1", "b/s-2", "c/s-3", "a/s-4")
		e.Remove("/fleet/a")
		v.waitForNodes("b/s-2", "c/s-3")
		e.Put("/fleet/a/s-1", nil, 0)
		v.waitForNodes("b/s-2", "c/s-3", "a/s-1")
	})
}

// A node with invalid data does not affect the others.
func TestInvalidNodeData(t *testing.T) {
	e := newEnsemble(t, zk.Options{})
	for name, data := range map[string]string{"valid": `{"addr":"h:1"}`, "binary": "\xff\x00", "large": strings.Repeat("x", maxNodeBytes+1),
		"port": `{"addr":"h:99999"}`, "set": `{"serviceEndpoint":{"host":"h","port":7},"status":"ALIVE"}`} {
		e.Put("/fleet/"+name, []byte(data), 0)
	}
	v := startSource(t, testConfig(e, nil))
	v.waitForNodes("valid", "binary", "large", "port", "set")
	v.waitForText("node binary")
	v.waitForText("node large")
	v.waitForText("node port")
	if a := v.nodes["set"].Entry.Addr; a != "h:7" {
		t.Errorf("address %q, want h:7", a)
	}
}

// longPath returns a path with a name so long that a list of 10,000 of them is just below the servers' frame
// limit.
func longPath(i int) string { return fmt.Sprintf("/fleet/%s_%010d", strings.Repeat("m", 85), i) }

// 10,000 nodes are followed; nodes beyond MaxNodes and a reply beyond FrameLimit are reported.
func TestTenThousandNodes(t *testing.T) {
	e := newEnsemble(t, zk.Options{MaxSessionTimeout: time.Minute})
	const n = 10_000
	for i := range n {
		e.Put(longPath(i), []byte(`{"addr":"h:1"}`), 0)
	}
	v := startSource(t, testConfig(e, func(c *Config) { c.SessionMs = 30_000 }))
	v.waitFor("not all", func() bool { return len(v.nodes) == n && v.synced == 1 })
	before := e.Servers[0].Bytes()
	e.Remove(longPath(5000))
	v.waitFor("one did not expire", func() bool { return len(v.nodes) == n-1 })
	if got := e.Servers[0].Bytes() - before; got > 1000 {
		t.Errorf("one change cost %d bytes", got)
	}
	v.stop()
	v = startSource(t, testConfig(e, func(c *Config) { c.SessionMs, c.MaxNodes = 30_000, 100 }))
	v.waitForText("left out")
	v.waitFor("not as many as the limit", func() bool { return len(v.nodes) == 100 })
	v.stop()
	v = startSource(t, testConfig(e, func(c *Config) { c.FrameLimit = 4096 }))
	v.waitForText("at most 4096")
}
