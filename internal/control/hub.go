package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"ringtrack.example/ringtrack/internal/clock"
	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

const (
	// inboxSize bounds what waits for the hub; a stream that has more to say waits itself.
	inboxSize = 4096
	// breakAfter is how long what routes no longer refer to is kept for proxies that have not taken
	// the new routes yet.
	breakAfter = 5 * time.Second
	// mostDrains bounds the drains that wait for their time; of more the oldest count with the next.
	mostDrains = 1024
)

// hub owns membership, the assigner and all published snapshots. One goroutine runs it; all else
// reaches it through post. It never waits for a stream: it publishes and wakes.
type hub struct {
	config   atomic.Pointer[Config]
	clock    clock.Clock
	set      *membership.Set
	merge    *membership.Merge // in place of set, with a registry of what runs; else nil
	assigner *assign.Assigner
	renderer *resource.Renderer
	nonces   *nonces
	inbox    chan func()
	done     chan struct{}
	ends     *rate.Limiter // of streams that are ended for stalling

	seq      uint64
	static   map[string]*resource.Set // listeners, routes, clusters
	ringSize uint64
	retired  *resource.Set // clusters that older routes may still name
	pendAt   float64       // when the changes that wait are published; 0: none wait
	watchAt  float64       // when streams are looked over for a drain that is not acked; 0: never
	drain    drain         // the last one
	drains   []drain       // those that are not looked after yet, oldest first; bounded by mostDrains
	overdue  drain         // the last one that all streams are to have acked by now
	log      *slog.Logger

	groups  sync.Map // zone → *group
	mu      sync.Mutex
	streams map[*stream]struct{}
	counts  hubCounts
}

// drain is the last publication that told one.
type drain struct {
	seq    uint64
	toldMs float64
	what   string
}

type hubCounts struct {
	Published, Drains, Stalled, Ended, Nacks, Refused atomic.Int64
}

// group is where the streams of a zone find what to send.
type group struct {
	now     atomic.Pointer[snapshot]
	mu      sync.Mutex
	streams map[*stream]struct{}
}

func newHub(cfg *Config, log *slog.Logger) (*hub, error) {
	boot := make([]byte, 6)
	if _, err := rand.Read(boot); err != nil {
		return nil, err
	}
	h := &hub{clock: clock.New(), set: membership.NewSet(cfg.Discovery.StaleAfterMs, "roster"),
		renderer: resource.NewRenderer(cfg.Service), nonces: &nonces{boot: hex.EncodeToString(boot)},
		inbox: make(chan func(), inboxSize), done: make(chan struct{}), log: log,
		ends:    rate.NewLimiter(rate.Limit(cfg.Proxies.StreamClosesPerS), max(int(cfg.Proxies.StreamClosesPerS), 1)),
		streams: map[*stream]struct{}{}}
	if cfg.ephemeral != nil {
		h.merge = membership.NewMerge(cfg.ephemeral.Merge())
	}
	h.config.Store(cfg)
	var err error
	if h.assigner, err = assign.New(cfg.assign(), h.clock.Ms()); err != nil {
		return nil, err
	}
	return h, h.restate(0)
}

// cfg is the configuration in force.
func (h *hub) cfg() *Config { return h.config.Load() }

// post hands the hub something to do; it is dropped once the hub has ended.
func (h *hub) post(f func()) {
	select {
	case h.inbox <- f:
	case <-h.done:
	}
}

// run is the hub's loop; it ends with the context.
func (h *hub) run(ctx context.Context) {
	defer close(h.done)
	sweep := time.NewTicker(time.Minute)
	defer sweep.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-h.inbox:
			f()
			for range len(h.inbox) { // what has come meanwhile costs one publication
				(<-h.inbox)()
			}
		case <-timer.C:
			if h.merge != nil {
				h.merged(h.clock.Ms())
			}
		case <-sweep.C:
			h.renderer.Sweep()
		case <-ctx.Done():
			return
		}
		h.turn()
		now := h.clock.Ms()
		next := h.assigner.NextTickMs(now)
		if h.merge != nil {
			next = min(next, h.merge.NextDeadlineMs())
		}
		for _, at := range []float64{h.pendAt, h.watchAt} {
			if at > 0 {
				next = min(next, at)
			}
		}
		timer.Reset(max(time.Duration((next-now)*float64(time.Millisecond)), 0))
	}
}

// turn publishes what is due and looks after streams.
func (h *hub) turn() {
	now := h.clock.Ms()
	if changed := h.assigner.Tick(now); len(changed) > 0 {
		switch urgent := h.urgent(changed); {
		case urgent != "":
			h.publish(now, urgent)
		case h.pendAt == 0:
			h.pendAt = now + h.cfg().Proxies.DebounceMs
		}
	}
	if h.pendAt > 0 && now >= h.pendAt {
		h.publish(now, "")
	}
	if h.watchAt > 0 && now >= h.watchAt {
		h.watch(now)
	}
}

// urgent tells which server now drains or is gone that some group still has as one to send to; "" if
// none is.
func (h *hub) urgent(zones []string) string {
	for _, zone := range zones {
		g := h.group(zone)
		snap := g.now.Load()
		if snap == nil || snap.assignment == nil {
			continue
		}
		next := h.assigner.Assignment(h.clock.Ms(), zone)
		if id := lost(snap.assignment, next); id != "" {
			return id
		}
	}
	return ""
}

// lost finds a server that may be sent to by old and not by next. Both are in the order of ids.
func lost(old, next *assign.Assignment) string {
	j := 0
	for i := range old.Endpoints {
		e := &old.Endpoints[i]
		if e.Draining {
			continue
		}
		for j < len(next.Endpoints) && next.Endpoints[j].ID < e.ID {
			j++
		}
		if j == len(next.Endpoints) || next.Endpoints[j].ID != e.ID || next.Endpoints[j].Draining ||
			next.Endpoints[j].Addr != e.Addr {
			return e.ID
		}
	}
	return ""
}

// publish makes the snapshots of all groups and wakes their streams.
func (h *hub) publish(now float64, urgent string) {
	h.pendAt = 0
	h.seq++
	h.counts.Published.Add(1)
	if urgent != "" {
		h.counts.Drains.Add(1)
		h.drain = drain{seq: h.seq, toldMs: now, what: urgent}
		if len(h.drains) >= mostDrains {
			h.drains = h.drains[1:]
		}
		h.drains = append(h.drains, h.drain)
		if h.watchAt == 0 {
			h.watchAt = now + h.cfg().Proxies.AckTimeoutMs
		}
	}
	h.groups.Range(func(zone, g any) bool {
		h.publishGroup(now, zone.(string), g.(*group))
		return true
	})
}

func (h *hub) publishGroup(now float64, zone string, g *group) {
	a := h.assigner.Assignment(now, zone)
	old := g.now.Load()
	next := &snapshot{seq: h.seq, urgent: h.drain.seq, assignment: a, nonces: h.nonces, frames: map[frameKey]frame{}}
	if a != nil {
		if old != nil && old.assignment == a {
			next.servers = old.servers
		} else {
			servers, err := h.renderer.Render(a)
			if err != nil {
				h.log.Error("assignment not rendered, the last one stays", "zone", zone, "err", err)
				return
			}
			next.servers = servers
		}
		h.resize(len(a.Endpoints))
	}
	next.sets = maps.Clone(h.static)
	if next.servers != nil {
		next.sets[resource.Endpoints] = keep(old, resource.Endpoints, false, resource.NewSet(next.servers.Complete))
		next.split = keep(old, resource.Endpoints, true, resource.NewSet(next.servers.ByCollection))
	}
	g.now.Store(next)
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.streams {
		s.poke()
	}
}

// keep returns the old set where the new one holds the same.
func keep(old *snapshot, typeURL string, leds bool, next *resource.Set) *resource.Set {
	if old != nil {
		if set := old.set(typeURL, leds); set != nil && set.Version == next.Version {
			return set
		}
	}
	return next
}

// resize renders the clusters anew where the number of servers asks for another ring.
func (h *hub) resize(servers int) {
	if size := resource.RingSize(servers); size != h.ringSize {
		if err := h.restate(servers); err != nil {
			h.log.Error("clusters not rendered, the last ones stay", "err", err)
		}
	}
}

// restate renders listeners, routes and clusters from the configuration. Clusters that the last
// routes name stay for a while, so that a proxy that has not taken the new routes still finds them.
func (h *hub) restate(servers int) error {
	service := h.cfg().service()
	clusters, err := service.Clusters(servers)
	if err != nil {
		return err
	}
	routes, err := service.RouteConfig()
	if err != nil {
		return err
	}
	listeners, err := service.Listeners()
	if err != nil {
		return err
	}
	next := map[string]*resource.Set{resource.Listener: resource.NewSet(listeners...),
		resource.Route: resource.NewSet(routes), resource.Cluster: resource.NewSet(clusters...)}
	if old := h.static[resource.Cluster]; old != nil {
		_, removed := next[resource.Cluster].Diff(old)
		if len(removed) > 0 {
			only := next[resource.Cluster]
			h.retired = only
			both := slices.Clone(clusters)
			for _, name := range removed {
				both = append(both, old.Get(name))
			}
			next[resource.Cluster] = resource.NewSet(both...)
			time.AfterFunc(breakAfter, func() { h.post(func() { h.retire(only) }) })
		}
	}
	for t, set := range next {
		if old := h.static[t]; old != nil && old.Version == set.Version {
			next[t] = old
		}
	}
	h.static, h.ringSize = next, resource.RingSize(servers)
	return nil
}

// retire takes out the clusters that no routes name any more, unless others have come meanwhile.
func (h *hub) retire(only *resource.Set) {
	if h.retired != only {
		return
	}
	static := maps.Clone(h.static)
	static[resource.Cluster], h.retired = h.retired, nil
	h.static = static
	h.publish(h.clock.Ms(), "")
}

// watch ends the streams of proxies that have not acknowledged the last drain in time, so that they
// come back, as fast as the pace for that allows. A proxy that answered, be it with a rejection,
// reads what it is sent and stays.
func (h *hub) watch(now float64) {
	for len(h.drains) > 0 && h.drains[0].toldMs+h.cfg().Proxies.AckTimeoutMs <= now {
		h.overdue, h.drains = h.drains[0], h.drains[1:]
	}
	h.watchAt = 0
	if len(h.drains) > 0 {
		h.watchAt = h.drains[0].toldMs + h.cfg().Proxies.AckTimeoutMs
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.streams {
		if !s.behind(&h.overdue) {
			continue
		}
		if !s.marked.Swap(true) {
			h.counts.Stalled.Add(1)
			h.log.Warn("proxy has not acknowledged a drain", "node", s.node, "after_ms", now-h.overdue.toldMs, "server", h.overdue.what)
		}
		if !h.ends.Allow() {
			h.watchAt = now + 50
			continue
		}
		h.counts.Ended.Add(1)
		s.kill("a drain was not acknowledged in time")
	}
}

// group finds or makes the group of a zone.
func (h *hub) group(zone string) *group {
	if g, ok := h.groups.Load(zone); ok {
		return g.(*group)
	}
	g, _ := h.groups.LoadOrStore(zone, &group{streams: map[*stream]struct{}{}})
	return g.(*group)
}

// join makes a stream one of its group, and known to the assigner.
func (h *hub) join(s *stream, fresh bool) {
	s.group = h.group(s.zone)
	h.mu.Lock()
	h.streams[s] = struct{}{}
	h.mu.Unlock()
	s.group.mu.Lock()
	s.group.streams[s] = struct{}{}
	s.group.mu.Unlock()
	h.post(func() {
		now := h.clock.Ms()
		h.assigner.Connect(now, s.node, s.zone, fresh)
		if s.group.now.Load() == nil {
			h.seq++
			h.publishGroup(now, s.zone, s.group)
		}
	})
}

// leave undoes join.
func (h *hub) leave(s *stream) {
	h.mu.Lock()
	delete(h.streams, s)
	h.mu.Unlock()
	s.group.mu.Lock()
	delete(s.group.streams, s)
	s.group.mu.Unlock()
	h.post(func() { h.assigner.Disconnect(h.clock.Ms(), s.node) })
}

// told takes what the roster told.
func (h *hub) told(l *membership.List, err error) {
	h.post(func() {
		now := h.clock.Ms()
		if h.merge != nil {
			switch {
			case err != nil:
				h.merge.DiscoveryLost(err)
			case l == nil:
				h.merge.DiscoveryAlive(now)
			default:
				h.merge.UpdateDiscovery(now, l)
			}
			h.merged(now)
			return
		}
		switch {
		case err != nil:
			h.set.Lost("roster", err)
		case l == nil:
			h.set.Alive("roster", now)
		case h.set.Update("roster", now, l):
			h.assigner.UpdateMembership(now, h.set.Entries())
		}
	})
}

// registry takes what the registry of what runs told.
func (h *hub) registry(u ephemeral.Update) {
	h.post(func() {
		now := h.clock.Ms()
		u.Apply(h.merge, now)
		h.merged(now)
	})
}

// merged hands on what the merge has to tell, if anything.
func (h *hub) merged(now float64) {
	if len(h.merge.Changes(now)) > 0 {
		h.assigner.UpdateMembership(now, h.merge.Entries())
	}
}

// entries are all servers, status how the sources do.
func (h *hub) entries() []membership.Entry {
	if h.merge != nil {
		return h.merge.Entries()
	}
	return h.set.Entries()
}

func (h *hub) status(now float64) []membership.Status {
	if h.merge != nil {
		return h.merge.Status(now)
	}
	return h.set.Status(now)
}
