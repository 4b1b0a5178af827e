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
	_ "google.golang.org/grpc/encoding/proto" // the codec that encodes requests
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	edsType  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	ledsType = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
	sotwADS  = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
	deltaADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
)

// lightProxy is an xDS client of a crowd. It decodes only the type, version and nonce of a response and
// acknowledges it, so that a thousand of them leave the cores to the service. The control service and
// go-control-plane's are measured with the same client.
type lightProxy struct {
	conn       *grpc.ClientConn
	cancel     context.CancelFunc
	done       chan struct{}
	stall      atomic.Bool
	resume     chan struct{} // closed when a stalled proxy may resume
	bytes      atomic.Int64
	acks       atomic.Int64
	ackAt      atomic.Int64 // UnixNano of the first ack after mark; 0: none yet
	marked     atomic.Bool
	unnamed    atomic.Bool // reconnects without a node id, which the service rejects
	streamEnds atomic.Int64
	sharedLock *sync.Mutex // the seeded defect of the stall proof: all proxies share one lock
}

type variant int

const (
	sotw variant = iota
	delta
	leds
)

func (k variant) String() string { return [...]string{"sotw", "delta", "leds"}[k] }

// responseHeader is the part of a response that a lightProxy decodes.
type responseHeader struct {
	typeURL, version, nonce string
	size                    int
}

type headerCodec struct{ encoding.CodecV2 }

func (c headerCodec) Unmarshal(data mem.BufferSlice, v any) error {
	b, ok := v.(*responseHeader)
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

// collections returns the names of the LEDS collections of a service, as the operators' page gives them.
func collections(service string) []string {
	var out []string
	for _, z := range zones {
		out = append(out, fmt.Sprintf("xdstp://ringtrack/envoy.config.endpoint.v3.LbEndpoint/%s/%s/0/*", service, z))
	}
	return out
}

func dialLightProxy(ctx context.Context, target string, k variant, i int, sharedLock *sync.Mutex) (*lightProxy, error) {
	conn, err := grpc.NewClient(target, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithReadBufferSize(8<<10), grpc.WithWriteBufferSize(1<<10),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 5 * time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.5, MaxDelay: time.Second}}),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(headerCodec{encoding.GetCodecV2("proto")}), grpc.MaxCallRecvMsgSize(64<<20)))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &lightProxy{sharedLock: sharedLock, conn: conn, cancel: cancel, done: make(chan struct{}), resume: make(chan struct{})}
	go func() {
		defer close(l.done)
		for ctx.Err() == nil {
			l.follow(ctx, k, i)
			l.streamEnds.Add(1)
			select {
			case <-ctx.Done():
			case <-time.After(20*time.Millisecond + rand.N(30*time.Millisecond)):
			}
		}
	}()
	return l, nil
}

func (l *lightProxy) close() {
	l.cancel()
	l.conn.Close()
	<-l.done
}

func (l *lightProxy) follow(ctx context.Context, k variant, i int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	node := &corev3.Node{Id: fmt.Sprintf("p-%04d", i), Cluster: "lab", Locality: &corev3.Locality{Zone: zones[i%3]}}
	method := deltaADS
	if k == sotw {
		method = sotwADS
	}
	if l.unnamed.Load() {
		node.Id = "" // the seeded defect of the storm proof
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
		for l.sharedLock != nil && l.stall.Load() { // stalls while it holds the lock
			l.sharedLock.Lock()
			time.Sleep(100 * time.Millisecond)
			l.sharedLock.Unlock()
		}
		if l.stall.Load() {
			select {
			case <-l.resume:
			case <-ctx.Done():
				return ctx.Err()
			case <-s.Context().Done():
				return s.Context().Err()
			}
		}
		var b responseHeader
		if err := s.RecvMsg(&b); err != nil {
			return err
		}
		if l.sharedLock != nil {
			l.sharedLock.Lock()
			l.sharedLock.Unlock() //lint:ignore SA2001 it only waits for the lock
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
			l.ackAt.Store(time.Now().UnixNano())
		}
		l.acks.Add(1)
	}
}

// crowd is a group of light proxies.
type crowd struct{ all []*lightProxy }

func newCrowd(ctx context.Context, target string, k variant, n int, sharedLock *sync.Mutex) (*crowd, error) {
	c := &crowd{}
	for i := range n {
		l, err := dialLightProxy(ctx, target, k, i, sharedLock)
		if err != nil {
			c.close()
			return nil, err
		}
		c.all = append(c.all, l)
	}
	first := int64(1)
	if k == leds {
		first = 4 // the cluster's assignment and a collection per zone
	}
	if err := c.wait(ctx, 60*time.Second, func(l *lightProxy) bool { return l.acks.Load() >= first }); err != nil {
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

func (c *crowd) wait(ctx context.Context, within time.Duration, want func(*lightProxy) bool) error {
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
			return fmt.Errorf("%d of %d proxies did not catch up within %v", missing, len(c.all), within)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// mark makes each proxy record the time of its next ack.
func (c *crowd) mark() {
	for _, l := range c.all {
		l.ackAt.Store(0)
		l.marked.Store(true)
	}
}

// lags waits for the next ack of all proxies that do not stall and returns their delays after notifiedAt.
func (c *crowd) lags(ctx context.Context, notifiedAt time.Time) ([]time.Duration, error) {
	if err := c.wait(ctx, 30*time.Second, func(l *lightProxy) bool { return l.ackAt.Load() != 0 }); err != nil {
		return nil, err
	}
	var out []time.Duration
	for _, l := range c.all {
		if !l.stall.Load() {
			out = append(out, time.Unix(0, l.ackAt.Load()).Sub(notifiedAt))
		}
	}
	return out, nil
}

// acks returns how many responses were acknowledged.
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
