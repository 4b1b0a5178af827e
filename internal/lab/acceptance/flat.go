package acceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/wire"
	"ringtrack.example/ringtrack/policy"
)

const (
	// flatServers are listed at a time; one is replaced by another id each flatReplace requests.
	flatServers, flatReplace = 30, 500
	// flatOut is how many requests are open at a time.
	flatOut = 64
	// flatGrowth is what of the heap at the third tenth of the walk may have been added by its end, beside flatNoise
	// bytes: the hashes of ids of the last minute come and go.
	flatGrowth, flatNoise = 0.25, 1 << 20
)

// drawn is an upstream whose attempts end as chance has it, and at once.
type drawn struct {
	mu   sync.Mutex
	rng  *rand.Rand
	keep bool // the lab's defect: it keeps every call
	kept []*core.Call
}

func (d *drawn) Do(_ context.Context, _ *core.Backend, _ string, c *core.Call, _, _ time.Time) core.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.keep {
		d.kept = append(d.kept, c)
	}
	statuses := [...]policy.Status{policy.Error, policy.Rejected, policy.ConnectFailed, policy.Reset, policy.Timeout}
	if i := d.rng.IntN(100); i < len(statuses) {
		return core.Result{Status: statuses[i], LatencyMs: 1}
	}
	return core.Result{Status: policy.OK, LatencyMs: 1, Reply: "reply"}
}
func (*drawn) CloseIdle(*core.Backend) {}
func (*drawn) CloseExpired()           {}

// Flat walks 2 million requests through the loop and the module, with ids, keys and backends that change all the
// time and clients that leave. Counted: the heap at each tenth. The seeded defect is an upstream that keeps its
// calls.
func Flat(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "flat", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	entry := func(n int) membership.Entry {
		return membership.Entry{ID: fmt.Sprintf("s-%d", n), Addr: "127.0.0.1:1", Zone: zones[n%3], Cell: n % 7, Kind: "fast", State: membership.Up, Weight: 1}
	}
	next := 0
	var entries []membership.Entry
	for ; next < flatServers; next++ {
		entries = append(entries, entry(next))
	}
	roster, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer roster.Close()
	settings, err := wire.ParseSettings(json.RawMessage(fleetSettings))
	if err != nil {
		return nil, err
	}
	up := &drawn{rng: o.rng(), keep: o.Defect}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loop, err := core.New(ctx, core.Config{Discovery: roster.Addr, CachedEndpoints: roster.List(), Settings: settings, Seed: o.Seed, Zones: zones},
		semaphore.NewWeighted(1<<20), []core.Upstream{up}, func() {})
	if err != nil {
		return nil, err
	}
	var ended sync.WaitGroup
	ended.Go(loop.Run)
	defer ended.Wait()
	defer cancel()

	requests := o.scaled(2_000_000, 20_000)
	open := make(chan struct{}, flatOut)
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	var tenths []float64
	answers := make(chan core.Outcome, flatOut)
	var waiting sync.WaitGroup
	verdicts := map[core.Outcome]int{}
	for n := 1; n <= requests && ctx.Err() == nil; n++ {
		open <- struct{}{}
		for len(answers) > 0 {
			verdicts[<-answers]++
		}
		c := &core.Call{ID: fmt.Sprintf("%016x", rng.Uint64()), Class: n % len(settings.Classes), Key: rng.Uint64() >> rng.IntN(60),
			Upstream: up, Deadline: time.Now().Add(600 * time.Millisecond), Answer: make(chan core.Answer, 1)}
		leaves := rng.IntN(50) == 0
		waiting.Go(func() {
			took := make(chan *core.Request, 1)
			loop.Post(func() {
				q := loop.Submit(c)
				took <- q
				if leaves {
					loop.ClientDisconnected(q)
				}
			})
			if <-took; !leaves {
				answers <- (<-c.Answer).Outcome
			}
			<-open
		})
		if n%flatReplace == 0 {
			roster.Remove(fmt.Sprintf("s-%d", next-flatServers))
			roster.Set(entry(next))
			next++
		}
		if n%(requests/10) == 0 {
			tenths = append(tenths, heap())
			r.add(fmt.Sprintf("heap_%d", len(tenths)), tenths[len(tenths)-1], "MB")
		}
	}
	go func() { waiting.Wait(); close(answers) }()
	for v := range answers {
		verdicts[v]++
	}
	r.add("requests", float64(requests), "")
	r.add("served", float64(verdicts[core.Served]), "")
	r.add("backends", float64(next), "")
	if len(tenths) < 10 {
		return nil, ctx.Err()
	}
	if grown := tenths[9] - tenths[2]; grown > flatGrowth*tenths[2]+float64(flatNoise)/(1<<20) {
		r.short("the heap grew from %.2f MB at the third tenth to %.2f MB", tenths[2], tenths[9])
	}
	if verdicts[core.Served] < requests/2 {
		r.short("only %d of %d served: the proof says nothing", verdicts[core.Served], requests)
	}
	return r, nil
}
