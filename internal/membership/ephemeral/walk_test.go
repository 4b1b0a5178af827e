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

// nodeState is a node as a source reports it.
type nodeState struct {
	czxid int64
	addr  string
}

// lifetime is a state of a node in the registry; ended is the zxid that ended it, or 0.
type lifetime struct{ czxid, mzxid, ended int64 }

// walkChecker records the changes of a registry and checks the reports of a source against them.
type walkChecker struct {
	t    *testing.T
	seed uint64
	view *view

	mu              sync.Mutex
	history         map[string][]lifetime  // by node
	trees           []map[string]nodeState // the complete tree after each change
	lastTree        int                    // index of the tree that the last consistent view was equal to
	consistentViews int
	lastCzxid       map[string]int64 // last reported, by node
}

// recordChange records a change of the registry.
func (w *walkChecker) recordChange(c zk.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name, ok := strings.CutPrefix(c.Path, "/fleet/")
	if !ok {
		return
	}
	states := w.history[name]
	if n := len(states); n > 0 && states[n-1].ended == 0 {
		states[n-1].ended = c.Zxid
	}
	switch c.Event {
	case zkwire.NodeCreated:
		states = append(states, lifetime{c.Zxid, c.Zxid, 0})
	case zkwire.NodeDataChanged:
		states = append(states, lifetime{states[len(states)-1].czxid, c.Zxid, 0})
	}
	w.history[name] = states
	next := maps.Clone(w.trees[len(w.trees)-1])
	if c.Event == zkwire.NodeDeleted {
		delete(next, name)
	} else {
		addr := strings.TrimSuffix(strings.TrimPrefix(string(c.Data), `{"addr":"`), `"}`)
		next[name] = nodeState{states[len(states)-1].czxid, addr}
	}
	w.trees = append(w.trees, next)
}

// checkConsistent checks that a consistent view equals one of the trees, no earlier than the last such tree.
func (w *walkChecker) checkConsistent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := map[string]nodeState{}
	for name, n := range w.view.nodes {
		view[name] = nodeState{n.Czxid, n.Entry.Addr}
	}
	w.consistentViews++
	for i := w.lastTree; i < len(w.trees); i++ {
		if maps.Equal(view, w.trees[i]) {
			w.lastTree = i
			return
		}
	}
	w.t.Errorf("seed %d: the view equals no tree of %d to %d, the nearest is %s", w.seed, w.lastTree, len(w.trees)-1, w.nearestTree(view))
}

// nearestTree describes how a view differs from the most similar tree.
func (w *walkChecker) nearestTree(view map[string]nodeState) string {
	nearest, minDiff := "", 1<<30
	for i := max(0, w.lastTree-50); i < len(w.trees); i++ {
		diff := ""
		n := 0
		for name := range w.history {
			if a, b := view[name], w.trees[i][name]; a != b {
				n++
				diff += fmt.Sprintf(" %s is %x, was %x;", name, a, b)
			}
		}
		if n < minDiff {
			nearest, minDiff = fmt.Sprintf("tree %d:%s", i, diff), n
		}
	}
	return nearest
}

// checkChange checks that a reported change happened, and that no earlier state of the node is reported.
func (w *walkChecker) checkChange(c NodeChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Expired {
		if n, ok := w.view.nodes[c.Name]; ok && !w.hasEnded(c.Name, n.Czxid) {
			w.t.Errorf("seed %d: %s is reported expired but never expired", w.seed, c.Name)
		}
		return
	}
	existed := false
	for _, state := range w.history[c.Name] {
		existed = existed || state.czxid == c.Node.Czxid
	}
	if !existed || c.Node.Czxid < w.lastCzxid[c.Name] {
		w.t.Errorf("seed %d: %s reported with czxid %#x after %#x, which existed: %v", w.seed, c.Name, c.Node.Czxid, w.lastCzxid[c.Name], existed)
	}
	w.lastCzxid[c.Name] = c.Node.Czxid
}

// hasEnded reports whether the node with this czxid was deleted at some time.
func (w *walkChecker) hasEnded(name string, czxid int64) bool {
	states := w.history[name]
	for i, state := range states {
		if state.czxid == czxid && state.ended > 0 && (i+1 == len(states) || states[i+1].czxid != state.czxid) {
			return true
		}
	}
	return false
}

// upToDate reports whether the view has the same nodes as the registry.
func (w *walkChecker) upToDate(want map[string]string) bool {
	if len(w.view.nodes) != len(want) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range want {
		node, ok := w.view.nodes[name]
		states := w.history[name]
		if !ok || states[len(states)-1].czxid != node.Czxid {
			return false
		}
	}
	return true
}

// clearFaults ends all faults of an ensemble.
func clearFaults(e *zk.Ensemble) {
	for _, s := range e.Servers {
		s.SetDown(false)
		s.SetHalfOpen(false)
		s.SetLag(0)
		s.SetSlow(0)
		s.Corrupt(0)
	}
}

// randomFaults returns the faults of the walk; some of the functions end all faults.
func randomFaults(e *zk.Ensemble, rng *rand.Rand) []func() {
	server := func() *zk.Server { return e.Servers[rng.IntN(3)] }
	clearAll := func() { clearFaults(e) }
	return []func(){
		func() { server().ResetConnections() },
		func() { server().SetDown(rng.IntN(2) == 0) },
		func() { server().SetLag(time.Duration(rng.IntN(30)) * time.Millisecond) },
		func() { server().SetSlow(time.Duration(rng.IntN(3)) * time.Millisecond) },
		func() { server().SetHalfOpen(rng.IntN(3) == 0) },
		func() { server().SetAcceptsNewerClients(rng.IntN(2) == 0) },
		func() { server().Corrupt(rng.IntN(2)) },
		func() {
			if ids := e.Sessions(); len(ids) > 0 {
				e.Expire(ids[rng.IntN(len(ids))], rng.IntN(2) == 0)
			}
		},
		clearAll, clearAll, clearAll, clearAll,
		func() { e.LoseLeader(); time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond); e.ElectLeader() },
	}
}

// randomWalk changes random nodes and causes random faults.
func randomWalk(e *zk.Ensemble, rng *rand.Rand, steps int) {
	faults := randomFaults(e, rng)
	for i := range steps {
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
	clearFaults(e)
	e.Put("/fleet/last", nil, 0)
}

// Under random faults, each reported state of a node was its state at some moment, and no earlier state is
// reported later. A consistent view is the complete tree, nodes and data, as it was at one moment, no earlier
// than the last consistent view. Once the faults have ended, the view becomes the current tree.
func TestRandomWalkOverFaults(t *testing.T) {
	forEachWatchMode(t, func(t *testing.T, old bool, watch string) {
		const seed = 11
		rng := rand.New(rand.NewPCG(seed, 0))
		e := newEnsemble(t, zk.Options{Servers: 3, Seed: seed, Before35: old})
		w := &walkChecker{
			t:         t,
			seed:      seed,
			history:   map[string][]lifetime{},
			trees:     []map[string]nodeState{{}},
			lastCzxid: map[string]int64{},
		}
		e.OnChange(w.recordChange)
		e.Put("/fleet", nil, 0)
		v := startSource(t, testConfig(e, func(c *Config) { c.Watch, c.SessionMs, c.maxBackoff = watch, 300, 20*time.Millisecond }))
		v.mu.Lock()
		w.view = v
		v.onConsistent = w.checkConsistent
		v.onChange = w.checkChange
		v.mu.Unlock()
		randomWalk(e, rng, *randomWalkSteps)
		v.waitFor(fmt.Sprintf("seed %d: the view does not catch up with %v", seed, maps.Keys(e.Children("/fleet"))),
			func() bool { return w.upToDate(e.Children("/fleet")) })
		v.mu.Lock()
		defer v.mu.Unlock()
		if w.consistentViews < *randomWalkSteps/20 {
			t.Errorf("seed %d: only %d views were consistent", seed, w.consistentViews)
		}
		t.Logf("%d changes reported, %d of them expiries; %d syncs, %d connections lost; %d consistent views, the last of tree %d of %d",
			v.changes, v.expired, v.synced, len(v.errs), w.consistentViews, w.lastTree, len(w.trees)-1)
	})
}
