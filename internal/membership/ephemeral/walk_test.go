package ephemeral

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/zkwire"
)

var randomWalkSteps = flag.Int("walk", 1500, "steps of the random walk over faults")

// Under random faults, what is reported of each node was so at some moment and never goes back; a consistent view is
// the complete tree, nodes and data, as it was at one moment, no earlier than the last consistent view; and the view
// is the tree as it is once the faults have ended.
func TestRandomWalkOverFaults(t *testing.T) {
	forEachWatchMode(t, func(t *testing.T, old bool, watch string) {
		const seed = 11
		rng := rand.New(rand.NewPCG(seed, 0))
		e := newEnsemble(t, zk.Options{Servers: 3, Seed: seed, Old: old})
		type moment struct{ czxid, mzxid, ended int64 }
		var mu sync.Mutex
		past := map[string][]moment{} // by node: its states, and when each ended
		type seen struct {
			czxid int64
			addr  string
		}
		trees := []map[string]seen{{}} // the complete tree after each change
		at, consistentViews := 0, 0    // the tree of the last consistent view, and their number
		e.OnChange(func(c zk.Change) {
			mu.Lock()
			defer mu.Unlock()
			name, ok := strings.CutPrefix(c.Path, "/fleet/")
			if !ok {
				return
			}
			list := past[name]
			if n := len(list); n > 0 && list[n-1].ended == 0 {
				list[n-1].ended = c.Zxid
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
		v := startSource(t, testConfig(e, func(c *Config) { c.Watch, c.SessionMs, c.maxBackoff = watch, 300, 20*time.Millisecond }))
		last := map[string]int64{} // czxid reported last
		v.mu.Lock()
		v.onConsistent = func() {
			mu.Lock()
			defer mu.Unlock()
			view := map[string]seen{}
			for name, n := range v.nodes {
				view[name] = seen{n.Czxid, n.Entry.Addr}
			}
			consistentViews++
			for i := at; i < len(trees); i++ {
				if maps.Equal(view, trees[i]) {
					at = i
					return
				}
			}
			nearest, minDiff := "", 1<<30 // how it differs from the most similar tree
			for i := max(0, at-50); i < len(trees); i++ {
				diff := ""
				n := 0
				for name := range past {
					if a, b := view[name], trees[i][name]; a != b {
						n++
						diff += fmt.Sprintf(" %s is %x, was %x;", name, a, b)
					}
				}
				if n < minDiff {
					nearest, minDiff = fmt.Sprintf("tree %d:%s", i, diff), n
				}
			}
			t.Errorf("seed %d: the view is no tree of %d to %d, the nearest is %s", seed, at, len(trees)-1, nearest)
		}
		v.onChange = func(s NodeChange) {
			mu.Lock()
			defer mu.Unlock()
			if s.Expired {
				if n, ok := v.nodes[s.Name]; ok {
					// It ended at some time after it was made.
					ended := false
					for i, m := range past[s.Name] {
						if m.czxid == n.Czxid && m.ended > 0 && (i+1 == len(past[s.Name]) || past[s.Name][i+1].czxid != m.czxid) {
							ended = true
						}
					}
					if !ended {
						t.Errorf("seed %d: %s is reported expired and never was", seed, s.Name)
					}
				}
				return
			}
			was := false
			for _, m := range past[s.Name] {
				was = was || m.czxid == s.Node.Czxid
			}
			if !was || s.Node.Czxid < last[s.Name] {
				t.Errorf("seed %d: %s reported with czxid %#x after %#x, which existed: %v", seed, s.Name, s.Node.Czxid, last[s.Name], was)
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
		for i := range *randomWalkSteps {
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
		v.waitFor(fmt.Sprintf("seed %d: the view does not catch up with %v", seed, maps.Keys(e.Children("/fleet"))), func() bool {
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
		if consistentViews < *randomWalkSteps/20 {
			t.Errorf("seed %d: only %d views were consistent", seed, consistentViews)
		}
		t.Logf("%d changes reported, %d of them expiries; %d syncs, %d connections lost; %d consistent views, the last of tree %d of %d",
			v.changes, v.expired, v.synced, len(v.errs), consistentViews, at, len(trees)-1)
	})
}
