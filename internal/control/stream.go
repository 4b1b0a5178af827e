package control

import (
	"context"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
)

const (
	// mostPending bounds the responses of one type that are on their way unacknowledged. What is not
	// urgent waits for the first of them; so a proxy that is slow gets fewer and newer responses.
	mostPending = 8
	// maxErrorText bounds what is kept of a proxy's reason for a rejection.
	maxErrorText = 512
)

// request is a request of either protocol.
type request struct {
	typeURL     string
	nonce       string
	version     string            // state of the world: what the proxy holds
	reason      string            // of a rejection; "" is an acknowledgement
	rejected    bool              // with or without a reason
	names       []string          // state of the world: all that is asked for
	subscribe   []string          // incremental
	unsubscribe []string          //
	versions    map[string]string // incremental, first of its type: what the proxy has
}

// stream is one ADS stream. Its goroutine runs serve; poke, kill and behind are called by others.
type stream struct {
	hub     *hub
	group   *group
	node    string
	zone    string
	delta   bool
	leds    bool // takes servers one by one
	ttl     bool // knows resources with a time to live
	conn    net.Conn
	peer    string
	openMs  float64
	send    func(frame []byte) error
	wake    chan struct{}
	killed  chan struct{}
	killing sync.Once
	why     atomic.Pointer[string]
	marked  atomic.Bool // seen behind on a drain

	subs map[string]*sub

	// What others look at.
	asked  atomic.Uint64 // when it first asked for servers, as math.Float64bits of ms; 0: not yet
	acked  atomic.Uint64 // the newest publication whose servers it holds
	nacked atomic.Uint64 // the newest of which it rejected the servers

	mu    sync.Mutex // of what the admin page shows
	shown shown
}

// shown is what the admin page tells of a stream.
type shown struct {
	Acked      map[string]string `json:"acked"` // version by type
	Rejected   map[string]string `json:"rejected,omitempty"`
	DrainAckMs float64           `json:"drain_ack_ms"` // told → acked of the last drain; -1: none yet
	Sent       int64             `json:"sent_bytes"`
	Responses  int64             `json:"responses"`
}

// sub is a stream's subscription of one type.
type sub struct {
	wildcard bool
	names    map[string]bool
	set      *resource.Set            // wildcard: what the proxy holds, as far as it was sent
	first    bool                     // wildcard, incremental: nothing was sent yet on this stream
	initial  map[string]string        // incremental: what the proxy said it has
	held     map[string]string        // by name: the version that was sent, "" where it was told there is none
	globs    map[string]*resource.Set // collections, and what was sent of each; nil: nothing yet
	pending  []pending                // not acknowledged, oldest first
	sentSeq  uint64                   // the newest publication that was sent, or had nothing to send
	ackedSeq uint64
	nonce    string
	again    bool // what is asked for has grown: send, whatever was sent
	rejected bool // the last answer was a rejection
}

type pending struct {
	nonce   string
	version string
	seq     uint64
}

func newStream(h *hub, delta bool, conn net.Conn, peer string, send func([]byte) error) *stream {
	return &stream{hub: h, delta: delta, conn: conn, peer: peer, send: send, openMs: h.clock.Ms(),
		wake: make(chan struct{}, 1), killed: make(chan struct{}), subs: map[string]*sub{},
		shown: shown{Acked: map[string]string{}, Rejected: map[string]string{}, DrainAckMs: -1}}
}

// poke tells the stream that there may be something to send. It never waits.
func (s *stream) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// kill ends the stream from outside, also where it hangs in a write: by its connection, the only way
// to reach a proxy that does not read.
func (s *stream) kill(why string) {
	s.killing.Do(func() {
		s.why.Store(&why)
		close(s.killed)
		if s.conn != nil {
			s.conn.Close()
		}
	})
}

// behind tells whether the proxy should have acknowledged the drain and has said nothing of it.
func (s *stream) behind(d *drain) bool {
	asked := math.Float64frombits(s.asked.Load())
	return asked > 0 && asked < d.toldMs && s.acked.Load() < d.seq && s.nacked.Load() < d.seq
}

// serve handles requests and sends what is new until the stream ends.
func (s *stream) serve(ctx context.Context, requests <-chan *request, failed <-chan error) error {
	var beat <-chan time.Time
	if s.ttl && s.delta && s.hub.cfg().Proxies.HeartbeatS > 0 {
		t := time.NewTicker(time.Duration(s.hub.cfg().Proxies.HeartbeatS*1000/3) * time.Millisecond)
		defer t.Stop()
		beat = t.C
	}
	for {
		var err error
		select {
		case r := <-requests:
			if err = s.take(r); err == nil {
				err = s.push()
			}
		case <-s.wake:
			err = s.push()
		case <-beat:
			err = s.heartbeat()
		case <-s.killed:
			return status.Error(codes.Unavailable, *s.why.Load())
		case err = <-failed:
			return err // nil: the proxy closed its side
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			select {
			case <-s.killed:
				return status.Error(codes.Unavailable, *s.why.Load())
			default:
				return err
			}
		}
	}
}

// take handles one request.
func (s *stream) take(r *request) error {
	if !slices.Contains(resource.Types, r.typeURL) || r.typeURL == resource.LbEndpoint && !s.delta {
		return status.Errorf(codes.InvalidArgument, "type %q is not served", clip(r.typeURL))
	}
	sb := s.subs[r.typeURL]
	first := sb == nil
	if first {
		sb = &sub{names: map[string]bool{}, held: map[string]string{}, globs: map[string]*resource.Set{}, first: true, initial: r.versions}
		s.subs[r.typeURL] = sb
		if r.typeURL == resource.Endpoints {
			s.asked.Store(math.Float64bits(s.hub.clock.Ms()))
		}
	} else if r.nonce != "" {
		if !s.answered(r, sb) && !s.delta {
			return nil // about a response that a newer one has overtaken: it says nothing
		}
	}
	if s.delta {
		return s.subscribe(r, sb, first)
	}
	return s.replace(r, sb, first)
}

// answered takes an acknowledgement or a rejection; false for one of a nonce that is not out.
func (s *stream) answered(r *request, sb *sub) bool {
	i := slices.IndexFunc(sb.pending, func(p pending) bool { return p.nonce == r.nonce })
	if i < 0 {
		return r.nonce == sb.nonce // said again, to change what is asked for
	}
	p := sb.pending[i]
	sb.pending = slices.Delete(sb.pending, 0, i+1)
	if r.rejected {
		// The proxy stays with what it accepted last. The same is not sent again; only what is newer.
		sb.rejected = true
		s.hub.counts.Nacks.Add(1)
		s.hub.log.Warn("proxy rejected a response", "node", s.node, "type", r.typeURL, "version", p.version, "reason", r.reason)
		s.mu.Lock()
		s.shown.Rejected[r.typeURL] = p.version + ": " + r.reason
		s.mu.Unlock()
		if r.typeURL == resource.Endpoints || r.typeURL == resource.LbEndpoint {
			s.nacked.Store(max(s.nacked.Load(), p.seq))
		}
		return true
	}
	sb.rejected = false
	sb.ackedSeq = p.seq
	s.mu.Lock()
	s.shown.Acked[r.typeURL] = p.version
	delete(s.shown.Rejected, r.typeURL)
	s.mu.Unlock()
	s.settle()
	return true
}

// settle works out which publication's servers the proxy holds, and tells the hub where that is news.
func (s *stream) settle() {
	eds := s.subs[resource.Endpoints]
	if eds == nil {
		return
	}
	held := eds.holds()
	if one := s.subs[resource.LbEndpoint]; one != nil && s.leds && len(one.globs) > 0 {
		held = min(held, one.holds())
	}
	if held <= s.acked.Load() {
		return
	}
	now := s.hub.clock.Ms()
	before := s.acked.Swap(held)
	s.marked.Store(false)
	snap := s.group.now.Load()
	var a *assign.Assignment
	if snap != nil && snap.seq == held {
		a = snap.assignment
	}
	s.hub.post(func() {
		if d := &s.hub.drain; d.seq > 0 && before < d.seq && held >= d.seq && math.Float64frombits(s.asked.Load()) < d.toldMs {
			s.mu.Lock()
			s.shown.DrainAckMs = now - d.toldMs
			s.mu.Unlock()
		}
		if a != nil {
			s.hub.assigner.Acknowledge(s.node, a)
		}
	})
}

// holds is the newest publication of which the proxy has acknowledged all.
func (sb *sub) holds() uint64 {
	if len(sb.pending) == 0 && !sb.rejected {
		return max(sb.ackedSeq, sb.sentSeq)
	}
	return sb.ackedSeq
}

// replace sets what is asked for: all of it is in each request of this protocol.
func (s *stream) replace(r *request, sb *sub, first bool) error {
	if len(r.names) > s.hub.cfg().Proxies.MaxNames {
		return status.Errorf(codes.ResourceExhausted, "%d names are asked for, at most %d", len(r.names), s.hub.cfg().Proxies.MaxNames)
	}
	// No names at all mean everything, for these types, until names have been given once.
	all := len(r.names) == 0 && (first || sb.wildcard) && wild(r.typeURL) || slices.Contains(r.names, "*")
	next := make(map[string]bool, len(r.names))
	for _, n := range r.names {
		if n != "*" {
			next[n] = true
			if !sb.names[n] {
				sb.again = true
			}
		}
	}
	for n := range sb.held {
		if !next[n] {
			delete(sb.held, n) // asked for again, it is sent again
		}
	}
	if all && !sb.wildcard {
		sb.again = true
	}
	sb.names, sb.wildcard = next, all
	return nil
}

func wild(typeURL string) bool { return typeURL == resource.Cluster || typeURL == resource.Listener }

// subscribe changes what is asked for.
func (s *stream) subscribe(r *request, sb *sub, first bool) error {
	if first && len(r.subscribe) == 0 && wild(r.typeURL) {
		sb.wildcard = true
	}
	for _, n := range r.subscribe {
		switch {
		case n == "*":
			sb.wildcard = true
		case strings.HasPrefix(n, "xdstp://") && strings.HasSuffix(n, "/*"):
			if _, ok := sb.globs[n]; !ok {
				sb.globs[n] = nil
			}
		default:
			sb.names[n] = true
			delete(sb.held, n) // said again, it is sent again
			if v, ok := sb.initial[n]; ok && first {
				sb.held[n] = v
			}
		}
	}
	for _, n := range r.unsubscribe {
		switch {
		case n == "*":
			sb.wildcard, sb.set = false, nil
		default:
			delete(sb.names, n)
			delete(sb.held, n)
			delete(sb.globs, n)
		}
	}
	if n := len(sb.names) + len(sb.globs); n > s.hub.cfg().Proxies.MaxNames {
		return status.Errorf(codes.ResourceExhausted, "%d names are asked for, at most %d", n, s.hub.cfg().Proxies.MaxNames)
	}
	sb.again = sb.again || len(r.subscribe) > 0 || first
	return nil
}

// push sends what the proxy does not have, servers first, and keeps the order in which one thing may
// refer to another: routes wait until the clusters that came with them are acknowledged.
func (s *stream) push() error {
	snap := s.group.now.Load()
	if snap == nil {
		return nil
	}
	for _, t := range resource.Types {
		sb := s.subs[t]
		if sb == nil || sb.sentSeq >= snap.seq && !sb.again {
			continue
		}
		if t == resource.Route {
			if c := s.subs[resource.Cluster]; c != nil && len(c.pending) > 0 {
				continue
			}
		}
		urgent := snap.urgent > sb.sentSeq || sb.again
		if n := len(sb.pending); n >= mostPending || n > 0 && !urgent {
			continue // an acknowledgement brings it back here
		}
		var err error
		if s.delta {
			err = s.pushDelta(snap, t, sb)
		} else {
			err = s.pushFull(snap, t, sb)
		}
		if err != nil {
			return err
		}
		sb.sentSeq, sb.again = snap.seq, false
		if t == resource.Endpoints || t == resource.LbEndpoint {
			s.settle()
		}
	}
	return nil
}

// out sends a frame and notes it as not acknowledged.
func (s *stream) out(sb *sub, f frame, version string, seq uint64) error {
	if f.empty {
		return nil
	}
	sb.pending = append(sb.pending, pending{nonce: f.nonce, version: version, seq: seq})
	sb.nonce = f.nonce
	s.mu.Lock()
	s.shown.Sent += int64(len(f.bytes))
	s.shown.Responses++
	s.mu.Unlock()
	return s.send(f.bytes)
}

// pushFull sends a response of the state-of-the-world protocol, if there is anything to tell.
func (s *stream) pushFull(snap *snapshot, t string, sb *sub) error {
	cur := snap.set(t, false)
	if cur == nil {
		return nil
	}
	if sb.wildcard {
		if sb.set != nil && sb.set.Version == cur.Version && !sb.again {
			return nil
		}
		key := frameKey{typeURL: t, to: cur}
		make := func(nonce string) ([]byte, bool) {
			return resource.MarshalResponse(t, cur.Version, nonce, all(cur)), false
		}
		f := s.once(snap, sb, key, make)
		sb.set = cur
		return s.out(sb, f, cur.Version, snap.seq)
	}
	// By name: what changed. For these types, all that is asked for goes into each response.
	names := sorted(sb.names)
	var changed []*resource.Resource
	news := false
	for _, n := range names {
		r := cur.Get(n)
		switch held, ok := sb.held[n]; {
		case r == nil && held != "":
			delete(sb.held, n)
			news = news || wild(t)
		case r != nil && (!ok || held != r.Version):
			sb.held[n], news = r.Version, true
			changed = append(changed, r)
		case r != nil && wild(t):
			changed = append(changed, r)
		}
	}
	if !news {
		return nil
	}
	key := frameKey{typeURL: t, to: cur}
	if len(names) == 1 && len(changed) == 1 {
		key.name = names[0]
		return s.out(sb, s.once(snap, sb, key, func(nonce string) ([]byte, bool) {
			return resource.MarshalResponse(t, cur.Version, nonce, changed), false
		}), cur.Version, snap.seq)
	}
	nonce := snap.nonces.next()
	return s.out(sb, frame{nonce: nonce, bytes: resource.MarshalResponse(t, cur.Version, nonce, changed)}, cur.Version, snap.seq)
}

// once takes the frame that streams share, or one of its own where this stream has had that already:
// a nonce is used once on a stream.
func (s *stream) once(snap *snapshot, sb *sub, key frameKey, make func(nonce string) ([]byte, bool)) frame {
	f := snap.shared(key, make)
	if f.nonce == sb.nonce || slices.ContainsFunc(sb.pending, func(p pending) bool { return p.nonce == f.nonce }) {
		f.nonce = snap.nonces.next()
		f.bytes, f.empty = make(f.nonce)
	}
	return f
}

// pushDelta sends responses of the incremental protocol, if there is anything to tell.
func (s *stream) pushDelta(snap *snapshot, t string, sb *sub) error {
	if t == resource.LbEndpoint {
		return s.pushCollections(snap, sb)
	}
	cur := snap.set(t, s.leds)
	if cur == nil {
		return nil
	}
	ttl := s.seconds(t)
	if sb.wildcard && (sb.set != cur || sb.first) {
		var f frame
		if sb.first && len(sb.initial) > 0 {
			// It has something from another stream, perhaps of another replica.
			changed, removed := all(cur), []string(nil)
			changed = slices.DeleteFunc(changed, func(r *resource.Resource) bool { return sb.initial[r.Name] == r.Version })
			for n := range sb.initial {
				if cur.Get(n) == nil && !sb.names[n] {
					removed = append(removed, n)
				}
			}
			slices.Sort(removed)
			f.nonce = snap.nonces.next()
			f.bytes, f.empty = resource.MarshalDeltaResponse(t, cur.Version, f.nonce, changed, removed, ttl, false), len(changed)+len(removed) == 0
		} else {
			from, first := sb.set, sb.first
			f = s.once(snap, sb, frameKey{typeURL: t, delta: true, from: from, to: cur, version: ttlKey(ttl, first)}, func(nonce string) ([]byte, bool) {
				changed, removed := cur.Diff(from)
				return resource.MarshalDeltaResponse(t, cur.Version, nonce, changed, removed, ttl, false), len(changed)+len(removed) == 0 && !first
			})
		}
		sb.set, sb.first, sb.initial = cur, false, nil
		if err := s.out(sb, f, cur.Version, snap.seq); err != nil {
			return err
		}
	}
	if len(sb.names) == 0 {
		return nil
	}
	sb.first = false
	var changed []*resource.Resource
	var removed []string
	for _, n := range sorted(sb.names) {
		r := cur.Get(n)
		switch held, ok := sb.held[n]; {
		case r == nil && (!ok || held != ""):
			sb.held[n] = ""
			removed = append(removed, n) // it does not exist, and the proxy is not to wait for it
		case r != nil && (!ok || held != r.Version):
			sb.held[n] = r.Version
			changed = append(changed, r)
		}
	}
	if len(changed)+len(removed) == 0 {
		return nil
	}
	make := func(nonce string) ([]byte, bool) {
		return resource.MarshalDeltaResponse(t, cur.Version, nonce, changed, removed, ttl, false), false
	}
	if len(changed) == 1 && len(removed) == 0 {
		key := frameKey{typeURL: t, delta: true, to: cur, name: changed[0].Name, version: ttlKey(ttl, false)}
		return s.out(sb, s.once(snap, sb, key, make), cur.Version, snap.seq)
	}
	f := frame{nonce: snap.nonces.next()}
	f.bytes, _ = make(f.nonce)
	return s.out(sb, f, cur.Version, snap.seq)
}

// pushCollections sends what changed in the collections that the proxy follows: a response each,
// those that bring servers before those that only take some away.
func (s *stream) pushCollections(snap *snapshot, sb *sub) error {
	type news struct {
		glob    string
		to      *resource.Set
		removes bool
	}
	if snap.servers == nil {
		return nil // no list yet: what is not known is not said to be empty
	}
	var due []news
	for glob, had := range sb.globs {
		cur := snap.collection(glob)
		if cur == had && cur != nil {
			continue
		}
		if cur == nil {
			if cur = emptySet; had == emptySet {
				continue
			}
		}
		due = append(due, news{glob, cur, had != nil && len(cur.Names()) < len(had.Names())})
	}
	slices.SortFunc(due, func(a, b news) int {
		if a.removes != b.removes {
			if a.removes {
				return 1
			}
			return -1
		}
		return strings.Compare(a.glob, b.glob)
	})
	for _, n := range due {
		from := sb.globs[n.glob]
		var f frame
		build := func(nonce string) ([]byte, bool) {
			changed, removed := n.to.Diff(from)
			return resource.MarshalDeltaResponse(resource.LbEndpoint, n.to.Version, nonce, changed, removed, 0, false), len(changed)+len(removed) == 0 && from != nil
		}
		if from == nil && len(sb.initial) > 0 {
			changed, removed := all(n.to), []string(nil)
			changed = slices.DeleteFunc(changed, func(r *resource.Resource) bool { return sb.initial[r.Name] == r.Version })
			prefix := strings.TrimSuffix(n.glob, "*")
			for name := range sb.initial {
				if strings.HasPrefix(name, prefix) && n.to.Get(name) == nil {
					removed = append(removed, name)
				}
			}
			slices.Sort(removed)
			f.nonce = snap.nonces.next()
			f.bytes = resource.MarshalDeltaResponse(resource.LbEndpoint, n.to.Version, f.nonce, changed, removed, 0, false)
		} else {
			f = s.once(snap, sb, frameKey{typeURL: resource.LbEndpoint, delta: true, from: from, to: n.to, name: n.glob}, build)
		}
		sb.globs[n.glob] = n.to
		if err := s.out(sb, f, n.to.Version, snap.seq); err != nil {
			return err
		}
	}
	sb.first = false
	return nil
}

var emptySet = resource.NewSet()

// seconds is the time to live of a type's resources on this stream; 0: none.
func (s *stream) seconds(t string) int {
	if s.ttl && t == resource.Endpoints {
		return s.hub.cfg().Proxies.HeartbeatS
	}
	return 0
}

func ttlKey(ttl int, first bool) string {
	key := ""
	if ttl > 0 {
		key = "ttl"
	}
	if first {
		key += " first"
	}
	return key
}

// heartbeat says that what the proxy holds of servers still holds, where they have a time to live.
func (s *stream) heartbeat() error {
	sb, snap := s.subs[resource.Endpoints], s.group.now.Load()
	if sb == nil || snap == nil || len(sb.pending) > 0 {
		return nil
	}
	cur := snap.set(resource.Endpoints, s.leds)
	var alive []*resource.Resource
	for _, n := range sorted(sb.names) {
		if r := cur.Get(n); r != nil && sb.held[n] == r.Version {
			alive = append(alive, r)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	nonce := snap.nonces.next()
	bytes := resource.MarshalDeltaResponse(resource.Endpoints, cur.Version, nonce, alive, nil, s.hub.cfg().Proxies.HeartbeatS, true)
	return s.out(sb, frame{nonce: nonce, bytes: bytes}, cur.Version, sb.sentSeq)
}

func all(set *resource.Set) []*resource.Resource {
	changed, _ := set.Diff(nil)
	return changed
}

func sorted(names map[string]bool) []string {
	out := make([]string, 0, len(names))
	for n := range names {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func clip(s string) string {
	if len(s) > maxErrorText {
		s = s[:maxErrorText]
	}
	return strings.ToValidUTF8(s, "?")
}
