package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// queueSize bounds the number of functions queued for the publisher; further calls of post block.
	queueSize = 4096
	// renderCacheSweepInterval is the interval at which unused entries are evicted from the render cache.
	renderCacheSweepInterval = time.Minute
	// noncePrefixBytes is the length of the random prefix of this process's nonces.
	noncePrefixBytes = 6
)

// publisher owns the membership, the assigner and the snapshots. One goroutine runs it; others access its
// state through post. It never waits for a stream: it publishes a snapshot and notifies the streams.
type publisher struct {
	config       atomic.Pointer[Config]
	clock        clock.Clock
	log          *slog.Logger
	nonces       *nonces
	closeLimiter *rate.Limiter // limits how fast streams are closed for missing acknowledgements
	queue        chan func()
	done         chan struct{} // closed when run has returned

	// Accessed only on run's goroutine.
	discovered *membership.Set   // the endpoint list of discovery; unused with an instance registry
	merge      *membership.Merge // discovery and the instance registry; nil without a registry
	assigner   *assign.Assigner
	renderer   *resource.Renderer
	static     staticResources
	seq        uint64  // sequence number of the last publication
	batchDueMs float64 // when the batched updates are to be published; 0: there are none
	urgent     urgentUpdates

	groups  sync.Map // zone → *group
	mu      sync.Mutex
	streams map[*stream]struct{}
	counts  counters
}

// counters are reported by the admin endpoint.
type counters struct {
	published    atomic.Int64
	urgent       atomic.Int64 // publications with a drain or a removal
	unresponsive atomic.Int64 // streams that did not acknowledge such a publication in time
	closed       atomic.Int64 // streams that were closed for that
	nacks        atomic.Int64
	rejected     atomic.Int64 // streams that were not admitted
}

// group contains the streams of one zone and their current snapshot.
type group struct {
	current atomic.Pointer[snapshot]
	mu      sync.Mutex
	streams map[*stream]struct{}
}

func newPublisher(cfg *Config, log *slog.Logger) (*publisher, error) {
	prefix := make([]byte, noncePrefixBytes)
	if _, err := rand.Read(prefix); err != nil {
		return nil, err
	}
	p := &publisher{
		clock:        clock.New(),
		log:          log,
		nonces:       &nonces{prefix: hex.EncodeToString(prefix)},
		closeLimiter: rate.NewLimiter(rate.Limit(cfg.Proxies.StreamClosesPerS), max(int(cfg.Proxies.StreamClosesPerS), 1)),
		queue:        make(chan func(), queueSize),
		done:         make(chan struct{}),
		discovered:   membership.NewSet(cfg.Discovery.StaleAfterMs, discoverySource),
		renderer:     resource.NewRenderer(cfg.Service),
		streams:      map[*stream]struct{}{},
	}
	if cfg.ephemeral != nil {
		p.merge = membership.NewMerge(cfg.ephemeral.Merge())
	}
	p.config.Store(cfg)
	var err error
	if p.assigner, err = assign.New(cfg.assign(), p.clock.Ms()); err != nil {
		return nil, err
	}
	return p, p.renderStatic(0)
}

// cfg returns the configuration in use.
func (p *publisher) cfg() *Config { return p.config.Load() }

// post schedules f to run on the publisher's goroutine. It blocks while the queue is full, and drops f once
// run has returned.
func (p *publisher) post(f func()) {
	select {
	case p.queue <- f:
	case <-p.done:
	}
}

// run executes posted functions and scheduled work until ctx ends.
func (p *publisher) run(ctx context.Context) {
	defer close(p.done)
	sweep := time.NewTicker(renderCacheSweepInterval)
	defer sweep.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-p.queue:
			f()
			for range len(p.queue) { // includes everything that is queued in the same publication
				(<-p.queue)()
			}
		case <-timer.C:
			if p.merge != nil {
				p.applyMerge(p.clock.Ms())
			}
		case <-sweep.C:
			p.renderer.Sweep()
		case <-ctx.Done():
			return
		}
		p.publishDue()
		now := p.clock.Ms()
		timer.Reset(max(time.Duration((p.nextDueMs(now)-now)*float64(time.Millisecond)), 0))
	}
}

// nextDueMs returns the time of the next scheduled work.
func (p *publisher) nextDueMs(now float64) float64 {
	next := p.assigner.NextTickMs(now)
	if p.merge != nil {
		next = min(next, p.merge.NextDeadlineMs())
	}
	for _, due := range []float64{p.batchDueMs, p.urgent.checkDueMs} {
		if due > 0 {
			next = min(next, due)
		}
	}
	return next
}

// group returns the group of a zone, and creates it if it does not exist. It may be called from any
// goroutine.
func (p *publisher) group(zone string) *group {
	if g, ok := p.groups.Load(zone); ok {
		return g.(*group)
	}
	g, _ := p.groups.LoadOrStore(zone, &group{streams: map[*stream]struct{}{}})
	return g.(*group)
}

// addStream adds a stream to its group and to the assigner. withoutResources reports that the proxy has no
// resources yet. It may be called from any goroutine.
func (p *publisher) addStream(s *stream, withoutResources bool) {
	s.group = p.group(s.zone)
	p.mu.Lock()
	p.streams[s] = struct{}{}
	p.mu.Unlock()
	s.group.mu.Lock()
	s.group.streams[s] = struct{}{}
	s.group.mu.Unlock()
	p.post(func() {
		now := p.clock.Ms()
		p.assigner.Connect(now, s.node, s.zone, withoutResources)
		if s.group.current.Load() == nil {
			p.seq++
			p.publishGroup(now, s.zone, s.group)
		}
	})
}

// removeStream removes a stream from its group and from the assigner.
func (p *publisher) removeStream(s *stream) {
	p.mu.Lock()
	delete(p.streams, s)
	p.mu.Unlock()
	s.group.mu.Lock()
	delete(s.group.streams, s)
	s.group.mu.Unlock()
	p.post(func() { p.assigner.Disconnect(p.clock.Ms(), s.node) })
}

// closeStreams closes all streams.
func (p *publisher) closeStreams(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		s.close(reason)
	}
}
