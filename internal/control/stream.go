package control

import (
	"context"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/control/resource"
)

const (
	// maxPendingResponses bounds the unanswered responses of one type. Non-urgent responses wait until there
	// are none, so that a slow proxy gets fewer and newer responses.
	maxPendingResponses = 8
	// heartbeatsPerTTL is the number of heartbeats within a TTL.
	heartbeatsPerTTL = 3
	// maxPeerTextBytes bounds the length in bytes of texts from proxies in logs, reports and errors.
	maxPeerTextBytes = 512
)

// The client features that are recognized.
const (
	featureTTL  = "xds.config.supports-resource-ttl"
	featureLEDS = "ringtrack.leds" // may also be set to true in the node metadata
)

// stream is an ADS stream. Its own goroutine runs serve; notify, close and behind may be called from any
// goroutine.
type stream struct {
	publisher    *publisher
	group        *group
	node         string // node ID of the proxy
	zone         string
	delta        bool // uses the incremental variant of the protocol
	leds         bool // receives single endpoints, in collections
	supportsTTL  bool
	conn         net.Conn
	peer         string
	openedMs     float64
	send         func(frame []byte) error
	wake         chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once
	closeReason  atomic.Pointer[string]
	unresponsive atomic.Bool // did not answer an urgent update in time, and was counted

	subscriptions map[string]*subscription // by type URL

	// Written by the stream's goroutine and read by the publisher.
	subscribedMs atomic.Uint64 // first subscription to endpoints, as math.Float64bits of ms; 0: none yet
	ackedSeq     atomic.Uint64 // newest publication whose endpoints the proxy has
	nackedSeq    atomic.Uint64 // newest publication whose endpoints the proxy rejected

	mu    sync.Mutex // protects stats
	stats streamStats
}

// streamStats contains the statistics of a stream in the admin report.
type streamStats struct {
	Acked      map[string]string `json:"acked"`              // version by type
	Rejected   map[string]string `json:"rejected,omitempty"` // version and reason by type
	DrainAckMs float64           `json:"drain_ack_ms"`       // publication to ACK of the last drain; -1: none
	Sent       int64             `json:"sent_bytes"`
	Responses  int64             `json:"responses"`
}

func newStream(p *publisher, delta bool, conn net.Conn, peer string, send func([]byte) error) *stream {
	return &stream{
		publisher:     p,
		delta:         delta,
		conn:          conn,
		peer:          peer,
		send:          send,
		openedMs:      p.clock.Ms(),
		wake:          make(chan struct{}, 1),
		closed:        make(chan struct{}),
		subscriptions: map[string]*subscription{},
		stats:         streamStats{Acked: map[string]string{}, Rejected: map[string]string{}, DrainAckMs: -1},
	}
}

// setNode sets the proxy's identity, zone and features.
func (s *stream) setNode(node *corev3.Node) {
	s.node = node.GetId()
	for _, feature := range node.GetClientFeatures() {
		switch feature {
		case featureTTL:
			s.supportsTTL = true
		case featureLEDS:
			s.leds = s.delta
		}
	}
	if node.GetMetadata().GetFields()[featureLEDS].GetBoolValue() {
		s.leds = s.delta
	}
	s.zone = s.publisher.cfg().knownZone(node.GetLocality().GetZone())
}

// notify wakes the stream's goroutine, since there may be a new snapshot. It never blocks.
func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close ends the stream. It closes the connection, which is the only way to end a stream that is blocked in a
// write to a proxy that does not read.
func (s *stream) close(reason string) {
	s.closeOnce.Do(func() {
		s.closeReason.Store(&reason)
		close(s.closed)
		if s.conn != nil {
			s.conn.Close()
		}
	})
}

// closeError returns the error of a stream that was ended by close.
func (s *stream) closeError() error { return status.Error(codes.Unavailable, *s.closeReason.Load()) }

// behind reports whether the proxy was subscribed to endpoints when an urgent update was published and has
// not answered it yet.
func (s *stream) behind(update *urgentUpdate) bool {
	subscribedMs := math.Float64frombits(s.subscribedMs.Load())
	return subscribedMs > 0 && subscribedMs < update.publishedMs &&
		s.ackedSeq.Load() < update.seq && s.nackedSeq.Load() < update.seq
}

// serve handles requests and sends updates until the stream ends. failed delivers the error that ended the
// receiving side; io.EOF means that the proxy half-closed the stream.
func (s *stream) serve(ctx context.Context, requests <-chan *request, failed <-chan error) error {
	var heartbeats <-chan time.Time
	if ttl := s.publisher.cfg().Proxies.HeartbeatS; s.supportsTTL && s.delta && ttl > 0 {
		ticker := time.NewTicker(time.Duration(ttl*1000/heartbeatsPerTTL) * time.Millisecond)
		defer ticker.Stop()
		heartbeats = ticker.C
	}
	for {
		var err error
		select {
		case r := <-requests:
			if err = s.handle(r); err == nil {
				err = s.push()
			}
		case <-s.wake:
			err = s.push()
		case <-heartbeats:
			err = s.sendHeartbeat()
		case <-s.closed:
			return s.closeError()
		case err = <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			select {
			case <-s.closed:
				return s.closeError()
			default:
				return err
			}
		}
	}
}

// push sends the resources of the current snapshot that the proxy does not have, in the order of
// resource.Types. Routes wait until the clusters that they refer to are acknowledged.
func (s *stream) push() error {
	snap := s.group.current.Load()
	if snap == nil {
		return nil
	}
	for _, typeURL := range resource.Types {
		sub := s.subscriptions[typeURL]
		if sub == nil || !s.maySend(snap, typeURL, sub) {
			continue
		}
		var err error
		if s.delta {
			err = s.pushDelta(snap, typeURL, sub)
		} else {
			err = s.pushSotW(snap, typeURL, sub)
		}
		if err != nil {
			return err
		}
		sub.sentSeq = snap.seq
		sub.resend = false
		if typeURL == resource.Endpoints || typeURL == resource.LbEndpoint {
			s.updateAcked()
		}
	}
	return nil
}

// maySend reports whether responses of a type may be sent now. If not, push is called again after the next
// request or publication.
func (s *stream) maySend(snap *snapshot, typeURL string, sub *subscription) bool {
	if sub.sentSeq >= snap.seq && !sub.resend {
		return false
	}
	if typeURL == resource.Route {
		if clusters := s.subscriptions[resource.Cluster]; clusters != nil && len(clusters.pending) > 0 {
			return false
		}
	}
	if len(sub.pending) >= maxPendingResponses {
		return false
	}
	urgent := snap.urgentSeq > sub.sentSeq || sub.resend
	return urgent || len(sub.pending) == 0
}

// sendFrame sends a frame and records it as pending. An empty frame is not sent.
func (s *stream) sendFrame(sub *subscription, f frame, version string, seq uint64) error {
	if f.empty {
		return nil
	}
	sub.pending = append(sub.pending, pendingResponse{nonce: f.nonce, version: version, seq: seq})
	sub.lastNonce = f.nonce
	s.mu.Lock()
	s.stats.Sent += int64(len(f.bytes))
	s.stats.Responses++
	s.mu.Unlock()
	return s.send(f.bytes)
}

// sharedFrame returns the frame that all streams share for the key, or a new one if the nonce of the shared
// frame was already used on this stream.
func (s *stream) sharedFrame(snap *snapshot, sub *subscription, key frameKey, encode encodeFunc) frame {
	f := snap.sharedFrame(key, encode)
	if sub.usedNonce(f.nonce) {
		return snap.newFrame(encode)
	}
	return f
}

// truncateText truncates a text from a proxy and makes it valid UTF-8.
func truncateText(text string) string {
	if len(text) > maxPeerTextBytes {
		text = text[:maxPeerTextBytes]
	}
	return strings.ToValidUTF8(text, "?")
}
