package xdsproxy

import (
	"fmt"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// sotwStream is a stream of the state-of-the-world protocol.
type sotwStream struct {
	client discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	proxy  *Proxy
	node   *corev3.Node        // sent with the first request only
	nonces map[string]string   // of the last response, by type
	names  map[string][]string // subscribed, by type
}

func newSotWStream(
	client discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient, p *Proxy, node *corev3.Node,
) *sotwStream {
	return &sotwStream{client: client, proxy: p, node: node, nonces: map[string]string{}, names: map[string][]string{}}
}

// send sends a request with the version that was accepted last.
func (s *sotwStream) send(typeURL, nonce, reason string) error {
	s.proxy.mu.Lock()
	version := s.proxy.state.accepted[typeURL]
	s.proxy.mu.Unlock()
	request := &discoveryv3.DiscoveryRequest{
		TypeUrl:       typeURL,
		VersionInfo:   version,
		ResponseNonce: nonce,
		ResourceNames: s.names[typeURL],
		Node:          s.node,
		ErrorDetail:   rejection(reason),
	}
	s.node = nil
	return s.client.Send(request)
}

// subscribe implements stream.
func (s *sotwStream) subscribe(typeURL string, names []string) error {
	s.names[typeURL] = names
	return s.send(typeURL, s.nonces[typeURL], "")
}

// receive implements stream.
func (s *sotwStream) receive() (response, error) {
	m, err := s.client.Recv()
	if err != nil {
		return response{}, err
	}
	r := response{
		typeURL:   m.TypeUrl,
		version:   m.VersionInfo,
		nonce:     m.Nonce,
		sotw:      true,
		resources: map[string]*anypb.Any{},
		size:      proto.Size(m),
	}
	for _, packed := range m.Resources {
		name, err := resourceName(packed)
		if err != nil {
			return r, err
		}
		r.resources[name] = packed
	}
	return r, nil
}

// acknowledge implements stream.
func (s *sotwStream) acknowledge(r response, reason string) error {
	s.nonces[r.typeURL] = r.nonce
	return s.send(r.typeURL, r.nonce, reason)
}

// resourceName returns the name that a resource carries in its message.
func resourceName(packed *anypb.Any) (string, error) {
	m, err := packed.UnmarshalNew()
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
