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

// maxChangeBytes bounds what a registry may send a follower for one change, however many nodes there are.
const maxChangeBytes = 2000

// follower follows the nodes of a registry: the ephemeral source, or the go-zookeeper library for comparison.
type follower interface {
	size() int
	stop()
}

type sourceFollower struct {
	n    atomic.Int64
	stop func()
}

func (f *sourceFollower) size() int { return int(f.n.Load()) }

// follow starts an ephemeral source; onDelete, unless nil, is called for each deleted node.
func follow(ctx context.Context, e *zk.Ensemble, oneShot bool, onDelete func()) (*sourceFollower, error) {
	c := ephemeral.Default()
	c.Ensemble, c.Path, c.SessionMs = e.Addrs(), "/fleet", 30_000
	if oneShot {
		c.Watch = ephemeral.WatchOneShot
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	f := &sourceFollower{}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	known := map[string]bool{}
	go func() {
		defer close(ended)
		ephemeral.NewSource(c).Run(ctx, func(u ephemeral.Update) {
			for _, s := range u.Changes {
				if s.Expired {
					delete(known, s.Name)
					if onDelete != nil {
						onDelete()
					}
				} else {
					known[s.Name] = true
				}
			}
			f.n.Store(int64(len(known)))
		})
	}()
	f.stop = func() { cancel(); <-ended }
	return f, nil
}

// libraryFollower follows a directory as go-zookeeper's documentation shows it: a watch on the children, and
// for each child a watch on its data, with a goroutine that waits for it.
type libraryFollower struct {
	c  *gozk.Conn
	mu sync.Mutex
	// known holds the nodes of the directory, true for those whose data has been read.
	known map[string]bool
	wg    sync.WaitGroup
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func followByLibrary(e *zk.Ensemble) (*libraryFollower, error) {
	c, events, err := gozk.Connect(e.Addrs(), 30*time.Second, gozk.WithLogger(discardLogger{}))
	if err != nil {
		return nil, err
	}
	for timeout := time.After(10 * time.Second); ; {
		select {
		case ev := <-events:
			if ev.State != gozk.StateHasSession {
				continue
			}
		case <-timeout:
			c.Close()
			return nil, errors.New("the library got no session within 10 s")
		}
		break
	}
	l := &libraryFollower{c: c, known: map[string]bool{}}
	l.wg.Go(func() {
		for {
			names, _, ch, err := c.ChildrenW("/fleet")
			if err != nil {
				return
			}
			for _, name := range names {
				l.mu.Lock()
				_, found := l.known[name]
				if !found {
					l.known[name] = false // its data has not been read yet
				}
				l.mu.Unlock()
				if !found {
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

func (l *libraryFollower) node(name string) {
	for {
		_, _, ch, err := l.c.GetW("/fleet/" + name)
		if err == nil {
			l.mu.Lock()
			l.known[name] = true
			l.mu.Unlock()
			if ev := <-ch; ev.Err == nil && ev.Type == gozk.EventNodeDataChanged {
				continue
			}
		}
		l.mu.Lock()
		delete(l.known, name)
		l.mu.Unlock()
		return
	}
}

func (l *libraryFollower) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, read := range l.known {
		if read {
			n++
		}
	}
	return n
}

func (l *libraryFollower) stop() {
	l.c.Close()
	l.wg.Wait()
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// EphemeralSize follows 10,000 nodes by three methods, and then measures how long 1,000 followers take to be
// notified of one deletion. The seeded defect is a registry that predates recursive watches, which sends all
// names with each change.
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
	awaitSize := func(f follower, want int) (time.Duration, error) {
		from := time.Now()
		for f.size() != want {
			if time.Since(from) > time.Minute || ctx.Err() != nil {
				return 0, fmt.Errorf("%d nodes are known after a minute, want %d", f.size(), want)
			}
			time.Sleep(100 * time.Microsecond)
		}
		return time.Since(from), nil
	}
	for _, method := range []struct {
		name  string
		start func() (follower, error)
	}{
		{"recursive", func() (follower, error) { f, err := follow(ctx, e, false, nil); return sourceAdapter{f}, err }},
		{"one_shot", func() (follower, error) { f, err := follow(ctx, e, true, nil); return sourceAdapter{f}, err }},
		{"library", func() (follower, error) { return followByLibrary(e) }},
	} {
		before, sent, goroutines := heapInUse(), s.Bytes(), runtime.NumGoroutine()
		f, err := method.start()
		if err != nil {
			return nil, err
		}
		took, err := awaitSize(f, n)
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("%s: %w", method.name, err)
		}
		time.Sleep(50 * time.Millisecond) // until the reads that only set a watch are done
		r.add(method.name+"_first_view", millis(took), "ms")
		r.add(method.name+"_bytes", float64(s.Bytes()-sent)/1e6, "MB")
		r.add(method.name+"_memory", float64(heapInUse()-before)/1e6, "MB")
		r.add(method.name+"_goroutines", float64(runtime.NumGoroutine()-goroutines), "")
		const changes = 40
		sent = s.Bytes()
		cpu := processUsage().CPU
		for i := range changes / 2 {
			e.Remove(path(i))
			if _, err := awaitSize(f, n-1); err != nil {
				f.stop()
				return nil, fmt.Errorf("%s: %w", method.name, err)
			}
			e.Put(path(i), data, 0)
			if _, err := awaitSize(f, n); err != nil {
				f.stop()
				return nil, fmt.Errorf("%s: %w", method.name, err)
			}
		}
		each := float64(s.Bytes()-sent) / changes
		r.add(method.name+"_change_bytes", each, "B")
		r.add(method.name+"_change_cpu", (processUsage().CPU-cpu)*1e3/changes, "ms")
		if method.name == "recursive" && each > maxChangeBytes {
			r.fail("a change costs %.0f bytes, %d allowed", each, maxChangeBytes)
		}
		f.stop()
		o.logf("%s done", method.name)
	}
	return r, measureWatchers(ctx, o, r)
}

// sourceAdapter makes a sourceFollower, whose stop is a field, a follower.
type sourceAdapter struct{ f *sourceFollower }

func (s sourceAdapter) size() int { return s.f.size() }
func (s sourceAdapter) stop()     { s.f.stop() }

// measureWatchers measures how long many followers take to be notified of one deletion.
func measureWatchers(ctx context.Context, o *Options, r *Report) error {
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
	var notifiedTimes []time.Time
	var all []*sourceFollower
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
			notifiedTimes = append(notifiedTimes, time.Now())
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
		done := len(notifiedTimes) == n
		mu.Unlock()
		if done {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d watchers were notified", len(notifiedTimes), n)
		}
	}
	var lags []time.Duration
	for _, at := range notifiedTimes {
		lags = append(lags, at.Sub(from))
	}
	slices.Sort(lags)
	r.add("watchers", float64(n), "")
	r.add("told_p50", millis(percentile(lags, 0.5)), "ms")
	r.add("told_max", millis(lags[n-1]), "ms")
	if lags[n-1] > 250*time.Millisecond {
		r.fail("the last of %d watchers was notified after %v", n, lags[n-1])
	}
	return nil
}
