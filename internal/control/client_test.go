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

// adsClient is an ADS stream under the control of a test. It never acknowledges a response by itself.
type adsClient struct {
	t              *testing.T
	conn           *grpc.ClientConn
	sotw           discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	delta          discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	responses      chan *discoveryv3.DiscoveryResponse
	deltaResponses chan *discoveryv3.DeltaDiscoveryResponse
	ended          chan error
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

func openSotW(t *testing.T, conn *grpc.ClientConn) *adsClient {
	t.Helper()
	r, err := tryOpenSotW(t, conn)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func openDelta(t *testing.T, conn *grpc.ClientConn) *adsClient {
	t.Helper()
	r := &adsClient{t: t, conn: conn, deltaResponses: make(chan *discoveryv3.DeltaDiscoveryResponse, 1000), ended: make(chan error, 1)}
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
			r.deltaResponses <- m
		}
	}()
	return r
}

func node(id string, features ...string) *corev3.Node {
	return &corev3.Node{Id: id, Locality: &corev3.Locality{Zone: "east"}, ClientFeatures: features}
}

func (r *adsClient) send(req *discoveryv3.DiscoveryRequest) {
	r.t.Helper()
	if err := r.sotw.Send(req); err != nil {
		r.t.Fatal(err)
	}
}

func (r *adsClient) sendDelta(req *discoveryv3.DeltaDiscoveryRequest) {
	r.t.Helper()
	if err := r.delta.Send(req); err != nil {
		r.t.Fatal(err)
	}
}

// receive waits for the next response.
func (r *adsClient) receive() *discoveryv3.DiscoveryResponse {
	r.t.Helper()
	select {
	case m := <-r.responses:
		return m
	case err := <-r.ended:
		r.t.Fatalf("the stream ended: %v", err)
	case <-time.After(testTimeout):
		r.t.Fatal("timed out waiting for a response")
	}
	return nil
}

func (r *adsClient) receiveDelta() *discoveryv3.DeltaDiscoveryResponse {
	r.t.Helper()
	select {
	case m := <-r.deltaResponses:
		return m
	case err := <-r.ended:
		r.t.Fatalf("the stream ended: %v", err)
	case <-time.After(testTimeout):
		r.t.Fatal("timed out waiting for a response")
	}
	return nil
}

// expectNone checks that no response arrives within d.
func (r *adsClient) expectNone(d time.Duration) {
	r.t.Helper()
	select {
	case m := <-r.responses:
		r.t.Errorf("unexpected response: %s %s", m.TypeUrl, m.Nonce)
	case m := <-r.deltaResponses:
		r.t.Errorf("unexpected response: %s %s", m.TypeUrl, m.Nonce)
	case err := <-r.ended:
		r.t.Errorf("the stream ended: %v", err)
	case <-time.After(d):
	}
}

// expectEnd waits until the stream ends and checks its status code.
func (r *adsClient) expectEnd(code codes.Code) {
	r.t.Helper()
	select {
	case err := <-r.ended:
		if status.Code(err) != code {
			r.t.Errorf("ended with %v, want %v", err, code)
		}
	case <-time.After(testTimeout):
		r.t.Errorf("the stream did not end; want %v", code)
	}
}

func (r *adsClient) ack(m *discoveryv3.DiscoveryResponse, names ...string) {
	r.t.Helper()
	r.send(&discoveryv3.DiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce, VersionInfo: m.VersionInfo, ResourceNames: names})
}

func (r *adsClient) nack(m *discoveryv3.DiscoveryResponse, reason string, names ...string) {
	r.t.Helper()
	r.send(&discoveryv3.DiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce, ResourceNames: names,
		ErrorDetail: &rpcstatus.Status{Code: 3, Message: reason}})
}

// draining returns the addresses of the draining servers in a response, and the addresses of all servers in
// it.
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

// rawCodec is a codec that sends bytes unchanged.
type rawCodec struct{}

func (rawCodec) Name() string                  { return "proto" }
func (rawCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }
func (rawCodec) Unmarshal([]byte, any) error   { return nil }

// sendMalformed sends bytes that are not a valid message and expects the stream to end with an error.
func sendMalformed(t *testing.T, addr string) {
	t.Helper()
	s, err := connect(t, addr, nil).NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true, ServerStreams: true},
		"/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources", grpc.ForceCodec(rawCodec{}))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SendMsg([]byte("\xff\xff\xff\xff garbage")); err != nil {
		t.Fatal(err)
	}
	var none []byte
	if err := s.RecvMsg(&none); status.Code(err) != codes.Internal {
		t.Errorf("the stream ended with %v, want the status Internal", err)
	}
}

// tryOpenSotW is like openSotW, but returns an error in place of failing the test.
func tryOpenSotW(t *testing.T, conn *grpc.ClientConn) (*adsClient, error) {
	r := &adsClient{t: t, conn: conn, responses: make(chan *discoveryv3.DiscoveryResponse, 1000), ended: make(chan error, 1)}
	var err error
	if r.sotw, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(t.Context()); err != nil {
		return nil, err
	}
	go func() {
		for {
			m, err := r.sotw.Recv()
			if err != nil {
				r.ended <- err
				return
			}
			r.responses <- m
		}
	}()
	return r, nil
}
