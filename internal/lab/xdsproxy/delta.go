package xdsproxy

import (
	"maps"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// deltaStream is a stream of the incremental protocol.
type deltaStream struct {
	client     discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	proxy      *Proxy
	node       *corev3.Node               // sent with the first request only
	subscribed map[string]map[string]bool // names by type; a type that has an entry was subscribed to
}

func newDeltaStream(
	client discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient, p *Proxy, node *corev3.Node,
) *deltaStream {
	return &deltaStream{client: client, proxy: p, node: node, subscribed: map[string]map[string]bool{}}
}

// subscribe implements stream. The first request of a type has the versions that the proxy has cached.
func (s *deltaStream) subscribe(typeURL string, names []string) error {
	request := &discoveryv3.DeltaDiscoveryRequest{TypeUrl: typeURL, Node: s.node}
	s.node = nil
	previous, known := s.subscribed[typeURL]
	next := map[string]bool{}
	for _, name := range names {
		next[name] = true
		if !previous[name] {
			request.ResourceNamesSubscribe = append(request.ResourceNamesSubscribe, name)
		}
	}
	for name := range previous {
		if !next[name] {
			request.ResourceNamesUnsubscribe = append(request.ResourceNamesUnsubscribe, name)
		}
	}
	s.subscribed[typeURL] = next
	if !known {
		s.proxy.mu.Lock()
		if cached := s.proxy.state.versions[typeURL]; len(cached) > 0 {
			request.InitialResourceVersions = maps.Clone(cached)
		}
		s.proxy.mu.Unlock()
	}
	return s.client.Send(request)
}

// receive implements stream.
func (s *deltaStream) receive() (response, error) {
	m, err := s.client.Recv()
	if err != nil {
		return response{}, err
	}
	r := response{
		typeURL:   m.TypeUrl,
		version:   m.SystemVersionInfo,
		nonce:     m.Nonce,
		resources: map[string]*anypb.Any{},
		versions:  map[string]string{},
		removed:   m.RemovedResources,
		size:      proto.Size(m),
	}
	for _, res := range m.Resources {
		if res.Resource != nil { // a heartbeat has none
			r.resources[res.Name] = res.Resource
		}
		r.versions[res.Name] = res.Version
	}
	return r, nil
}

// acknowledge implements stream.
func (s *deltaStream) acknowledge(r response, reason string) error {
	return s.client.Send(&discoveryv3.DeltaDiscoveryRequest{
		TypeUrl:       r.typeURL,
		ResponseNonce: r.nonce,
		ErrorDetail:   rejection(reason),
	})
}
