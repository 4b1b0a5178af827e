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
	// flatServers is how many servers are listed at a time; one is replaced by another id every flatReplace
	// requests.
	flatServers, flatReplace = 30, 500
	// flatConcurrency is how many requests are open at a time.
	flatConcurrency = 64
	// flatGrowth is the fraction by which the heap may grow from the third tenth of the run to its end, plus
	// flatNoise bytes, as the hashes of the ids of the last minute come and go.
	flatGrowth, flatNoise = 0.25, 1 << 20
)

// randomUpstream is an upstream whose attempts end at once with a random result.
type randomUpstream struct {
	mu       sync.Mutex
	rng      *rand.Rand
	retain   bool // the seeded defect: it retains every call
	retained []*core.Call
}

func (d *randomUpstream) Do(_ context.Context, _ *core.Backend, _ string, c *core.Call, _, _ time.Time) core.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retain {
		d.retained = append(d.retained, c)
	}
	statuses := [...]policy.Status{policy.Error, policy.Rejected, policy.ConnectFailed, policy.Reset, policy.Timeout}
	if i := d.rng.IntN(100); i < len(statuses) {
		return core.Result{Status: statuses[i], LatencyMs: 1}
	}
	return core.Result{Status: policy.OK, LatencyMs: 1, Reply: "reply"}
}
func (*randomUpstream) CloseIdle(*core.Backend) {}
func (*randomUpstream) CloseExpired()           {}

// Flat runs 2 million requests through the event loop and the policy module, with ids, keys and backends that
// change all the time and clients that disconnect. It measures the heap at each tenth. The seeded defect is
// an upstream that retains its calls.
func Flat(ctx context.Context, o *Options) (*Report, error) {
	r := &Report{Proof: "flat", Seed: o.Seed, Scale: o.Scale}
	rng := o.rng()
	entry := func(n int) membership.Entry {
		return membership.Entry{ID: fmt.Sprintf("s-%d", n), Addr: "127.0.0.1:1", Zone: zones[n%3], Cell: n % 7, Kind: "fast", State: membership.Up, Weight: 1}
	}
	nextID := 0
	var entries []membership.Entry
	for ; nextID < flatServers; nextID++ {
		entries = append(entries, entry(nextID))
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	settings, err := wire.ParseSettings(json.RawMessage(fleetSettings))
	if err != nil {
		return nil, err
	}
	upstream := &randomUpstream{rng: o.rng(), retain: o.Defect}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loop, err := core.New(ctx, core.Config{Discovery: discovery.Addr, CachedEndpoints: discovery.List(), Settings: settings, Seed: o.Seed, Zones: zones},
		semaphore.NewWeighted(1<<20), []core.Upstream{upstream}, func() {})
	if err != nil {
		return nil, err
	}
	var ended sync.WaitGroup
	ended.Go(loop.Run)
	defer ended.Wait()
	defer cancel()

	requests := o.scaled(2_000_000, 20_000)
	slots := make(chan struct{}, flatConcurrency)
	heapMB := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	var tenths []float64
	answers := make(chan core.Outcome, flatConcurrency)
	var requestsDone sync.WaitGroup
	outcomes := map[core.Outcome]int{}
	for n := 1; n <= requests && ctx.Err() == nil; n++ {
		slots <- struct{}{}
		for len(answers) > 0 {
			outcomes[<-answers]++
		}
		c := &core.Call{ID: fmt.Sprintf("%016x", rng.Uint64()), Class: n % len(settings.Classes), Key: rng.Uint64() >> rng.IntN(60),
			Upstream: upstream, Deadline: time.Now().Add(600 * time.Millisecond), Answer: make(chan core.Answer, 1)}
		disconnects := rng.IntN(50) == 0
		requestsDone.Go(func() {
			submitted := make(chan *core.Request, 1)
			loop.Post(func() {
				q := loop.Submit(c)
				submitted <- q
				if disconnects {
					loop.ClientDisconnected(q)
				}
			})
			if <-submitted; !disconnects {
				answers <- (<-c.Answer).Outcome
			}
			<-slots
		})
		if n%flatReplace == 0 {
			discovery.Remove(fmt.Sprintf("s-%d", nextID-flatServers))
			discovery.Set(entry(nextID))
			nextID++
		}
		if n%(requests/10) == 0 {
			tenths = append(tenths, heapMB())
			r.add(fmt.Sprintf("heap_%d", len(tenths)), tenths[len(tenths)-1], "MB")
		}
	}
	go func() { requestsDone.Wait(); close(answers) }()
	for v := range answers {
		outcomes[v]++
	}
	r.add("requests", float64(requests), "")
	r.add("served", float64(outcomes[core.Served]), "")
	r.add("backends", float64(nextID), "")
	if len(tenths) < 10 {
		return nil, ctx.Err()
	}
	if grown := tenths[9] - tenths[2]; grown > flatGrowth*tenths[2]+float64(flatNoise)/(1<<20) {
		r.fail("the heap grew from %.2f MB at the third tenth to %.2f MB", tenths[2], tenths[9])
	}
	if outcomes[core.Served] < requests/2 {
		r.fail("only %d of %d served: too few to judge", outcomes[core.Served], requests)
	}
	return r, nil
}
