package control_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/control/resource"
)

// raw is a scripted ADS stream: it sends what a test tells it to, and never acknowledges by itself.
type raw struct {
	t     *testing.T
	conn  *grpc.ClientConn
	full  discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	delta discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	got   chan *discoveryv3.DiscoveryResponse
	gotD  chan *discoveryv3.DeltaDiscoveryResponse
	ended chan error
}

func connect(t *testing.T, addr string, creds credentials.TransportCredentials) *grpc.ClientConn {
	t.Helper()
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(128<<20)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func openFull(t *testing.T, conn *grpc.ClientConn) *raw {
	t.Helper()
	r, err := openFullErr(t, conn)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func openDelta(t *testing.T, conn *grpc.ClientConn) *raw {
	t.Helper()
	r := &raw{t: t, conn: conn, gotD: make(chan *discoveryv3.DeltaDiscoveryResponse, 1000), ended: make(chan error, 1)}
	var err error
	if r.delta, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(t.Context()); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			m, err := r.delta.Recv()
			if err != nil {
				r.ended <- err
				return
			}
			r.gotD <- m
		}
	}()
	return r
}

func node(id string, features ...string) *corev3.Node {
	return &corev3.Node{Id: id, Locality: &corev3.Locality{Zone: "east"}, ClientFeatures: features}
}

func (r *raw) ask(req *discoveryv3.DiscoveryRequest) {
	r.t.Helper()
	if err := r.full.Send(req); err != nil {
		r.t.Fatal(err)
	}
}

func (r *raw) askDelta(req *discoveryv3.DeltaDiscoveryRequest) {
	r.t.Helper()
	if err := r.delta.Send(req); err != nil {
		r.t.Fatal(err)
	}
}

// next waits for the next response.
func (r *raw) next() *discoveryv3.DiscoveryResponse {
	r.t.Helper()
	select {
	case m := <-r.got:
		return m
	case err := <-r.ended:
		r.t.Fatalf("the stream ended: %v", err)
	case <-time.After(patience):
		r.t.Fatal("no response came")
	}
	return nil
}

func (r *raw) nextDelta() *discoveryv3.DeltaDiscoveryResponse {
	r.t.Helper()
	select {
	case m := <-r.gotD:
		return m
	case err := <-r.ended:
		r.t.Fatalf("the stream ended: %v", err)
	case <-time.After(patience):
		r.t.Fatal("no response came")
	}
	return nil
}

// quiet checks that nothing comes for a while: long enough for anything that was on its way.
func (r *raw) quiet(for_ time.Duration) {
	r.t.Helper()
	select {
	case m := <-r.got:
		r.t.Errorf("a response came: %s %s", m.TypeUrl, m.Nonce)
	case m := <-r.gotD:
		r.t.Errorf("a response came: %s %s", m.TypeUrl, m.Nonce)
	case err := <-r.ended:
		r.t.Errorf("the stream ended: %v", err)
	case <-time.After(for_):
	}
}

// wantEnd waits for the stream's end with a code.
func (r *raw) wantEnd(code codes.Code) {
	r.t.Helper()
	select {
	case err := <-r.ended:
		if status.Code(err) != code {
			r.t.Errorf("ended with %v, want %v", err, code)
		}
	case <-time.After(patience):
		r.t.Errorf("the stream did not end; want %v", code)
	}
}

func (r *raw) ack(m *discoveryv3.DiscoveryResponse, names ...string) {
	r.t.Helper()
	r.ask(&discoveryv3.DiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce, VersionInfo: m.VersionInfo, ResourceNames: names})
}

func (r *raw) nack(m *discoveryv3.DiscoveryResponse, why string, names ...string) {
	r.t.Helper()
	r.ask(&discoveryv3.DiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce, ResourceNames: names,
		ErrorDetail: &rpcstatus.Status{Code: 3, Message: why}})
}

// draining lists the servers that a response says drain, and all it lists.
func draining(t *testing.T, m *discoveryv3.DiscoveryResponse) (drains, all map[string]bool) {
	t.Helper()
	drains, all = map[string]bool{}, map[string]bool{}
	for _, a := range m.Resources {
		var set endpointv3.ClusterLoadAssignment
		if err := a.UnmarshalTo(&set); err != nil {
			t.Fatal(err)
		}
		for _, l := range set.Endpoints {
			for _, e := range l.LbEndpoints {
				addr := e.GetEndpoint().GetAddress().GetSocketAddress()
				key := fmt.Sprintf("%s:%d", addr.GetAddress(), addr.GetPortValue())
				all[key] = true
				if e.HealthStatus == corev3.HealthStatus_DRAINING {
					drains[key] = true
				}
			}
		}
	}
	return drains, all
}

func edsRequest(id string, names ...string) *discoveryv3.DiscoveryRequest {
	return &discoveryv3.DiscoveryRequest{Node: node(id), TypeUrl: resource.Endpoints, ResourceNames: names}
}

func deltaRequest(id string, names ...string) *discoveryv3.DeltaDiscoveryRequest {
	return &discoveryv3.DeltaDiscoveryRequest{Node: node(id), TypeUrl: resource.Endpoints, ResourceNamesSubscribe: names}
}

func addressOf(addr string) *corev3.Address {
	host, port, _ := strings.Cut(addr, ":")
	n, _ := strconv.Atoi(port)
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}
}

// noise is a codec that sends bytes as they are.
type noise struct{}

func (noise) Name() string                  { return "proto" }
func (noise) Marshal(v any) ([]byte, error) { return v.([]byte), nil }
func (noise) Unmarshal([]byte, any) error   { return nil }

// garbage sends bytes that are no message.
func garbage(t *testing.T, addr string) {
	t.Helper()
	s, err := connect(t, addr, nil).NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true, ServerStreams: true},
		"/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources", grpc.ForceCodec(noise{}))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SendMsg([]byte("\xff\xff\xff\xff garbage")); err != nil {
		t.Fatal(err)
	}
	var none []byte
	if err := s.RecvMsg(&none); status.Code(err) != codes.Internal {
		t.Errorf("ended with %v", err)
	}
}

// openFullErr is openFull where opening itself may fail.
func openFullErr(t *testing.T, conn *grpc.ClientConn) (*raw, error) {
	r := &raw{t: t, conn: conn, got: make(chan *discoveryv3.DiscoveryResponse, 1000), ended: make(chan error, 1)}
	var err error
	if r.full, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(t.Context()); err != nil {
		return nil, err
	}
	go func() {
		for {
			m, err := r.full.Recv()
			if err != nil {
				r.ended <- err
				return
			}
			r.got <- m
		}
	}()
	return r, nil
}
