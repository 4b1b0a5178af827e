// Package xdsproxy is a stand-in for a proxy that takes its configuration over xDS: a small client of
// ADS, state of the world and incremental, with servers in one piece or one by one (LEDS), and a
// picker that does what the resources say: priorities, draining, weights, a ring. It is written from
// the xDS protocol's pages and shares no code with the control service.
package xdsproxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

// The types of resources that it asks for.
const (
	lds  = "type.googleapis.com/envoy.config.listener.v3.Listener"
	rds  = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	cds  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	eds  = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	leds = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
)

// Options say what a proxy is.
type Options struct {
	Target string // host:port of the control service
	Node   string
	Zone   string
	Delta  bool // incremental
	LEDS   bool // servers one by one; incremental only
	Creds  credentials.TransportCredentials
	// Reject, if set, says why a response of a type is rejected; "" accepts it.
	Reject func(typeURL string) string
	// ApplyDelay holds back what came before it is used, though it is acknowledged at once: the seeded
	// defect of the proof of drains.
	ApplyDelay time.Duration
}

// Endpoint is a server as the proxy has it.
type Endpoint struct {
	ID, Addr string
	Zone     string
	Priority uint32
	Draining bool
	Weight   float64 // its part of the priority's, times 1e6
}

// Proxy is one proxy. It reconnects by itself until it is closed.
type Proxy struct {
	o             Options
	conn          *grpc.ClientConn
	cancel        context.CancelFunc
	done          sync.WaitGroup
	ready         chan struct{}
	gate          gate
	Bytes         atomic.Int64 // of responses
	ResponseCount atomic.Int64 // of responses
	Streams       atomic.Int64 // that were opened
	Errors        atomic.Int64 // streams that ended with an error
	last          atomic.Pointer[string]

	mu       sync.Mutex
	clusters map[string]*clusterv3.Cluster
	routes   map[string]*routev3.RouteConfiguration
	sets     map[string]*endpointv3.ClusterLoadAssignment
	single   map[string]map[string]*endpointv3.LbEndpoint // by collection and name
	versions map[string]map[string]string                 // by type and name
	version  map[string]string                            // state of the world, by type
	table    *Table
	listener bool
	changed  chan struct{}
	once     sync.Once
	inflight map[string]int
	stats    map[string]*stat
}

type stat struct{ ok, failed, open, issued uint64 }

// gate stops the reader while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// Dial starts a proxy.
func Dial(o Options) (*Proxy, error) {
	p := &Proxy{o: o, ready: make(chan struct{}), changed: make(chan struct{}),
		clusters: map[string]*clusterv3.Cluster{}, routes: map[string]*routev3.RouteConfiguration{},
		sets: map[string]*endpointv3.ClusterLoadAssignment{}, single: map[string]map[string]*endpointv3.LbEndpoint{},
		versions: map[string]map[string]string{}, version: map[string]string{}, table: &Table{},
		inflight: map[string]int{}, stats: map[string]*stat{}}
	if o.Creds == nil {
		o.Creds = insecure.NewCredentials()
	}
	var err error
	p.conn, err = grpc.NewClient(o.Target, grpc.WithTransportCredentials(o.Creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second,
			Backoff: backoffConfig()}))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { p.run(ctx) })
	return p, nil
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.cancel()
	p.Pause(false)
	p.conn.Close()
	p.done.Wait()
}

// Pause stops reading responses, or goes on: the stream stays open and its flow control fills up.
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

func (p *Proxy) pass(ctx context.Context) {
	p.gate.mu.Lock()
	shut := p.gate.shut
	p.gate.mu.Unlock()
	if shut != nil {
		select {
		case <-shut:
		case <-ctx.Done():
		}
	}
}

// Ready is closed once the proxy has routes and servers.
func (p *Proxy) Ready() <-chan struct{} { return p.ready }

// LastError is how the last stream ended.
func (p *Proxy) LastError() string {
	if s := p.last.Load(); s != nil {
		return *s
	}
	return ""
}

// stream is what both protocols' streams are to the proxy.
type stream interface {
	// ask subscribes: in the state of the world to all names, else to those that are new.
	ask(typeURL string, names []string) error
	recv() (response, error)
	ack(r response, reason string) error
}

type response struct {
	typeURL, version, nonce string
	full                    bool
	resources               map[string]*anypb.Any // by name; state of the world: by the message's name
	versions                map[string]string
	removed                 []string
	size                    int
}

func (p *Proxy) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		p.Errors.Add(1)
		text := fmt.Sprint(err)
		p.last.Store(&text)
		select {
		case <-time.After(20*time.Millisecond + rand.N(30*time.Millisecond)):
		case <-ctx.Done():
		}
	}
}

// follow runs one stream to its end.
func (p *Proxy) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.Streams.Add(1)
	var s stream
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(p.conn)
	node := &corev3.Node{Id: p.o.Node, Cluster: "lab", Locality: &corev3.Locality{Zone: p.o.Zone}}
	if p.o.Delta {
		g, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		if p.o.LEDS {
			node.ClientFeatures = append(node.ClientFeatures, "ringtrack.leds")
		}
		s = &deltaStream{g: g, p: p, node: node, asked: map[string]bool{}}
	} else {
		g, err := client.StreamAggregatedResources(ctx)
		if err != nil {
			return err
		}
		s = &fullStream{g: g, p: p, node: node}
	}
	for _, t := range []string{cds, lds} {
		if err := s.ask(t, nil); err != nil {
			return err
		}
	}
	asked := map[string][]string{}
	more := func() error {
		for t, names := range p.wants() {
			if !slices.Equal(asked[t], names) {
				asked[t] = names
				if err := s.ask(t, names); err != nil {
					return err
				}
			}
		}
		return nil
	}
	if err := more(); err != nil { // what it holds of another stream refers to more
		return err
	}
	for {
		p.pass(ctx)
		r, err := s.recv()
		if err != nil {
			return err
		}
		p.Bytes.Add(int64(r.size))
		p.ResponseCount.Add(1)
		reason := ""
		if p.o.Reject != nil {
			reason = p.o.Reject(r.typeURL)
		}
		if reason == "" {
			if err := p.take(&r); err != nil {
				reason = err.Error()
			}
		}
		if err := s.ack(r, reason); err != nil {
			return err
		}
		if err := more(); err != nil {
			return err
		}
	}
}

// wants are the names that what it has refers to.
func (p *Proxy) wants() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]string{}
	add := func(t, name string) {
		if !slices.Contains(out[t], name) {
			out[t] = append(out[t], name)
		}
	}
	for _, c := range p.clusters {
		add(eds, c.GetEdsClusterConfig().GetServiceName())
	}
	for name := range p.routes {
		add(rds, name)
	}
	for _, set := range p.sets {
		for _, l := range set.GetEndpoints() {
			if c := l.GetLedsClusterLocalityConfig(); c != nil {
				add(leds, c.GetLedsCollectionName())
			}
		}
	}
	for t := range out {
		slices.Sort(out[t])
	}
	return out
}

// take uses a response; an error rejects it, and nothing of it is used.
func (p *Proxy) take(r *response) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	decoded := map[string]proto.Message{}
	for name, a := range r.resources {
		m, err := a.UnmarshalNew()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if set, ok := m.(*endpointv3.ClusterLoadAssignment); ok {
			if err := checkSet(set); err != nil {
				return err
			}
		}
		decoded[name] = m
	}
	if r.full {
		switch r.typeURL { // these say all there is
		case cds:
			p.clusters = map[string]*clusterv3.Cluster{}
		case lds:
			p.listener = false
		}
	}
	for name, m := range decoded {
		switch m := m.(type) {
		case *clusterv3.Cluster:
			p.clusters[name] = m
		case *listenerv3.Listener:
			hcm := &hcmv3.HttpConnectionManager{}
			if err := m.GetApiListener().GetApiListener().UnmarshalTo(hcm); err == nil {
				p.listener = true
				if n := hcm.GetRds().GetRouteConfigName(); p.routes[n] == nil {
					p.routes[n] = nil // wanted
				}
			}
		case *routev3.RouteConfiguration:
			p.routes[name] = m
		case *endpointv3.ClusterLoadAssignment:
			p.sets[name] = m
		case *endpointv3.LbEndpoint:
			glob := name[:strings.LastIndex(name, "/")+1] + "*"
			if p.single[glob] == nil {
				p.single[glob] = map[string]*endpointv3.LbEndpoint{}
			}
			p.single[glob][name] = m
		default:
			return fmt.Errorf("%s: a %T was not asked for", name, m)
		}
	}
	for _, name := range r.removed {
		switch r.typeURL {
		case cds:
			delete(p.clusters, name)
		case eds:
			delete(p.sets, name)
		case leds:
			glob := name[:strings.LastIndex(name, "/")+1] + "*"
			delete(p.single[glob], name)
		}
	}
	if p.versions[r.typeURL] == nil {
		p.versions[r.typeURL] = map[string]string{}
	}
	for name, v := range r.versions {
		p.versions[r.typeURL][name] = v
	}
	for _, name := range r.removed {
		delete(p.versions[r.typeURL], name)
	}
	if r.full {
		p.version[r.typeURL] = r.version
	}
	table := p.build()
	if p.o.ApplyDelay > 0 {
		time.AfterFunc(p.o.ApplyDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.use(table)
		})
		return nil
	}
	p.use(table)
	return nil
}

// use makes a table the one that is picked from.
func (p *Proxy) use(t *Table) {
	p.table = t
	close(p.changed)
	p.changed = make(chan struct{})
	if len(t.Endpoints) > 0 && len(t.routes) > 0 && p.listener {
		p.once.Do(func() { close(p.ready) })
	}
}

// checkSet rejects what proxies of the field reject.
func checkSet(set *endpointv3.ClusterLoadAssignment) error {
	seen := map[uint32]bool{}
	most := uint32(0)
	addrs := map[string]bool{}
	for _, l := range set.GetEndpoints() {
		seen[l.GetPriority()] = true
		most = max(most, l.GetPriority())
		if l.GetLocality() == nil {
			return errors.New("a locality without an id")
		}
		for _, e := range l.GetLbEndpoints() {
			a := addrOf(e)
			if addrs[a] {
				return fmt.Errorf("address %s stands twice", a)
			}
			addrs[a] = true
			if w := e.GetLoadBalancingWeight(); w != nil && w.GetValue() == 0 {
				return fmt.Errorf("%s: weight 0", a)
			}
		}
	}
	for i := range most {
		if !seen[i] {
			return fmt.Errorf("priority %d is missing", i)
		}
	}
	return nil
}

func addrOf(e *endpointv3.LbEndpoint) string {
	s := e.GetEndpoint().GetAddress().GetSocketAddress()
	return net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue())))
}

// Table returns what the proxy has now, and a channel that is closed when that changes.
func (p *Proxy) Table() (*Table, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table, p.changed
}

// Await waits until the table is as wanted; false once the time is over.
func (p *Proxy) Await(within time.Duration, want func(*Table) bool) bool {
	over := time.After(within)
	for {
		t, changed := p.Table()
		if want(t) {
			return true
		}
		select {
		case <-changed:
		case <-over:
			return false
		}
	}
}

// fullStream speaks the state-of-the-world protocol.
type fullStream struct {
	g    discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	p    *Proxy
	node *corev3.Node
	last map[string]response
	want map[string][]string
}

func (s *fullStream) send(t, version, nonce, reason string) error {
	req := &discoveryv3.DiscoveryRequest{TypeUrl: t, VersionInfo: version, ResponseNonce: nonce,
		ResourceNames: s.want[t], Node: s.node}
	s.node = nil // with the first only
	if reason != "" {
		req.ErrorDetail = &rpcstatus.Status{Code: 3, Message: reason}
	}
	return s.g.Send(req)
}

func (s *fullStream) ask(t string, names []string) error {
	if s.want == nil {
		s.want, s.last = map[string][]string{}, map[string]response{}
	}
	s.want[t] = names
	s.p.mu.Lock()
	version := s.p.version[t]
	s.p.mu.Unlock()
	return s.send(t, version, s.last[t].nonce, "")
}

func (s *fullStream) recv() (response, error) {
	m, err := s.g.Recv()
	if err != nil {
		return response{}, err
	}
	r := response{typeURL: m.TypeUrl, version: m.VersionInfo, nonce: m.Nonce, full: true, resources: map[string]*anypb.Any{}, size: proto.Size(m)}
	for _, a := range m.Resources {
		name, err := nameOf(a)
		if err != nil {
			return r, err
		}
		r.resources[name] = a
	}
	return r, nil
}

func (s *fullStream) ack(r response, reason string) error {
	s.last[r.typeURL] = r
	s.p.mu.Lock()
	version := s.p.version[r.typeURL] // the last that was accepted
	s.p.mu.Unlock()
	return s.send(r.typeURL, version, r.nonce, reason)
}

func nameOf(a *anypb.Any) (string, error) {
	m, err := a.UnmarshalNew()
	if err != nil {
		return "", err
	}
	switch m := m.(type) {
	case *endpointv3.ClusterLoadAssignment:
		return m.ClusterName, nil
	case interface{ GetName() string }:
		return m.GetName(), nil
	}
	return "", fmt.Errorf("a %T has no name", m)
}

// deltaStream speaks the incremental protocol.
type deltaStream struct {
	g     discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	p     *Proxy
	node  *corev3.Node
	asked map[string]bool
	had   map[string]map[string]bool
}

func (s *deltaStream) ask(t string, names []string) error {
	req := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: t, Node: s.node}
	s.node = nil
	if s.had == nil {
		s.had = map[string]map[string]bool{}
	}
	next := map[string]bool{}
	for _, n := range names {
		next[n] = true
		if !s.had[t][n] {
			req.ResourceNamesSubscribe = append(req.ResourceNamesSubscribe, n)
		}
	}
	for n := range s.had[t] {
		if !next[n] {
			req.ResourceNamesUnsubscribe = append(req.ResourceNamesUnsubscribe, n)
		}
	}
	s.had[t] = next
	if !s.asked[t] {
		s.asked[t] = true
		s.p.mu.Lock()
		if len(s.p.versions[t]) > 0 {
			req.InitialResourceVersions = map[string]string{}
			for n, v := range s.p.versions[t] {
				req.InitialResourceVersions[n] = v
			}
		}
		s.p.mu.Unlock()
	}
	return s.g.Send(req)
}

func (s *deltaStream) recv() (response, error) {
	m, err := s.g.Recv()
	if err != nil {
		return response{}, err
	}
	r := response{typeURL: m.TypeUrl, version: m.SystemVersionInfo, nonce: m.Nonce, resources: map[string]*anypb.Any{},
		versions: map[string]string{}, removed: m.RemovedResources, size: proto.Size(m)}
	for _, res := range m.Resources {
		if res.Resource != nil { // a heartbeat has none
			r.resources[res.Name] = res.Resource
		}
		r.versions[res.Name] = res.Version
	}
	return r, nil
}

func (s *deltaStream) ack(r response, reason string) error {
	req := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: r.typeURL, ResponseNonce: r.nonce}
	if reason != "" {
		req.ErrorDetail = &rpcstatus.Status{Code: 3, Message: reason}
	}
	return s.g.Send(req)
}

// ReportLoad sends load reports at the interval that the service asks for, until ctx ends.
func (p *Proxy) ReportLoad(ctx context.Context) error {
	g, err := loadstatsv3.NewLoadReportingServiceClient(p.conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	node := &corev3.Node{Id: p.o.Node, Locality: &corev3.Locality{Zone: p.o.Zone},
		ClientFeatures: []string{"envoy.lrs.supports_send_all_clusters"}}
	if err := g.Send(&loadstatsv3.LoadStatsRequest{Node: node}); err != nil {
		return err
	}
	answer, err := g.Recv()
	if err != nil {
		return err
	}
	every := answer.GetLoadReportingInterval().AsDuration()
	t := time.NewTicker(every)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		stats := &endpointv3.ClusterStats{ClusterName: "all", LoadReportInterval: durationpb.New(now.Sub(last))}
		last = now
		l := &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{}}
		p.mu.Lock()
		for addr, s := range p.stats {
			host, port, _ := net.SplitHostPort(addr)
			n, _ := strconv.Atoi(port)
			l.UpstreamEndpointStats = append(l.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}},
				TotalSuccessfulRequests: s.ok, TotalErrorRequests: s.failed, TotalRequestsInProgress: s.open, TotalIssuedRequests: s.issued})
			s.ok, s.failed, s.issued = 0, 0, 0
			if s.open == 0 {
				delete(p.stats, addr)
			}
		}
		p.mu.Unlock()
		stats.UpstreamLocalityStats = []*endpointv3.UpstreamLocalityStats{l}
		if err := g.Send(&loadstatsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{stats}}); err != nil {
			return err
		}
	}
}
