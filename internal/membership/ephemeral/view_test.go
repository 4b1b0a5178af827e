package ephemeral

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership"
)

// waitTimeout bounds each wait of the tests.
const waitTimeout = 20 * time.Second

// view is the state of the directory as a source has reported it.
type view struct {
	t *testing.T

	mu           sync.Mutex
	nodes        map[string]membership.RegistryNode
	expired      int
	changes      int
	synced       int
	errs         []error
	problems     []string
	onChange     func(NodeChange)
	onConsistent func() // called for each consistent update
	updated      chan struct{}
	stop         func()
}

func newEnsemble(t *testing.T, o zk.Options) *zk.Ensemble {
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

// startSource starts a source and returns the view of its reports.
func startSource(t *testing.T, c *Config) *view {
	t.Helper()
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	v := &view{t: t, nodes: map[string]membership.RegistryNode{}, updated: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); NewSource(c).Run(ctx, v.apply) }()
	v.stop = func() { cancel(); <-ended }
	t.Cleanup(v.stop)
	return v
}

func (v *view) apply(u Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range u.Changes {
		v.changes++
		if v.onChange != nil {
			v.onChange(s)
		}
		if s.Expired {
			v.expired++
			delete(v.nodes, s.Name)
		} else {
			v.nodes[s.Name] = s.Node
		}
	}
	if u.Synced {
		v.synced++
	}
	if u.Consistent && v.onConsistent != nil {
		v.onConsistent()
	}
	if u.Err != nil {
		v.errs = append(v.errs, u.Err)
	}
	v.problems = append(v.problems, u.Problems...)
	select {
	case v.updated <- struct{}{}:
	default:
	}
}

// waitFor waits until a condition on the view holds.
func (v *view) waitFor(failure string, condition func() bool) {
	v.t.Helper()
	timeout := time.After(waitTimeout)
	for {
		v.mu.Lock()
		ok := condition()
		v.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-v.updated:
		case <-time.After(50 * time.Millisecond): // the condition may depend on other state, too
		case <-timeout:
			v.mu.Lock()
			defer v.mu.Unlock()
			v.t.Fatalf("%s; nodes %v, %d expired, synced %d, errors %q, problems %q", failure, v.nodes, v.expired, v.synced, v.errs, v.problems)
		}
	}
}

// waitForNodes waits until exactly these nodes exist.
func (v *view) waitForNodes(want ...string) {
	v.t.Helper()
	v.waitFor(fmt.Sprintf("not exactly %v", want), func() bool {
		for _, n := range want {
			if _, ok := v.nodes[n]; !ok {
				return false
			}
		}
		return len(v.nodes) == len(want)
	})
}

func (v *view) counts() (synced, changeCount int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.synced, v.changes
}

func (v *view) node(name string) membership.RegistryNode {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodes[name]
}

func (v *view) waitForText(problem string) {
	v.t.Helper()
	v.waitFor("no "+problem, func() bool {
		return strings.Contains(fmt.Sprint(v.problems, v.errs), problem)
	})
}

// waitForError waits until a connection has ended with an error.
func (v *view) waitForError(want error) {
	v.t.Helper()
	v.waitFor(fmt.Sprintf("no error %q", want), func() bool { return errors.Is(errors.Join(v.errs...), want) })
}

// forEachWatchMode runs a test with each watch mode, and with servers without persistent watches.
func forEachWatchMode(t *testing.T, run func(t *testing.T, old bool, watch string)) {
	for _, mode := range []struct {
		name, watch string
		old         bool
	}{{"recursive", WatchAuto, false}, {"one-shot", WatchOneShot, false}, {"old servers", WatchAuto, true}} {
		t.Run(mode.name, func(t *testing.T) { t.Parallel(); run(t, mode.old, mode.watch) })
	}
}
