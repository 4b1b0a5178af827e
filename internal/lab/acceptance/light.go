package acceptance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // the codec that requests are left to
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	edsType  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	ledsType = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
	fullADS  = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
	deltaADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
)

// light is a proxy of a crowd: it reads no more of a response than its type and nonce, and
// acknowledges it, so that a thousand of them leave the cores to the service. The same one is used
// for ours and for the peer.
type light struct {
	conn   *grpc.ClientConn
	cancel context.CancelFunc
	done   chan struct{}
	stall  atomic.Bool
	shut   chan struct{} // closed when a stalled one may go on
	bytes  atomic.Int64
	acks   atomic.Int64
	lastAt atomic.Int64 // UnixNano of the first ack since mark
	marked atomic.Bool
	lame   atomic.Bool // comes back with nothing that would be let in
	ends   atomic.Int64
	turn   *sync.Mutex // the seeded defect of the proof of stalls: all take turns by one lock
}

type kind int

const (
	sotw kind = iota
	delta
	leds
)

func (k kind) String() string { return [...]string{"sotw", "delta", "leds"}[k] }

// bare is what a light proxy reads of a response.
type bare struct {
	typeURL, version, nonce string
	size                    int
}

type bareCodec struct{ encoding.CodecV2 }

func (c bareCodec) Unmarshal(data mem.BufferSlice, v any) error {
	b, ok := v.(*bare)
	if !ok {
		return c.CodecV2.Unmarshal(data, v)
	}
	text := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer text.Free()
	raw := text.ReadOnlyData()
	b.size = len(raw)
	for len(raw) > 0 {
		num, typ, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
		if typ != protowire.BytesType {
			n = protowire.ConsumeFieldValue(num, typ, raw)
		} else {
			var field []byte
			if field, n = protowire.ConsumeBytes(raw); n >= 0 {
				switch num {
				case 1:
					b.version = string(field)
				case 4:
					b.typeURL = string(field)
				case 5:
					b.nonce = string(field)
				}
			}
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
	}
	return nil
}

// collections are the names of the collections of servers, as the operators' page gives them.
func collections(service string) []string {
	var out []string
	for _, z := range zones {
		out = append(out, fmt.Sprintf("xdstp://ringtrack/envoy.config.endpoint.v3.LbEndpoint/%s/%s/0/*", service, z))
	}
	return out
}

func dialLight(ctx context.Context, target string, k kind, i int, turn *sync.Mutex) (*light, error) {
	conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithReadBufferSize(8<<10), grpc.WithWriteBufferSize(1<<10),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 5 * time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.5, MaxDelay: time.Second}}),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(bareCodec{encoding.GetCodecV2("proto")}), grpc.MaxCallRecvMsgSize(64<<20)))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &light{turn: turn, conn: conn, cancel: cancel, done: make(chan struct{}), shut: make(chan struct{})}
	go func() {
		defer close(l.done)
		for ctx.Err() == nil {
			l.follow(ctx, k, i)
			l.ends.Add(1)
			select {
			case <-ctx.Done():
			case <-time.After(20*time.Millisecond + rand.N(30*time.Millisecond)):
			}
		}
	}()
	return l, nil
}

func (l *light) close() {
	l.cancel()
	l.conn.Close()
	<-l.done
}

func (l *light) follow(ctx context.Context, k kind, i int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	node := &corev3.Node{Id: fmt.Sprintf("p-%04d", i), Cluster: "lab", Locality: &corev3.Locality{Zone: zones[i%3]}}
	method := deltaADS
	if k == sotw {
		method = fullADS
	}
	if l.lame.Load() {
		node.Id = "" // the seeded defect of the proof of storms
	}
	if k == leds {
		node.ClientFeatures = []string{"ringtrack.leds"}
	}
	s, err := l.conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, method)
	if err != nil {
		return err
	}
	if k == sotw {
		err = s.SendMsg(&discoveryv3.DiscoveryRequest{Node: node, TypeUrl: edsType, ResourceNames: []string{"orders"}})
	} else {
		err = s.SendMsg(&discoveryv3.DeltaDiscoveryRequest{Node: node, TypeUrl: edsType, ResourceNamesSubscribe: []string{"orders"}})
	}
	if err == nil && k == leds {
		err = s.SendMsg(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: ledsType, ResourceNamesSubscribe: collections("orders")})
	}
	if err != nil {
		return err
	}
	for {
		for l.turn != nil && l.stall.Load() { // hangs with the lock in its hands
			l.turn.Lock()
			time.Sleep(100 * time.Millisecond)
			l.turn.Unlock()
		}
		if l.stall.Load() {
			select {
			case <-l.shut:
			case <-ctx.Done():
				return ctx.Err()
			case <-s.Context().Done():
				return s.Context().Err()
			}
		}
		var b bare
		if err := s.RecvMsg(&b); err != nil {
			return err
		}
		if l.turn != nil {
			l.turn.Lock()
			l.turn.Unlock() //lint:ignore SA2001 it only waits for its turn
		}
		l.bytes.Add(int64(b.size))
		if k == sotw {
			err = s.SendMsg(&discoveryv3.DiscoveryRequest{TypeUrl: b.typeURL, ResponseNonce: b.nonce, VersionInfo: b.version, ResourceNames: []string{"orders"}})
		} else {
			err = s.SendMsg(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: b.typeURL, ResponseNonce: b.nonce})
		}
		if err != nil {
			return err
		}
		if l.marked.CompareAndSwap(true, false) {
			l.lastAt.Store(time.Now().UnixNano())
		}
		l.acks.Add(1)
	}
}

// crowd is many light proxies.
type crowd struct{ all []*light }

func newCrowd(ctx context.Context, target string, k kind, n int, turn *sync.Mutex) (*crowd, error) {
	c := &crowd{}
	for i := range n {
		l, err := dialLight(ctx, target, k, i, turn)
		if err != nil {
			c.close()
			return nil, err
		}
		c.all = append(c.all, l)
	}
	first := int64(1)
	if k == leds {
		first = 4 // servers' set and a collection a zone
	}
	if err := c.wait(ctx, 60*time.Second, func(l *light) bool { return l.acks.Load() >= first }); err != nil {
		c.close()
		return nil, fmt.Errorf("%d %s proxies: %w", n, k, err)
	}
	return c, nil
}

func (c *crowd) close() {
	var wg sync.WaitGroup
	for _, l := range c.all {
		wg.Go(l.close)
	}
	wg.Wait()
}

func (c *crowd) wait(ctx context.Context, within time.Duration, want func(*light) bool) error {
	end := time.Now().Add(within)
	for {
		missing := 0
		for _, l := range c.all {
			if !l.stall.Load() && !want(l) {
				missing++
			}
		}
		switch {
		case missing == 0:
			return nil
		case time.Now().After(end):
			return fmt.Errorf("%d of %d did not get there in %v", missing, len(c.all), within)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// mark makes each proxy note the time of its next ack.
func (c *crowd) mark() {
	for _, l := range c.all {
		l.lastAt.Store(0)
		l.marked.Store(true)
	}
}

// lags are told → ack of all that do not stall.
func (c *crowd) lags(ctx context.Context, told time.Time) ([]time.Duration, error) {
	if err := c.wait(ctx, 30*time.Second, func(l *light) bool { return l.lastAt.Load() != 0 }); err != nil {
		return nil, err
	}
	var out []time.Duration
	for _, l := range c.all {
		if !l.stall.Load() {
			out = append(out, time.Unix(0, l.lastAt.Load()).Sub(told))
		}
	}
	return out, nil
}

// acks is how many responses were acknowledged.
func (c *crowd) acks() int64 {
	sum := int64(0)
	for _, l := range c.all {
		sum += int64(l.acks.Load())
	}
	return sum
}

func (c *crowd) received() int64 {
	sum := int64(0)
	for _, l := range c.all {
		sum += l.bytes.Load()
	}
	return sum
}
