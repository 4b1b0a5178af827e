package acceptance

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	gozk "github.com/go-zookeeper/zk"

	"ringtrack.example/ringtrack/internal/lab/zk"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

// changeBytes bounds what a registry may send a follower of one change, however many nodes there are.
const changeBytes = 2000

// follower is a source at work, or the library in its place.
type follower interface {
	size() int
	stop()
}

type ours struct {
	n    atomic.Int64
	stop func()
}

func (f *ours) size() int { return int(f.n.Load()) }

// follow starts a source; each is called with each node that ends.
func follow(ctx context.Context, e *zk.Ensemble, oneShot bool, gone func()) (*ours, error) {
	c := ephemeral.Default()
	c.Ensemble, c.Path, c.SessionMs = e.Addrs(), "/fleet", 30_000
	if oneShot {
		c.Watch = ephemeral.WatchOneShot
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	f := &ours{}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	there := map[string]bool{}
	go func() {
		defer close(ended)
		ephemeral.NewSource(c).Run(ctx, func(u ephemeral.Update) {
			for _, s := range u.Changes {
				if s.Expired {
					delete(there, s.Name)
					if gone != nil {
						gone()
					}
				} else {
					there[s.Name] = true
				}
			}
			f.n.Store(int64(len(there)))
		})
	}()
	f.stop = func() { cancel(); <-ended }
	return f, nil
}

// library follows a directory as go-zookeeper's pages show it: a watch on the children, and for each child
// one on its data, with a goroutine that waits for it.
type library struct {
	c  *gozk.Conn
	mu sync.Mutex
	// there are the nodes that are known, true those whose data is at hand.
	there map[string]bool
	wg    sync.WaitGroup
}

type silent struct{}

func (silent) Printf(string, ...any) {}

func followByLibrary(e *zk.Ensemble) (*library, error) {
	c, events, err := gozk.Connect(e.Addrs(), 30*time.Second, gozk.WithLogger(silent{}))
	if err != nil {
		return nil, err
	}
	for over := time.After(10 * time.Second); ; {
		select {
		case ev := <-events:
			if ev.State != gozk.StateHasSession {
				continue
			}
		case <-over:
			c.Close()
			return nil, errors.New("the library has no session")
		}
		break
	}
	l := &library{c: c, there: map[string]bool{}}
	l.wg.Go(func() {
		for {
			names, _, ch, err := c.ChildrenW("/fleet")
			if err != nil {
				return
			}
			for _, name := range names {
				l.mu.Lock()
				_, known := l.there[name]
				if !known {
					l.there[name] = false // its data is to be read
				}
				l.mu.Unlock()
				if !known {
					l.wg.Go(func() { l.node(name) })
				}
			}
			if ev := <-ch; ev.Err != nil {
				return
			}
		}
	})
	return l, nil
}

func (l *library) node(name string) {
	for {
		_, _, ch, err := l.c.GetW("/fleet/" + name)
		if err == nil {
			l.mu.Lock()
			l.there[name] = true
			l.mu.Unlock()
			if ev := <-ch; ev.Err == nil && ev.Type == gozk.EventNodeDataChanged {
				continue
			}
		}
		l.mu.Lock()
		delete(l.there, name)
		l.mu.Unlock()
		return
	}
}

func (l *library) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, read := range l.there {
		if read {
			n++
		}
	}
	return n
}

func (l *library) stop() {
	l.c.Close()
	l.wg.Wait()
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// EphemeralSize follows 10,000 nodes in three ways, and then has 1,000 followers told of one end. The seeded
// defect is a registry older than recursive watches, which sends all names with each change.
func EphemeralSize(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "ephemeral-size", Seed: o.Seed, Scale: o.Scale}
	n := o.scaled(10_000, 200)
	e, err := zk.New(zk.Options{Servers: 1, Seed: o.Seed, MaxSessionTimeout: time.Minute, Before35: o.Defect})
	if err != nil {
		return nil, err
	}
	defer e.Close()
	path := func(i int) string { return fmt.Sprintf("/fleet/member_%010d", i) }
	data := []byte(`{"id":"s-1","addr":"127.0.0.1:8000","zone":"east","kind":"fast","state":"up","weight":1,"started_ms":1790000000000}`)
	for i := range n {
		e.Put(path(i), data, 0)
	}
	s := e.Servers[0]
	until := func(f follower, want int) (time.Duration, error) {
		from := time.Now()
		for f.size() != want {
			if time.Since(from) > time.Minute || ctx.Err() != nil {
				return 0, fmt.Errorf("%d nodes at hand after a minute, want %d", f.size(), want)
			}
			time.Sleep(100 * time.Microsecond)
		}
		return time.Since(from), nil
	}
	for _, way := range []struct {
		name  string
		start func() (follower, error)
	}{
		{"recursive", func() (follower, error) { f, err := follow(ctx, e, false, nil); return stopped{f}, err }},
		{"one_shot", func() (follower, error) { f, err := follow(ctx, e, true, nil); return stopped{f}, err }},
		{"library", func() (follower, error) { return followByLibrary(e) }},
	} {
		before, sent, routines := heap(), s.Bytes(), runtime.NumGoroutine()
		f, err := way.start()
		if err != nil {
			return nil, err
		}
		took, err := until(f, n)
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("%s: %w", way.name, err)
		}
		time.Sleep(50 * time.Millisecond) // what is read for its watch only
		r.add(way.name+"_first_view", millis(took), "ms")
		r.add(way.name+"_bytes", float64(s.Bytes()-sent)/1e6, "MB")
		r.add(way.name+"_memory", float64(heap()-before)/1e6, "MB")
		r.add(way.name+"_goroutines", float64(runtime.NumGoroutine()-routines), "")
		const changes = 40
		sent = s.Bytes()
		cpu := used().CPU
		for i := range changes / 2 {
			e.Remove(path(i))
			if _, err := until(f, n-1); err != nil {
				f.stop()
				return nil, fmt.Errorf("%s: %w", way.name, err)
			}
			e.Put(path(i), data, 0)
			if _, err := until(f, n); err != nil {
				f.stop()
				return nil, fmt.Errorf("%s: %w", way.name, err)
			}
		}
		each := float64(s.Bytes()-sent) / changes
		r.add(way.name+"_change_bytes", each, "B")
		r.add(way.name+"_change_cpu", (used().CPU-cpu)*1e3/changes, "ms")
		if way.name == "recursive" && each > changeBytes {
			r.short("a change costs %.0f bytes, at most %d", each, changeBytes)
		}
		f.stop()
		o.logf("%s done", way.name)
	}
	return r, watchers(ctx, o, r)
}

// stopped makes a source a follower.
type stopped struct{ f *ours }

func (s stopped) size() int { return s.f.size() }
func (s stopped) stop()     { s.f.stop() }

// watchers has many followers told of one end.
func watchers(ctx context.Context, o *Options, r *Report) error {
	const nodes = 100
	e, err := zk.New(zk.Options{Servers: 3, Seed: o.Seed, MaxSessionTimeout: time.Minute, Before35: o.Defect})
	if err != nil {
		return err
	}
	defer e.Close()
	for i := range nodes {
		e.Put(fmt.Sprint("/fleet/s-", i), []byte(`{"addr":"h:1"}`), 0)
	}
	n := o.scaled(1000, 30)
	var mu sync.Mutex
	var told []time.Time
	var all []*ours
	defer func() {
		var each sync.WaitGroup
		for _, f := range all {
			each.Go(f.stop)
		}
		each.Wait()
	}()
	for range n {
		f, err := follow(ctx, e, false, func() {
			mu.Lock()
			told = append(told, time.Now())
			mu.Unlock()
		})
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	for _, f := range all {
		for end := time.Now().Add(time.Minute); f.size() != nodes; time.Sleep(time.Millisecond) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("a watcher has %d nodes of %d", f.size(), nodes)
			}
		}
	}
	from := time.Now()
	e.Remove("/fleet/s-7")
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		mu.Lock()
		done := len(told) == n
		mu.Unlock()
		if done {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d watchers were told", len(told), n)
		}
	}
	var lag []time.Duration
	for _, at := range told {
		lag = append(lag, at.Sub(from))
	}
	slices.Sort(lag)
	r.add("watchers", float64(n), "")
	r.add("told_p50", millis(percentile(lag, 0.5)), "ms")
	r.add("told_max", millis(lag[n-1]), "ms")
	if lag[n-1] > 250*time.Millisecond {
		r.short("the last of %d watchers was told after %v", n, lag[n-1])
	}
	return nil
}
