// Package xdsproxy is a stand-in for a proxy that gets its configuration over xDS: a small client of ADS,
// state of the world and incremental, with endpoints in one resource or one by one (LEDS), and a picker that
// does what the resources say: priorities, draining, weights, a ring. It is written from the xDS protocol's
// documentation and shares no code with the control service.
package xdsproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// The type URLs of the resources that it subscribes to.
const (
	listenerType   = "type.googleapis.com/envoy.config.listener.v3.Listener"
	routeType      = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	clusterType    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	endpointsType  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	lbEndpointType = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
)

const (
	maxResponseBytes  = 64 << 20
	minConnectTimeout = 2 * time.Second
	// minStreamBackoff and streamBackoffJitter are the pause before a new stream on the connection.
	minStreamBackoff    = 20 * time.Millisecond
	streamBackoffJitter = 30 * time.Millisecond
)

// connectBackoff is the backoff between connection attempts.
var connectBackoff = backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// Options configure a proxy.
type Options struct {
	Target string // host:port of the control service
	Node   string // node ID
	Zone   string
	Delta  bool                             // the incremental protocol
	LEDS   bool                             // endpoints one by one; incremental only
	Creds  credentials.TransportCredentials // nil: plain text
	// Reject, if set, returns why a response of a type is rejected; "" accepts it.
	Reject func(typeURL string) string
	// ApplyDelay delays the use of responses, which are acknowledged at once: the seeded defect of the
	// acceptance test of drains.
	ApplyDelay time.Duration
}

// Proxy is one proxy. It reconnects until it is closed. All methods may be called from any goroutine.
type Proxy struct {
	options Options
	conn    *grpc.ClientConn
	cancel  context.CancelFunc
	running sync.WaitGroup
	ready   chan struct{}
	once    sync.Once // closes ready
	gate    gate
	lastErr atomic.Pointer[string]

	Bytes         atomic.Int64 // of responses
	ResponseCount atomic.Int64
	Streams       atomic.Int64 // that were opened
	Errors        atomic.Int64 // streams that ended with an error

	mu       sync.Mutex // protects all below
	state    state
	table    *Table
	changed  chan struct{}          // closed when table is replaced
	inFlight map[string]int         // requests by address
	loads    map[string]*serverLoad // since the last load report, by address
}

// gate blocks the reader while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// Dial starts a proxy.
func Dial(o Options) (*Proxy, error) {
	p := &Proxy{
		options:  o,
		ready:    make(chan struct{}),
		state:    newState(),
		table:    &Table{},
		changed:  make(chan struct{}),
		inFlight: map[string]int{},
		loads:    map[string]*serverLoad{},
	}
	if o.Creds == nil {
		o.Creds = insecure.NewCredentials()
	}
	var err error
	p.conn, err = grpc.NewClient(o.Target,
		grpc.WithTransportCredentials(o.Creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout, Backoff: connectBackoff}))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.run(ctx) })
	return p, nil
}

// Close ends the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.cancel()
	p.Pause(false)
	p.conn.Close()
	p.running.Wait()
}

// Pause stops reading responses, or continues: the stream stays open and its flow-control window fills up.
func (p *Proxy) Pause(stop bool) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	switch {
	case stop && p.gate.shut == nil:
		p.gate.shut = make(chan struct{})
	case !stop && p.gate.shut != nil:
		close(p.gate.shut)
		p.gate.shut = nil
	}
}

// wait blocks while the gate is shut.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		select {
		case <-shut:
		case <-ctx.Done():
		}
	}
}

// Ready returns a channel that is closed once the proxy has a listener, routes and endpoints.
func (p *Proxy) Ready() <-chan struct{} { return p.ready }

// LastError returns the error of the last stream that ended; "" if there was none.
func (p *Proxy) LastError() string {
	if text := p.lastErr.Load(); text != nil {
		return *text
	}
	return ""
}

// Table returns the current table, and a channel that is closed when it is replaced.
func (p *Proxy) Table() (*Table, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table, p.changed
}

// Await waits until the table satisfies want, and reports whether it did within the timeout.
func (p *Proxy) Await(timeout time.Duration, want func(*Table) bool) bool {
	expired := time.After(timeout)
	for {
		t, changed := p.Table()
		if want(t) {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return false
		}
	}
}

// run keeps a stream open until ctx ends.
func (p *Proxy) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.runStream(ctx)
		if ctx.Err() != nil {
			return
		}
		p.Errors.Add(1)
		text := fmt.Sprint(err)
		p.lastErr.Store(&text)
		select {
		case <-time.After(minStreamBackoff + rand.N(streamBackoffJitter)):
		case <-ctx.Done():
		}
	}
}

// apply uses a response; an error rejects it, and nothing of it is used.
func (p *Proxy) apply(r *response) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.state.update(r); err != nil {
		return err
	}
	table := p.state.buildTable()
	if p.options.ApplyDelay > 0 {
		time.AfterFunc(p.options.ApplyDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.useTable(table)
		})
		return nil
	}
	p.useTable(table)
	return nil
}

// useTable replaces the table. The caller holds p.mu.
func (p *Proxy) useTable(t *Table) {
	p.table = t
	close(p.changed)
	p.changed = make(chan struct{})
	if len(t.Endpoints) > 0 && len(t.routes) > 0 && p.state.hasListener {
		p.once.Do(func() { close(p.ready) })
	}
}
