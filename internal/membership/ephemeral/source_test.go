package ephemeral

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// patience bounds every wait of the tests.
const patience = 20 * time.Second

var walkSteps = flag.Int("walk", 1500, "steps of the random walk over faults")

func ensemble(t *testing.T, o zk.Options) *zk.Ensemble {
	t.Helper()
	e, err := zk.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func testConfig(e *zk.Ensemble, change func(*Config)) *Config {
	c := Default()
	c.Path, c.SessionMs = "/fleet", 600
	if e != nil {
		c.Ensemble = e.Addrs()
	}
	if change != nil {
		change(c)
	}
	return c
}

// view is what a source has told.
type view struct {
	t *testing.T

	mu       sync.Mutex
	nodes    map[string]membership.RegistryNode
	gone     int
	steps    int
	synced   int
	errs     []string
	problems []string
	check    func(NodeChange)
	whole    func() // called where the view is said to be of one moment
	stir     chan struct{}
	stop     func()
}

// follow starts a source.
func followed(t *testing.T, c *Config) *view {
	t.Helper()
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	v := &view{t: t, nodes: map[string]membership.RegistryNode{}, stir: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); NewSource(c).Run(ctx, v.told) }()
	v.stop = func() { cancel(); <-ended }
	t.Cleanup(v.stop)
	return v
}

func (v *view) told(u Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range u.Changes {
		v.steps++
		if v.check != nil {
			v.check(s)
		}
		if s.Expired {
			v.gone++
			delete(v.nodes, s.Name)
		} else {
			v.nodes[s.Name] = s.Node
		}
	}
	if u.Synced {
		v.synced++
	}
	if u.Consistent && v.whole != nil {
		v.whole()
	}
	if u.Err != nil {
		v.errs = append(v.errs, u.Err.Error())
	}
	v.problems = append(v.problems, u.Problems...)
	select {
	case v.stir <- struct{}{}:
	default:
	}
}

// until waits for something of the view.
func (v *view) until(what string, is func() bool) {
	v.t.Helper()
	over := time.After(patience)
	for {
		v.mu.Lock()
		ok := is()
		v.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-v.stir:
		case <-time.After(50 * time.Millisecond): // what it is about may be outside the view
		case <-over:
			v.mu.Lock()
			defer v.mu.Unlock()
			v.t.Fatalf("%s; at hand: %v, %d gone, synced %d, errors %q, problems %q", what, v.nodes, v.gone, v.synced, v.errs, v.problems)
		}
	}
}

// names waits until these nodes are there, and no others.
func (v *view) names(want ...string) {
	v.t.Helper()
	v.until(fmt.Sprintf("not just %v", want), func() bool {
		for _, n := range want {
			if _, ok := v.nodes[n]; !ok {
				return false
			}
		}
		return len(v.nodes) == len(want)
	})
}

func (v *view) counts() (synced, steps int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.synced, v.steps
}

func (v *view) node(name string) membership.RegistryNode {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodes[name]
}

func (v *view) has(problem string) {
	v.t.Helper()
	v.until("no "+problem, func() bool {
		return strings.Contains(strings.Join(v.problems, "\n")+strings.Join(v.errs, "\n"), problem)
	})
}

// each runs a test with every way of watching.
func each(t *testing.T, run func(t *testing.T, old bool, watch string)) {
	for _, way := range []struct {
		name, watch string
		old         bool
	}{{"recursive", WatchAuto, false}, {"one-shot", WatchOneShot, false}, {"old servers", WatchAuto, true}} {
		t.Run(way.name, func(t *testing.T) { t.Parallel(); run(t, way.old, way.watch) })
	}
}

func TestFollows(t *testing.T) {
	each(t, func(t *testing.T, old bool, watch string) {
		e := ensemble(t, zk.Options{Servers: 3, Old: old})
		v := followed(t, testConfig(e, func(c *Config) { c.Watch, c.Chroot, c.Path = watch, "/realm", "/fleet" }))
		v.until("not synced", func() bool { return v.synced == 1 })
		v.has("/realm/fleet is not there") // and appears later
		e.Put("/realm/fleet/s-1", []byte(`{"addr":"h:1"}`), 0)
		e.Put("/realm/other", nil, 0)
		v.names("s-1")
		e.Put("/realm/fleet/s-2", []byte(`{"addr":"h:2"}`), 0)
		v.names("s-1", "s-2")
		e.Put("/realm/fleet/s-1", []byte(`{"addr":"h:9"}`), 0)
		v.until("no change of data", func() bool { return v.nodes["s-1"].Entry.Addr == "h:9" })
		first := v.node("s-2").Czxid
		e.Remove("/realm/fleet/s-2")
		e.Put("/realm/fleet/s-2", []byte(`{"addr":"h:2"}`), 0) // within one tick
		v.until("the new node is taken for the old one", func() bool { return v.nodes["s-2"].Czxid > first })
		e.Remove("/realm/fleet/s-1")
		v.names("s-2")
		e.Remove("/realm/fleet") // the directory too
		v.names()
		e.Put("/realm/fleet/s-3", nil, 0)
		v.names("s-3")
	})
}

func TestDirectoriesOfNodes(t *testing.T) {
	each(t, func(t *testing.T, old bool, watch string) {
		e := ensemble(t, zk.Options{Old: old})
		e.Put("/fleet/a/s-1", nil, 0)
		e.Put("/fleet/b/s-2", nil, 0)
		v := followed(t, testConfig(e, func(c *Config) { c.Watch, c.Depth = watch, 2 }))
		v.names("a/s-1", "b/s-2")
		e.Put("/fleet/c/s-3", nil, 0)
		e.Put("/fleet/a/s-4", nil, 0)
		v.names("a/s-1", "b/s-2", "c/s-3", "a/s-4")
		e.Remove("/fleet/a")
		v.names("b/s-2", "c/s-3")
		e.Put("/fleet/a/s-1", nil, 0)
		v.names("b/s-2", "c/s-3", "a/s-1")
	})
}

// That our session is over says nothing of the nodes; that our connection is, neither. What changed
// meanwhile is found, also a node that went and came back.
func TestOurOwnEnds(t *testing.T) {
	each(t, func(t *testing.T, old bool, watch string) {
		e := ensemble(t, zk.Options{Servers: 2, Old: old})
		for i := range 20 {
			e.Put(fmt.Sprint("/fleet/s-", i), nil, 0)
		}
		v := followed(t, testConfig(e, func(c *Config) { c.Watch = watch }))
		v.until("not synced", func() bool { return v.synced == 1 && len(v.nodes) == 20 })
		again := func(what string, end func()) {
			n, steps := v.counts()
			end()
			v.until(what+": not synced again", func() bool { return v.synced > n })
			v.until(what+": something is believed gone", func() bool { return v.gone == 0 && v.steps == steps })
		}
		again("cut", func() { e.Servers[0].Cut(); e.Servers[1].Cut() })
		again("expired", func() { e.Expire(e.Sessions()[0], false) })
		again("expired with its connection up", func() { e.Expire(e.Sessions()[0], true) })
		again("a new epoch", func() { e.LoseLeader(); e.FindLeader() })
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
			v.until(what+": not synced again", func() bool { return v.synced > n })
			v.until(what+": changes are missed", func() bool {
				_, one := v.nodes["s-1"]
				_, new := v.nodes["new"]
				return !one && new && v.nodes["s-3"].Czxid > first && v.nodes["s-4"].Entry.Addr == "h:4"
			})
			e.Put("/fleet/s-1", nil, 0)
			e.Remove("/fleet/new")
			v.until("not back", func() bool { return len(v.nodes) == 20 })
			v.mu.Lock()
			v.gone = 0
			v.mu.Unlock()
		}
	})
}

// A server that has seen less than we have never takes us back in time, also where it would.
func TestNeverBack(t *testing.T) {
	e := ensemble(t, zk.Options{Servers: 2, Least: 300 * time.Millisecond})
	e.Servers[1].SetTrusting(true)
	e.Put("/fleet/s-1", nil, 0)
	e.Put("/fleet/s-2", nil, 0)
	e.Servers[1].SetDown(true)
	v := followed(t, testConfig(e, nil))
	v.names("s-1", "s-2")
	e.Servers[1].SetLag(time.Hour)
	e.Remove("/fleet/s-1")
	v.names("s-2")
	e.Put("/fleet/s-2", []byte(`{"addr":"h:2"}`), 0) // a reply tells how far we have seen
	v.until("no change", func() bool { return v.nodes["s-2"].Entry.Addr != "" })
	e.Servers[1].SetDown(false)
	e.Servers[0].SetDown(true)
	v.has("seen less than we have")
	if v.node("s-1").Czxid != 0 {
		t.Error("a server that lags brought back what is gone")
	}
	e.Servers[0].SetDown(false)
	e.Put("/fleet/s-3", nil, 0)
	v.names("s-2", "s-3")
}

// The ensemble names servers that refuse, hang and speak something else.
func TestOddHosts(t *testing.T) {
	e := ensemble(t, zk.Options{})
	e.Put("/fleet/s-1", nil, 0)
	odd := func(serve func(net.Conn)) string {
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
	hosts := []string{odd(func(c net.Conn) { io.Copy(io.Discard, c) }), odd(func(c net.Conn) { io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n") }),
		odd(func(net.Conn) {}), closed.Addr().String()}
	for _, host := range hosts {
		v := followed(t, testConfig(e, func(c *Config) { c.Ensemble = append([]string{host}, c.Ensemble...) }))
		v.names("s-1")
		v.stop()
	}
}

// A server that answers nothing is left for another while the session lives.
func TestHalfOpen(t *testing.T) {
	e := ensemble(t, zk.Options{Servers: 2, Least: time.Second})
	e.Put("/fleet/s-1", nil, 0)
	e.Servers[1].SetDown(true)
	v := followed(t, testConfig(e, func(c *Config) { c.SessionMs = 1000 }))
	v.names("s-1")
	id := e.Sessions()[0]
	e.Servers[0].SetHang(true)
	e.Servers[1].SetDown(false)
	e.Put("/fleet/s-2", nil, 0)
	v.names("s-1", "s-2")
	if ids := e.Sessions(); len(ids) != 1 || ids[0] != id {
		t.Errorf("session %#x became %#x", id, ids)
	}
	e.Servers[0].SetHang(false)
}

// Frames that can't be read cost a connection and nothing else.
func TestCorruptFrames(t *testing.T) {
	e := ensemble(t, zk.Options{Servers: 2})
	for i := range 50 {
		e.Put(fmt.Sprint("/fleet/s-", i), []byte(`{"addr":"h:1"}`), 0)
	}
	for _, s := range e.Servers {
		s.Corrupt(3)
	}
	v := followed(t, testConfig(e, nil))
	v.has("can't be read")
	v.until("not all", func() bool { return len(v.nodes) == 50 })
	if v.gone > 0 {
		t.Errorf("%d are believed gone", v.gone)
	}
}

func TestAuth(t *testing.T) {
	e := ensemble(t, zk.Options{})
	e.Put("/fleet/s-1", nil, 0)
	e.Protect("/fleet", "user:secret")
	e.Protect("/fleet/s-1", "user:secret")
	v := followed(t, testConfig(e, nil))
	v.has("not authorised")
	v.stop()
	v = followed(t, testConfig(e, func(c *Config) { c.Auth = "user:wrong" }))
	v.has("not authorised")
	if len(v.nodes) > 0 || v.synced > 0 {
		t.Errorf("%v, synced %d", v.nodes, v.synced)
	}
	v.stop()
	followed(t, testConfig(e, func(c *Config) { c.Auth = "user:secret" })).names("s-1")
}

// A registry that is dead for long changes nothing; one that begins anew from nothing is taken for that, in
// time.
func TestDeadAndAnew(t *testing.T) {
	e := ensemble(t, zk.Options{Servers: 2})
	e.Put("/fleet/s-1", nil, 0)
	for i := range 10 {
		e.Put("/more", []byte{byte(i)}, 0)
	}
	c := testConfig(e, nil)
	c.resetAfter = 200 * time.Millisecond
	v := followed(t, c)
	v.names("s-1")
	for _, s := range e.Servers {
		s.SetDown(true)
	}
	v.until("nobody noticed", func() bool { return len(v.errs) > 4 })
	if v.gone > 0 {
		t.Error("gone with the registry")
	}
	for _, s := range e.Servers {
		s.SetDown(false)
	}
	n, _ := v.counts()
	v.until("not back", func() bool { return v.synced > n })
	e.Reset()
	e.Put("/fleet/s-2", nil, 0)
	v.names("s-2")
}

func TestReadOnlyServer(t *testing.T) {
	e := ensemble(t, zk.Options{Servers: 1})
	e.Put("/fleet/s-1", nil, 0)
	e.Servers[0].SetReadOnly(true)
	v := followed(t, testConfig(e, nil))
	v.until("it was taken", func() bool { return len(v.errs) > 1 && len(v.nodes) == 0 })
	v.stop()
	followed(t, testConfig(e, func(c *Config) { c.ReadOnly = true })).names("s-1")
}

// One bad node hides no other.
func TestBadNodes(t *testing.T) {
	e := ensemble(t, zk.Options{})
	for name, data := range map[string]string{"good": `{"addr":"h:1"}`, "noise": "\xff\x00", "large": strings.Repeat("x", maxNodeBytes+1),
		"port": `{"addr":"h:99999"}`, "set": `{"serviceEndpoint":{"host":"h","port":7},"status":"ALIVE"}`} {
		e.Put("/fleet/"+name, []byte(data), 0)
	}
	v := followed(t, testConfig(e, nil))
	v.names("good", "noise", "large", "port", "set")
	v.has("node noise")
	v.has("node large")
	v.has("node port")
	if a := v.nodes["set"].Entry.Addr; a != "h:7" {
		t.Errorf("address %q", a)
	}
}

// member is a path whose name is so long that 10,000 of them are just below what a registry sends.
func member(i int) string { return fmt.Sprintf("/fleet/%s_%010d", strings.Repeat("m", 85), i) }

// 10,000 nodes, and more than is followed; an answer over the bound is said.
func TestManyNodes(t *testing.T) {
	e := ensemble(t, zk.Options{Most: time.Minute})
	const n = 10_000
	for i := range n {
		e.Put(member(i), []byte(`{"addr":"h:1"}`), 0)
	}
	v := followed(t, testConfig(e, func(c *Config) { c.SessionMs = 30_000 }))
	v.until("not all", func() bool { return len(v.nodes) == n && v.synced == 1 })
	before := e.Servers[0].Bytes()
	e.Remove(member(5000))
	v.until("one is not gone", func() bool { return len(v.nodes) == n-1 })
	if got := e.Servers[0].Bytes() - before; got > 1000 {
		t.Errorf("one change cost %d bytes", got)
	}
	v.stop()
	v = followed(t, testConfig(e, func(c *Config) { c.SessionMs, c.MaxNodes = 30_000, 100 }))
	v.has("left out")
	v.until("not the most", func() bool { return len(v.nodes) == 100 })
	v.stop()
	v = followed(t, testConfig(e, func(c *Config) { c.FrameLimit = 4096 }))
	v.has("at most 4096")
}

// A random walk over faults: what is told of each node was so at some moment and never goes back; where the
// view is said to be of one moment, it is the tree as a whole, nodes and data, as it was at one, no earlier
// than that of the last such view; and it is the tree as it is once the faults have ended.
func TestWalk(t *testing.T) {
	each(t, func(t *testing.T, old bool, watch string) {
		const seed = 11
		rng := rand.New(rand.NewPCG(seed, 0))
		e := ensemble(t, zk.Options{Servers: 3, Seed: seed, Old: old})
		type moment struct{ czxid, mzxid, gone int64 }
		var mu sync.Mutex
		past := map[string][]moment{} // of each node: its states, and when each ended
		type seen struct {
			czxid int64
			addr  string
		}
		trees := []map[string]seen{{}} // the whole after each change
		at, wholes := 0, 0             // the tree that the last whole view was, and their number
		e.OnChange(func(c zk.Change) {
			mu.Lock()
			defer mu.Unlock()
			name, ok := strings.CutPrefix(c.Path, "/fleet/")
			if !ok {
				return
			}
			list := past[name]
			if n := len(list); n > 0 && list[n-1].gone == 0 {
				list[n-1].gone = c.Zxid
			}
			switch c.Event {
			case zkwire.NodeCreated:
				list = append(list, moment{c.Zxid, c.Zxid, 0})
			case zkwire.NodeDataChanged:
				list = append(list, moment{list[len(list)-1].czxid, c.Zxid, 0})
			}
			past[name] = list
			next := maps.Clone(trees[len(trees)-1])
			if c.Event == zkwire.NodeDeleted {
				delete(next, name)
			} else {
				next[name] = seen{list[len(list)-1].czxid, strings.TrimSuffix(strings.TrimPrefix(string(c.Data), `{"addr":"`), `"}`)}
			}
			trees = append(trees, next)
		})
		e.Put("/fleet", nil, 0)
		v := followed(t, testConfig(e, func(c *Config) { c.Watch, c.SessionMs, c.maxBackoff = watch, 300, 20*time.Millisecond }))
		last := map[string]int64{} // czxid told last
		v.mu.Lock()
		v.whole = func() {
			mu.Lock()
			defer mu.Unlock()
			view := map[string]seen{}
			for name, n := range v.nodes {
				view[name] = seen{n.Czxid, n.Entry.Addr}
			}
			wholes++
			for i := at; i < len(trees); i++ {
				if maps.Equal(view, trees[i]) {
					at = i
					return
				}
			}
			near, least := "", 1<<30 // what sets it apart from the tree that is most like it
			for i := max(0, at-50); i < len(trees); i++ {
				diff := ""
				n := 0
				for name := range past {
					if a, b := view[name], trees[i][name]; a != b {
						n++
						diff += fmt.Sprintf(" %s is %x, was %x;", name, a, b)
					}
				}
				if n < least {
					near, least = fmt.Sprintf("tree %d:%s", i, diff), n
				}
			}
			t.Errorf("seed %d: the view is no tree of %d to %d, the nearest is %s", seed, at, len(trees)-1, near)
		}
		v.check = func(s NodeChange) {
			mu.Lock()
			defer mu.Unlock()
			if s.Expired {
				if n, ok := v.nodes[s.Name]; ok {
					// It ended at some time after it was made.
					ended := false
					for i, m := range past[s.Name] {
						if m.czxid == n.Czxid && m.gone > 0 && (i+1 == len(past[s.Name]) || past[s.Name][i+1].czxid != m.czxid) {
							ended = true
						}
					}
					if !ended {
						t.Errorf("seed %d: %s is told gone and never was", seed, s.Name)
					}
				}
				return
			}
			was := false
			for _, m := range past[s.Name] {
				was = was || m.czxid == s.Node.Czxid
			}
			if !was || s.Node.Czxid < last[s.Name] {
				t.Errorf("seed %d: %s told with czxid %#x after %#x, of which there was one: %v", seed, s.Name, s.Node.Czxid, last[s.Name], was)
			}
			last[s.Name] = s.Node.Czxid
		}
		v.mu.Unlock()
		server := func() *zk.Server { return e.Servers[rng.IntN(3)] }
		heal := func() {
			for _, s := range e.Servers {
				s.SetDown(false)
				s.SetHang(false)
				s.SetLag(0)
				s.SetSlow(0)
				s.Corrupt(0)
			}
		}
		faults := []func(){
			func() { server().Cut() },
			func() { server().SetDown(rng.IntN(2) == 0) },
			func() { server().SetLag(time.Duration(rng.IntN(30)) * time.Millisecond) },
			func() { server().SetSlow(time.Duration(rng.IntN(3)) * time.Millisecond) },
			func() { server().SetHang(rng.IntN(3) == 0) },
			func() { server().SetTrusting(rng.IntN(2) == 0) },
			func() { server().Corrupt(rng.IntN(2)) },
			func() {
				if ids := e.Sessions(); len(ids) > 0 {
					e.Expire(ids[rng.IntN(len(ids))], rng.IntN(2) == 0)
				}
			},
			heal, heal, heal, heal,
			func() { e.LoseLeader(); time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond); e.FindLeader() },
		}
		for i := range *walkSteps {
			name := fmt.Sprint("/fleet/s-", rng.IntN(30))
			switch n := rng.IntN(20); {
			case n < 10:
				e.Put(name, fmt.Appendf(nil, `{"addr":"h:%d"}`, 1+i%60000), 0)
			case n < 15:
				e.Remove(name)
			case n < 17 || rng.IntN(2) > 0:
				e.Remove(name)
				e.Put(name, nil, 0)
			default:
				faults[rng.IntN(len(faults))]()
			}
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Microsecond)
		}
		heal()
		e.Put("/fleet/last", nil, 0)
		v.until(fmt.Sprintf("seed %d: the view does not catch up with %v", seed, maps.Keys(e.Children("/fleet"))), func() bool {
			want := e.Children("/fleet")
			if len(v.nodes) != len(want) {
				return false
			}
			for name := range want {
				if _, ok := v.nodes[name]; !ok {
					return false
				}
				mu.Lock()
				list := past[name]
				ok := list[len(list)-1].czxid == v.nodes[name].Czxid
				mu.Unlock()
				if !ok {
					return false
				}
			}
			return true
		})
		v.mu.Lock()
		defer v.mu.Unlock()
		if wholes < *walkSteps/20 {
			t.Errorf("seed %d: only %d views were of one moment", seed, wholes)
		}
		t.Logf("%d steps told, %d of them ends; %d syncs, %d connections lost; %d views of one moment, the last of tree %d of %d",
			v.steps, v.gone, v.synced, len(v.errs), wholes, at, len(trees)-1)
	})
}
